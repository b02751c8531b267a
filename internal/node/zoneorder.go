package node

import (
	"encoding/json"

	"github.com/gofiber/fiber/v3"

	"celerybank/internal/configlog"
	"celerybank/internal/events"
	"celerybank/internal/mesh"
	"celerybank/internal/zoneorder"
)

// zones applies the operators' orders that take availability zones out and in.
type zones struct{ orders *zoneorder.Registry }

func (n *Node) wireZones(log configlog.Log) {
	n.zones.orders = zoneorder.New(n.members, n.store, n.router, log, n.events)
	n.members.SubscribeFacts(n.zones.orders.Apply)
	n.zones.orders.Subscribe(func() { n.updateRefusal(n.store.State()) })
	n.store.Subscribe(func(*mesh.State) { n.zones.orders.Report() })
}

// OrderZone issues an order that takes a zone out or brings it in; it works also while the log is unavailable.
func (n *Node) OrderZone(zone string, out bool) (zoneorder.Receipt, error) {
	return n.zones.orders.Issue(zone, out)
}

func (n *Node) handleZone(c fiber.Ctx) error {
	var order zoneorder.Request
	if err := json.Unmarshal(c.Body(), &order); err != nil {
		n.events.Emit(events.RequestMalformed, events.Fields{"caller": c.IP(), "reason": "zone: " + err.Error()})
		return c.Status(fiber.StatusBadRequest).SendString(err.Error() + "\n")
	}
	receipt, err := n.OrderZone(order.Zone, order.Out)
	if err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(err.Error() + "\n")
	}
	return c.JSON(receipt)
}
