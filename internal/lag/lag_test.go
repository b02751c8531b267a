package lag

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestLatenessIsRememberedForASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var m Meter
		m.note(30*time.Millisecond, time.Now())
		m.note(2*time.Millisecond, time.Now())
		if got := m.Late(); got != 30*time.Millisecond {
			t.Errorf("%v", got)
		}
		time.Sleep(memory + time.Millisecond)
		if got := m.Late(); got != 0 {
			t.Errorf("%v after a second", got)
		}
	})
}
