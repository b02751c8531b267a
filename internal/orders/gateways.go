package orders

import (
	"github.com/cespare/xxhash/v2"

	"celerybank/internal/gossip"
)

// crossesZones reports whether this node exchanges with another zone at a turn: each time if it is a gateway of its zone
// or the store is unreachable, and else every crossZonePeriod times while no reader is known to be working.
func (f *Follower) crossesZones(alive []gossip.Member, turn int) bool {
	if f.outage.ongoing() || f.isGateway(alive) {
		return true
	}
	return f.readerAge() > readerOverdue.Milliseconds() && turn%crossZonePeriod == 0
}

// isGateway reports whether this node is one of the gatewaysPerZone nodes of its zone that exchange with other zones: the
// highest ranked ones by rendezvous hashing, without those that did not respond to this node.
func (f *Follower) isGateway(alive []gossip.Member) bool {
	self := f.members.Self()
	mine, above := gatewayRank(self.Addr), 0
	for i := range alive {
		m := &alive[i]
		if m.Zone == self.Zone && m.Addr != self.Addr && gatewayRank(m.Addr) > mine && !f.contacts.failed(m.Addr) {
			if above++; above == gatewaysPerZone {
				return false
			}
		}
	}
	return true
}

// gatewayRank returns the rendezvous hash of a node. All nodes must use the same salt, and not that of the readers, so that
// gateways and readers are rarely the same.
func gatewayRank(addr string) uint64 { return xxhash.Sum64String("exchange/" + addr) }
