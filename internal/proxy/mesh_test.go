package proxy_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"celerybank/internal/events"
	"celerybank/internal/inventory"
	"celerybank/internal/proxy"
	standin "celerybank/internal/standin/upstream"
	"celerybank/internal/testmesh"
	"celerybank/internal/verdict"
)

// warmUp is longer than the default slow start, which begins only once the configuration is in force.
const warmUp = 11 * time.Second

// hostLatency is the one-way latency between hosts.
const hostLatency = 1500 * time.Microsecond

// startMesh starts the given number of availability zones, each with two hosts that run warm upstreams
// of the service orders.
func startMesh(t *testing.T, zones int, work time.Duration) *testmesh.Mesh {
	m := testmesh.New(t)
	m.Net.SetLatency(func(from, to string) time.Duration {
		if from == to {
			return 0
		}
		return hostLatency
	})
	for z := 1; z <= zones; z++ {
		for h := 1; h <= 2; h++ {
			m.Start(z, h).StartUpstream(standin.Config{Service: "orders", Version: "v1", Slots: 10, Work: work})
		}
	}
	m.WaitForVersion(10*time.Second, m.Publish(testmesh.OrdersInventory(zones), inventory.Rules{}))
	time.Sleep(warmUp)
	return m
}

// traffic alternately sends lookups, which are idempotent, and orders without an idempotency key
// through every node until stop is closed.
type traffic struct {
	wg           sync.WaitGroup
	stop         chan struct{}
	failed, sent atomic.Int64
}

func startTraffic(t *testing.T, m *testmesh.Mesh, except *testmesh.Host) *traffic {
	tr := &traffic{stop: make(chan struct{})}
	for _, h := range m.Hosts {
		if h == except {
			continue
		}
		tr.wg.Go(func() { tr.run(t, h) })
	}
	return tr
}

func (tr *traffic) run(t *testing.T, h *testmesh.Host) {
	for i := 0; ; i++ {
		select {
		case <-tr.stop:
			return
		case <-time.After(7 * time.Millisecond):
		}
		tr.wg.Go(func() {
			tr.sent.Add(1)
			res := h.Get("orders", "/orders/1", 2*time.Second)
			if i%2 == 1 {
				res = h.Post("orders", "/orders", "", "{}", 2*time.Second)
			}
			if res.Verdict != verdict.Ran || res.Status != http.StatusOK {
				tr.failed.Add(1)
				t.Logf("through %s: got verdict %v, status %d, reason %s", h.IP, res.Verdict, res.Status, res.Reason)
			}
		})
	}
}

func (tr *traffic) finish(t *testing.T) {
	close(tr.stop)
	tr.wg.Wait()
	if tr.sent.Load() == 0 || tr.failed.Load() > 0 {
		t.Errorf("%d of %d requests failed, want none of at least one", tr.failed.Load(), tr.sent.Load())
	}
}

// An upstream and a node are stopped gracefully while requests run. No request may be aborted or fail.
func TestPlannedStopCutsNoCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := startMesh(t, 2, 30*time.Millisecond)
		defer m.Stop()
		stopped := m.Hosts[testmesh.IP(1, 2)]
		tr := startTraffic(t, m, stopped)
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		if unfinished := m.Hosts[testmesh.IP(2, 2)].StopUpstream(ctx); unfinished > 0 {
			t.Errorf("graceful stop of the upstream: got %d unfinished requests, want 0", unfinished)
		}
		time.Sleep(time.Second)
		if unfinished := stopped.StopNode(ctx); unfinished > 0 {
			t.Errorf("graceful stop of the node: got %d requests in flight, want 0", unfinished)
		}
		time.Sleep(time.Second)
		tr.finish(t)
	})
}

