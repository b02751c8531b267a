package rollout

import (
	"testing"
	"time"

	"celerybank/internal/mesh"
)

// In a service with few requests a version that failed each one went on getting its share until the old version had served
// enough for a comparison: callers lost up to eight requests where three tell as much.
func TestVersionThatFailsEachRequestIsPaused(t *testing.T) {
	now := time.Unix(1e9, 0)
	situationOf := func(share int, old, next Counts) *situation {
		all := func(c Counts) *[windows]Counts { return &[windows]Counts{c, c, c, c} }
		return &situation{rollout: mesh.Rollout{Share: share, Start: now, By: now.Add(time.Minute)}, now: now.Add(10 * time.Second), changed: now,
			old: tally{"show": all(old)}, new: tally{"show": all(next)}, upstreams: 3, slots: 30, oldSlots: 30}
	}
	for _, c := range []struct {
		name      string
		share     int
		old, next Counts
		want      bool
	}{
		{"three of three failed", 333, Counts{Total: 8}, Counts{Total: 3, Failed: 3}, true},
		{"two of two failed", 333, Counts{Total: 8}, Counts{Total: 2, Failed: 2}, false},
		{"three of four failed", 333, Counts{Total: 8}, Counts{Total: 4, Failed: 3}, false},
		{"the old version fails as well", 333, Counts{Total: 8, Failed: 7}, Counts{Total: 3, Failed: 3}, false},
		{"paused already", 0, Counts{Total: 8}, Counts{Total: 3, Failed: 3}, false},
	} {
		s := situationOf(c.share, c.old, c.next)
		f := assess(s.old, s.new)
		if f.bad {
			t.Fatalf("%s: found bad, %s; want a finding that is inconclusive at most", c.name, f.text)
		}
		a := s.nextAction(f)
		if paused := a.status == mesh.RolloutRunning && a.share == 0; paused != c.want {
			t.Errorf("%s: got action %+v, want a pause: %v", c.name, a, c.want)
		}
	}
}
