package gossip

import (
	"context"
	"math"
	"time"
)

// Suspicion timeouts leave time for a member to receive its suspicion and for its
// refutation to spread. Independent suspicions by other nodes shorten the timeout from its
// upper to its lower bound (Lifeguard, section "Dynamic Suspicion Timeouts").
const (
	suspicionPerDecade  = 2 * probePeriod // times log10 of the number of members
	minSuspicionTimeout = 4 * probePeriod
	suspicionMaxRatio   = 3
	// confirmations is how many nodes must confirm a suspicion to reach the lower bound.
	confirmations = 3
)

// Timing of the expiry of suspicions, facts and members.
const (
	expireInterval = 200 * time.Millisecond
	sweepInterval  = time.Minute
	// pauseAfter is the delay of a check from which this process counts as having been
	// suspended.
	pauseAfter = time.Second
	// deadRetention is how long a dead member is kept and probed. It must exceed the longest
	// partition between zones.
	deadRetention = 24 * time.Hour
	// leftRetention is how long a member that left is kept. It must exceed the time that
	// earlier updates about the member are in transit.
	leftRetention = time.Hour
)

// suspicion is the state of a suspected member.
type suspicion struct {
	start     time.Time
	reporters map[string]struct{}
	checked   time.Time // last ping by recheckLoop
}

// timeout returns the time from start until the member is declared dead, for a list of n
// members.
func (s *suspicion) timeout(n int) time.Duration {
	lower := max(minSuspicionTimeout, time.Duration(math.Log10(float64(n+1))*float64(suspicionPerDecade)))
	upper := suspicionMaxRatio * lower
	if n <= confirmations {
		return lower
	}
	fraction := math.Log(float64(len(s.reporters))) / math.Log(confirmations+1)
	return max(lower, upper-time.Duration(fraction*float64(upper-lower)))
}

// suspect records that s.From could not reach the member s.Addr. m.mu is held.
func (m *Members) suspect(s suspectWire) {
	if s.Addr == m.self.Addr {
		m.refute(Belief{Incarnation: s.Incarnation, Status: Suspect})
		return
	}
	e := m.all[s.Addr]
	if e == nil || s.Incarnation < e.Incarnation || s.Incarnation >= maxIncarnation || !e.live() {
		return
	}
	if e.suspicion == nil {
		e.suspicion = &suspicion{start: time.Now(), reporters: map[string]struct{}{}}
	}
	if _, known := e.suspicion.reporters[s.From]; known || len(e.suspicion.reporters) > confirmations {
		return
	}
	e.suspicion.reporters[s.From] = struct{}{}
	if e.Status == Alive {
		x := e.Member
		x.Status = Suspect
		m.put(x, noSpread)
		m.checkAlarm(x.Zone)
	}
	m.queue.add(&item{addr: s.Addr, suspect: &s, class: classSuspect, size: suspectSize, far: m.relays(classSuspect)})
}

// expireLoop runs expire every expireInterval.
func (m *Members) expireLoop(ctx context.Context) {
	tick := time.NewTicker(expireInterval)
	defer tick.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		m.expire(time.Since(last))
		last = time.Now()
	}
}

// expire declares members dead whose suspicion has timed out and removes old facts and
// members. gap is the time since the previous call: if it shows that this process was
// suspended, and so could not receive refutations, all suspicions start again.
func (m *Members) expire(gap time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	paused := gap > pauseAfter
	m.expireFacts(now)
	for e := range m.suspects {
		switch {
		case paused:
			e.suspicion.start = now
		case now.Sub(e.suspicion.start) > e.suspicion.timeout(len(m.order)):
			x := e.Member
			x.Status = Dead
			m.put(x, noSpread)
		}
	}
	if now.Sub(m.lastSweep) > sweepInterval {
		m.lastSweep = now
		m.sweep(now)
	}
}

// sweep removes members that have been dead for deadRetention or left for leftRetention.
func (m *Members) sweep(now time.Time) {
	kept := make([]*entry, 0, len(m.order))
	for _, e := range m.order {
		age := now.Sub(e.since)
		dead := e.Status == Dead && age > deadRetention
		left := e.Status == Left && age > leftRetention && e.Addr != m.self.Addr
		if dead || left {
			delete(m.all, e.Addr)
			m.removeFromTotals(e)
			continue
		}
		kept = append(kept, e)
	}
	m.order = kept
}
