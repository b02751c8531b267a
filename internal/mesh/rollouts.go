package mesh

import (
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"celerybank/internal/configlog"
	"celerybank/internal/inventory"
)

// KindRolloutStep is a record that changes the traffic share of a rollout or ends it; its subject is a RolloutSubject.
const KindRolloutStep configlog.Kind = "move-step"

// FullShare is the share of all traffic, in thousandths.
const FullShare = 1000

// RolloutStatus is the progress of a rollout.
type RolloutStatus string

const (
	RolloutRunning RolloutStatus = "running"
	// RolloutCompleted means that the rollout completed: To is the stable version.
	RolloutCompleted RolloutStatus = "done"
	// RolloutRolledBack means that the rollout was rolled back: From is the stable version.
	RolloutRolledBack RolloutStatus = "taken-back"
)

// Rollout is the agreed state of one rollout: the traffic of Service shifts step by step from
// version From to version To. By is the deadline for completing it.
type Rollout struct {
	Service string        `json:"service"`
	From    string        `json:"from"`
	To      string        `json:"to"`
	Start   time.Time     `json:"start"`
	By      time.Time     `json:"by"`
	Status  RolloutStatus `json:"status"`
	// Share is the share of the traffic that To gets, in thousandths.
	Share int `json:"share"`
	// Accepted is the configuration version at which the rollout was accepted. It distinguishes two
	// rollouts of the same version.
	Accepted int64 `json:"accepted"`
	// Changed is the configuration version of the newest step.
	Changed int64 `json:"changed"`
	// Reason is why the newest step was taken.
	Reason string `json:"reason,omitempty"`
	// Ended is when the rollout completed or was rolled back.
	Ended time.Time `json:"ended,omitzero"`
}

// Key returns the key of the rollout in State.Rollouts, "service/version".
func (r Rollout) Key() string { return rolloutKey(r.Service, r.To) }

// RolloutStep is the body of a KindRolloutStep record. Service, To and Accepted identify the rollout.
type RolloutStep struct {
	Service  string        `json:"service"`
	To       string        `json:"to"`
	Accepted int64         `json:"accepted"`
	Status   RolloutStatus `json:"status"`
	Share    int           `json:"share"`
	Reason   string        `json:"reason,omitempty"`
}

// RolloutSubject returns the subject of the step records of one rollout.
func RolloutSubject(service, version string) string { return "move/" + rolloutKey(service, version) }

// rollBackRemoved rolls back the running rollouts that the rules no longer contain.
func (s *State) rollBackRemoved(rules []inventory.Rollout, at time.Time, offset int64) {
	for key, r := range s.Rollouts {
		named := slices.ContainsFunc(rules, func(rule inventory.Rollout) bool { return rolloutKey(rule.Service, rule.To) == key })
		if r.Status != RolloutRunning || named {
			continue
		}
		r.Status, r.Share, r.Reason, r.Changed, r.Ended = RolloutRolledBack, 0, "removed from the rules", offset, at
		s.Rollouts = maps.Clone(s.Rollouts)
		s.Rollouts[key] = r
		s.setService(r.Service, ServiceState{Stable: r.From})
	}
}

// startRollout starts a rollout unless the same one was accepted before or its version is
// already the stable one. A rollout that is running gets the new deadline.
func (s *State) startRollout(r inventory.Rollout, start time.Time, offset int64) {
	key := rolloutKey(r.Service, r.To)
	if old, ok := s.Rollouts[key]; ok && old.Status == RolloutRunning {
		old.By = r.By
		s.Rollouts = maps.Clone(s.Rollouts)
		s.Rollouts[key] = old
		return
	} else if ok && old.By.Equal(r.By) {
		return
	}
	svc := s.Services[r.Service]
	if svc.Stable == r.To {
		return
	}
	s.Rollouts = maps.Clone(s.Rollouts)
	s.Rollouts[key] = Rollout{Service: r.Service, From: svc.Stable, To: r.To, Start: start, By: r.By,
		Status: RolloutRunning, Accepted: offset, Changed: offset}
	svc.RollingOut = key
	s.setService(r.Service, svc)
}

func (s *State) setService(name string, svc ServiceState) {
	s.Services = maps.Clone(s.Services)
	s.Services[name] = svc
}

// removeRolloutsOf deletes the rollouts of the named services.
func (s *State) removeRolloutsOf(services []string) {
	if len(services) == 0 {
		return
	}
	s.Rollouts = maps.Clone(s.Rollouts)
	maps.DeleteFunc(s.Rollouts, func(_ string, r Rollout) bool { return slices.Contains(services, r.Service) })
}

// applyRolloutStep applies a step to the rollout that it names. A running rollout may change its
// share, complete at the full share before its deadline, or be rolled back; a completed one may
// be rolled back as long as its version is the stable one. Every other step is refused.
func (s *State) applyRolloutStep(step RolloutStep, rec configlog.Record, offset int64) error {
	key := rolloutKey(step.Service, step.To)
	r, ok := s.Rollouts[key]
	if !ok || r.Accepted != step.Accepted {
		return errors.Errorf("no rollout %s accepted at version %d", key, step.Accepted)
	}
	if step.Share < 0 || step.Share > FullShare {
		return errors.Errorf("share %d thousandths out of range", step.Share)
	}
	if step.Status == RolloutCompleted && rec.Time.After(r.By) {
		return errors.Errorf("rollout completed at %s, after its deadline %s", rec.Time.Format(time.RFC3339), r.By.Format(time.RFC3339))
	}
	svc := s.Services[step.Service]
	switch {
	case r.Status == RolloutRunning && step.Status == RolloutRunning:
	case r.Status == RolloutRunning && step.Status == RolloutCompleted && step.Share == FullShare:
		svc = ServiceState{Stable: r.To}
	case r.Status == RolloutRunning && step.Status == RolloutRolledBack && step.Share == 0:
		svc = ServiceState{Stable: r.From}
	case r.Status == RolloutCompleted && step.Status == RolloutRolledBack && step.Share == 0 && svc.Stable == r.To:
		svc = ServiceState{Stable: r.From}
	default:
		return errors.Errorf("a rollout that is %s cannot become %s with share %d", r.Status, step.Status, step.Share)
	}
	r.Status, r.Share, r.Reason, r.Changed = step.Status, step.Share, step.Reason, offset
	if step.Status != RolloutRunning {
		r.Ended = rec.Time
	}
	s.Rollouts = maps.Clone(s.Rollouts)
	s.Rollouts[key] = r
	s.setService(step.Service, svc)
	return nil
}
