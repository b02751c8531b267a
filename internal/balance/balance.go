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

	mu     sync.Mutex
	byAddr map[string]*Endpoint
	// remembered are upstreams of which this node has no endpoint at the moment.
	remembered map[process]remembered
	services   sync.Map // name to *group
	zones      zones
}

// group holds the upstreams of one service and the mean processing times of its routes.
type group struct {
	endpoints atomic.Pointer[[]*Endpoint]
	meanTimes sync.Map // route to *movingAverage
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
	return &Balancer{zone: zone, byAddr: map[string]*Endpoint{}, remembered: map[process]remembered{}}
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
	g.endpoints.Store(&[]*Endpoint{})
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
	b.recall(e)
	b.byAddr[m.Addr] = e
	b.change(u.Service, func(list []*Endpoint) []*Endpoint { return append(list, e) })
}

// change replaces the endpoint list of a service by the result of f on a copy. b.mu is held.
func (b *Balancer) change(service string, f func([]*Endpoint) []*Endpoint) {
	g := b.group(service)
	next := f(slices.Clone(*g.endpoints.Load()))
	g.endpoints.Store(&next)
}

// Endpoints returns the upstreams of a service. The slice is shared and must not be modified.
func (b *Balancer) Endpoints(service string) []*Endpoint { return *b.group(service).endpoints.Load() }

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
	// Target is the time left until a response counts as late.
	Target time.Duration
	// Eligible filters endpoints, for example those of a zone that is out; nil accepts all.
	Eligible func(*Endpoint) bool
	// Pipelined is set when responses to other requests may have to wait for this one.
	Pipelined bool
	// Tried lists the endpoints that have already refused the request.
	Tried []*Endpoint
}

// Costs of a choice. The unit is the value of a response within the target.
const (
	// inTimeFraction is the fraction of the target above which the expected latency has a cost for late
	// responses: processing times scatter, so that a growing fraction of the responses is late.
	inTimeFraction = 0.55
	// crossZoneCost is added for an upstream in another zone: traffic between zones is expensive.
	crossZoneCost = 0.12
	// latencyCost is the cost of a response that takes the whole target. It gives the request to the
	// faster of two upstreams that are both expected in time: processing times scatter, so that
	// responses of the slower one are late more often.
	latencyCost = 0.1
	// pipelinedCost is added to latencyCost for pipelined requests (head-of-line blocking): the time
	// that this request takes delays each response behind it.
	pipelinedCost = 0.5
	// failureCost is the cost of a failed request.
	failureCost = 1.5
	// utilizationCost is the cost of an upstream whose slots are all in use, and grows linearly from
	// utilizationStart: the owner may refuse the request, and upstreams slow down under load.
	utilizationCost  = 0.25
	utilizationStart = 0.75
	// avoidedCost ranks upstreams in back-off or on a suspect host behind all others.
	avoidedCost = 10
	// defaultProcessingTime is assumed before the first response on a route.
	defaultProcessingTime = 100 * time.Millisecond
	// minCrossZoneTransit is the minimum assumed transit time of a request to another zone and back.
	minCrossZoneTransit = 3 * time.Millisecond
	// jitterCost breaks ties at random, so that nodes with the same view do not all choose the same
	// upstream.
	jitterCost = 0.02
)

// maxScanned is the number of upstreams that one choice considers at most.
const maxScanned = 48

// Pick returns the endpoint with the lowest expected cost, or nil, and whether it is likely to have a
// free slot at once.
func (b *Balancer) Pick(c Criteria) (*Endpoint, bool) {
	all := b.Endpoints(c.Service)
	mean := b.MeanProcessingTime(c.Service, c.Route)
	if mean == 0 {
		mean = defaultProcessingTime
	}
	now := time.Now()
	var best *Endpoint
	least, free := 0.0, false
	start := 0
	if len(all) > maxScanned {
		start = rand.IntN(len(all))
	}
	for i := range min(len(all), maxScanned) {
		e := all[(start+i)%len(all)]
		if slices.Contains(c.Tried, e) || (c.Eligible != nil && !c.Eligible(e)) {
			continue
		}
		if e.Zone != b.zone && b.zones.unreachable(e.Zone, now) {
			continue
		}
		s := e.state(now)
		if s.leaving {
			continue
		}
		if cost := b.cost(e, s, mean, c); best == nil || cost < least {
			best, least, free = e, cost, s.wait == 0 && !s.avoided
		}
	}
	return best, free
}

// RecordNoResponse records that the owner of e did not respond in time. It reports whether this makes
// the zone of e unreachable.
func (b *Balancer) RecordNoResponse(e *Endpoint, now time.Time) (unreachable bool) {
	return e.Zone != b.zone && b.zones.recordNoResponse(e.Zone, e.Addr, now)
}

// RecordResponse records that the owner of e responded.
func (b *Balancer) RecordResponse(e *Endpoint) { b.zones.recordResponse(e.Zone, time.Now()) }

// cost returns the expected cost of sending a request to e. mean is the mean processing time on the
// route of the request.
func (b *Balancer) cost(e *Endpoint, s state, mean time.Duration, c Criteria) float64 {
	transit, cost := s.transit, s.failureRatio*failureCost
	if e.Zone != b.zone {
		cost += crossZoneCost
		transit = max(transit, minCrossZoneTransit)
	}
	latency := float64(mean)*s.slowness + float64(s.wait+transit)
	if s.utilization > utilizationStart {
		cost += utilizationCost * (s.utilization - utilizationStart) / (1 - utilizationStart)
	}
	ratio := latency / float64(max(c.Target, time.Millisecond))
	cost += latencyCost * ratio
	if c.Pipelined {
		cost += pipelinedCost * ratio
	}
	if late := ratio - inTimeFraction; late > 0 {
		cost += late / (1 - inTimeFraction)
	}
	if s.avoided {
		cost += avoidedCost
	}
	return cost + jitterCost*rand.Float64()
}
