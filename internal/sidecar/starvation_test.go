package sidecar

import (
	"testing"
	"time"
)

// A host becomes several times slower. Its node must count as CPU-starved while its timers are late and recover
// afterwards; a single long pause must not count.
func TestCPUStarvation(t *testing.T) {
	var s cpuStarvation
	now := time.Now()
	tick := func(late time.Duration, n int) {
		for range n {
			now = now.Add(housekeepingInterval + late)
			s.observe(late, now)
		}
	}
	tick(5*time.Millisecond, 50)
	tick(2*time.Second, 1)
	if s.active(now) {
		t.Error("starved after one pause of 2 s")
	}
	tick(5*time.Millisecond, 50)
	tick(200*time.Millisecond, 10)
	if !s.active(now) {
		t.Error("not starved after ten timers that were 200 ms late")
	}
	tick(5*time.Millisecond, int((starvationHold+time.Second)/housekeepingInterval))
	if s.active(now) {
		t.Error("still starved after the timers were on time for longer than the hold")
	}
}
