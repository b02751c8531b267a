package rollout

import (
	"maps"
	"slices"

	"celerybank/internal/events"
	"celerybank/internal/mesh"
)

// Finding is the result of an assessment of a new version.
type Finding string

const (
	// Bad versions are rolled back.
	Bad Finding = "bad"
	// Doubtful versions are held at their share.
	Doubtful Finding = "doubtful"
	// Healthy versions are neither bad nor doubtful; they may get a larger share once there is enough
	// evidence. The value is part of events.MoveAssessed and of traces. The reason "healthy" of a
	// completed rollout says more: the version also has all traffic and enough evidence.
	Healthy Finding = "unsuspicious"
)

func (f finding) kind() Finding {
	switch {
	case f.bad:
		return Bad
	case f.doubtful:
		return Doubtful
	default:
		return Healthy
	}
}

// Assess compares the evidence of a new version with that of the old one, route by route, as the
// coordinator does, and returns the finding and its reason. Each route must have the windows that
// a coordinator requests; others are ignored.
func Assess(old, new []RouteEvidence) (Finding, string) {
	oldT, newT := tally{}, tally{}
	for _, e := range old {
		oldT.add(e)
	}
	for _, e := range new {
		newT.add(e)
	}
	f := assess(oldT, newT)
	return f.kind(), f.text
}

// list returns the evidence sorted by route, for Assess.
func (t tally) list() []RouteEvidence {
	var out []RouteEvidence
	for _, name := range slices.Sorted(maps.Keys(t)) {
		out = append(out, RouteEvidence{Route: name, Counts: slices.Clone(t[name][:])})
	}
	return out
}

// trace emits the evidence of a decision as an event, so that the decision can be replayed.
func (c *Coordinator) trace(r mesh.Rollout, s *situation, f finding) {
	c.events.Emit(events.MoveAssessed, events.Fields{"service": r.Service, "version": r.To, "share": r.Share,
		"finding": f.kind(), "old": s.old.list(), "new": s.new.list()})
}
