package schedlag

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestMaxLagOfTheLastSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var m Meter
		m.record(30*time.Millisecond, time.Now())
		m.record(2*time.Millisecond, time.Now())
		if got := m.Max(); got != 30*time.Millisecond {
			t.Errorf("got %v, want 30ms", got)
		}
		time.Sleep(window + time.Millisecond)
		if got := m.Max(); got != 0 {
			t.Errorf("after a second: got %v, want 0", got)
		}
	})
}
