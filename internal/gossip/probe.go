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
	// probePeriod is the time between probes of one member each.
	probePeriod = time.Second
	// pingTimeout bounds the direct probe; the rest of the period is for indirect ones.
	pingTimeout = 400 * time.Millisecond
	// helpers is how many members are asked to probe one that did not answer.
	helpers = 3
	// maxHealth bounds the multiplier of the timeouts of a node that is slow itself.
	maxHealth = 4
	// recheckInterval is the time between probes outside the round: of members whose
	// state is in doubt, and of dead ones that may have come back.
	recheckInterval = 250 * time.Millisecond
	// recheckRounds make a second; one of them is for the dead and one for suspects.
	recheckRounds = 4
	deadRound     = 0
	suspectRound  = 2
	// maxVerify bounds the members in doubt that wait for a probe.
	maxVerify = 256
	// piggybackBytes bounds the news that rides on a probe or on its answer.
	piggybackBytes = 600
)

// prober has the state of the failure detector. Members' lock guards it.
type prober struct {
	round  []string // shuffled addresses, so that each member is probed once a round
	next   int
	health health
	verify []string
	// dead walks over the members in the order of their addresses.
	dead int
	// misses counts probes in a row whose answer showed another digest.
	misses  int
	learned time.Time
}

// health is Lifeguard's local health multiplier: failed probes of many members point at
// the prober, whose timeouts grow.
type health int

func (h *health) worse() { *h = min(*h+1, maxHealth) }
func (h *health) good()  { *h = max(*h-1, 0) }

func (m *Members) scaled(d time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return d * time.Duration(1+m.prober.health)
}

// probeLoop probes one member in each period.
func (m *Members) probeLoop(ctx context.Context) {
	for ctx.Err() == nil {
		start := time.Now()
		if addr := m.nextTarget(); addr != "" {
			m.probe(ctx, addr)
		}
		duration.Sleep(ctx, m.scaled(probePeriod)-time.Since(start))
	}
}

// nextTarget walks the shuffled round (SWIM, section 4.3), which bounds the time to the first probe.
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
		if e := m.all[addr]; e != nil && e.living() {
			return addr
		}
	}
	return ""
}

func (m *Members) newRound() {
	p := &m.prober
	p.round, p.next = p.round[:0], 0
	for _, e := range m.order {
		if e.living() && e.Addr != m.self.Addr {
			p.round = append(p.round, e.Addr)
		}
	}
	m.rng.Shuffle(len(p.round), func(i, j int) { p.round[i], p.round[j] = p.round[j], p.round[i] })
}

// probe pings addr, asks others to when that fails, and suspects it when nobody gets an answer.
func (m *Members) probe(ctx context.Context, addr string) {
	m.mu.Lock()
	before := m.belief(addr)
	m.mu.Unlock()
	start, timeout := time.Now(), m.scaled(pingTimeout)
	if m.ping(ctx, addr, timeout) || ctx.Err() != nil {
		m.healthy(true)
		return
	}
	if m.pingIndirectly(ctx, addr, before, timeout) || ctx.Err() != nil {
		return
	}
	m.healthy(false)
	if time.Since(start) > 2*timeout+pauseAfter {
		return // the process was paused: the answers may have come in time
	}
	m.mu.Lock()
	m.suspect(rumour{Addr: addr, Incarnation: before.Incarnation, From: m.self.Addr})
	m.mu.Unlock()
	m.wakePush()
}

func (m *Members) healthy(ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ok {
		m.prober.health.good()
		return
	}
	m.prober.health.worse()
}

// ping is one direct probe; it reports whether addr answered.
func (m *Members) ping(ctx context.Context, addr string, timeout time.Duration) bool {
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	m.mu.Lock()
	args := &Ping{Self: toWire(m.self), You: m.belief(addr), News: m.piggyback()}
	m.mu.Unlock()
	var ack Ack
	if err := m.cfg.Peers.Call(bounded, addr, "Gossip.Ping", args, &ack); err != nil {
		return false
	}
	m.acked(ctx, addr, &ack)
	return true
}

// acked takes in an answer and repairs what it shows to be missing.
func (m *Members) acked(ctx context.Context, addr string, ack *Ack) {
	if ack.Self.Addr != addr {
		return
	}
	m.merge(ack.News, true)
	m.mu.Lock()
	m.heard(fromWire(&ack.Self))
	m.believed(ack.You, ack.Self.Zone)
	z := m.zone(ack.Self.Zone)
	doubts := z.dead > 0 && z.digest != ack.ZoneAlive
	behind := m.behind(ack.Root)
	m.mu.Unlock()
	if doubts || behind {
		m.repairFrom(ctx, addr, ack.Self.Zone, doubts, behind)
	}
}

// pingIndirectly asks helpers in several zones to probe addr (SWIM, section 3.1).
func (m *Members) pingIndirectly(ctx context.Context, addr string, you Belief, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout+timeout/2)
	defer cancel()
	asked := m.sample(helpers + 1)
	asked = slices.DeleteFunc(asked, func(a string) bool { return a == addr })
	asked = asked[:min(len(asked), helpers)]
	answers := make(chan PingAnswer, len(asked))
	for _, helper := range asked {
		m.tasks.Go(func() {
			var a PingAnswer
			if err := m.cfg.Peers.Call(ctx, helper, "Gossip.PingFor", &PingRequest{Target: addr, You: you, TimeoutMillis: timeout.Milliseconds()}, &a); err != nil {
				answers <- PingAnswer{} // no answer counts as not reached
				return
			}
			answers <- a
		})
	}
	for range asked {
		if a := <-answers; a.Reached && a.Self.Addr == addr {
			m.mu.Lock()
			m.heard(fromWire(&a.Self))
			m.mu.Unlock()
			return true
		}
	}
	return false
}

// verify queues a probe of a member whose state is in doubt.
func (m *Members) verify(e *entry) {
	if e.verifying || len(m.prober.verify) >= maxVerify {
		return
	}
	e.verifying = true
	m.prober.verify = append(m.prober.verify, e.Addr)
}

// recheckLoop probes members in doubt and, in turns of a second, pings dead ones and
// suspected ones: a zone that was cut off is found again, and a suspicion whose rumours
// were lost does not end in a death that nobody else could have refuted.
func (m *Members) recheckLoop(ctx context.Context) {
	for round := 0; duration.Sleep(ctx, recheckInterval); round++ {
		if addr := m.nextPing(round % recheckRounds); addr != "" {
			m.tasks.Go(func() { m.ping(ctx, addr, pingTimeout) })
			continue
		}
		if addr := m.nextDoubt(); addr != "" {
			m.probe(ctx, addr)
		}
	}
}

// nextPing returns the member that this round of the recheck pings, or "".
func (m *Members) nextPing(round int) string {
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

func (m *Members) nextDoubt() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := &m.prober
	if len(p.verify) == 0 {
		return ""
	}
	addr := p.verify[0]
	p.verify = p.verify[1:]
	if e := m.all[addr]; e != nil {
		e.verifying = false
	}
	return addr
}

// nextSuspect returns the suspected member that was not pinged for the longest time.
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

// nextDead returns a dead member, in zones without a living one first.
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
		p.dead = (p.dead + 1) % len(m.order)
		if e := m.order[p.dead]; e.Status == Dead && e.Zone == lost {
			if skip--; skip < 0 {
				return e.Addr
			}
		}
	}
	return ""
}
