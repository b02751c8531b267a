package balance

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"celerybank/internal/gossip"
)

// Balancer tracks the upstreams of every service and picks one for each request.
type Balancer struct {
	zone string
	// Random returns a number from 0 to 1 that breaks ties.
	Random func() float64

	mu     sync.Mutex
	byAddr map[string]*Endpoint
	// remembered are upstreams of which this node has no endpoint at the moment.
	remembered map[process]remembered
	services   sync.Map // name to *group
	zones      zones
}

// group holds the upstreams of one service and the mean processing times of its routes.
type group struct {
	endpoints atomic.Pointer[endpoints]
	meanTimes sync.Map // route to *movingAverage
	rooms     sync.Map // availability zone to *room
	spillover spillover
}

// endpoints are the upstreams of one service. The slices are not modified.
type endpoints struct {
	all []*Endpoint
	// home are those in this node's zone, and far the others.
	home, far []*Endpoint
}

// movingAverage is an exponentially weighted moving average of processing times.
type movingAverage struct{ nanos atomic.Int64 }

// meanWeight is the weight of one processing time in the mean of a route.
const meanWeight = 0.03

func (m *movingAverage) add(d time.Duration) {
	old := m.nanos.Load()
	if old == 0 {
		m.nanos.Store(int64(d))
		return
	}
	// Not atomic: losing one of two concurrent updates does not matter for a mean.
	m.nanos.Store(old + int64(meanWeight*float64(int64(d)-old)))
}

// New returns a Balancer for a node in zone.
func New(zone string) *Balancer {
	return &Balancer{zone: zone, Random: rand.Float64, byAddr: map[string]*Endpoint{}, remembered: map[process]remembered{}}
}

func (b *Balancer) group(service string) *group {
	if g, ok := b.services.Load(service); ok {
		return g.(*group)
	}
	g, _ := b.services.LoadOrStore(service, newGroup())
	return g.(*group)
}

func newGroup() *group {
	g := &group{}
	g.endpoints.Store(&endpoints{})
	return g
}

// Update applies the new state of one member.
func (b *Balancer) Update(m gossip.Member) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.byAddr[m.Addr]
	u := m.Upstream
	serves := (m.Status == gossip.Alive || m.Status == gossip.Suspect) && !m.Draining && u.Service != ""
	if serves && old != nil && old.Instance == u.Instance && old.Since == u.Since && old.Service == u.Service &&
		old.Version == u.Version && old.Slots == u.Slots && old.Zone == m.Zone {
		old.setSuspect(m.Status == gossip.Suspect)
		return
	}
	if old != nil {
		delete(b.byAddr, m.Addr)
		b.remember(old)
		b.change(old.Service, func(list []*Endpoint) []*Endpoint {
			return slices.DeleteFunc(list, func(e *Endpoint) bool { return e == old })
		})
	}
	if !serves {
		return
	}
	e := NewEndpoint(m.Addr, m.Zone, u.Service, u.Version, u.Instance, u.Slots, u.Since)
	e.room = b.group(u.Service).room(m.Zone)
	b.recall(e)
	b.byAddr[m.Addr] = e
	b.change(u.Service, func(list []*Endpoint) []*Endpoint { return append(list, e) })
}

// change replaces the endpoint list of a service by the result of f on a copy. b.mu is held.
func (b *Balancer) change(service string, f func([]*Endpoint) []*Endpoint) {
	g := b.group(service)
	next := &endpoints{all: f(slices.Clone(g.endpoints.Load().all))}
	for _, e := range next.all {
		if e.Zone == b.zone {
			next.home = append(next.home, e)
		} else {
			next.far = append(next.far, e)
		}
	}
	g.endpoints.Store(next)
}

// Endpoints returns the upstreams of a service. The slice is shared and must not be modified.
func (b *Balancer) Endpoints(service string) []*Endpoint {
	return b.group(service).endpoints.Load().all
}

// MeanProcessingTime returns the mean processing time on a route, 0 before the first response.
func (b *Balancer) MeanProcessingTime(service, route string) time.Duration {
	if m, ok := b.group(service).meanTimes.Load(route); ok {
		return time.Duration(m.(*movingAverage).nanos.Load())
	}
	return 0
}

// RecordProcessingTime adds the processing time of a successful response to the mean of its route.
func (b *Balancer) RecordProcessingTime(service, route string, took time.Duration) {
	g := b.group(service)
	m, ok := g.meanTimes.Load(route)
	if !ok {
		m, _ = g.meanTimes.LoadOrStore(route, &movingAverage{})
	}
	m.(*movingAverage).add(took)
}

