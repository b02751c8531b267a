// Package delivery implements the owner's part of a request: the node on the host of an upstream admits
// requests to it, limits the rate while it is cold, sends them and classifies the responses. The
// upstream can be reached through this process only, so its decisions need no agreement between nodes.
package delivery

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"celerybank/internal/proxy"
	"celerybank/internal/ratelimit"
)

// SlotRequest describes a request that needs a slot.
type SlotRequest struct {
	// Rank orders queued requests; the lowest goes first. That of a child names the rank of its root (proxy.ChildRank).
	Rank int
	// Workspace is the name of the workspace of the request; those of one rank have their turns in rounds.
	Workspace string
	// Route is the name of the request's route, whose processing time is the work left.
	Route string
	// Deadline is when the caller's timeout expires.
	Deadline time.Time
	// MaxWait is the longest expected wait for which no other upstream is a better choice. A request with
	// WaitToDeadline has no other choice and waits as long as its deadline allows.
	MaxWait        time.Duration
	WaitToDeadline bool
	// RateLimit is what the entry node has heard of the limit that the upstream names.
	RateLimit ratelimit.Hint
}

// Refusal says why a request got no slot, and when the caller may retry.
type Refusal struct {
	Reason     proxy.Reason
	RetryAfter time.Duration
	// Displaced is set if the request was queued and gave way to a newcomer of the rank DisplacedBy.
	Displaced   bool
	DisplacedBy int
}

// maxQueued bounds the memory of the queue. The deadlines of the requests limit it long before.
const maxQueued = 512

// Gate is the only counter of an upstream's slots, and therefore exact. It queues requests for the slots by rank, then in rounds
// over the workspaces, then by arrival, and refuses a request as soon as it is known that it cannot be served in the time that its caller
// has left. A queued request loses its turn only to higher ranks, and to
// workspaces that had fewer turns.
type Gate struct {
	mu           sync.Mutex
	open         bool
	closedReason proxy.Reason // why the gate is closed, while open is false
	slots        int
	running      int
	// heldUntil is until when all slots count as used; see predecessorHold.
	heldUntil time.Time
	// runningOn counts the running requests by route.
	runningOn map[string]int
	// progress is when a request last got or returned a slot.
	progress time.Time
	queue    []*queuedRequest // in the order of their turns
	rounds   rounds
	arrivals uint64 // counts the queued requests
	demand   demand
	roots    rootDemand
	work     workEstimates
	// admission spaces admissions, in the order of ranks. sending spaces the sends that follow, as
	// a host may stall after several admissions and then send them all at once.
	admission, sending pacing
	// sendTurn holds one element while a paced request is being written.
	sendTurn chan struct{}
	timer    *time.Timer
}

// NewGate returns a Gate that admits nothing until Open.
func NewGate() *Gate {
	return &Gate{closedReason: proxy.ReasonNoUpstream, work: newWorkEstimates(), runningOn: map[string]int{}, rounds: rounds{}, sendTurn: make(chan struct{}, 1)}
}

// Open admits up to slots concurrent requests and, until coldUntil, coldRate requests per second.
func (g *Gate) Open(slots int, coldUntil time.Time, coldRate float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open, g.slots = true, slots
	g.admission.cold.set(coldUntil, coldRate)
	g.sending.cold.set(coldUntil, coldRate)
	g.admitQueued(time.Now())
}

// ObserveLimit applies the limit that a response names, as in ratelimit.Limiter, to a request that was sent at
// sent. It reports whether the limit changed. Requests in the queue are admitted by the Release that follows.
func (g *Gate) ObserveLimit(rate float64, sent time.Time) (changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.sending.named.Observe(rate, sent, now)
	return g.admission.named.Observe(rate, sent, now)
}

// AwaitLimit is called when the process starts: its predecessor may have been told a limit.
func (g *Gate) AwaitLimit() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sending.named, g.admission.named = ratelimit.New(), ratelimit.New()
}

// ResetLimit forgets the limit, as another process has taken the place of the upstream.
func (g *Gate) ResetLimit() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sending.named.Reset()
	g.admission.named.Reset()
}

// capacity returns the number of requests that may run at the same time.
func (g *Gate) capacity() int {
	if !g.heldUntil.IsZero() && time.Now().Before(g.heldUntil) {
		return 0
	}
	return g.admission.named.InFlight(g.slots)
}

// Close refuses queued and new requests for reason.
func (g *Gate) Close(reason proxy.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open, g.closedReason = false, reason
	for _, w := range g.queue {
		w.refused = Refusal{Reason: reason}
		close(w.done)
	}
	g.queue = nil
}

