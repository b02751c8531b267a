package sidecar

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"celerybank/internal/duration"
	"celerybank/platform/counterpart"
)

// BenchmarkConfirmedDeparture measures the time from the notice that an upstream ends to its confirmation.
func BenchmarkConfirmedDeparture(b *testing.B) {
	m := startMesh(b, "a", "b", "b", "c")
	m.config(1, "/one/")
	for _, h := range m.hosts {
		eventually(b, "all nodes are members", func() bool { return h.node.aliveMembers() == len(m.hosts) })
	}
	h := m.hosts[0]
	for i := range b.N {
		b.StopTimer()
		h.instance = fmt.Sprint("i-", i)
		h.announce(false)
		b.StartTimer()
		if err := counterpart.AnnounceEnd(context.Background(), h.addr(counterpart.ControlPort), h.instance, 1); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkFleetRestart kills all nodes, starts them again and measures what that costs until all upstreams serve: the time to the
// first response and to the listing of the last upstream, and the health checks of the first two seconds for each upstream. Each
// upstream announces itself at the interval, the first at the start of the nodes and the others spread over the interval.
func BenchmarkFleetRestart(b *testing.B) {
	for _, interval := range []time.Duration{1500 * time.Millisecond, 4 * time.Second} {
		b.Run("announced every "+interval.String(), func(b *testing.B) {
			m := startMesh(b, "a", "a", "b", "b", "c", "c")
			m.config(1, "/one/")
			m.settle()
			first, last, checks := time.Duration(0), time.Duration(0), int64(0)
			for range b.N {
				b.StopTimer()
				m.each((*host).kill)
				before := m.healthChecks()
				start := time.Now()
				m.each(m.startNode)
				ctx, stop := context.WithCancel(context.Background())
				var tasks sync.WaitGroup
				for i, h := range m.hosts {
					tasks.Go(func() {
						for wait := interval * time.Duration(i) / time.Duration(len(m.hosts)); duration.Sleep(ctx, wait); wait = interval {
							for ctx.Err() == nil && !h.announce(false) {
								time.Sleep(time.Millisecond) // the node starts
							}
						}
					})
				}
				b.StartTimer()
				eventually(b, "a request is served", func() bool { status, _ := m.hosts[0].get("/one/x"); return status == 200 })
				first += time.Since(start)
				for _, h := range m.hosts {
					eventually(b, "the upstream is listed", func() bool { return h.node.members.Self().Upstream.Instance != "" })
				}
				last += time.Since(start)
				b.StopTimer()
				time.Sleep(2*time.Second - min(2*time.Second, time.Since(start)))
				checks += m.healthChecks() - before
				stop()
				tasks.Wait()
			}
			b.ReportMetric(float64(first.Milliseconds())/float64(b.N), "first-ms/op")
			b.ReportMetric(float64(last.Milliseconds())/float64(b.N), "last-ms/op")
			b.ReportMetric(float64(checks)/float64(b.N*len(m.hosts)), "checks/upstream")
		})
	}
}

// healthChecks returns the number of health checks that all upstreams received.
func (m *mesh) healthChecks() (n int64) {
	for _, h := range m.hosts {
		n += h.checks.Load()
	}
	return n
}
