package node_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"celerybank/internal/inventory"
	standin "celerybank/internal/standin/upstream"
	"celerybank/internal/testmesh"
	"celerybank/internal/verdict"
)

// An upstream that announces itself before its service is published must warm up within the slow start of the
// service, not within the default of 10 s.
func TestSlowStartFollowsLaterPublication(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := testmesh.New(t)
		defer m.Stop()
		h := m.Start(1, 1)
		const slots = 10
		h.StartUpstream(standin.Config{Service: "orders", Version: "v1", Slots: slots, Work: 200 * time.Millisecond})
		time.Sleep(time.Second)
		m.WaitForVersion(10*time.Second, m.Publish(testmesh.OrdersInventory(1), inventory.Rules{}))
		time.Sleep(time.Second) // the slow start of testmesh.OrdersInventory
		var wg sync.WaitGroup
		for i := range slots {
			wg.Go(func() {
				if res := h.Get("orders", fmt.Sprintf("/orders/%d", i), 300*time.Millisecond); res.Verdict != verdict.Ran {
					t.Errorf("request %d: got verdict %v, reason %s; want %v", i, res.Verdict, res.Reason, verdict.Ran)
				}
			})
		}
		wg.Wait()
	})
}