// All connections between two hosts drop packets without being closed. Lookups must succeed within
// their deadline, an order sent on such a connection must get a verdict other than not-run within a
// second, and later requests must succeed.
func TestSilentPeerConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := testmesh.New(t)
		defer m.Stop()
		for h := 1; h <= 3; h++ {
			m.Start(1, h)
		}
		for h := 2; h <= 3; h++ {
			m.Hosts[testmesh.IP(1, h)].StartUpstream(standin.Config{Service: "orders", Version: "v1", Slots: 10, Work: time.Millisecond})
		}
		m.WaitForVersion(10*time.Second, m.Publish(testmesh.OrdersInventory(1), inventory.Rules{}))
		time.Sleep(warmUp)
		entry := m.Hosts[testmesh.IP(1, 1)]
		for range 20 {
			entry.Get("orders", "/orders/1", time.Second)
		}
		m.Net.Blackhole(entry.IP, testmesh.IP(1, 2))
		var wg sync.WaitGroup
		for i := range 5 {
			wg.Go(func() {
				if res := entry.Get("orders", "/orders/1", 2*time.Second); res.Status != http.StatusOK {
					t.Errorf("lookup: got verdict %v, reason %s; want status 200", res.Verdict, res.Reason)
				}
				start := time.Now()
				res := entry.Post("orders", "/orders", "", fmt.Sprint(i), 2*time.Second)
				if res.Verdict == verdict.NotRun || time.Since(start) > time.Second {
					t.Errorf("order: got verdict %v, reason %s after %v; want ran or may-have-run within 1 s", res.Verdict, res.Reason, time.Since(start))
				}
			})
		}
		wg.Wait()
		if res := entry.Post("orders", "/orders", "", "{}", time.Second); res.Status != http.StatusOK {
			t.Errorf("order after the connection was replaced: got verdict %v, reason %s; want status 200", res.Verdict, res.Reason)
		}
	})
}

// An upstream writes malformed responses only. No caller may get one: lookups are served by the other upstream, and an order that
// reached the faulty one has the verdict that it may have run, with the reason.
func TestMalformedResponsesAreNotPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := startMesh(t, 1, time.Millisecond)
		defer m.Stop()
		entry, faulty := m.Hosts[testmesh.IP(1, 1)], m.Hosts[testmesh.IP(1, 2)]
		faulty.Upstream.SetFaults(standin.Faults{MalformedShare: 1})
		malformed := 0
		for i := range 40 {
			if res := entry.Get("orders", "/orders/1", time.Second); res.Verdict != verdict.Ran || res.Status != http.StatusOK || len(res.Body) <= 2 {
				t.Errorf("lookup: got verdict %v, status %d, body %q, reason %s; want the response of the other upstream", res.Verdict, res.Status, res.Body, res.Reason)
			}
			switch res := entry.Post("orders", "/orders", "", fmt.Sprint(i), time.Second); {
			case res.Verdict == verdict.MayHaveRun && res.Reason == proxy.ReasonInvalidResponse:
				malformed++
			case res.Verdict != verdict.Ran || res.Status != http.StatusOK || len(res.Body) <= 2:
				t.Errorf("order: got verdict %v, status %d, body %q, reason %s; want a response or %s", res.Verdict, res.Status, res.Body, res.Reason, proxy.ReasonInvalidResponse)
			}
			time.Sleep(time.Second) // the faulty upstream is avoided for a while
		}
		if malformed == 0 {
			t.Error("no order reached the faulty upstream")
		}
	})
}

