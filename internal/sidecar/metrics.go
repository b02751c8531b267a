package sidecar

import (
	"bytes"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"celerybank/internal/ingress"
	"celerybank/internal/membudget"
	"celerybank/internal/proxy"
	"celerybank/internal/verdict"
)

// callMetrics exports counts and latencies of callers' requests, and gauges of the node's state.
type callMetrics struct {
	set      *metrics.Set
	latency  *metrics.Histogram
	counters sync.Map // outcome to *metrics.Counter
	node     *Node
}

// outcome is the verdict and reason of a response, by which responses are counted.
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
	m.set.NewGauge("celerybank_demand_seconds", func() float64 { return n.gate.DemandWait().Seconds() })
	m.set.NewGauge("celerybank_routes_limited", func() float64 { return float64(n.owner.LimitedRoutes()) })
	m.set.NewGauge("celerybank_runs_refused_total", func() float64 { return float64(n.owner.DependencyFull()) })
	m.set.NewGauge("celerybank_requests_displaced_total", func() float64 { return float64(n.owner.Displaced()) })
	m.set.NewGauge("celerybank_slots_given_up", func() float64 { return float64(n.owner.GivenUp()) })
	m.set.NewGauge("celerybank_store_calls_total", func() float64 { return float64(n.follower.StoreCalls()) })
	m.set.NewGauge("celerybank_members", func() float64 { return float64(n.aliveMembers()) })
	m.set.NewGauge("celerybank_orders_position", func() float64 { return float64(n.replica.View().Next) })
	m.set.NewGauge("celerybank_orders_era", func() float64 { return float64(n.replica.View().Era) })
	m.set.NewGauge("celerybank_workspaces", func() float64 { return float64(n.workspaceCount()) })
	m.set.NewGauge("celerybank_orders_confirmed_age_seconds", n.confirmationAge)
	if n.usage != nil {
		for name, value := range n.usage.reporter.Metrics() {
			m.set.NewGauge(name, value)
		}
	}
	m.addLimits(n)
	return m
}

// addLimits adds the gauges of what the limits of memory and connections hold and what gave way to them.
func (m *callMetrics) addLimits(n *Node) {
	gauge := func(name string, f func() int64) { m.set.NewGauge(name, func() float64 { return float64(f()) }) }
	gauge("celerybank_memory_limit_bytes", n.memory.all.Limit)
	for part, b := range map[string]*membudget.Budget{"all": n.memory.all, "requests": n.memory.requests, "read": n.memory.read,
		"frames": n.memory.frames, "responses": n.memory.responses} {
		gauge(`celerybank_memory_used_bytes{part="`+part+`"}`, b.Used)
		gauge(`celerybank_memory_yielded_total{part="`+part+`"}`, b.Yielded)
	}
	gauge("celerybank_caller_connections", func() int64 { return int64(n.ingress.Connections()) })
	for state, count := range map[string]func(ingress.Counts) int64{"idle": func(c ingress.Counts) int64 { return c.ClosedIdle },
		"slow": func(c ingress.Counts) int64 { return c.ClosedSlow }, "new": func(c ingress.Counts) int64 { return c.RefusedConnections }} {
		gauge(`celerybank_caller_connections_closed_total{state="`+state+`"}`, func() int64 { return count(n.ingress.Counts()) })
	}
	gauge("celerybank_busy_refusals_total", func() int64 { return n.ingress.Counts().RefusedRequests })
}

// observe records the response to one request. Reasons are a fixed set, which bounds the number of counters.
func (m *callMetrics) observe(res *proxy.Response, took time.Duration) {
	m.latency.Update(took.Seconds())
	key := outcome{res.Verdict, res.Reason}
	if c, ok := m.counters.Load(key); ok {
		c.(*metrics.Counter).Inc()
		return
	}
	c := m.set.GetOrCreateCounter(`celerybank_calls_total{verdict="` + res.Verdict.String() + `",reason="` + string(res.Reason) + `"}`)
	m.counters.Store(key, c)
	c.Inc()
}

// serve writes all metrics in the Prometheus text format.
func (m *callMetrics) serve(c *fasthttp.RequestCtx) {
	var b bytes.Buffer
	metrics.WriteProcessMetrics(&b)
	m.set.WritePrometheus(&b)
	m.node.members.WriteMetrics(&b)
	m.node.usage.writeMetrics(&b)
	m.node.sentBytes.WriteMetrics(&b)
	c.SetContentType("text/plain")
	c.SetBody(b.Bytes())
}
