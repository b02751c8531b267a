package gossip

import (
	"context"
	"slices"
	"time"

	"celerybank/internal/duration"
)

// Bytes between zones cost more than those inside one, so in calm only the gateways of a zone exchange with other
// zones: the first gatewaysPerZone of its live members by rendezvous hashing. All other members probe, push and repair
// inside their zone. What a member originates itself it sends to the other zones too, so that it reaches them as early
// as its own.
const (
	// gatewaysPerZone is the number of gateways of a zone. With three, the exchange goes on while one is dead and
	// another restarts. More cost bytes in proportion.
	gatewaysPerZone = 3
	// gatewaysInterval is the time for which the gateways are kept while members change.
	gatewaysInterval = time.Second
	// minProbedInside is the number of live members from which a zone probes its members itself. Those of a smaller
	// zone are probed from all zones, since two or three hosts may be cut off from each other.
	minProbedInside = 4
	// alarmSuspects is the number of suspected members of another zone from which all members probe that zone, not
	// only the gateways: it may be cut off, and then all nodes have to find all of its members dead. One suspect is
	// a dead host, which its own zone finds.
	alarmSuspects = 2
	// alarmTime is how long that lasts after the last suspicion. It exceeds the shortest time from a suspicion to a
	// death.
	alarmTime = 10 * time.Second
)

// gateways are the gateways of all zones as this node sees them, guarded by Members.mu.
type gateways struct {
	byZone map[string][]*entry
	// self is set if this node is a gateway.
	self bool
	// root is the digest for which they were chosen, at chosen.
	root   uint64
	chosen time.Time
	// next is the position in the rotation over the gateways of other zones, by zone.
	next map[string]int
	// probed is the position in the rotation of probes over the other zones.
	probed int
}

// gatewayRank returns the rank of a member as a gateway. All nodes must compute the same.
func gatewayRank(e *entry) uint64 { return pairRank(gatewaySalt, e.hash) }

const gatewaySalt = 0x67617465776179

// refreshGateways chooses the gateways anew if members have changed. m.mu is held.
func (m *Members) refreshGateways() {
	g, now := &m.gateways, time.Now()
	if g.root == m.digest.root && g.byZone != nil || now.Sub(g.chosen) < gatewaysInterval && len(m.order) > gatewaysPerZone*len(m.zones) {
		return
	}
	g.root, g.chosen, g.byZone = m.digest.root, now, map[string][]*entry{}
	for _, e := range m.order {
		if !e.live() {
			continue
		}
		best, rank := g.byZone[e.Zone], gatewayRank(e)
		i := len(best)
		for i > 0 && gatewayRank(best[i-1]) < rank {
			i--
		}
		if i < gatewaysPerZone {
			best = slices.Insert(best, i, e)
			g.byZone[e.Zone] = best[:min(len(best), gatewaysPerZone)]
		}
	}
	g.self = slices.ContainsFunc(g.byZone[m.self.Zone], func(e *entry) bool { return e.Addr == m.self.Addr })
	if g.next == nil {
		g.next = map[string]int{}
	}
}

// isGateway reports whether this node exchanges with other zones. m.mu is held.
func (m *Members) isGateway() bool {
	m.refreshGateways()
	return m.gateways.self
}

// relays reports whether this node sends what it learns to other zones too. While very many updates are queued, as after
// a mass restart, it does so with urgent ones only: the comparison of the lists needs fewer bytes. m.mu is held.
func (m *Members) relays(class int) bool {
	return m.isGateway() && (class == classUrgent || m.queue.len() <= longQueue)
}

// nextGateway returns a gateway of another zone, each in turn, or "" if the zone has none. m.mu is held.
func (m *Members) nextGateway(zone string) string {
	g := &m.gateways
	list := g.byZone[zone]
	for range list {
		i := g.next[zone] + 1
		g.next[zone] = i
		if e := list[i%len(list)]; e.live() {
			return e.Addr
		}
	}
	return ""
}

// otherZones returns the other zones that have gateways, sorted. m.mu is held.
func (m *Members) otherZones() []string {
	out := make([]string, 0, len(m.gateways.byZone))
	for zone := range m.gateways.byZone {
		if zone != m.self.Zone {
			out = append(out, zone)
		}
	}
	slices.Sort(out)
	return out
}

// farPeers returns one gateway of each other zone. m.mu is held.
func (m *Members) farPeers() []string {
	m.refreshGateways()
	zones := m.otherZones()
	out := make([]string, 0, len(zones))
	for _, zone := range zones {
		if addr := m.nextGateway(zone); addr != "" {
			out = append(out, addr)
		}
	}
	return out
}

// gatewayLoop probes a gateway of another zone each probePeriod while this node is a gateway. The acks compare the
// lists of the zones.
func (m *Members) gatewayLoop(ctx context.Context) {
	for ctx.Err() == nil {
		start := time.Now()
		if addr := m.nextFarTarget(); addr != "" {
			m.probe(ctx, addr)
		}
		duration.Sleep(ctx, m.scaled(probePeriod)-time.Since(start))
	}
}

// nextFarTarget returns the gateway of another zone to probe next, or "" if this node is no gateway. Zones whose
// members are in the regular round of probes are left out.
func (m *Members) nextFarTarget() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isGateway() {
		return ""
	}
	now := time.Now()
	zones := slices.DeleteFunc(m.otherZones(), func(z string) bool { return m.probesZone(z, now) })
	if len(zones) == 0 {
		return ""
	}
	m.gateways.probed++
	return m.nextGateway(zones[m.gateways.probed%len(zones)])
}

// probesZone reports whether the regular round of probes has the members of a zone. m.mu is held.
func (m *Members) probesZone(zone string, now time.Time) bool {
	if zone == m.self.Zone || m.zone(m.self.Zone).alive < minProbedInside {
		return true
	}
	z := m.zone(zone)
	return z.alive < minProbedInside || now.Before(z.alarmUntil)
}

// alarm makes this node probe all members of another zone for alarmTime. m.mu is held.
func (m *Members) alarm(zone string) {
	if zone == m.self.Zone {
		return
	}
	z, now := m.zone(zone), time.Now()
	if !now.Before(z.alarmUntil) {
		m.prober.next = len(m.prober.round) // the next round has the zone
	}
	z.alarmUntil = now.Add(alarmTime)
}

// checkAlarm raises an alarm about the zone of a member that is newly suspected if others of it are. m.mu is held.
func (m *Members) checkAlarm(zone string) {
	n := 0
	for e := range m.suspects {
		if e.Zone == zone {
			n++
		}
	}
	if n >= alarmSuspects {
		m.alarm(zone)
	}
}

// Numbers of members that Leave notifies directly: leaveNear in the own zone, a gateway of each other zone, and random ones
// up to leaveFanout.
const (
	leaveFanout = 8
	leaveNear   = 4
)

// leavePeers returns the members that Leave notifies.
func (m *Members) leavePeers() []string {
	m.mu.Lock()
	peers := m.farPeers()
	near := m.ranked(leaveNear, true)
	m.mu.Unlock()
	peers = append(peers, near...)
	for _, addr := range m.sample(leaveFanout) {
		if len(peers) < leaveFanout && !slices.Contains(peers, addr) {
			peers = append(peers, addr)
		}
	}
	return peers
}
