package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"celerybank/internal/mesh"
)

// Veto identifies a rollout whose new version must get no more traffic. Accepted is the
// configuration version at which the rollout was accepted.
type Veto struct {
	Service, Version string
	Accepted         int64
}

// Overlay holds decisions that are in force although they are not recorded in the log yet. Its maps are
// never modified, only replaced.
type Overlay struct {
	Vetoes map[Veto]bool
	// Zones maps a zone to an order that is not recorded. The Version of an order is that of the
	// recorded order that it follows.
	Zones map[string]mesh.ZoneOrder
}

// supersedes reports whether an unrecorded order takes precedence over the recorded one.
func supersedes(unrecorded, recorded mesh.ZoneOrder) bool {
	return unrecorded.Order > recorded.Order && unrecorded.Version >= recorded.Version
}

// ZoneOrder returns the order in force for a zone, given the state s and o.
func (o Overlay) ZoneOrder(s *mesh.State, zone string) mesh.ZoneOrder {
	if order, ok := o.Zones[zone]; ok && supersedes(order, s.ZonesOut[zone]) {
		return order
	}
	return s.ZonesOut[zone]
}

// apply modifies t, which was compiled from s, according to o.
func (o Overlay) apply(t *Table, s *mesh.State) {
	for zone := range o.Zones {
		t.zonesOut[zone] = o.ZoneOrder(s, zone).Out
	}
	for v := range o.Vetoes {
		rollout, ok := s.Rollouts[v.Service+"/"+v.Version]
		svc := t.services[v.Service]
		if !ok || svc == nil || rollout.Accepted != v.Accepted {
			continue
		}
		if svc.RollingOut == v.Version {
			svc.RollingOut, svc.Share = "", 0
		}
		if svc.Stable == v.Version && rollout.Status == mesh.RolloutCompleted {
			svc.Stable = rollout.From
		}
	}
}

// SetVetoes replaces the vetoes in force.
func (r *Router) SetVetoes(vetoes map[Veto]bool) {
	r.recompile(func() { r.overlay.Vetoes = vetoes })
}

// SetZones replaces the unrecorded zone orders.
func (r *Router) SetZones(zones map[string]mesh.ZoneOrder) {
	r.recompile(func() { r.overlay.Zones = zones })
}

// ZoneOrder returns the order in force for a zone.
func (r *Router) ZoneOrder(zone string) mesh.ZoneOrder {
	r.compiling.Lock()
	defer r.compiling.Unlock()
	return r.overlay.ZoneOrder(r.state, zone)
}

// recompile calls change and then derives and installs a new table.
func (r *Router) recompile(change func()) {
	r.compiling.Lock()
	defer r.compiling.Unlock()
	change()
	t := Compile(r.state)
	r.overlay.apply(t, r.state)
	r.mu.Lock()
	for name, svc := range t.services {
		svc.view = r.viewOf(name)
	}
	r.mu.Unlock()
	t.zoneInAt = rampingZones(r.table.Load(), t)
	r.table.Store(t)
}

// ZoneRampTime is the time over which the traffic of a zone that was taken back in rises to its full share.
const ZoneRampTime = 10 * time.Second

// zoneRampStart is the fraction of its traffic that such a zone gets at first.
const zoneRampStart = 0.1

// rampingZones returns the zones that are ramping up, with the time at which this node saw them taken back in.
func rampingZones(old, next *Table) map[string]time.Time {
	if old == nil {
		return nil
	}
	now, out := time.Now(), map[string]time.Time{}
	for zone, at := range old.zoneInAt {
		if !next.zonesOut[zone] && now.Sub(at) < ZoneRampTime {
			out[zone] = at
		}
	}
	for zone, isOut := range old.zonesOut {
		if isOut && !next.zonesOut[zone] {
			out[zone] = now
		}
	}
	if len(out) == 0 {
		return nil
	}
	return out
}

// rampFraction returns the fraction of its traffic that a zone may get now: less than 1 while it is ramping up.
func (t *Table) rampFraction(zone string, now int64) float64 {
	at, ok := t.zoneInAt[zone]
	if !ok {
		return 1
	}
	return zoneRampStart + (1-zoneRampStart)*float64(now-at.UnixNano())/float64(ZoneRampTime)
}

// HasUpstreams reports whether an upstream of any version of a service is known.
func (r *Router) HasUpstreams(service string) bool {
	svc := r.table.Load().Service(service)
	return svc != nil && svc.view != nil && len(*svc.view.current.Load()) > 0
}

// rampStatus reports whether a zone is ramping up, and whether to leave it out of the current choice,
// which is decided at random by its ramp fraction.
func (t *Table) rampStatus(zone string, now int64) (rampingUp, leaveOut bool) {
	if t.zoneInAt == nil {
		return false, false
	}
	fraction := t.rampFraction(zone, now)
	return fraction < 1, rand.Float64() > fraction
}

// isCandidate reports whether e is a candidate in the current pass. The first pass considers the
// endpoints that are not avoided, less those left out of zones that are ramping up. The second
// one, with p.secondPass, considers avoided endpoints and those of zones that are ramping up.
func (p *pick) isCandidate(e *Endpoint) bool {
	failed := e.avoidUntil.Load() > p.now
	rampingUp, leaveOut := p.table.rampStatus(e.Zone, p.now)
	if p.secondPass {
		return failed || rampingUp
	}
	return !failed && !leaveOut
}

// byRank sorts all by rank, in place, and returns it.
func byRank(all []*Endpoint) []*Endpoint {
	slices.SortFunc(all, func(a, b *Endpoint) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.Addr, b.Addr)) })
	return all
}

// fromNewVersion chooses an upstream of a new version. At a share of the traffic it uses only the same
// share of the upstreams, the same ones at every entry node, so that even at a small share they
// get the load that they will have after the rollout. It prefers the own zone while that is
// below saturatedLoad.
func (p *pick) fromNewVersion(g *group, share int) *Endpoint {
	if g == nil {
		return nil
	}
	in := 0
	for _, e := range g[ranked] {
		if !p.table.IsOut(e.Zone) {
			in++
		}
	}
	left := (in*share + mesh.FullShare - 1) / mesh.FullShare
	own, all := reservoir{}, reservoir{}
	p.secondPass = false
	for _, e := range g[ranked] {
		if left == 0 {
			break
		}
		if p.table.IsOut(e.Zone) {
			continue
		}
		left--
		if !p.eligible(e) {
			continue
		}
		all.add(e)
		if len(g[ownZone]) > 0 && e.Zone == g[ownZone][0].Zone {
			own.add(e)
		}
	}
	if e := own.lessLoaded(p.now); e != nil && e.load(p.now) < saturatedLoad {
		return e
	}
	return all.lessLoaded(p.now)
}

// reservoir keeps two random endpoints of those added (reservoir sampling, Vitter 1985).
type reservoir struct {
	kept [2]*Endpoint
	n    int
}

func (s *reservoir) add(e *Endpoint) {
	s.n++
	if s.n <= len(s.kept) {
		s.kept[s.n-1] = e
	} else if i := rand.IntN(s.n); i < len(s.kept) {
		s.kept[i] = e
	}
}

// lessLoaded returns the less loaded of the two (power of two choices, Mitzenmacher 2001).
func (s *reservoir) lessLoaded(now int64) *Endpoint {
	a, b := s.kept[0], s.kept[1]
	if b != nil && b.load(now) < a.load(now) {
		return b
	}
	return a
}
