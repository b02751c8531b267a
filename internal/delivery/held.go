package delivery

import (
	"time"

	"celerybank/internal/proxy"
	"celerybank/internal/registry"
	"celerybank/internal/verdict"
)

// An upstream may go on with a request whose connection the owner has closed, because the caller left or its time was
// over. Its slot counts as used until the longest time of the work is over: some upstreams reset the connection of a
// request for which they have no slot, and others never answer it.
const (
	// longestDeviations is the number of mean deviations above the mean within which all but very few requests end.
	longestDeviations = 5
	// maxHeld bounds the time for which the slot of such a request counts as used after it was given up.
	maxHeld = 3 * time.Second
	// predecessorHold is the time after the start of this process for which the slots of an upstream that was there
	// before count as used: requests of a predecessor that was killed may still run. It is several times the usual
	// work, and less than the time that a restarted node takes to get its first announcement in most cases.
	predecessorHold = 500 * time.Millisecond
	// predecessorMargin is the age, at the start of this process, from which an upstream may have served a predecessor.
	predecessorMargin = time.Second
)

// longest returns the time within which all but very few requests of a route end.
func (g *Gate) longest(route string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.work.of(route)
	return e.mean + longestDeviations*e.deviation
}

// paced reports whether a request may have waited for its turn after it was given to the client.
func (g *Gate) paced() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sending.active(time.Now())
}

// releaseSlot returns the slot of a request, at once if it is known to be free, and else when the longest time of the work
// is over.
func (o *Owner) releaseSlot(req *proxy.Request, res *proxy.Response) {
	hold := o.holdTime(req, res)
	if hold <= 0 {
		o.Gate.Release(req.Route, processingTime(res))
		return
	}
	o.givenUp.Add(1)
	route, took := req.Route, processingTime(res)
	time.AfterFunc(hold, func() {
		o.givenUp.Add(-1)
		o.Gate.Release(route, took)
	})
}

// holdTime returns for how long the upstream may still run a request whose response is res.
func (o *Owner) holdTime(req *proxy.Request, res *proxy.Response) time.Duration {
	givenUp := res.Reason == proxy.ReasonDeadline || res.Reason == proxy.ReasonCancelled
	if res.Verdict != verdict.MayHaveRun || !givenUp {
		return 0
	}
	hold := o.Gate.longest(req.Route)
	if !o.Gate.paced() {
		hold -= res.ProcessingTime
	}
	return min(hold, maxHeld)
}

// GivenUp returns the number of slots that count as used by requests which were given up.
func (o *Owner) GivenUp() int { return int(o.givenUp.Load()) }

// holdForPredecessor counts all slots as used for a moment after the start of this process, if the upstream is older.
// o.mu is held.
func (o *Owner) holdForPredecessor(u registry.Upstream) {
	if u.Born > 0 && u.Born < o.started.Add(-predecessorMargin).UnixMilli() {
		o.Gate.holdUntil(o.started.Add(predecessorHold))
	}
}

// holdUntil counts all slots as used until a time.
func (g *Gate) holdUntil(t time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.heldUntil = t
}
