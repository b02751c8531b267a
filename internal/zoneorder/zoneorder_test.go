package zoneorder_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"celerybank/internal/configlog"
	"celerybank/internal/inventory"
	"celerybank/internal/operator"
	standin "celerybank/internal/standin/upstream"
	"celerybank/internal/testmesh"
	"celerybank/internal/verdict"
)

const (
	zones   = 3
	perZone = 2
	// evacuationLimit is the time after which a zone that was taken out receives no new
	// requests.
	evacuationLimit = time.Second
)

// callers sends a request to every node every 10 ms until stop, and counts those that did
// not run.
type callers struct {
	m      *testmesh.Mesh
	done   chan struct{}
	wg     sync.WaitGroup
	mu     sync.Mutex
	failed int
}

// startCallers starts a caller for every node of m.
func startCallers(m *testmesh.Mesh) *callers {
	c := &callers{m: m, done: make(chan struct{})}
	for _, h := range m.Hosts {
		c.wg.Go(func() { c.send(h) })
	}
	return c
}

func (c *callers) send(h *testmesh.Host) {
	for {
		select {
		case <-c.done:
			return
		case <-time.After(10 * time.Millisecond):
		}
		if res := h.Get("orders", "/orders", time.Second); res.Verdict != verdict.Ran {
			c.mu.Lock()
			c.failed++
			c.mu.Unlock()
		}
	}
}

func (c *callers) stop() {
	close(c.done)
	c.wg.Wait()
}

// withMesh runs test in virtual time with a mesh of zones*perZone nodes under load, whose
// configuration is in force and whose upstreams are warm.
func withMesh(t *testing.T, test func(m *testmesh.Mesh, c *callers)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		m := testmesh.New(t)
		defer m.Stop()
		m.Net.SetLatency(func(string, string) time.Duration { return 500 * time.Microsecond })
		for z := 1; z <= zones; z++ {
			for h := 1; h <= perZone; h++ {
				m.Start(z, h).StartUpstream(standin.Config{Service: "orders", Version: "v1", Slots: 10, Work: 5 * time.Millisecond})
			}
		}
		m.WaitForVersion(10*time.Second, m.Publish(testmesh.OrdersInventory(zones), inventory.Rules{}))
		time.Sleep(10 * time.Second)
		c := startCallers(m)
		defer c.stop()
		time.Sleep(time.Second)
		test(m, c)
	})
}

// served returns the number of requests that the upstreams of zone z have run.
func served(m *testmesh.Mesh, z int) (n int64) {
	for h := 1; h <= perZone; h++ {
		n += m.Hosts[testmesh.IP(z, h)].Report().Total
	}
	return n
}

// servedWithin returns the number of requests that zone z runs within d.
func servedWithin(m *testmesh.Mesh, z int, d time.Duration) int64 {
	before := served(m, z)
	time.Sleep(d)
	return served(m, z) - before
}

// lastRequest observes zone z for limit and returns when it last ran a request.
func lastRequest(m *testmesh.Mesh, z int, limit time.Duration) (last time.Duration) {
	before := served(m, z)
	for start := time.Now(); time.Since(start) < limit; time.Sleep(time.Millisecond) {
		if now := served(m, z); now != before {
			before, last = now, time.Since(start)
		}
	}
	return last
}

func host(m *testmesh.Mesh, z, h int) *testmesh.Host { return m.Hosts[testmesh.IP(z, h)] }

// zoneOrder returns the recorded order for zone 1 as a node of zone 2 has it.
func zoneOrder(m *testmesh.Mesh) (out bool, version int64) {
	order := host(m, 2, 1).Node.Store().State().ZonesOut[testmesh.ZoneName(1)]
	return order.Out, order.Version
}

