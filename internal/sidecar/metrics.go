package sidecar

import (
	"bytes"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"celerybank/internal/proxy"
	"celerybank/internal/verdict"
)

// callMetrics counts the requests of this node's callers and shows its gate.
type callMetrics struct {
	set      *metrics.Set
	latency  *metrics.Histogram
	counters sync.Map // outcome to *metrics.Counter
	node     *Node
}

// outcome is what a caller was told.
type outcome struct {
	verdict verdict.Verdict
	reason  proxy.Reason
}

func newCallMetrics(n *Node) *callMetrics {
	m := &callMetrics{set: metrics.NewSet(), node: n}
	m.latency = m.set.NewHistogram("celerybank_call_seconds")
	m.set.NewGauge("celerybank_calls_in_flight", func() float64 { return float64(n.ingress.Inflight()) })
	m.set.NewGauge("celerybank_slots_in_use", func() float64 { return float64(n.gate.Load().InUse) })
	m.set.NewGauge("celerybank_slots_allowed", func() float64 { return float64(n.gate.Load().Limit) })
	m.set.NewGauge("celerybank_store_calls_total", func() float64 { return float64(n.follower.Calls()) })
	m.set.NewGauge("celerybank_members", func() float64 { return float64(n.living()) })
	m.set.NewGauge("celerybank_orders_position", func() float64 { return float64(n.board.View().Next) })
	return m
}

// observe takes in the answer to one request; reasons are a fixed set, so the counters are few.
func (m *callMetrics) observe(a *proxy.Response, took time.Duration) {
	m.latency.Update(took.Seconds())
	k := outcome{a.Verdict, a.Reason}
	if c, ok := m.counters.Load(k); ok {
		c.(*metrics.Counter).Inc()
		return
	}
	c := m.set.GetOrCreateCounter(`celerybank_calls_total{verdict="` + a.Verdict.String() + `",reason="` + string(a.Reason) + `"}`)
	m.counters.Store(k, c)
	c.Inc()
}

// serve answers a scrape.
func (m *callMetrics) serve(c *fasthttp.RequestCtx) {
	var b bytes.Buffer
	metrics.WriteProcessMetrics(&b)
	m.set.WritePrometheus(&b)
	m.node.members.WriteMetrics(&b)
	c.SetContentType("text/plain")
	c.SetBody(b.Bytes())
}
