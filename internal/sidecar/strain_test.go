package sidecar

import (
	"testing"
	"time"
)

// Pattern: a host of ours turns several times slower. Its node asks for no new callers while its
// timers are late, and takes them again afterwards; a single long pause changes nothing.
func TestSlowHostAsksForNoCallers(t *testing.T) {
	var s strain
	now := time.Now()
	tick := func(late time.Duration, n int) {
		for range n {
			now = now.Add(housekeepingInterval + late)
			s.observe(late, now)
		}
	}
	tick(5*time.Millisecond, 50)
	tick(2*time.Second, 1)
	if s.strained(now) {
		t.Error("after one pause")
	}
	tick(5*time.Millisecond, 50)
	tick(200*time.Millisecond, 10)
	if !s.strained(now) {
		t.Error("not while timers are late")
	}
	tick(5*time.Millisecond, int((strainHold+time.Second)/housekeepingInterval))
	if s.strained(now) {
		t.Error("still after the host is well again")
	}
}
