package delivery

import (
	"math"
	"slices"
	"time"

	"celerybank/internal/proxy"
)

// queuedRequest is a request that waits for a slot. refused is set before done is closed.
type queuedRequest struct {
	SlotRequest
	done    chan struct{}
	refused Refusal
	// round is the round of its turn, and arrival its place in the order of arrivals.
	round   int
	arrival uint64
}

// backlog adds up the requests ahead of one in the queue, to estimate when its turn comes.
type backlog struct {
	gate     *Gate
	now      time.Time
	capacity int
	// free is the number of free slots, ahead that of the requests which take their turn before.
	free, ahead int
	// work is the processing time ahead for which no slot is free yet, stalled the expected duration of a stall.
	work, stalled time.Duration
	// standing is set when the demand exceeds what the caller can wait for.
	standing bool
}

func (g *Gate) newBacklog(now time.Time) backlog {
	b := backlog{gate: g, now: now, capacity: max(g.capacity(), 1), stalled: g.stalled(now)}
	b.free = b.capacity - g.running
	if b.free < 0 { // the capacity was lowered
		b.work, b.free = time.Duration(-b.free)*g.work.all.mean, 0
	}
	return b
}

// add puts a request with the given processing time ahead.
func (b *backlog) add(work time.Duration) {
	b.ahead++
	if b.ahead > b.free {
		b.work += work
	}
}

// wait returns the expected wait of a request that comes after those ahead.
func (b *backlog) wait() time.Duration {
	wait := time.Duration(0)
	if b.ahead >= b.free {
		// The running requests release all slots once, evenly spaced, within one mean processing time (Little
		// 1961); those ahead follow.
		wait = b.stalled + (b.gate.work.all.mean+b.work)/time.Duration(b.capacity)
	}
	return max(wait, b.gate.admission.wait(b.now, b.ahead))
}

// stalled returns for how long no slot was returned although all running requests were likely to have ended. An upstream
// that stalls is expected to do so for as long again.
func (g *Gate) stalled(now time.Time) time.Duration {
	if g.running < g.capacity() {
		return 0
	}
	longest := time.Duration(0)
	for route := range g.runningOn {
		longest = max(longest, g.work.of(route).likely())
	}
	return max(0, now.Sub(g.progress)-longest)
}

// enqueue queues a request by rank, then by the turns of the workspaces (see rounds), or refuses it because it cannot be served.
func (g *Gate) enqueue(r SlotRequest, now time.Time) (*queuedRequest, Refusal) {
	w := &queuedRequest{SlotRequest: r}
	turn := g.turnOf(w)
	b := g.newBacklog(now)
	for _, other := range g.queue[:turn] {
		b.add(g.work.of(other.Route).mean)
	}
	wait := b.wait()
	if r.WaitToDeadline || wait <= r.MaxWait { // others are better served elsewhere
		b.standing = g.countDemand(r, now)
	}
	if reason := g.refusalReason(r, &b, wait); reason != proxy.ReasonNone {
		return nil, Refusal{Reason: reason, RetryAfter: g.retryAfter(wait)}
	}
	g.arrivals++
	w.arrival, w.done = g.arrivals, make(chan struct{})
	g.queue = slices.Insert(g.queue, turn, w)
	g.displace(r, &b)
	return w, Refusal{}
}

// cannotEnd reports whether a request has too little time left even if it gets a slot now: it would end at its deadline,
// and a non-idempotent one would leave its caller without knowing whether it has run. One request of a route may run all
// the same, as the processing times of the route may have changed since the last response.
func (g *Gate) cannotEnd(r SlotRequest, now time.Time) bool {
	return g.runningOn[r.Route] > 0 && g.work.shortest(r.Route) > r.Deadline.Sub(now)
}

// refusalReason returns why a request that would come after the backlog b and wait for wait is refused.
func (g *Gate) refusalReason(r SlotRequest, b *backlog, wait time.Duration) proxy.Reason {
	left := r.Deadline.Sub(b.now)
	switch {
	case wait+g.work.of(r.Route).likely() > left:
		return proxy.ReasonTooLate
	case b.standing && b.ahead >= shortQueue(r, b.capacity):
		// More has arrived than this caller can wait for. A longer queue would serve no more callers, only each
		// of them later.
		return g.capacityReason(b.now)
	case !r.WaitToDeadline && wait > r.MaxWait, len(g.queue) >= maxQueued && g.queue[len(g.queue)-1].Rank <= max(r.Rank, 0):
		return g.capacityReason(b.now)
	default:
		return proxy.ReasonNone
	}
}

// untilRefusal returns the time after which a queued request may no longer be served if no slot is returned: both the
// stall and the time that has passed count against its slack.
func (g *Gate) untilRefusal(now time.Time) time.Duration {
	b := g.newBacklog(now)
	least := time.Duration(math.MaxInt64)
	for _, w := range g.queue {
		work := g.work.of(w.Route).mean
		least = min(least, w.Deadline.Sub(now)-b.wait()-work)
		b.add(work)
	}
	return least/2 + time.Millisecond
}

// canServe reports whether a queued request whose turn is expected after wait can still end before its deadline.
func (g *Gate) canServe(w *queuedRequest, wait time.Duration, now time.Time) bool {
	return !now.Add(wait + g.work.of(w.Route).mean).After(w.Deadline)
}

// refuseUnservable refuses the queued requests that are not expected to end before their deadlines.
func (g *Gate) refuseUnservable(now time.Time) {
	b := g.newBacklog(now)
	kept := g.queue[:0]
	for _, w := range g.queue {
		wait := b.wait()
		if !g.canServe(w, wait, now) {
			w.refused = Refusal{Reason: proxy.ReasonTooLate, RetryAfter: g.retryAfter(wait)}
			close(w.done)
			continue
		}
		b.add(g.work.of(w.Route).mean)
		kept = append(kept, w)
	}
	refused := len(kept) < len(g.queue)
	clear(g.queue[len(kept):])
	if g.queue = kept; refused {
		g.closeGaps()
	}
}

// capacityReason says what limits the requests to the upstream at the moment.
func (g *Gate) capacityReason(now time.Time) proxy.Reason {
	switch {
	case g.admission.cold.cold(now):
		return proxy.ReasonCold
	case g.admission.named.Wait(now, 0) > 0:
		return proxy.ReasonRateLimited
	default:
		return proxy.ReasonFull
	}
}
