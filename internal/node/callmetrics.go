package node

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"celerybank/internal/proxy"
	"celerybank/internal/verdict"
)

// callMetrics exports counts of callers' requests and the state of the node's gate.
type callMetrics struct {
	set      *metrics.Set
	counters sync.Map // outcome to *metrics.Counter
}

// outcome is the verdict and reason of a response, by which responses are counted.
type outcome struct {
	verdict verdict.Verdict
	reason  proxy.Reason
}

func newCallMetrics(n *Node) *callMetrics {
	m := &callMetrics{set: metrics.NewSet()}
	gauge := func(name string, value func(inUse, limit int) int) {
		m.set.NewGauge(name, func() float64 {
			inUse, limit, _ := n.gate.Load()
			return float64(value(inUse, limit))
		})
	}
	gauge("celerybank_slots_in_use", func(inUse, _ int) int { return inUse })
	gauge("celerybank_slots_allowed", func(_, limit int) int { return limit })
	m.set.NewGauge("celerybank_calls_in_flight", func() float64 { return float64(n.handler.Inflight()) })
	return m
}

// count counts the response to one request. Reasons are a fixed set, which bounds the number of counters.
func (m *callMetrics) count(res *proxy.Response) {
	key := outcome{res.Verdict, res.Reason}
	if c, ok := m.counters.Load(key); ok {
		c.(*metrics.Counter).Inc()
		return
	}
	c := m.set.GetOrCreateCounter(`celerybank_calls_total{verdict="` + res.Verdict.String() + `",reason="` + string(res.Reason) + `"}`)
	m.counters.Store(key, c)
	c.Inc()
}
