package testmesh

import (
	"testing"
	"testing/synctest"
	"time"

	"celerybank/internal/inventory"
	standin "celerybank/internal/standin/upstream"
	"celerybank/internal/verdict"
)

// A published service with an announced upstream on each host must be reachable through every
// node, for idempotent and non-idempotent requests.
func TestRequestsServedThroughEveryNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New(t)
		defer m.Stop()
		for z := 1; z <= 3; z++ {
			for h := 1; h <= 2; h++ {
				m.Start(z, h).StartUpstream(standin.Config{Service: "orders", Version: "v1", Slots: 10, Work: 2 * time.Millisecond})
			}
		}
		m.WaitForVersion(10*time.Second, m.Publish(OrdersInventory(3), inventory.Rules{}))
		time.Sleep(5 * time.Second)
		for ip, h := range m.Hosts {
			if res := h.Get("orders", "/orders/7", time.Second); res.Verdict != verdict.Ran || res.Status != 200 {
				t.Errorf("%s: GET: got %v, status %d, reason %q; want %v, status 200", ip, res.Verdict, res.Status, res.Reason, verdict.Ran)
			}
			if res := h.Post("orders", "/orders", "key-"+ip, "{}", time.Second); res.Verdict != verdict.Ran || res.Status != 200 {
				t.Errorf("%s: POST: got %v, status %d, reason %q; want %v, status 200", ip, res.Verdict, res.Status, res.Reason, verdict.Ran)
			}
		}
	})
}
