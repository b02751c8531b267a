package claims

import (
	"github.com/VictoriaMetrics/metrics"
)

// counters are the metrics of one node's claims.
type counters struct {
	set              *metrics.Set
	granted, refused *metrics.Counter
}

func newCounters(t *table) *counters {
	set := metrics.NewSet()
	set.NewGauge("celerybank_claims_held", func() float64 { return float64(t.held.Load()) })
	set.NewGauge(`celerybank_claim_seats{active="true"}`, func() float64 { return float64(t.countSeats(true)) })
	set.NewGauge(`celerybank_claim_seats{active="false"}`, func() float64 { return float64(t.countSeats(false)) })
	return &counters{set: set, granted: set.NewCounter(`celerybank_claims_total{outcome="granted"}`),
		refused: set.NewCounter(`celerybank_claims_total{outcome="refused"}`)}
}

// Metrics returns the metrics of the node's claims.
func (c *Claimant) Metrics() *metrics.Set { return c.metrics.set }

// countSeats returns the number of seats that are active, or inactive.
func (t *table) countSeats(active bool) int {
	n := 0
	for i := range t.shards {
		sh := &t.shards[i]
		sh.mu.Lock()
		for _, s := range sh.seats {
			if s.active == active {
				n++
			}
		}
		sh.mu.Unlock()
	}
	return n
}

// activeGroups returns those of groups in which this node's seat is active under the given
// record.
func (t *table) activeGroups(groups []GroupRecord) []int {
	var out []int
	for _, g := range groups {
		sh := t.shard(g.Group)
		sh.mu.Lock()
		if s := sh.seats[g.Group]; s != nil && s.active && s.record == g.Record {
			out = append(out, g.Group)
		}
		sh.mu.Unlock()
	}
	return out
}
