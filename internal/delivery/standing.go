package delivery

import "time"

// demand adds up the work of all requests that would wait for this upstream, refused ones included, less what the
// upstream can process meanwhile (a virtual queue; Gibbens and Kelly 1999). A burst fills it as long as it lasts. A lasting
// overload keeps it full however short the queue is, and however often refused callers return.
type demand struct {
	backlog time.Duration // processing time that exceeds what the slots could process up to at
	at      time.Time
}

const (
	// absorbedFraction is the fraction of its time that a caller waits while the upstream absorbs a burst.
	absorbedFraction = 0.5
	// absorbedRuns limits this wait in mean processing times: callers with much time must not keep those with little waiting.
	absorbedRuns = 12
	// standingRuns is the demand beyond this, in mean processing times, that refused requests leave. It keeps the
	// queue short between the retries of refused callers, and is gone soon after the overload.
	standingRuns = 2
	// shortPerSlot is the number of requests for each slot that may wait while the demand exceeds what can be absorbed.
	// They keep the slots busy.
	shortPerSlot = 0.5
	// childrenPerSlot is the same for child requests. The admission of their parents keeps their queue short; scatter
	// beyond that is absorbed, as a refused child costs the work of its parent.
	childrenPerSlot = 8.0
)

// drain subtracts what the upstream has processed up to now at speed, in processing time per time.
func (d *demand) drain(now time.Time, speed float64) {
	d.backlog = max(0, d.backlog-time.Duration(speed*float64(now.Sub(d.at))))
	d.at = now
}

// add counts a request with the given processing time, at most up to limit.
func (d *demand) add(work, limit time.Duration) {
	d.backlog = max(d.backlog, min(d.backlog+work, limit))
}

// speed returns how much processing time the upstream gets through per time: that of its slots, or less while its
// requests are paced.
func (g *Gate) speed(now time.Time) float64 {
	speed, mean := float64(max(g.capacity(), 1)), g.work.all.mean.Seconds()
	if g.admission.cold.cold(now) {
		speed = min(speed, g.admission.cold.rate*mean)
	}
	if rate := g.admission.named.Rate(); rate > 0 {
		speed = min(speed, rate*mean)
	}
	return speed
}

// countDemand counts a request that would wait for this upstream, and reports whether the demand has grown beyond
// what its caller can wait for.
func (g *Gate) countDemand(r SlotRequest, now time.Time) (standing bool) {
	speed, run := g.speed(now), float64(g.work.all.mean)
	g.demand.drain(now, speed)
	wait := min(absorbedFraction*float64(r.Deadline.Sub(now)), absorbedRuns*run)
	standing = float64(g.demand.backlog) > speed*wait
	work, limit := g.work.of(r.Route).mean, time.Duration(speed*(absorbedRuns+standingRuns)*run)
	g.demand.add(work, limit)
	g.roots.add(r, work, now)
	return standing
}

// demandWait returns the time in which the demand is processed if no more arrives.
func (g *Gate) demandWait(now time.Time) time.Duration {
	speed := g.speed(now)
	g.demand.drain(now, speed)
	return time.Duration(float64(g.demand.backlog) / max(speed, minSpeed))
}

// minSpeed bounds the time named to refused callers while the upstream gets almost no requests.
const minSpeed = 0.1

// shortQueue returns how many requests may wait ahead of a request while the demand is beyond what can be absorbed.
func shortQueue(r SlotRequest, capacity int) int {
	perSlot := shortPerSlot
	if r.Rank < 0 {
		perSlot = childrenPerSlot
	}
	return int(perSlot*float64(capacity)) + 1
}

// DemandWait returns the time in which the demand for this upstream is processed if no more arrives.
func (g *Gate) DemandWait() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.demandWait(time.Now())
}
