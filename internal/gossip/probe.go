package gossip

import (
	"cmp"
	"context"
	"slices"
	"time"

	"celerybank/internal/duration"
)

// Timing of the failure detector.
const (
	// probePeriod is the time between two direct probes.
	probePeriod = time.Second
	// pingTimeout bounds a direct probe; the rest of the period is left for indirect ones.
	pingTimeout = 400 * time.Millisecond
	// indirectProbes is how many members are asked to probe one that did not reply.
	indirectProbes = 3
	// maxHealth is the highest health value: timeouts grow to at most 1+maxHealth times
	// their base.
	maxHealth = 4
	// recheckInterval is the time between probes outside the regular round: of members that
	// others reported as suspect or dead, of suspected ones and of dead ones.
	recheckInterval = 250 * time.Millisecond
	// recheckRounds is the length of a cycle of rechecks, one second. One round of a cycle
	// pings a dead member and one a suspected member.
	recheckRounds = 4
	deadRound     = 0
	suspectRound  = 2
	// maxUnverified bounds the members queued for a probe outside the regular round.
	maxUnverified = 256
	// piggybackBytes bounds the updates in a ping or its ack, before compression.
	piggybackBytes = 600
)

// prober is the state of the failure detector, guarded by Members.mu.
type prober struct {
	round  []string // shuffled addresses, so that each member is probed once a round
	next   int
	health health
	// unverified lists the members to probe outside the regular round.
	unverified []string
	// deadIndex is the position in Members.order from which nextDead continues.
	deadIndex int
	// mismatches counts consecutive acks with a digest that differs from this node's.
	mismatches int
	// lastChange is when the last update changed the digest.
	lastChange time.Time
}

// health is Lifeguard's local health multiplier: the more probes fail, the more likely
// the prober itself is slow, so its timeouts grow. 0 is healthy.
type health int

func (h *health) increase() { *h = min(*h+1, maxHealth) }
func (h *health) decrease() { *h = max(*h-1, 0) }

// scaled returns d multiplied by 1+health.
func (m *Members) scaled(d time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return d * time.Duration(1+m.prober.health)
}

// probeLoop probes one member per probePeriod, scaled by the node's health.
func (m *Members) probeLoop(ctx context.Context) {
	for ctx.Err() == nil {
		start := time.Now()
		if addr := m.nextTarget(); addr != "" {
			m.probe(ctx, addr)
		}
		duration.Sleep(ctx, m.scaled(probePeriod)-time.Since(start))
	}
}

// nextTarget returns the next live member of the shuffled round, or "". Probing in rounds
// bounds the time until each member is probed (SWIM, section 4.3).
func (m *Members) nextTarget() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := &m.prober
	for range len(p.round) + 1 {
		if p.next >= len(p.round) {
			m.newRound()
		}
		if len(p.round) == 0 {
			return ""
		}
		addr := p.round[p.next]
		p.next++
		if e := m.all[addr]; e != nil && e.live() {
			return addr
		}
	}
	return ""
}

func (m *Members) newRound() {
	p := &m.prober
	p.round, p.next = p.round[:0], 0
	now := time.Now()
	for _, e := range m.order {
		if e.live() && e.Addr != m.self.Addr && m.probesZone(e.Zone, now) {
			p.round = append(p.round, e.Addr)
		}
	}
	m.rng.Shuffle(len(p.round), func(i, j int) { p.round[i], p.round[j] = p.round[j], p.round[i] })
}

// probe pings addr, directly and then through other members, and suspects it if neither
// reaches it.
func (m *Members) probe(ctx context.Context, addr string) {
	m.mu.Lock()
	before := m.belief(addr)
	m.mu.Unlock()
	start, timeout := time.Now(), m.scaled(pingTimeout)
	if m.ping(ctx, addr, timeout) || ctx.Err() != nil {
		m.adjustHealth(true)
		return
	}
	if m.pingIndirectly(ctx, addr, before, timeout) || ctx.Err() != nil {
		return
	}
	m.adjustHealth(false)
	if time.Since(start) > 2*timeout+pauseAfter {
		return // this process was suspended: replies may have arrived in time
	}
	m.mu.Lock()
	m.suspect(suspectWire{Addr: addr, Incarnation: before.Incarnation, From: m.self.Addr})
	m.mu.Unlock()
	m.wakePush()
}

func (m *Members) adjustHealth(ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ok {
		m.prober.health.decrease()
		return
	}
	m.prober.health.increase()
}

// ping probes addr directly and reports whether it replied.
func (m *Members) ping(ctx context.Context, addr string, timeout time.Duration) bool {
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		m.mu.Lock()
		args := &Ping{Belief: m.belief(addr), Updates: m.piggyback(), Compact: true}
		m.introduce(args, addr)
		m.mu.Unlock()
		var ack Ack
		if err := m.cfg.Peers.Call(bounded, addr, "Gossip.Ping", args, &ack); err != nil {
			return false
		}
		m.expandAck(args, addr, &ack)
		m.handleAck(ctx, addr, &ack)
		if args.Known == nil || ack.Belief.Incarnation >= args.Known.Incarnation {
			return true
		}
		// The peer does not know this node's entry, as after its restart: introduce tells it now.
	}
}

