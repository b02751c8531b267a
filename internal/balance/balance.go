package balance

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"celerybank/internal/gossip"
)

// Balancer knows the upstreams of every service.
type Balancer struct {
	zone string

	mu       sync.Mutex
	byAddr   map[string]*Endpoint
	services sync.Map // name to *group
	zones    zones
}

// group is the upstreams of one service and the usual work times of its routes.
type group struct {
	members atomic.Pointer[[]*Endpoint]
	usual   sync.Map // route to *mean
}

// mean is a moving average of work times.
type mean struct{ nanos atomic.Int64 }

// usualWeight is the weight of one work time in the mean of a route.
const usualWeight = 0.03

func (m *mean) add(d time.Duration) {
	old := m.nanos.Load()
	if old == 0 {
		m.nanos.Store(int64(d))
		return
	}
	// A lost update of two at once does no harm to a mean.
	m.nanos.Store(old + int64(usualWeight*float64(int64(d)-old)))
}

// New returns a balancer for a node in zone.
func New(zone string) *Balancer { return &Balancer{zone: zone, byAddr: map[string]*Endpoint{}} }

func (b *Balancer) group(service string) *group {
	if g, ok := b.services.Load(service); ok {
		return g.(*group)
	}
	g, _ := b.services.LoadOrStore(service, newGroup())
	return g.(*group)
}

func newGroup() *group {
	g := &group{}
	g.members.Store(&[]*Endpoint{})
	return g
}

// Update takes in one changed member.
func (b *Balancer) Update(m gossip.Member) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.byAddr[m.Addr]
	u := m.Upstream
	serves := (m.Status == gossip.Alive || m.Status == gossip.Suspect) && !m.Draining && u.Service != ""
	if serves && old != nil && old.Instance == u.Instance && old.Since == u.Since && old.Service == u.Service &&
		old.Version == u.Version && old.Slots == u.Slots && old.Zone == m.Zone {
		old.suspect(m.Status == gossip.Suspect)
		return
	}
	if old != nil {
		delete(b.byAddr, m.Addr)
		b.change(old.Service, func(list []*Endpoint) []*Endpoint {
			return slices.DeleteFunc(list, func(e *Endpoint) bool { return e == old })
		})
	}
	if !serves {
		return
	}
	e := NewEndpoint(m.Addr, m.Zone, u.Service, u.Version, u.Instance, u.Slots, u.Since)
	b.byAddr[m.Addr] = e
	b.change(u.Service, func(list []*Endpoint) []*Endpoint { return append(list, e) })
}

// change replaces the list of a service by what f makes of a copy. b.mu is held.
func (b *Balancer) change(service string, f func([]*Endpoint) []*Endpoint) {
	g := b.group(service)
	next := f(slices.Clone(*g.members.Load()))
	g.members.Store(&next)
}

// Endpoints returns the upstreams of a service; the slice is shared.
func (b *Balancer) Endpoints(service string) []*Endpoint { return *b.group(service).members.Load() }

// Usual returns the usual work time on a route, 0 before the first answer.
func (b *Balancer) Usual(service, route string) time.Duration {
	if m, ok := b.group(service).usual.Load(route); ok {
		return time.Duration(m.(*mean).nanos.Load())
	}
	return 0
}

// Learn takes in the work time of a good answer.
func (b *Balancer) Learn(service, route string, took time.Duration) {
	g := b.group(service)
	m, ok := g.usual.Load(route)
	if !ok {
		m, _ = g.usual.LoadOrStore(route, &mean{})
	}
	m.(*mean).add(took)
}

// Ask is what a choice depends on.
type Ask struct {
	Service, Route string
	// Target is what is left of the time within which the answer is worth most.
	Target time.Duration
	// Eligible leaves endpoints out, such as those of a zone that is out; nil takes all.
	Eligible func(*Endpoint) bool
	// Awaited says that answers to other requests may have to wait for this one.
	Awaited bool
	// Tried are endpoints that refused already.
	Tried []*Endpoint
}

// Costs of a choice, in parts of the worth of an answer in time.
const (
	// ease is the part of the target up to which an expected answer counts as in time: work
	// times scatter, and beyond it a growing part of them is late.
	ease = 0.55
	// farCost is what it costs to leave the zone: bytes between zones are dear.
	farCost = 0.12
	// timeCost is what an answer costs that takes the whole target: of two upstreams that are both in
	// time the faster one gets the request, as work times scatter.
	timeCost = 0.1
	// awaitedCost is added where other answers wait for this one (head-of-line blocking of pipelined
	// requests): each is late by what this one takes.
	awaitedCost = 0.5
	// errorCost is what a failed request costs.
	errorCost = 1.5
	// crowdCost rises as the slots fill up: the owner may refuse, and upstreams slow down.
	crowdCost  = 0.25
	crowdStart = 0.75
	// shunCost puts upstreams that cannot be reached behind all others.
	shunCost = 10
	// firstUsual is the work time assumed before any answer on a route.
	firstUsual = 100 * time.Millisecond
	// farTrip is the least time to another zone and back.
	farTrip = 3 * time.Millisecond
	// jitterCost breaks ties, so that nodes that know the same do not all choose the same.
	jitterCost = 0.02
)

// maxScanned bounds the upstreams that one choice looks at.
const maxScanned = 48

// Pick returns the endpoint with the least expected cost, or nil, and whether it is likely
// to have room at once.
func (b *Balancer) Pick(a Ask) (*Endpoint, bool) {
	all := b.Endpoints(a.Service)
	usual := b.Usual(a.Service, a.Route)
	if usual == 0 {
		usual = firstUsual
	}
	now := time.Now()
	var best *Endpoint
	least, room := 0.0, false
	start := 0
	if len(all) > maxScanned {
		start = rand.IntN(len(all))
	}
	for i := range min(len(all), maxScanned) {
		e := all[(start+i)%len(all)]
		if slices.Contains(a.Tried, e) || (a.Eligible != nil && !a.Eligible(e)) {
			continue
		}
		if e.Zone != b.zone && b.zones.doubted(e.Zone, now) {
			continue
		}
		s := e.state(now)
		if cost := b.cost(e, s, usual, a); best == nil || cost < least {
			best, least, room = e, cost, s.wait == 0 && !s.shunned
		}
	}
	return best, room
}

// Silent takes in that the owner of e did not answer a call in time; it reports whether its zone
// is in doubt by that.
func (b *Balancer) Silent(e *Endpoint, now time.Time) (doubted bool) {
	return e.Zone != b.zone && b.zones.silent(e.Zone, e.Addr, now)
}

// Reached takes in that the owner of e answered.
func (b *Balancer) Reached(e *Endpoint) { b.zones.answered(e.Zone, time.Now()) }

// cost is the expected loss of sending a request to e.
func (b *Balancer) cost(e *Endpoint, s state, usual time.Duration, a Ask) float64 {
	way, cost := s.way, s.errors*errorCost
	if e.Zone != b.zone {
		cost += farCost
		way = max(way, farTrip)
	}
	latency := float64(usual)*s.speed + float64(s.wait+way)
	if s.use > crowdStart {
		cost += crowdCost * (s.use - crowdStart) / (1 - crowdStart)
	}
	part := latency / float64(max(a.Target, time.Millisecond))
	cost += timeCost * part
	if a.Awaited {
		cost += awaitedCost * part
	}
	if late := part - ease; late > 0 {
		cost += late / (1 - ease)
	}
	if s.shunned {
		cost += shunCost
	}
	return cost + jitterCost*rand.Float64()
}
