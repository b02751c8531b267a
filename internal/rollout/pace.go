package rollout

import (
	"fmt"
	"math"
	"time"

	"celerybank/internal/mesh"
)

// Pace of a rollout.
const (
	// minFirstShare and lowTrafficFirstShare bound the first share, in thousandths; a service with little
	// traffic starts with the larger one.
	minFirstShare        = 10
	lowTrafficFirstShare = 250
	// shareGrowth is the factor of the share from step to step.
	shareGrowth = 4
	// minDwell and maxDwell bound the time at one share; in between it follows from the time left.
	minDwell = 2 * time.Second
	maxDwell = 2 * time.Minute
	// plannedFraction is the fraction of the time left in which the remaining steps are planned.
	plannedFraction = 0.6
	// enoughSamples is the number of requests of the new version that is always enough evidence for
	// a step, minSamples the minimum for a service with little traffic.
	enoughSamples = 20
	minSamples    = 3
	// minSampleRatio is the ratio of the requests expected at a share that must have been counted.
	minSampleRatio = 1.0 / 3
	// pauseFailures is the number of requests of the new version, all of them failed, from which it gets none while the
	// finding is inconclusive.
	pauseFailures = 3
	// slotHeadroom is the factor by which the new version's slots must exceed the demand.
	slotHeadroom = 1.25
	// finishMargin is the time before the deadline at which the last decision is made, so that its
	// record is in force by the deadline.
	finishMargin = 2 * time.Second
)

// situation is a rollout and its evidence at one time.
type situation struct {
	rollout mesh.Rollout
	now     time.Time
	// changed is when this node first saw the current step.
	changed  time.Time
	old, new tally
	// oldSlots is the number of slots of the old version's upstreams.
	oldSlots int
	// upstreams and slots of the new version that may get requests.
	upstreams, slots int
	// missingZone is a zone that has an upstream of the old version but none of the new one.
	missingZone string
	// bytes is the approximate size of the evidence.
	bytes int
	// partial is the reason why the evidence may be partial, in which case the share is not raised.
	partial string
}

// nextShare returns the share after share, in thousandths: first, then shareGrowth times the
// previous one. The progression includes the share at which a single upstream of the new version would
// carry its final load, to expose faults that appear under load, and half of the traffic.
func nextShare(share, first, upstreams int) int {
	next := first
	if share > 0 {
		next = share * shareGrowth
	}
	if full := mesh.FullShare / max(upstreams, 1); share < full && full < next {
		next = full
	}
	if share < mesh.FullShare/2 {
		return min(next, mesh.FullShare/2)
	}
	return mesh.FullShare
}

// stepsLeft returns the number of steps from share to all traffic.
func stepsLeft(share, upstreams int) int {
	n := 0
	for ; share < mesh.FullShare; n++ {
		share = nextShare(share, minFirstShare, upstreams)
	}
	return n
}

// dwell returns the time to stay at the current share.
func (s *situation) dwell() time.Duration {
	left := s.rollout.By.Add(-finishMargin).Sub(s.changed)
	each := time.Duration(plannedFraction*float64(left)) / time.Duration(stepsLeft(s.rollout.Share, s.upstreams)+1)
	return min(max(each, minDwell), maxDwell)
}

// recent returns the length of the recent window, with half an interval of the ring for rounding
// to whole buckets.
func (s *situation) recent() time.Duration {
	return min(recentSpan, max(0, s.now.Sub(s.changed)-stepSettle)) + fineInterval/2
}

// requestRate returns the requests per second of both versions.
func (s *situation) requestRate() float64 {
	recent := s.old.total(windowRecent).Total + s.new.total(windowRecent).Total
	if recent >= enoughSamples {
		return float64(recent) / s.recent().Seconds()
	}
	span := max(s.now.Sub(s.rollout.Start), recentSpan)
	return float64(s.old.total(windowRollout).Total+s.new.total(windowRollout).Total) / span.Seconds()
}

// initialShare returns the first share: small, but large enough to collect enoughSamples requests
// in its dwell time.
func (s *situation) initialShare() int {
	expected := s.requestRate() * s.dwell().Seconds()
	if expected <= 0 {
		return lowTrafficFirstShare
	}
	share := int(math.Ceil(enoughSamples / expected * mesh.FullShare))
	return min(max(share, minFirstShare), max(lowTrafficFirstShare, mesh.FullShare/max(s.upstreams, 1)))
}

// action is the coordinator's next action for a rollout.
type action struct {
	// status is empty when the rollout is held, for reason.
	status mesh.RolloutStatus
	share  int
	reason string
}

func hold(reason string, args ...any) action { return action{reason: fmt.Sprintf(reason, args...)} }

// nextAction decides on a running rollout whose new version was not found bad.
func (s *situation) nextAction(f finding) action {
	blocked := s.holdReason(f)
	if !s.now.Before(s.rollout.By.Add(-finishMargin)) && (s.partial == "" || !s.now.Before(s.rollout.By)) {
		return s.finish(f, blocked)
	}
	if f.doubtful && s.failsAll() && s.rollout.Share > 0 {
		return action{mesh.RolloutRunning, 0, "paused: " + f.text}
	}
	if blocked != "" {
		return hold("%s", blocked)
	}
	if s.rollout.Share == mesh.FullShare {
		return action{mesh.RolloutCompleted, mesh.FullShare, "healthy: " + s.summary()}
	}
	share := nextShare(s.rollout.Share, s.initialShare(), s.upstreams)
	if need := s.demand() * slotHeadroom * float64(share) / mesh.FullShare; float64(s.slots) < need {
		return hold("version %s has %d slots, share %d/1000 needs %.0f", s.rollout.To, s.slots, share, need)
	}
	return action{mesh.RolloutRunning, share, s.summary()}
}