// Criteria describes the request for which Pick chooses an endpoint.
type Criteria struct {
	Service, Route string
	// Left is the time that the caller has left.
	Left time.Duration
	// Eligible filters endpoints, for example those of a zone that is out; nil accepts all.
	Eligible func(*Endpoint) bool
	// Pipelined is set when responses to other requests may have to wait for this one.
	Pipelined bool
	// Tried lists the endpoints that have already refused the request.
	Tried []*Endpoint
}

// The cost of a choice is the expected time to the response, plus what follows in processing times of the route.
const (
	// crossZoneCost is added for an upstream in another zone: traffic between zones is expensive, a zone that is cut off
	// must not depend on others, and in an overload of all zones a crossing serves nobody more. Usual differences in speed
	// between upstreams are below it, the wait in a zone that has no room is above.
	crossZoneCost = 1.5
	// crossZoneCostRefused replaces crossZoneCost once an upstream had no room for the request: another zone may have some.
	crossZoneCostRefused = 1.0
	// utilizationCost is added for an upstream whose slots are all in use, and grows linearly from
	// utilizationStart: it may be full when the request arrives, which then waits, and upstreams slow down under
	// load.
	utilizationCost  = 1.0
	utilizationStart = 0.75
	// jitterCost breaks ties at random, so that nodes with the same view do not all choose the same
	// upstream.
	jitterCost = 0.2
	// defaultProcessingTime is assumed before the first response on a route.
	defaultProcessingTime = 100 * time.Millisecond
	// minCrossZoneTransit is the minimum assumed transit time of a request to another zone and back.
	minCrossZoneTransit = 3 * time.Millisecond
	// pipelinedFactor multiplies the time to the response of a pipelined request (head-of-line blocking): it is
	// also the time of at least one response behind it.
	pipelinedFactor = 2
)

// Choice is the endpoint with the lowest expected cost.
type Choice struct {
	*Endpoint
	// MaxWait is the longest wait for a slot there with which it is still the best choice. Only is set if there
	// is no other, or if none is expected to have a free slot: the request may then wait as long as its caller.
	MaxWait time.Duration
	Only    bool
}

// candidate is an endpoint that may get the request.
type candidate struct {
	endpoint *Endpoint
	state    state
	// cost is the expected cost, and quality the part of it that does not depend on the load.
	cost, quality time.Duration
}

// before reports whether x is a better choice than y. Upstreams in back-off or on a suspect host come last.
func (x candidate) before(y candidate) bool {
	switch {
	case y.endpoint == nil:
		return true
	case x.state.avoided != y.state.avoided:
		return y.state.avoided
	default:
		return x.cost < y.cost
	}
}

// choice returns x as the choice before second.
func (x candidate) choice(second candidate, pipelined bool) Choice {
	c := Choice{Endpoint: x.endpoint, Only: x.state.wait > 0 || x.state.avoided || second.endpoint == nil || second.state.avoided}
	if !c.Only {
		advantage := second.cost - x.cost
		if pipelined {
			advantage /= pipelinedFactor // a wait counts as often as the rest of the time
		}
		c.MaxWait = advantage + x.state.transit // at the owner the transit there is over
	}
	return c
}

// RecordNoResponse records that the owner of e did not respond in time. It reports whether this makes
// the zone of e unreachable.
func (b *Balancer) RecordNoResponse(e *Endpoint, now time.Time) (unreachable bool) {
	return e.Zone != b.zone && b.zones.recordNoResponse(e.Zone, e.Addr, now)
}

// RecordResponse records that the owner of e responded.
func (b *Balancer) RecordResponse(e *Endpoint) { b.zones.recordResponse(e.Zone, time.Now()) }

// candidate returns e as a candidate. mean is the mean processing time on the route of the request.
func (b *Balancer) candidate(e *Endpoint, s state, mean time.Duration, c Criteria) candidate {
	transit, extra, busy := s.transit, jitterCost*b.Random(), 0.0
	if e.Zone != b.zone {
		extra += crossingCost(c)
		transit = max(transit, minCrossZoneTransit)
	}
	if s.utilization > utilizationStart {
		busy = utilizationCost * (s.utilization - utilizationStart) / (1 - utilizationStart)
	}
	cost := func(wait time.Duration, extra float64) time.Duration {
		latency := float64(mean)*s.slowness + float64(wait+transit)
		// A failure costs the caller the rest of its time.
		latency += s.failureRatio * max(0, float64(c.Left)-latency)
		if c.Pipelined {
			latency *= pipelinedFactor
		}
		return time.Duration(latency + extra*float64(mean))
	}
	return candidate{endpoint: e, state: s, cost: cost(s.wait, extra+busy), quality: cost(0, extra)}
}

// crossingCost returns the cost of leaving the zone, in processing times.
func crossingCost(c Criteria) float64 {
	if len(c.Tried) > 0 {
		return crossZoneCostRefused
	}
	return crossZoneCost
}