func TestZoneOutAndInDuringAnOutage(t *testing.T) {
	withMesh(t, func(m *testmesh.Mesh, c *callers) {
		m.Log.SetFaults(configlog.Faults{Outage: true})
		if _, err := host(m, 3, 2).Node.OrderZone(testmesh.ZoneName(1), true); err != nil {
			t.Fatal(err)
		}
		t.Logf("last request in the zone %v after the order", lastRequest(m, 1, evacuationLimit))
		if n := servedWithin(m, 1, 10*time.Second); n > 0 {
			t.Errorf("zone out: got %d requests in 10 s, want 0", n)
		}
		if _, err := host(m, 2, 2).Node.OrderZone(testmesh.ZoneName(1), false); err != nil {
			t.Fatal(err)
		}
		first, normal := servedWithin(m, 1, time.Second), servedWithin(m, 2, time.Second)
		if first == 0 || 2*first > normal {
			t.Errorf("zone in, first second: got %d requests, want more than 0 and at most half of the %d of another zone", first, normal)
		}
		time.Sleep(12 * time.Second)
		if later := servedWithin(m, 1, time.Second); 3*later < 2*servedWithin(m, 2, time.Second) {
			t.Errorf("zone in, after warm-up: got %d requests per second, want at least two thirds of another zone's", later)
		}
		if _, err := host(m, 2, 2).Node.OrderZone(testmesh.ZoneName(1), true); err != nil {
			t.Fatal(err)
		}
		time.Sleep(evacuationLimit)
		m.Log.SetFaults(configlog.Faults{})
		m.Eventually(5*time.Second, "the order is recorded", func() bool { out, _ := zoneOrder(m); return out })
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.failed > 0 {
			t.Errorf("got %d failed requests, want 0", c.failed)
		}
	})
}

// A recorded order that is newer than one issued at a node takes effect on every node, also
// on those that could not read the log when theirs was issued.
// An operator's order was accepted while the log was away, and the node that accepted it is killed at once. The order must
// take effect everywhere.
func TestAcceptedOrderOutlivesItsNode(t *testing.T) {
	withMesh(t, func(m *testmesh.Mesh, _ *callers) {
		m.Log.SetFaults(configlog.Faults{Outage: true})
		accepting := host(m, 2, 1)
		if _, err := accepting.Node.OrderZone(testmesh.ZoneName(1), true); err != nil {
			t.Fatal(err)
		}
		accepting.Kill()
		time.Sleep(evacuationLimit)
		if n := servedWithin(m, 1, time.Second); n > 0 {
			t.Errorf("the zone ran %d requests after it was taken out, want 0", n)
		}
		m.Log.SetFaults(configlog.Faults{})
	})
}

func TestNewerRecordedOrderWins(t *testing.T) {
	withMesh(t, func(m *testmesh.Mesh, c *callers) {
		client := operator.NewLogClient(m.Log, "test")
		m.Net.Partition(testmesh.PartitionZone(3))
		time.Sleep(3 * time.Second)
		// The nodes of zone 3 cannot read the log, so the order issued there is based on an
		// older record.
		zone3 := host(m, 3, 1).Node
		if _, err := zone3.OrderZone(testmesh.ZoneName(1), true); err != nil {
			t.Fatal(err)
		}
		for _, out := range []bool{true, false} {
			if _, err := client.OrderZone(context.Background(), testmesh.ZoneName(1), out); err != nil {
				t.Fatal(err)
			}
		}
		m.Net.Partition(nil)
		time.Sleep(10 * time.Second)
		if out, _ := zoneOrder(m); out {
			t.Error("zone is out although the newest record took it in")
		}
		if servedWithin(m, 1, time.Second) == 0 {
			t.Error("zone receives no requests although the newest record took it in")
		}
	})
}

// An order that takes out the last serving zone takes effect, and its receipt names the
// services that are left without upstreams.
func TestLastZoneOut(t *testing.T) {
	withMesh(t, func(m *testmesh.Mesh, c *callers) {
		n := host(m, 1, 1).Node
		for z := 1; z <= zones; z++ {
			r, err := n.OrderZone(testmesh.ZoneName(z), true)
			if err != nil {
				t.Fatal(err)
			}
			if isLast := z == zones; isLast != (len(r.Unserved) == 1) {
				t.Errorf("zone %d out: got unserved %v, want one service only for the last zone", z, r.Unserved)
			}
		}
		time.Sleep(evacuationLimit)
		if n := servedWithin(m, 3, 3*time.Second); n > 0 {
			t.Errorf("zone out: got %d requests in 3 s, want 0", n)
		}
		if res := host(m, 2, 1).Get("orders", "/orders", time.Second); res.Verdict != verdict.NotRun {
			t.Errorf("request with all zones out: got %v %s, want %v", res.Verdict, res.Reason, verdict.NotRun)
		}
	})
}
