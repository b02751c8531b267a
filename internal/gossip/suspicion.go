package gossip

import (
	"context"
	"math"
	"time"
)

// Suspicion timeouts: a member must be able to hear of its suspicion and to have its
// refutation heard. Confirmations by others shorten the timeout from its upper to its
// lower bound (Lifeguard, section "Dynamic Suspicion Timeouts").
const (
	suspicionPerDigit = 2 * probePeriod // for each decimal digit of the number of members
	suspicionFloor    = 4 * probePeriod
	suspicionMaxRatio = 3
	// confirmations is how many independent suspicions reach the lower bound.
	confirmations = 3
)

// Timing of the upkeep of the list.
const (
	expireInterval = 200 * time.Millisecond
	sweepInterval  = time.Minute
	// pauseAfter is the time between two checks that shows that this process was paused.
	pauseAfter = time.Second
	// deadRetention is how long a dead member is probed: longer than any cut between zones.
	deadRetention = 24 * time.Hour
	// leftRetention outlasts any news about the member that is still under way.
	leftRetention = time.Hour
)

type suspicion struct {
	start   time.Time
	from    map[string]struct{}
	checked time.Time // when the member was last pinged because of it
}

// timeout returns the time from the start to the death for n members.
func (s *suspicion) timeout(n int) time.Duration {
	lower := max(suspicionFloor, time.Duration(math.Log10(float64(n+1))*float64(suspicionPerDigit)))
	upper := suspicionMaxRatio * lower
	if n <= confirmations {
		return lower
	}
	share := math.Log(float64(len(s.from))) / math.Log(confirmations+1)
	return max(lower, upper-time.Duration(share*float64(upper-lower)))
}

// suspect takes in that from could not reach the member r.Addr.
func (m *Members) suspect(r rumour) {
	if r.Addr == m.self.Addr {
		m.refute(Belief{Incarnation: r.Incarnation, Status: Suspect})
		return
	}
	e := m.all[r.Addr]
	if e == nil || r.Incarnation < e.Incarnation || r.Incarnation >= maxIncarnation || !e.living() {
		return
	}
	if e.suspicion == nil {
		e.suspicion = &suspicion{start: time.Now(), from: map[string]struct{}{}}
	}
	if _, known := e.suspicion.from[r.From]; known || len(e.suspicion.from) > confirmations {
		return
	}
	e.suspicion.from[r.From] = struct{}{}
	if e.Status == Alive {
		x := e.Member
		x.Status = Suspect
		m.put(x, noSpread)
	}
	m.queue.add(&item{addr: r.Addr, rumour: &r, class: classSuspect, size: rumourSize})
}

// expireLoop turns suspected members dead and forgets old ones.
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

// expire is one check; gap is the time since the one before. While this process was
// paused no refutation could reach it, so suspicions start again after a pause.
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
	if now.Sub(m.swept) > sweepInterval {
		m.swept = now
		m.sweep(now)
	}
}

// sweep forgets members that have been dead or gone for long.
func (m *Members) sweep(now time.Time) {
	kept := make([]*entry, 0, len(m.order))
	for _, e := range m.order {
		age := now.Sub(e.since)
		dead := e.Status == Dead && age > deadRetention
		left := e.Status == Left && age > leftRetention && e.Addr != m.self.Addr
		if dead || left {
			delete(m.all, e.Addr)
			m.discount(e)
			continue
		}
		kept = append(kept, e)
	}
	m.order = kept
}