// failsAll reports whether the new version has failed all of its requests so far. In a service with few requests it takes
// many of the old version to be sure that this is no chance; the callers need not lose more until then.
func (s *situation) failsAll() bool {
	n := s.new.total(windowRollout)
	return n.Total >= pauseFailures && n.Failed == n.Total
}

// finish ends a rollout at its deadline. blocked is the reason why the share was held, if any.
func (s *situation) finish(f finding, blocked string) action {
	enough := s.rollout.Share == mesh.FullShare && s.new.total(windowRollout).Total >= minSamples && !f.doubtful
	if enough && s.missingZone == "" && s.now.Before(s.rollout.By) {
		return action{mesh.RolloutCompleted, mesh.FullShare, "healthy: " + s.summary()}
	}
	if blocked == "" {
		blocked = "paced" // nothing held the share, but there is no time for another step
	}
	return action{mesh.RolloutRolledBack, 0, fmt.Sprintf("deadline reached at share %d/1000: %s; %s", s.rollout.Share, blocked, s.summary())}
}

// holdReason returns the reason why the share must not be raised yet; empty when it may be.
func (s *situation) holdReason(f finding) string {
	switch {
	case s.partial != "":
		return s.partial
	case s.missingZone != "":
		return fmt.Sprintf("no upstream runs %s in availability zone %s", s.rollout.To, s.missingZone)
	case s.upstreams == 0:
		return "no upstream runs " + s.rollout.To
	case f.doubtful:
		return "inconclusive: " + f.text
	case s.rollout.Share == 0 && s.now.Sub(s.changed) < minDwell:
		return "request rate not measured yet"
	case s.rollout.Share == 0:
		return s.noTraffic()
	}
	if left := s.dwell() - s.now.Sub(s.changed); left > 0 {
		return fmt.Sprintf("share %d/1000 is kept for another %.0fs", s.rollout.Share, left.Seconds())
	}
	return s.missingEvidence()
}

// noTraffic returns the hold reason of a service without requests, whose first share cannot be
// chosen; empty when there are requests.
func (s *situation) noTraffic() string {
	if s.requestRate() == 0 {
		return "no requests"
	}
	return ""
}

// missingEvidence returns the evidence that is missing for a step; empty when there is enough. A
// step needs requests of the new version at the current share, in total and on each route that has
// enough traffic to expect some.
func (s *situation) missingEvidence() string {
	got := s.new.total(windowStep).Total
	if want := s.requiredRequests(s.old.total(windowStep).Total + got); got < want {
		return fmt.Sprintf("%d of %d requests of %s counted at share %d/1000", got, want, s.rollout.To, s.rollout.Share)
	}
	for _, name := range routes(s.old, s.new) {
		o, n := s.old.route(name), s.new.route(name)
		want := int64(s.expectedRequests(o[windowStep].Total+n[windowStep].Total) * minSampleRatio)
		if want = min(want, enoughSamples); s.rollout.Share == mesh.FullShare && o[windowRollout].Total > 0 && n[windowRollout].Total == 0 {
			want = max(want, 1)
		}
		if int64(n[windowStep].Total) < want {
			return fmt.Sprintf("route %s: %d of %d requests of %s counted", name, n[windowStep].Total, want, s.rollout.To)
		}
	}
	return ""
}

// expectedRequests returns how many of all requests the new version is expected to get at the
// current share.
func (s *situation) expectedRequests(all uint64) float64 {
	return float64(all) * float64(s.rollout.Share) / mesh.FullShare
}

// requiredRequests returns the number of requests of the new version that a step needs:
// minSampleRatio of those expected at the current share, at least minSamples and at most
// enoughSamples. A service with so little traffic that it exceeds twice its dwell time needs one.
func (s *situation) requiredRequests(all uint64) uint64 {
	least := float64(minSamples)
	if s.now.Sub(s.changed) > 2*s.dwell() {
		least = 1
	}
	return uint64(min(max(s.expectedRequests(all)*minSampleRatio, least), enoughSamples))
}

// demand returns the mean number of requests in flight, by Little's law (1961).
func (s *situation) demand() float64 {
	busy := s.old.total(windowRecent).Busy + s.new.total(windowRecent).Busy
	return float64(busy) * latencyUnit.Seconds() / s.recent().Seconds()
}

// summary describes the evidence for records and operators.
func (s *situation) summary() string {
	n, o := s.new.total(windowRollout), s.old.total(windowRollout)
	return fmt.Sprintf("%s failed %d of %d (%.2f%%), %s failed %d of %d (%.2f%%)",
		s.rollout.To, n.Failed, n.Total, 100*n.ratio(), s.rollout.From, o.Failed, o.Total, 100*o.ratio())
}
