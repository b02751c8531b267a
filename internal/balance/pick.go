package balance

import (
	"math/rand/v2"
	"slices"
	"time"
)

// A request stays in the zone of its caller while an upstream there has a free slot. It goes to another zone only
// if that is known to have free slots while none is free at home, or if the upstreams at home are much slower or fail. In
// an overload of all zones a crossing serves nobody more, so the request waits at home.

// maxScannedHome and maxScannedFar are the numbers of upstreams in the own zone and in others that one choice considers
// at most. While one in the own zone has a free slot, maxCompared others show whether the own zone is much slower.
const (
	maxScannedHome = 48
	maxScannedFar  = 48
	maxCompared    = 8
)

// survey is what one choice has found.
type survey struct {
	// home and second are the best upstreams in the own zone, far the best in other zones.
	home, second, far, farSecond candidate
	// homeQuality is the lowest cost, without that of the load, at an upstream in the own zone.
	homeQuality time.Duration
	// tried is set if an upstream in the own zone has refused the request.
	tried bool
	// spillTarget is an upstream in another zone with spare slots, chosen at random in proportion to them, and spare the sum
	// of the slots that it was chosen from.
	spillTarget candidate
	spare       int
	// unknown is a random upstream in another zone whose load is not known, of unknowns.
	unknown  candidate
	unknowns int
}

// Pick returns the best choice for a request; its Endpoint is nil if there is none.
func (b *Balancer) Pick(c Criteria) Choice {
	g := b.group(c.Service)
	mean := b.MeanProcessingTime(c.Service, c.Route)
	if mean == 0 {
		mean = defaultProcessingTime
	}
	now := time.Now()
	all := g.endpoints.Load()
	var s survey
	b.surveyHome(&s, all.home, mean, c, now)
	limit := maxScannedFar
	if s.hasRoom() {
		limit = maxCompared
	}
	b.surveyFar(&s, all.far, limit, mean, c, now)
	return b.decide(&s, g, c, now)
}

// hasRoom reports whether an upstream in the own zone has a free slot.
func (s *survey) hasRoom() bool {
	return s.home.endpoint != nil && !s.home.state.avoided && s.home.state.wait == 0
}

// scan calls f with up to limit of the endpoints, from a random one on, that the request may be sent to; tried is set for
// those that have refused it.
func scan(list []*Endpoint, limit int, c *Criteria, f func(e *Endpoint, tried bool)) {
	start := 0
	if len(list) > limit {
		start = rand.IntN(len(list))
	}
	for i := range min(len(list), limit) {
		e := list[(start+i)%len(list)]
		if c.Eligible == nil || c.Eligible(e) {
			f(e, slices.Contains(c.Tried, e))
		}
	}
}

func (b *Balancer) surveyHome(s *survey, list []*Endpoint, mean time.Duration, c Criteria, now time.Time) {
	scan(list, maxScannedHome, &c, func(e *Endpoint, tried bool) {
		st := e.stateFor(c.Route, now)
		if st.leaving {
			return
		}
		x := b.candidate(e, st, mean, c)
		if s.homeQuality == 0 || x.quality < s.homeQuality {
			s.homeQuality = x.quality
		}
		if s.tried = s.tried || tried; !tried {
			s.home, s.second = rank(x, s.home, s.second)
		}
	})
}

func (b *Balancer) surveyFar(s *survey, list []*Endpoint, limit int, mean time.Duration, c Criteria, now time.Time) {
	if len(list) == 0 {
		return
	}
	cut := b.zones.listUnreachable(now)
	scan(list, limit, &c, func(e *Endpoint, tried bool) {
		if tried || slices.Contains(cut, e.Zone) {
			return
		}
		st := e.stateFor(c.Route, now)
		if st.leaving {
			return
		}
		x := b.candidate(e, st, mean, c)
		s.far, s.farSecond = rank(x, s.far, s.farSecond)
		if st.avoided {
			return
		}
		switch {
		case st.spare > 0:
			if s.spare += st.spare; rand.IntN(s.spare) < st.spare {
				s.spillTarget = x
			}
		case !st.known:
			if s.unknowns++; rand.IntN(s.unknowns) == 0 {
				s.unknown = x
			}
		}
	})
}

// rank returns the two best of three candidates.
func rank(x, best, second candidate) (first, next candidate) {
	switch {
	case x.before(best):
		return x, best
	case x.before(second):
		return best, x
	}
	return best, second
}

// decide returns the choice among what was found.
func (b *Balancer) decide(s *survey, g *group, c Criteria, now time.Time) Choice {
	home, far := s.home, s.far
	if home.endpoint == nil && !s.tried {
		return far.choice(s.farSecond, c.Pipelined) // no upstream of the service in the own zone
	}
	usable := home.endpoint != nil && !home.state.avoided
	if s.hasRoom() {
		if far.endpoint != nil && !far.state.avoided && far.state.wait == 0 && far.quality < s.homeQuality {
			return far.choice(home, c.Pipelined) // all upstreams at home are much slower, or fail
		}
		return home.choice(nextBest(s), c.Pipelined)
	}
	if home.endpoint != nil && home.state.avoided && far.endpoint != nil && !far.state.avoided {
		return far.choice(s.farSecond, c.Pipelined) // home is unhealthy
	}
	if x := s.spillTarget; x.endpoint != nil && (!usable || x.cost < home.cost) {
		g.spillover.found(x.endpoint.Zone, now)
		return Choice{Endpoint: x.endpoint, MaxWait: x.state.transit}
	}
	if x := s.unknown; x.endpoint != nil && (!usable || x.quality < home.cost) && g.spillover.mayProbe(x.endpoint.Zone, now) {
		return Choice{Endpoint: x.endpoint, MaxWait: x.state.transit}
	}
	if home.endpoint == nil {
		return Choice{}
	}
	c0 := home.choice(s.second, c.Pipelined)
	c0.Only = true
	return c0
}

// nextBest returns the second choice: in the own zone, or in another one that is not known to be full.
func nextBest(s *survey) candidate {
	if s.far.endpoint != nil && s.far.state.wait == 0 && s.far.before(s.second) {
		return s.far
	}
	if s.second.endpoint == nil {
		return s.far
	}
	return s.second
}
