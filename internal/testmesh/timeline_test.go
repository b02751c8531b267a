package testmesh

import (
	"testing"
	"testing/synctest"
	"time"

	"celerybank/internal/inventory"
)

// Frames between nodes carry the sender's clock reading, so that a node whose clock is behind
// timestamps the effects of a message later than its sending.
func TestFramesCarryClockReadings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New(t)
		defer m.Stop()
		ahead, behind := m.Start(1, 1), m.Start(2, 1)
		m.WaitForVersion(10*time.Second, m.Publish(OrdersInventory(2), inventory.Rules{}))
		lead := time.Now().Add(30 * time.Second).UnixNano()
		ahead.Events.Clock().Observe(lead)
		m.Eventually(10*time.Second, "the clock that is behind advances past the other node's reading", func() bool {
			return behind.Events.Clock().Now() > lead
		})
	})
}
