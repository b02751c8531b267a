package gossip

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestSpreadTimes guards against facts and departures that reach the other zones later than when every node pushed to
// other zones: at 84 hosts in 3 zones they then took 213 to 256 ms on average and 420 to 620 ms at most.
func TestSpreadTimes(t *testing.T) {
	withCluster(t, 84, 3, func(c *cluster) {
		var facts []time.Duration
		for n := range 40 {
			key := fmt.Sprint(n)
			c.members[address(1+n%3, 1+n/3)].SetFact(Fact{Kind: "k", Key: key, Seq: 1, Expires: time.Now().Add(time.Hour)})
			facts = append(facts, c.eventually(5*time.Second, "all members have the fact", func() bool {
				for _, i := range c.running() {
					i.mu.Lock()
					_, ok := i.facts.byKey[factKey{"k", key}]
					i.mu.Unlock()
					if !ok {
						return false
					}
				}
				return true
			}))
			time.Sleep(5 * time.Second)
		}
		var changes []time.Duration
		for n := range 40 {
			addr := address(1+n%3, 1+n/3)
			c.members[addr].Update(func(m *Member) { m.Upstream.Since++ })
			changes = append(changes, c.eventually(5*time.Second, "all members have the change", c.converged))
			time.Sleep(5 * time.Second)
		}
		for _, m := range []struct {
			what      string
			times     []time.Duration
			mean, max time.Duration
		}{{"facts", facts, maxMeanSpread, maxSpread}, {"changes", changes, maxMeanSpread, maxSpread}} {
			var sum time.Duration
			for _, d := range m.times {
				sum += d
			}
			mean := sum / time.Duration(len(m.times))
			t.Logf("%s: mean %v, longest %v", m.what, mean, slices.Max(m.times))
			if mean > m.mean || slices.Max(m.times) > m.max {
				t.Errorf("%s take %v on average and %v at most, limits %v and %v", m.what, mean, slices.Max(m.times), m.mean, m.max)
			}
		}
	})
}

const (
	maxMeanSpread = 230 * time.Millisecond
	maxSpread     = 1000 * time.Millisecond
)
