package sidecar

import (
	"testing"
	"testing/synctest"
	"time"
)

// Pattern: hosts are stopped and started in turn. The upstream of a stopped node can be reached
// through this node alone, so it stays in reach while callers may still come, and nothing is cut.
func TestPlannedStopKeepsItsUpstreamInReach(t *testing.T) {
	const grace = 6 * time.Second
	for name, c := range map[string]struct{ work, ends time.Duration }{
		"idle":                    {0, readyMisses},
		"a long request":          {4 * time.Second, 4 * time.Second},
		"work beyond the grace":   {time.Minute, grace},
		"ends while callers come": {time.Second, readyMisses},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				var left, took time.Duration
				plannedStop{
					leaveOwner:  func() { left = time.Since(start) },
					takeNothing: func() { took = time.Since(start) },
					busy:        func() bool { return time.Since(start) < c.work },
				}.run(grace)
				// Two checks of readiness, one a second, send callers elsewhere.
				const twoChecks = 2 * time.Second
				if left < twoChecks/2 || left >= took || took < twoChecks {
					t.Errorf("left as owner after %v, took nothing after %v", left, took)
				}
				if end := time.Since(start); end < c.ends || end > c.ends+2*drainPoll {
					t.Errorf("ended after %v, want %v", end, c.ends)
				}
			})
		})
	}
}