// handleAck applies an ack and starts a repair if it shows that this node's list differs.
func (m *Members) handleAck(ctx context.Context, addr string, ack *Ack) {
	if ack.Self.Addr != addr {
		return
	}
	m.mergePayload(ack.Updates, true)
	m.mu.Lock()
	m.observe(fromWire(&ack.Self))
	m.handleBelief(ack.Belief, ack.Self.Zone)
	z := m.zone(ack.Self.Zone)
	zoneDiffers := z.dead > 0 && z.digest != ack.ZoneAlive
	outdated := m.needsPull(ack.Root)
	m.mu.Unlock()
	if zoneDiffers || outdated {
		m.repairFrom(ctx, addr, ack.Self.Zone, zoneDiffers, outdated)
	}
}

// pingIndirectly asks indirectProbes members, usually in several zones, to probe addr
// (SWIM, section 3.1). belief is passed on to addr, which refutes it if it is wrong.
func (m *Members) pingIndirectly(ctx context.Context, addr string, belief Belief, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout+timeout/2)
	defer cancel()
	peers := m.sample(indirectProbes + 1)
	peers = slices.DeleteFunc(peers, func(a string) bool { return a == addr })
	peers = peers[:min(len(peers), indirectProbes)]
	replies := make(chan IndirectAck, len(peers))
	for _, peer := range peers {
		m.tasks.Go(func() {
			var a IndirectAck
			if err := m.cfg.Peers.Call(ctx, peer, "Gossip.PingFor", &IndirectPing{Target: addr, Belief: belief, TimeoutMillis: timeout.Milliseconds()}, &a); err != nil {
				replies <- IndirectAck{} // a failed RPC counts as not reached
				return
			}
			replies <- a
		})
	}
	for range peers {
		if a := <-replies; a.Reached && a.Self.Addr == addr {
			m.mu.Lock()
			m.observe(fromWire(&a.Self))
			m.mu.Unlock()
			return true
		}
	}
	return false
}

// verify queues a probe of e outside the regular round. m.mu is held.
func (m *Members) verify(e *entry) {
	if e.verifying || len(m.prober.unverified) >= maxUnverified {
		return
	}
	e.verifying = true
	m.prober.unverified = append(m.prober.unverified, e.Addr)
}

// recheckLoop probes unverified members and, once a second each, pings a dead and a
// suspected member. Pinging dead members finds a zone again after a partition. Pinging
// suspected ones clears a suspicion that never reached the member, which could therefore
// not refute it.
func (m *Members) recheckLoop(ctx context.Context) {
	for round := 0; duration.Sleep(ctx, recheckInterval); round++ {
		if addr := m.nextRecheck(round % recheckRounds); addr != "" {
			m.tasks.Go(func() { m.ping(ctx, addr, pingTimeout) })
			continue
		}
		if addr := m.nextUnverified(); addr != "" {
			m.probe(ctx, addr)
		}
	}
}

// nextRecheck returns the dead or suspected member to ping in this round, or "".
func (m *Members) nextRecheck(round int) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch round {
	case deadRound:
		return m.nextDead()
	case suspectRound:
		return m.nextSuspect()
	}
	return ""
}

// nextUnverified removes and returns the first unverified member, or "".
func (m *Members) nextUnverified() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := &m.prober
	if len(p.unverified) == 0 {
		return ""
	}
	addr := p.unverified[0]
	p.unverified = p.unverified[1:]
	if e := m.all[addr]; e != nil {
		e.verifying = false
	}
	return addr
}

// nextSuspect returns the suspected member whose last recheck is the longest ago, or "".
func (m *Members) nextSuspect() string {
	var next *entry
	for e := range m.suspects {
		if next == nil || cmp.Or(e.suspicion.checked.Compare(next.suspicion.checked), cmp.Compare(e.Addr, next.Addr)) < 0 {
			next = e
		}
	}
	if next == nil {
		return ""
	}
	next.suspicion.checked = time.Now()
	return next.Addr
}

// nextDead returns a random dead member of the zone with the fewest live members, or "".
func (m *Members) nextDead() string {
	lost := ""
	for name, z := range m.zones {
		if z.dead > 0 && (lost == "" || z.alive < m.zones[lost].alive) {
			lost = name
		}
	}
	if lost == "" {
		return ""
	}
	p := &m.prober
	skip := m.rng.IntN(m.zones[lost].dead)
	for range len(m.order) {
		p.deadIndex = (p.deadIndex + 1) % len(m.order)
		if e := m.order[p.deadIndex]; e.Status == Dead && e.Zone == lost {
			if skip--; skip < 0 {
				return e.Addr
			}
		}
	}
	return ""
}
