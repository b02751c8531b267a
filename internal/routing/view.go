package routing

import (
	"cmp"
	"slices"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"celerybank/internal/gossip"
)

// The tiers of a group, nearest first.
const (
	ownZone = iota
	ownRegion
	elsewhere
	tierCount
	// ranked is the index of the list of all endpoints, in the same order at every entry node.
	ranked = tierCount
)

// group holds the endpoints of one version of a service by tier. It is immutable. Each tier is
// sorted by score, so that its first endpoints are the subset of this entry node.
type group [tierCount + 1][]*Endpoint

// endpoints maps the versions of one service to their groups. It is immutable.
type endpoints map[string]*group

// serviceView holds the current endpoints of one service. Successive tables share it.
type serviceView struct{ current atomic.Pointer[endpoints] }

// rendezvousScore returns the rendezvous hash (Thaler and Ravishankar 1998) of an endpoint for an
// entry node. It orders endpoints differently for each entry node, so that the subsets of many
// entry nodes together cover all endpoints evenly.
func rendezvousScore(entry, endpoint string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(entry)
	_, _ = d.WriteString("|")
	_, _ = d.WriteString(endpoint)
	return d.Sum64()
}

// acceptsRequests reports whether m has an upstream that accepts new requests.
func acceptsRequests(m gossip.Member) bool {
	return m.Status == gossip.Alive && !m.Draining && m.Upstream.Service != ""
}

// sameUpstream reports whether e is still the upstream of m. If so, e and what was observed of it are kept.
func (e *Endpoint) sameUpstream(m gossip.Member) bool {
	u := m.Upstream
	return e.Instance == u.Instance && e.Version == u.Version && e.service == u.Service &&
		e.Slots == u.Slots && e.Zone == m.Zone && e.Region == m.Region
}

func (r *Router) newEndpoint(m gossip.Member) *Endpoint {
	u := m.Upstream
	return &Endpoint{Addr: m.Addr, Zone: m.Zone, Region: m.Region, Version: u.Version, Instance: u.Instance,
		Slots: u.Slots, service: u.Service, score: rendezvousScore(r.self, m.Addr),
		rank: rendezvousScore(u.Service, m.Addr)}
}

// tier returns the index of the tier of e.
func (r *Router) tier(e *Endpoint) int {
	switch {
	case e.Zone == r.zone:
		return ownZone
	case e.Region == r.region:
		return ownRegion
	default:
		return elsewhere
	}
}

// Update applies the change of one member. Its cost depends on the number of upstreams of the
// service and not on the number of members.
func (r *Router) Update(m gossip.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.byAddr[m.Addr]
	if !acceptsRequests(m) {
		if old != nil {
			delete(r.byAddr, m.Addr)
			r.remove(old)
		}
		return
	}
	if old != nil && old.sameUpstream(m) {
		return
	}
	if old != nil {
		r.remove(old)
	}
	e := r.newEndpoint(m)
	r.byAddr[m.Addr] = e
	r.insert(e)
}

// Refresh applies the complete membership and removes the endpoints of members that are not alive.
// Later changes are applied by Update.
func (r *Router) Refresh() {
	alive := r.members.Alive()
	seen := make(map[string]struct{}, len(alive))
	for _, m := range alive {
		seen[m.Addr] = struct{}{}
		r.Update(m)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for addr, e := range r.byAddr {
		if _, ok := seen[addr]; !ok {
			delete(r.byAddr, addr)
			r.remove(e)
		}
	}
}

// viewOf returns the view of a service and creates it if it does not exist. r.mu must be held.
func (r *Router) viewOf(service string) *serviceView {
	s := r.services[service]
	if s == nil {
		s = &serviceView{}
		s.current.Store(&endpoints{})
		r.services[service] = s
	}
	return s
}

// updateGroup replaces the group of the version of e by one in which f was applied to the tier of e.
// f must not modify its argument. r.mu must be held.
func (r *Router) updateGroup(e *Endpoint, f func([]*Endpoint) []*Endpoint) {
	s := r.viewOf(e.service)
	next := endpoints{}
	for version, g := range *s.current.Load() {
		next[version] = g
	}
	var g group
	if old := next[e.Version]; old != nil {
		g = *old
	}
	t := r.tier(e)
	g[t] = f(g[t])
	g[ranked] = byRank(slices.Concat(g[ownZone], g[ownRegion], g[elsewhere]))
	next[e.Version] = &g
	if len(g[ownZone])+len(g[ownRegion])+len(g[elsewhere]) == 0 {
		delete(next, e.Version)
	}
	s.current.Store(&next)
}

func byScore(a, b *Endpoint) int {
	return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.Addr, b.Addr))
}

func (r *Router) insert(e *Endpoint) {
	r.updateGroup(e, func(list []*Endpoint) []*Endpoint {
		i, _ := slices.BinarySearchFunc(list, e, byScore)
		return slices.Insert(slices.Clone(list), i, e)
	})
}

func (r *Router) remove(e *Endpoint) {
	r.updateGroup(e, func(list []*Endpoint) []*Endpoint {
		return slices.DeleteFunc(slices.Clone(list), func(x *Endpoint) bool { return x == e })
	})
}
