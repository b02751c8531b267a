// Package admission controls the concurrency of an upstream. It has the only, and therefore exact, count
// of the upstream's slots, and admits a request, queues it briefly or refuses it before anything is
// sent.
package admission

import (
	"context"
	"sync"
	"time"
)

// Outcome is the result of Gate.Acquire: Admitted, or the reason why the request was refused.
type Outcome uint8

const (
	Admitted Outcome = iota
	Full
	Cold // full, and the upstream is cold
	Draining
	Absent // no upstream
)

// Class separates short lookups from requests that can wait.
type Class uint8

const (
	// Lookup is an idempotent request.
	Lookup Class = iota
	// Change is a non-idempotent request.
	Change
	classCount
)

// ClassOf returns the class of a request.
func ClassOf(idempotent bool) Class {
	if idempotent {
		return Lookup
	}
	return Change
}

func (c Class) other() Class { return 1 - c }

// Limits of the queue.
const (
	// queuePerSlot limits the queued requests of a class for each slot.
	queuePerSlot = 1
	// InitialMaxWait is how long a request is queued before it is refused, until the first response.
	InitialMaxWait = 50 * time.Millisecond
)

// Slots reserved for the other class while it had a request within classActiveWindow: one of every
// reserveDivisor slots, none if there are fewer than minReserveLimit.
const (
	reserveDivisor    = 5
	minReserveLimit   = 3
	classActiveWindow = time.Second
)

// Gate limits the number of requests that run at the upstream.
type Gate struct {
	// initialMaxWait is InitialMaxWait but in tests; queued requests wait for nothing if it is not above 0.
	initialMaxWait time.Duration
	// lag returns the scheduling lag of this process; nil for none.
	lag func() time.Duration

	mu       sync.Mutex
	slots    int
	inUse    [classCount]int
	queue    [classCount][]*queuedRequest
	lastSeen [classCount]time.Time
	present  bool
	draining bool
	limits   limits
	trends   trends
}

// queuedRequest is a request in the queue. outcome is set before done is closed.
type queuedRequest struct {
	done    chan struct{}
	outcome Outcome
}

// NewGate returns a Gate that admits nothing until Open.
func NewGate() *Gate { return &Gate{initialMaxWait: InitialMaxWait, trends: trends{}} }

// SetLag sets the function that returns the scheduling lag of this process: latencies that jump while
// the lag is high say nothing about the upstream. Call it before the gate is used.
func (g *Gate) SetLag(f func() time.Duration) { g.lag = f }

// Open admits up to slots concurrent requests, ramping up over slowStart from now on.
func (g *Gate) Open(slots int, slowStart time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slots, g.present, g.draining = slots, true, false
	g.limits.open(slots, slowStart, time.Now())
	clear(g.trends)
}

// SetSlowStart changes the length of the ramp that began when the upstream turned cold.
func (g *Gate) SetSlowStart(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits.slowStart = d
}

// SetCold treats the upstream as cold from now on. It reports whether the upstream counted as warm
// before.
func (g *Gate) SetCold() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limits.setCold(time.Now())
}

// Drain refuses queued and new requests with Draining.
func (g *Gate) Drain() { g.refuseAll(func() { g.draining = true }, Draining) }

// Close refuses queued and new requests with Absent: there is no upstream.
func (g *Gate) Close() { g.refuseAll(func() { g.present = false }, Absent) }

// refuseAll applies change and refuses all queued requests with outcome.
func (g *Gate) refuseAll(change func(), outcome Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change()
	for c := range g.queue {
		for _, w := range g.queue[c] {
			w.outcome = outcome
			close(w.done)
		}
		g.queue[c] = nil
	}
}

// RecordShed records that the upstream itself refused a request for lack of capacity.
func (g *Gate) RecordShed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits.shed(g.total(), time.Now())
}

