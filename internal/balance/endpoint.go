// Package balance chooses the upstream for a request: the one that is expected to respond first, with a preference
// for the own zone. The estimates of an upstream
// are updated with each response and decay with age.
package balance

import (
	"math"
	"sync"
	"time"

	"celerybank/internal/proxy"
	"celerybank/internal/ratelimit"
)

// Endpoint is one upstream process as this node sees it.
type Endpoint struct {
	// Addr is the peer address of its owner.
	Addr, Zone                 string
	Service, Version, Instance string
	Slots                      int
	// Since is when the upstream joined, in Unix milliseconds.
	Since int64

	// room is the load of the upstreams of the service in the zone.
	room *room

	mu       sync.Mutex
	inflight int
	// inUse, limit and meanTime are the load last reported by the owner, received at reported. meanTime
	// is the mean processing time.
	inUse, limit int
	meanTime     time.Duration
	reported     time.Time
	// inflightReported is the number of requests of this node that were in flight when the load was reported.
	inflightReported int
	// routes has the slowness of the upstream on single routes.
	routes []routeSpeed
	// slowness is the upstream's processing time relative to the mean of the routes, failureRatio
	// the ratio of its requests that failed. Both decay from estimated on.
	slowness, failureRatio float64
	estimated              time.Time
	// transit is the mean time that requests spend between this node and the owner, both ways,
	// including delays of the owner itself: a CPU-starved host is slow even if its upstream is not.
	// It decays from transitAt on.
	transit   time.Duration
	transitAt time.Time
	// avoidUntil is the end of the back-off after consecutive failures to reach the upstream; until
	// then it is picked last.
	avoidUntil time.Time
	failures   int
	// heard is what this node has heard of the limit that the upstream names.
	heard ratelimit.Heard
	// leaving is set once the upstream has said in a response that it leaves.
	leaving bool
	// suspect is set while the membership suspects the host.
	suspect bool
}

// Parameters of the estimates.
const (
	// slownessWeight and failureWeight are the weights of one response.
	slownessWeight = 0.15
	failureWeight  = 0.15
	// transitWeight is the weight of the transit time of one request.
	transitWeight = 0.25
	// estimateHalfLife is the half-life of the failure ratio and the transit time without responses,
	// so that an upstream that has recovered is tried again.
	estimateHalfLife = 4 * time.Second
	// loadFresh is how long a reported load counts in full. After it, the load is assumed to approach that
	// of the other upstreams in the zone, with the same half-life.
	loadFresh = 300 * time.Millisecond
	// initialBackoff is the back-off after a failure to reach an upstream. It doubles with each
	// consecutive failure, at most maxBackoffDoublings times.
	initialBackoff      = 150 * time.Millisecond
	maxBackoffDoublings = 4
	// maxSlowness limits the slowness that one response can show.
	maxSlowness = 12
)

// NewEndpoint returns an Endpoint of which only the announcement is known.
func NewEndpoint(addr, zone, service, version, instance string, slots int, since int64) *Endpoint {
	return &Endpoint{Addr: addr, Zone: zone, Service: service, Version: version, Instance: instance, Slots: slots, Since: since,
		limit: slots, slowness: 1, room: &room{}}
}

// Begin counts a request to e as in flight until End.
func (e *Endpoint) Begin() {
	e.mu.Lock()
	e.inflight++
	e.mu.Unlock()
}

// End ends a request begun with Begin.
func (e *Endpoint) End() {
	e.mu.Lock()
	e.inflight--
	e.mu.Unlock()
}

// UpdateLoad applies the load that the owner reported with a response. It reports whether the load
// had the owner's statistics on speed and failures, which cover all requests to the upstream, not only
// those of this node.
func (e *Endpoint) UpdateLoad(l proxy.Load, now time.Time) (hasStats bool) {
	if l.Limit <= 0 {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inUse, e.limit, e.meanTime, e.reported, e.inflightReported = l.InUse, l.Limit, l.MeanTime, now, max(0, e.inflight-1) // without the one that reports
	e.room.observe(float64(l.InUse)/float64(l.Limit), now)
	e.heard.Record(l.RateLimit, now)
	if l.Slowness <= 0 {
		return false
	}
	e.slowness, e.failureRatio, e.estimated = float64(l.Slowness)/proxy.RatioScale, float64(l.Failures)/proxy.RatioScale, now
	return true
}

// RateLimit returns what this node has heard of the limit that the upstream names.
func (e *Endpoint) RateLimit(now time.Time) ratelimit.Hint {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.heard.Hint(now)
}

// MarkLeaving records that the upstream said that it leaves, and reports whether this is new. It is picked no
// more.
func (e *Endpoint) MarkLeaving() (first bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	first = !e.leaving
	e.leaving = true
	return first
}

// ResetFailures ends the series of failures to reach the upstream: it has responded.
func (e *Endpoint) ResetFailures() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failures = 0
}

