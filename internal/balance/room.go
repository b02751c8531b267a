package balance

import (
	"math"
	"sync"
	"time"
)

// room estimates how full the upstreams of one service in one availability zone are, from the loads that their owners
// report with each response. An entry node hears of a single upstream every few seconds, but of all upstreams of a zone
// many times a second, so the estimate stands in for a report that has become old.
type room struct {
	mu          sync.Mutex
	utilization float64 // mean of the running and queued requests for each slot
	at          time.Time
}

const (
	// roomTime is the time constant of the mean, about two processing times.
	roomTime = 250 * time.Millisecond
	// roomMinWeight is the least weight of a report: reports of one moment come from different upstreams.
	roomMinWeight = 0.1
	// roomHalfLife is the half-life of an estimate without reports, so that a zone that was full is tried again.
	roomHalfLife = time.Second
)

// observe adds the utilization that one owner reports.
func (r *room) observe(utilization float64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	weight := 1.0
	if !r.at.IsZero() {
		weight = max(roomMinWeight, 1-math.Exp(-float64(now.Sub(r.at))/float64(roomTime)))
	}
	r.utilization += weight * (utilization - r.utilization)
	r.at = now
}

// current returns the mean utilization, 0 if nothing is known.
func (r *room) current(now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.at.IsZero() {
		return 0
	}
	return r.utilization * math.Exp2(-float64(now.Sub(r.at))/float64(roomHalfLife))
}

// room returns the estimate of a zone.
func (g *group) room(zone string) *room {
	if r, ok := g.rooms.Load(zone); ok {
		return r.(*room)
	}
	r, _ := g.rooms.LoadOrStore(zone, &room{})
	return r.(*room)
}
