package delivery

import (
	"celerybank/internal/events"
	"celerybank/internal/proxy"
)

// displace refuses the last request of the lowest rank in the queue if the newcomer r is of a better rank and has grown the
// queue beyond its bound: a request must not hold the place for which one of higher priority is refused. The displaced one
// has not run, and its caller knows at once. Children do not give way, as their parents are running; they count as their
// roots, so that a root displaces no request of a better priority by its children.
func (g *Gate) displace(r SlotRequest, b *backlog) {
	bound := maxQueued
	if b.standing {
		bound = shortQueue(SlotRequest{}, b.capacity)
	}
	n := len(g.queue)
	if n <= bound {
		return
	}
	last := g.queue[n-1]
	by, _ := proxy.RootRank(r.Rank)
	if last.Rank < 0 || last.Rank <= by {
		return
	}
	last.refused = Refusal{Reason: g.capacityReason(b.now), RetryAfter: g.retryAfter(b.wait()), Displaced: true, DisplacedBy: by}
	close(last.done)
	g.queue[n-1] = nil
	g.queue = g.queue[:n-1]
}

// reportDisplaced emits the event of a request that gave way to one of a better rank.
func (o *Owner) reportDisplaced(req *proxy.Request, refused Refusal) {
	if !refused.Displaced {
		return
	}
	o.displaced.Add(1)
	o.Events.Emit(events.RequestDisplaced, events.Fields{"request": req.RequestID, "service": req.Service, "route": req.Route, "rank": req.Rank,
		"by_rank": refused.DisplacedBy, "left_ms": req.Timeout.Milliseconds(), "retry_after_ms": refused.RetryAfter.Milliseconds()})
}
