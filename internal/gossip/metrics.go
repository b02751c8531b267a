package gossip

import (
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// counters are the metrics of one node.
type counters struct {
	set *metrics.Set

	joined, failed, left, suspected, refuted, evicted *metrics.Counter
	helloRead, helloAppended                          *metrics.Counter
	// Bytes sent, by purpose.
	piggybackSent, pushSent, repairSent *metrics.Counter
}

func newCounters() *counters {
	s := metrics.NewSet()
	return &counters{set: s,
		joined:        s.NewCounter("celerybank_member_joined_total"),
		failed:        s.NewCounter("celerybank_member_failed_total"),
		left:          s.NewCounter("celerybank_member_left_total"),
		suspected:     s.NewCounter("celerybank_member_suspected_total"),
		refuted:       s.NewCounter("celerybank_member_refuted_total"),
		evicted:       s.NewCounter("celerybank_fact_evicted_total"),
		helloRead:     s.NewCounter("celerybank_hello_read_total"),
		helloAppended: s.NewCounter("celerybank_hello_appended_total"),
		piggybackSent: s.NewCounter(`celerybank_gossip_bytes_total{purpose="piggyback"}`),
		pushSent:      s.NewCounter(`celerybank_gossip_bytes_total{purpose="push"}`),
		repairSent:    s.NewCounter(`celerybank_gossip_bytes_total{purpose="repair"}`),
	}
}

func (c *counters) watch(m *Members) {
	c.set.NewGauge("celerybank_members_alive", func() float64 { return float64(m.AliveCount()) })
	c.set.NewGauge("celerybank_members_dead", func() float64 {
		m.mu.Lock()
		defer m.mu.Unlock()
		n := 0
		for _, z := range m.zones {
			n += z.dead
		}
		return float64(n)
	})
	c.set.NewGauge("celerybank_facts", func() float64 {
		m.mu.Lock()
		defer m.mu.Unlock()
		return float64(len(m.facts.byKey))
	})
}

// WriteMetrics writes the metrics in the Prometheus text format.
func (m *Members) WriteMetrics(w io.Writer) { m.metrics.set.WritePrometheus(w) }
