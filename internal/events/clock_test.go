package events

import (
	"testing"
	"testing/synctest"
	"time"
)

// An effect has a later stamp than its cause, even if the wall clock of its host is behind.
func TestEffectHasLaterStampThanCause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ahead, behind Clock
		ahead.Observe(time.Now().Add(20 * time.Second).UnixNano())
		cause := ahead.Now()
		behind.Observe(cause)
		if effect := behind.Now(); effect <= cause {
			t.Fatalf("got stamp %d for the effect, want more than %d of its cause", effect, cause)
		}
	})
}

func TestStampFarAheadIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c Clock
		c.Observe(time.Now().Add(time.Hour).UnixNano())
		if got := c.Now(); got != time.Now().UnixNano() {
			t.Fatalf("a stamp one hour ahead advanced the clock by %v, want 0", time.Duration(got-time.Now().UnixNano()))
		}
	})
}
