package routing

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"celerybank/internal/gossip"
	"celerybank/internal/mesh"
)

// Members returns the alive members.
type Members interface {
	Alive() []gossip.Member
}

// Router picks upstreams by the current table and membership.
type Router struct {
	self, zone, region string
	members            Members
	table              atomic.Pointer[Table]

	// mu guards byAddr and services.
	mu       sync.Mutex
	byAddr   map[string]*Endpoint
	services map[string]*serviceView

	// compiling serializes changes of the table; it is locked before mu.
	compiling sync.Mutex
	state     *mesh.State
	overlay   Overlay
}

// NewRouter returns the router of the node with the peer address self, in zone and region.
func NewRouter(self, zone, region string, members Members) *Router {
	r := &Router{self: self, zone: zone, region: region, members: members,
		byAddr: map[string]*Endpoint{}, services: map[string]*serviceView{}}
	r.SetState(mesh.Empty())
	return r
}

// SetState installs the table derived from s.
func (r *Router) SetState(s *mesh.State) { r.recompile(func() { r.state = s }) }

// Table returns the table in force.
func (r *Router) Table() *Table { return r.table.Load() }

// subsetSize is the maximum number of endpoints of a tier that an entry node uses as long as they
// are below saturatedLoad. It limits the connections that the node keeps open.
const subsetSize = 16

// saturatedLoad is the load from which on an endpoint counts as saturated.
const saturatedLoad = 0.8

// pick is the state of one choice.
type pick struct {
	table *Table
	tried []*Endpoint
	now   int64
	// secondPass is set in the second pass, which considers avoided endpoints.
	secondPass bool
}

// Pick returns an upstream for one attempt, or nil if none is eligible. tried are the endpoints of
// earlier attempts. It takes no lock and does not allocate.
func (r *Router) Pick(svc *Service, tried []*Endpoint) *Endpoint {
	p := pick{table: r.table.Load(), tried: tried, now: time.Now().UnixNano()}
	// The request may have started under an older table, from before a veto.
	if newest := p.table.Service(svc.Name); newest != nil {
		svc = newest
	}
	if svc.view == nil {
		return nil
	}
	versions := *svc.view.current.Load()
	// Retries go to the stable version: the new version gets its share of first attempts only.
	if len(tried) == 0 && svc.RollingOut != "" && rand.IntN(mesh.FullShare) < svc.Share {
		if e := p.fromNewVersion(versions[svc.RollingOut], svc.Share); e != nil {
			return e
		}
	}
	if e := p.from(versions[svc.Stable]); e != nil || svc.Share < mesh.FullShare {
		return e
	}
	return p.from(versions[svc.RollingOut])
}

// from returns an endpoint of the nearest tier that has one below saturatedLoad, or else the least
// loaded of one candidate per tier. Avoided endpoints are considered only if there is no other.
func (p *pick) from(g *group) *Endpoint {
	if g == nil {
		return nil
	}
	p.secondPass = false
	if e := p.fromTiers(g); e != nil {
		return e
	}
	p.secondPass = true
	return p.fromTiers(g)
}

// fromTiers makes the choice of one pass.
func (p *pick) fromTiers(g *group) *Endpoint {
	var best *Endpoint
	var least float64
	for _, tier := range g[:tierCount] {
		e, load := p.fromTier(tier)
		if e != nil && load < saturatedLoad {
			return e
		}
		if e != nil && (best == nil || load < least) {
			best, least = e, load
		}
	}
	return best
}

// fromTier chooses from the subset of this entry node, and if its candidate is saturated also from
// the rest of the tier.
func (p *pick) fromTier(tier []*Endpoint) (*Endpoint, float64) {
	n := min(len(tier), subsetSize)
	e, load := p.twoChoices(tier[:n], 0, n)
	if len(tier) == n || (e != nil && load < saturatedLoad) {
		return e, load
	}
	rest := tier[n:]
	other, otherLoad := p.twoChoices(rest, rand.IntN(len(rest)), min(len(rest), subsetSize))
	if e == nil || (other != nil && otherLoad < load) {
		return other, otherLoad
	}
	return e, load
}

// twoChoices returns the less loaded of two random eligible endpoints (power of two choices,
// Mitzenmacher 2001) and its load. It considers n endpoints of list from index start on, wrapping
// around; n is at most subsetSize.
func (p *pick) twoChoices(list []*Endpoint, start, n int) (*Endpoint, float64) {
	var eligible [subsetSize]*Endpoint
	count := 0
	for i := range n {
		e := list[(start+i)%len(list)]
		if p.eligible(e) {
			eligible[count] = e
			count++
		}
	}
	if count == 0 {
		return nil, 0
	}
	i := rand.IntN(count)
	a, load := eligible[i], eligible[i].load(p.now)
	if count == 1 {
		return a, load
	}
	j := rand.IntN(count - 1)
	if j >= i {
		j++
	}
	if other := eligible[j].load(p.now); other < load {
		return eligible[j], other
	}
	return a, load
}

// eligible reports whether e may be chosen in the current pass.
func (p *pick) eligible(e *Endpoint) bool {
	if e.drainUntil.Load() > p.now || !p.isCandidate(e) {
		return false
	}
	for _, x := range p.tried {
		if x == e {
			return false
		}
	}
	return !p.table.IsOut(e.Zone)
}
