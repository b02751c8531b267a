package sidecar

import (
	"testing"
	"testing/synctest"
	"time"
)

// Hosts are restarted one by one. An upstream is reachable through its own node only, so a stopping node
// must remain the owner while callers may still send requests, and must not abort any of them.
func TestPlannedStopKeepsItsUpstreamInReach(t *testing.T) {
	const grace = 6 * time.Second
	for name, c := range map[string]struct{ work, ends time.Duration }{
		"idle":                     {0, unreadyDelay},
		"a long request":           {4 * time.Second, 4 * time.Second},
		"exceeds the grace period": {time.Minute, grace},
		"a short request":          {time.Second, unreadyDelay},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				var drained, refused time.Duration
				gracefulStop{
					drainOwner: func() { drained = time.Since(start) },
					refuseNew:  func() { refused = time.Since(start) },
					busy:       func() bool { return time.Since(start) < c.work },
				}.run(grace)
				// After two failed readiness checks, one per second, callers use other nodes.
				const twoChecks = 2 * time.Second
				if drained < twoChecks/2 || drained >= refused || refused < twoChecks {
					t.Errorf("stopped being the owner after %v and refused requests after %v, want at least %v, then at least %v", drained, refused, twoChecks/2, twoChecks)
				}
				if end := time.Since(start); end < c.ends || end > c.ends+2*drainPollInterval {
					t.Errorf("stopped after %v, want %v to %v", end, c.ends, c.ends+2*drainPollInterval)
				}
			})
		})
	}
}

// A stopping node broke off requests in the last twentieth of its grace period, half a second where that is 10 s. They
// get all of it but for the time in which the node leaves.
func TestRequestsInFlightGetTheGracePeriod(t *testing.T) {
	for _, grace := range []time.Duration{time.Second, 6 * time.Second, 10 * time.Second, time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			gracefulStop{drainOwner: func() {}, refuseNew: func() {}, busy: func() bool { return true }}.run(drainLimit(grace))
			if left := grace - time.Since(start); left < leaveTimeout || left > leaveTimeout+exitTime {
				t.Errorf("grace period of %v: a request was broken off %v before its end, want between %v and %v", grace, left, leaveTimeout, leaveTimeout+exitTime)
			}
		})
	}
}