// The idle connections to the upstream on the same host drop packets without being closed. A request on
// one of them must end at its deadline, and the next requests must not use the others.
func TestSilentUpstreamConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := testmesh.New(t)
		defer m.Stop()
		h := m.Start(1, 1)
		h.StartUpstream(standin.Config{Service: "orders", Version: "v1", Slots: 10, Work: 5 * time.Millisecond})
		m.WaitForVersion(10*time.Second, m.Publish(testmesh.OrdersInventory(1), inventory.Rules{}))
		time.Sleep(warmUp)
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() { h.Get("orders", "/orders/1", time.Second) })
		}
		wg.Wait()
		m.Net.Blackhole(h.IP, h.IP)
		if res := h.Post("orders", "/orders", "", "{}", time.Second); res.Verdict != verdict.MayHaveRun || res.Reason != proxy.ReasonDeadline {
			t.Errorf("on a silent connection: got verdict %v, reason %s; want %v, %s", res.Verdict, res.Reason, verdict.MayHaveRun, proxy.ReasonDeadline)
		}
		for range 8 {
			if res := h.Get("orders", "/orders/1", 100*time.Millisecond); res.Status != http.StatusOK {
				t.Errorf("lookup after it: got verdict %v, reason %s; want status 200", res.Verdict, res.Reason)
			}
		}
	})
}

// A caller repeats a request that crashes every upstream, through all nodes. It must be blocked after
// two crashes, and other requests of the route must not be blocked.
func TestCrashingRequestIsStoppedAfterTwoCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := startMesh(t, 3, 20*time.Millisecond)
		defer m.Stop()
		crashes, blocked, start := 0, 0, time.Now()
		var lookups sync.WaitGroup
		for i := range 24 {
			for _, other := range m.Hosts {
				for range 4 {
					lookups.Go(func() { other.Get("orders", "/orders/0", time.Second) })
				}
			}
			time.Sleep(5 * time.Millisecond)
			h := m.Hosts[testmesh.IP(i%3+1, i%2+1)]
			res := h.Node.Dispatch(context.Background(), &proxy.Request{Service: "orders", Method: http.MethodGet, URI: "/orders/9",
				Header: []proxy.Field{{Name: standin.CrashHeader, Value: "1"}}}, 2*time.Second)
			if res.Verdict != verdict.NotRun {
				crashes++
				t.Logf("attempt %d after %v: got verdict %v, reason %s", i, time.Since(start), res.Verdict, res.Reason)
			}
			if res := h.Get("orders", "/orders/0", time.Second); res.Reason == proxy.ReasonCrashing {
				blocked++
			}
			if crashes > 4 {
				break
			}
		}
		lookups.Wait()
		if crashes != 2 || blocked > 0 {
			t.Errorf("got %d crashes and %d other requests blocked, want 2 and 0", crashes, blocked)
		}
	})
}

// An upstream restarts while its announcement is still valid, so that only its closed connections show
// that it is cold. It must then get no more requests than a cold upstream.
func TestUnannouncedRestartIsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := testmesh.New(t)
		defer m.Stop()
		h := m.Start(1, 1)
		h.StartUpstream(standin.Config{Service: "orders", Version: "v1", Slots: 10, Work: 5 * time.Millisecond})
		m.WaitForVersion(10*time.Second, m.Publish(testmesh.OrdersInventory(1), inventory.Rules{}))
		time.Sleep(warmUp)
		// The deadline is shorter than the first backoff, so that only requests admitted at once
		// are served.
		const atOnce = 8 * time.Millisecond
		burst := func() int {
			var wg sync.WaitGroup
			var served atomic.Int64
			for range 10 {
				wg.Go(func() {
					if h.Get("orders", "/orders/1", atOnce).Status == http.StatusOK {
						served.Add(1)
					}
				})
			}
			wg.Wait()
			return int(served.Load())
		}
		if got := burst(); got < 8 {
			t.Fatalf("warm upstream: got %d of 10 concurrent requests served, want at least 8", got)
		}
		m.Net.CloseConns(h.IP, h.IP+":8000")
		burst()
		if got := burst(); got > 2 {
			t.Errorf("cold upstream: got %d of 10 concurrent requests served, want at most 2", got)
		}
		m.Eventually(time.Second, "an UpstreamCold event", func() bool {
			for _, e := range h.Events.Since(0) {
				if e.Code == events.UpstreamCold {
					return true
				}
			}
			return false
		})
	})
}