// RecordOutcome updates the estimates with one response: its processing time relative to the mean of
// its route, and whether it was a failure.
func (e *Endpoint) RecordOutcome(took, mean time.Duration, failed bool, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.decay(now)
	e.failures = 0
	if took > 0 && mean > 0 && !failed {
		e.slowness += slownessWeight * (min(float64(took)/float64(mean), maxSlowness) - e.slowness)
	}
	sample := 0.0
	if failed {
		sample = 1
	}
	e.failureRatio += failureWeight * (sample - e.failureRatio)
}

// RecordTransit adds the transit time of one request to the mean.
func (e *Endpoint) RecordTransit(transit time.Duration, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	old := e.decayedTransit(now)
	e.transit, e.transitAt = old+time.Duration(transitWeight*float64(transit-old)), now
}

// decayedTransit returns the mean transit time, decayed to now. e.mu is held.
func (e *Endpoint) decayedTransit(now time.Time) time.Duration {
	if e.transitAt.IsZero() {
		return 0
	}
	return time.Duration(float64(e.transit) * math.Exp2(-float64(now.Sub(e.transitAt))/float64(estimateHalfLife)))
}

// RecordShed records that the upstream itself refused a request.
func (e *Endpoint) RecordShed(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.decay(now)
	e.failureRatio += failureWeight * (1 - e.failureRatio)
}

// RecordUnreachable records that the owner or its upstream could not be reached and starts a back-off.
// It returns the length of the back-off.
func (e *Endpoint) RecordUnreachable(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	d := initialBackoff << min(e.failures, maxBackoffDoublings)
	e.failures++
	e.avoidUntil = now.Add(d)
	return d
}

func (e *Endpoint) setSuspect(v bool) {
	e.mu.Lock()
	e.suspect = v
	e.mu.Unlock()
}

// decay decays the slowness and the failure ratio up to now. e.mu is held.
func (e *Endpoint) decay(now time.Time) {
	if !e.estimated.IsZero() {
		keep := math.Exp2(-float64(now.Sub(e.estimated)) / float64(estimateHalfLife))
		e.failureRatio *= keep
		if e.slowness > 1 { // a fast upstream stays fast; a slow one may have recovered
			e.slowness = 1 + (e.slowness-1)*math.Sqrt(keep)
		}
	}
	e.estimated = now
}

// state is a snapshot of the estimates of an Endpoint.
type state struct {
	slowness, failureRatio float64
	wait, transit          time.Duration
	// utilization is the ratio of slots in use to the limit.
	utilization float64
	avoided     bool
	leaving     bool
	// known is set if the reported load is fresh, and spare the number of slots that it then may give to another zone.
	known bool
	spare int
}

// stateFor returns the state for a request of a route.
func (e *Endpoint) stateFor(route string, now time.Time) state {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.decay(now)
	inUse := float64(e.inUse)
	if old := now.Sub(e.reported) - loadFresh; old > 0 {
		fresh := math.Exp2(-float64(old) / float64(loadFresh))
		inUse = fresh*inUse + (1-fresh)*e.room.current(now)*float64(e.limit)
	}

	inUse = max(inUse, float64(e.inflight))
	s := state{slowness: e.slowness, failureRatio: e.failureRatio, transit: e.decayedTransit(now), utilization: inUse / float64(e.limit), avoided: e.suspect || now.Before(e.avoidUntil), leaving: e.leaving}
	if over := inUse + 1 - float64(e.limit); over > 0 {
		s.wait = time.Duration(over * float64(e.meanTime) / float64(e.limit))
	}
	if s.known = !e.reported.IsZero() && now.Sub(e.reported) <= reportFresh; s.known {
		// The drain that is assumed above is that of a host without new requests, which one elsewhere may get.
		s.spare = e.limit - e.inUse - max(0, e.inflight-e.inflightReported) - reservedSlots
	}
	if r := e.routeSpeed(route, now); r != nil {
		s.slowness = r.slowness
	}
	return s
}
