// Package admission holds the one exact count of an upstream's slots. It admits a
// request, lets it wait a moment, or refuses it before anything is sent.
package admission

import (
	"context"
	"sync"
	"time"
)

// Refusal says why a request was not admitted.
type Refusal uint8

const (
	Admitted Refusal = iota
	Full
	Cold
	Draining
	Absent
)

// Class keeps short lookups apart from what can wait.
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

// Bounds of the queue before the slots.
const (
	// queuePerSlot bounds the waiting requests of a class for each slot.
	queuePerSlot = 1
	// MaxWait bounds how long one waits before it is refused.
	MaxWait = 50 * time.Millisecond
)

// Reserve for the other class while that one had requests within reserveMemory:
// one slot of reservePart, none when there are fewer than reserveFrom.
const (
	reservePart   = 5
	reserveFrom   = 3
	reserveMemory = time.Second
)

// Gate counts the requests that run at the upstream.
type Gate struct {
	maxWait time.Duration
	// late returns how late this process gets to its work; nil for never.
	late func() time.Duration

	mu       sync.Mutex
	slots    int
	inUse    [classCount]int
	waiting  [classCount][]*waiter
	lastSeen [classCount]time.Time
	present  bool
	draining bool
	limits   limits
	trends   trends
}

// waiter is one queued request; outcome is set before done is closed.
type waiter struct {
	done    chan struct{}
	outcome Refusal
}

// NewGate returns a gate that admits nothing until Open.
func NewGate() *Gate { return &Gate{maxWait: MaxWait, trends: trends{}} }

// Late tells the gate how late this process gets to its work: latencies that jump meanwhile say
// nothing of the upstream. Call it before the gate is used.
func (g *Gate) Late(f func() time.Duration) { g.late = f }

// Open admits up to slots requests, ramping up over slowStart from now on.
func (g *Gate) Open(slots int, slowStart time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slots, g.present, g.draining = slots, true, false
	g.limits.open(slots, slowStart, time.Now())
	clear(g.trends)
}

// SetSlowStart changes how long the ramp takes that began when the upstream turned cold.
func (g *Gate) SetSlowStart(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits.slowStart = d
}

// Cool treats the upstream as cold from now on; it reports whether it counted as warm.
func (g *Gate) Cool() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limits.cool(time.Now())
}

// Drain admits nothing more, and refuses what waits.
func (g *Gate) Drain() { g.shut(func() { g.draining = true }, Draining) }

// Close forgets the upstream.
func (g *Gate) Close() { g.shut(func() { g.present = false }, Absent) }

func (g *Gate) shut(change func(), outcome Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change()
	for c := range g.waiting {
		for _, w := range g.waiting[c] {
			w.outcome = outcome
			close(w.done)
		}
		g.waiting[c] = nil
	}
}

// Shed takes in that the upstream itself refused a request for lack of capacity.
func (g *Gate) Shed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits.shed(g.total(), time.Now())
}

// Observe takes in the latency of an answer on a route; it reports whether the
// upstream has turned cold by it, and then ramps up again.
func (g *Gate) Observe(route string, latency time.Duration) bool {
	if g.late != nil && g.late() >= jumpFloor {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	return g.trends.jumped(route, latency, now) && g.limits.cool(now)
}

// TimedOut takes in that a request on a route had no answer after waited; its
// latency was at least that. It reports what Observe does.
func (g *Gate) TimedOut(route string, waited time.Duration) bool {
	return g.Observe(route, max(waited, g.trends.level(&g.mu, route)))
}

func (g *Gate) total() int { return g.inUse[Lookup] + g.inUse[Change] }

// refuses returns why a request of class c gets no slot now, or Admitted.
func (g *Gate) refuses(c Class, now time.Time) Refusal {
	limit := g.limits.now(now)
	reserve := 0
	if limit >= reserveFrom && now.Sub(g.lastSeen[c.other()]) < reserveMemory {
		reserve = max(1, limit/reservePart)
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

// Acquire takes a slot; the caller must Release it when it got Admitted. While the
// upstream is full it waits, bounded in number and time; a cold one refuses at once.
func (g *Gate) Acquire(ctx context.Context, c Class) Refusal {
	g.mu.Lock()
	now := time.Now()
	g.lastSeen[c] = now
	r := g.refuses(c, now)
	if r == Admitted && len(g.waiting[c]) == 0 {
		g.inUse[c]++
	}
	queued := r == Full || (r == Admitted && len(g.waiting[c]) > 0)
	if !queued || g.maxWait <= 0 || len(g.waiting[c]) >= g.slots*queuePerSlot {
		g.mu.Unlock()
		if queued {
			return Full
		}
		return r
	}
	w := &waiter{done: make(chan struct{})}
	g.waiting[c] = append(g.waiting[c], w)
	g.mu.Unlock()
	return g.wait(ctx, c, w)
}

func (g *Gate) wait(ctx context.Context, c Class, w *waiter) Refusal {
	timer := time.NewTimer(g.maxWait)
	defer timer.Stop()
	select {
	case <-w.done:
		return w.outcome
	case <-timer.C:
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, x := range g.waiting[c] {
		if x == w {
			g.waiting[c] = append(g.waiting[c][:i], g.waiting[c][i+1:]...)
			return Full
		}
	}
	return w.outcome
}

// Release returns a slot.
func (g *Gate) Release(c Class) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inUse[c]--
	now := time.Now()
	for g.grant(now) {
	}
}

// grant hands a free slot to the waiting class that has fewer; lookups come first at a tie.
func (g *Gate) grant(now time.Time) bool {
	first := Lookup
	if g.inUse[Change] < g.inUse[Lookup] {
		first = Change
	}
	for _, c := range [...]Class{first, first.other()} {
		if len(g.waiting[c]) > 0 && g.refuses(c, now) == Admitted {
			w := g.waiting[c][0]
			g.waiting[c] = g.waiting[c][1:]
			g.inUse[c]++
			close(w.done)
			return true
		}
	}
	return false
}

// Load returns the slots in use, those that may be used now, and whether the upstream leaves.
func (g *Gate) Load() (inUse, limit int, draining bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.total() + len(g.waiting[Lookup]) + len(g.waiting[Change]), g.limits.now(time.Now()), g.draining || !g.present
}

// Running returns the slots in use.
func (g *Gate) Running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.total()
}