// Acquire waits for a slot. If ok is true the caller must Release it; otherwise refused says why.
func (g *Gate) Acquire(ctx context.Context, r SlotRequest) (refused Refusal, ok bool) {
	g.mu.Lock()
	now := time.Now()
	if !g.open {
		defer g.mu.Unlock()
		return Refusal{Reason: g.closedReason}, false
	}
	g.sending.named.Learn(r.RateLimit, now)
	g.admission.named.Learn(r.RateLimit, now)
	if g.cannotEnd(r, now) {
		defer g.mu.Unlock()
		return Refusal{Reason: proxy.ReasonTooLate, RetryAfter: g.retryAfter(0)}, false
	}
	if len(g.queue) == 0 && g.running < g.capacity() && g.admission.admit(now) {
		g.start(r, now)
		g.countDemand(r, now)
		g.mu.Unlock()
		return Refusal{}, true
	}
	g.refuseUnservable(now)
	w, refusal := g.enqueue(r, now)
	if w == nil {
		g.mu.Unlock()
		return refusal, false
	}
	g.admitQueued(now)
	g.mu.Unlock()
	select {
	case <-w.done:
		return w.refused, w.refused.Reason == proxy.ReasonNone
	case <-ctx.Done():
	}
	return g.dequeue(w, ctx)
}

// dequeue removes a queued request whose context has ended. If it has been admitted or refused in the
// meantime, that result stands.
func (g *Gate) dequeue(w *queuedRequest, ctx context.Context) (Refusal, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := slices.Index(g.queue, w)
	if i < 0 {
		return w.refused, w.refused.Reason == proxy.ReasonNone
	}
	g.queue = slices.Delete(g.queue, i, i+1)
	g.closeGaps()
	if ctx.Err() == context.DeadlineExceeded {
		return Refusal{Reason: proxy.ReasonTooLate}, false
	}
	return Refusal{Reason: proxy.ReasonCancelled}, false
}

// retryAfter returns when a refused caller may expect room: a random time between one and two times the expected
// wait, at least the time in which one slot is released, so that callers that retry do not arrive at once.
func (g *Gate) retryAfter(wait time.Duration) time.Duration {
	wait = max(wait, g.work.all.mean/time.Duration(max(g.capacity(), 1)), 1)
	return wait + rand.N(max(wait, g.demandWait(time.Now())))
}

// RetryAfter returns when a caller that comes after those in the queue may expect room.
func (g *Gate) RetryAfter() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.newBacklog(time.Now())
	for _, w := range g.queue {
		b.add(g.work.of(w.Route).mean)
	}
	return g.retryAfter(b.wait())
}

// Release returns a slot. took is the upstream's processing time of the request on the route, 0 when unknown.
func (g *Gate) Release(route string, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	if g.runningOn[route]--; g.runningOn[route] <= 0 {
		delete(g.runningOn, route)
	}
	if took > 0 {
		g.work.add(route, took)
	}
	g.progress = time.Now()
	g.admitQueued(g.progress)
}

// start gives a slot to a request.
func (g *Gate) start(r SlotRequest, now time.Time) {
	g.running++
	g.runningOn[r.Route]++
	g.rounds.start(r)
	g.progress = now
}

// admitQueued refuses the queued requests that can no longer be served and gives free slots to the others.
func (g *Gate) admitQueued(now time.Time) {
	g.refuseUnservable(now)
	for g.open && len(g.queue) > 0 && g.running < g.capacity() && g.admission.admit(now) {
		g.start(g.queue[0].SlotRequest, now)
		close(g.queue[0].done)
		g.queue = slices.Delete(g.queue, 0, 1)
	}
	g.armTimer(now)
}

// armTimer schedules admitQueued for the time when the next request may be admitted, or when one may no longer be served.
func (g *Gate) armTimer(now time.Time) {
	if len(g.queue) == 0 {
		return
	}
	wait := g.untilRefusal(now)
	if g.admission.active(now) && g.running < g.capacity() {
		wait = min(wait, g.admission.wait(now, 0))
	}
	if held := g.heldUntil.Sub(now); held > 0 {
		wait = min(wait, held)
	}
	wait = max(wait, time.Millisecond)
	if g.timer != nil {
		g.timer.Reset(wait)
		return
	}
	g.timer = time.AfterFunc(wait, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.admitQueued(time.Now())
	})
}

// Load returns the number of running and queued requests, the concurrency limit, the mean processing
// time, and as Draining whether the gate is closed.
func (g *Gate) Load() proxy.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	limit := g.admission.slots(time.Now(), g.work.all.mean, g.slots)
	return proxy.Load{InUse: g.running + len(g.queue), Limit: max(limit, 1), Draining: !g.open, MeanTime: g.work.all.mean, RateLimit: g.admission.named.Hint()}
}

// Running returns the number of requests that hold a slot.
func (g *Gate) Running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running
}