// Observe records the latency of a response on a route. If it shows that the upstream has turned cold,
// Observe restarts the ramp and returns true.
func (g *Gate) Observe(route string, latency time.Duration) bool {
	if g.lag != nil && g.lag() >= jumpFloor {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	return g.trends.observe(route, latency, now) && g.limits.setCold(now)
}

// ObserveTimeout records that a request on a route had no response after waited: its latency is at
// least that. It returns the result of Observe.
func (g *Gate) ObserveTimeout(route string, waited time.Duration) bool {
	return g.Observe(route, max(waited, g.trends.level(&g.mu, route)))
}

// total returns the slots in use. g.mu is held.
func (g *Gate) total() int { return g.inUse[Lookup] + g.inUse[Change] }

// check returns why a request of class c gets no slot now, or Admitted. g.mu is held.
func (g *Gate) check(c Class, now time.Time) Outcome {
	limit := g.limits.current(now)
	reserve := 0
	if limit >= minReserveLimit && now.Sub(g.lastSeen[c.other()]) < classActiveWindow {
		reserve = max(1, limit/reserveDivisor)
	}
	switch {
	case !g.present:
		return Absent
	case g.draining:
		return Draining
	case g.total() < limit && g.inUse[c] < limit-reserve:
		return Admitted
	case g.limits.cold(now):
		return Cold
	default:
		return Full
	}
}

// Acquire takes a slot for a request of a route; after Admitted the caller must Release it. While the upstream is full the
// request is queued, unless the queue is full, as long as maxWait says. A cold upstream refuses at once.
func (g *Gate) Acquire(ctx context.Context, c Class, route string) Outcome {
	g.mu.Lock()
	now := time.Now()
	g.lastSeen[c] = now
	r := g.check(c, now)
	if r == Admitted && len(g.queue[c]) == 0 {
		g.inUse[c]++
	}
	queued := r == Full || (r == Admitted && len(g.queue[c]) > 0)
	limit := time.Duration(0)
	if queued {
		limit = g.maxWait(ctx, route, now)
	}
	if limit <= 0 || len(g.queue[c]) >= g.slots*queuePerSlot {
		g.mu.Unlock()
		if queued {
			return Full
		}
		return r
	}
	w := &queuedRequest{done: make(chan struct{})}
	g.queue[c] = append(g.queue[c], w)
	g.mu.Unlock()
	return g.wait(ctx, c, w, limit)
}

// maxWait returns how long a request is queued: until those ahead should have ended, after which another upstream may be
// faster, or until its caller has less time left than a request of the route takes. As the queue holds at most queuePerSlot
// requests of a class for each slot, those ahead should have ended within the longest current latency of a route. g.mu is held.
func (g *Gate) maxWait(ctx context.Context, route string, now time.Time) time.Duration {
	if g.initialMaxWait <= 0 {
		return 0
	}
	longest := time.Duration(0)
	for _, t := range g.trends {
		longest = max(longest, time.Duration(t.short))
	}
	if longest == 0 {
		longest = g.initialMaxWait
	}
	deadline, ok := ctx.Deadline()
	if t := g.trends[route]; ok && t != nil {
		return min(longest, deadline.Sub(now)-time.Duration(t.short))
	}
	return longest
}

func (g *Gate) wait(ctx context.Context, c Class, w *queuedRequest, limit time.Duration) Outcome {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-w.done:
		return w.outcome
	case <-timer.C:
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, x := range g.queue[c] {
		if x == w {
			g.queue[c] = append(g.queue[c][:i], g.queue[c][i+1:]...)
			return Full
		}
	}
	return w.outcome
}

// Release returns a slot and admits queued requests.
func (g *Gate) Release(c Class) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inUse[c]--
	now := time.Now()
	for g.admitNext(now) {
	}
}

// admitNext gives a free slot to a queued request, of the class with fewer slots in use first and of
// Lookup at a tie. It reports whether a request was admitted. g.mu is held.
func (g *Gate) admitNext(now time.Time) bool {
	first := Lookup
	if g.inUse[Change] < g.inUse[Lookup] {
		first = Change
	}
	for _, c := range [...]Class{first, first.other()} {
		if len(g.queue[c]) > 0 && g.check(c, now) == Admitted {
			w := g.queue[c][0]
			g.queue[c] = g.queue[c][1:]
			g.inUse[c]++
			close(w.done)
			return true
		}
	}
	return false
}

// Load returns the number of running and queued requests, the current concurrency limit, and whether
// the gate is draining or has no upstream.
func (g *Gate) Load() (inUse, limit int, draining bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.total() + len(g.queue[Lookup]) + len(g.queue[Change]), g.limits.current(time.Now()), g.draining || !g.present
}

// Running returns the slots in use.
func (g *Gate) Running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.total()
}
