package mesh

import (
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"celerybank/internal/configlog"
	"celerybank/internal/inventory"
)

// KindMoveStep is a record that changes the traffic share of a rollout or ends it; its subject is a MoveSubject.
const KindMoveStep configlog.Kind = "move-step"

// FullShare is the share of all traffic, in thousandths.
const FullShare = 1000

// MoveStatus is the progress of a rollout.
type MoveStatus string

const (
	MoveRunning MoveStatus = "running"
	// MoveDone means that the rollout completed: To is the stable version.
	MoveDone MoveStatus = "done"
	// MoveTakenBack means that the rollout was rolled back: From is the stable version.
	MoveTakenBack MoveStatus = "taken-back"
)

// Move is the agreed state of one rollout: the traffic of Service shifts step by step from
// version From to version To. By is the deadline for completing it.
type Move struct {
	Service string     `json:"service"`
	From    string     `json:"from"`
	To      string     `json:"to"`
	Start   time.Time  `json:"start"`
	By      time.Time  `json:"by"`
	Status  MoveStatus `json:"status"`
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

// Key returns the key of the rollout in State.Moves, "service/version".
func (m Move) Key() string { return rolloutKey(m.Service, m.To) }

// MoveStep is the body of a KindMoveStep record. Service, To and Accepted identify the rollout.
type MoveStep struct {
	Service  string     `json:"service"`
	To       string     `json:"to"`
	Accepted int64      `json:"accepted"`
	Status   MoveStatus `json:"status"`
	Share    int        `json:"share"`
	Reason   string     `json:"reason,omitempty"`
}

// MoveSubject returns the subject of the step records of one rollout.
func MoveSubject(service, version string) string { return "move/" + rolloutKey(service, version) }

// rollBackRemoved rolls back the running rollouts that the rules no longer contain.
func (s *State) rollBackRemoved(rules []inventory.Move, at time.Time, offset int64) {
	for key, m := range s.Moves {
		named := slices.ContainsFunc(rules, func(r inventory.Move) bool { return rolloutKey(r.Service, r.To) == key })
		if m.Status != MoveRunning || named {
			continue
		}
		m.Status, m.Share, m.Reason, m.Changed, m.Ended = MoveTakenBack, 0, "removed from the rules", offset, at
		s.Moves = maps.Clone(s.Moves)
		s.Moves[key] = m
		s.setService(m.Service, ServiceState{Stable: m.From})
	}
}

// startRollout starts a rollout unless the same one was accepted before or its version is
// already the stable one. A rollout that is running gets the new deadline.
func (s *State) startRollout(m inventory.Move, start time.Time, offset int64) {
	key := rolloutKey(m.Service, m.To)
	if old, ok := s.Moves[key]; ok && old.Status == MoveRunning {
		old.By = m.By
		s.Moves = maps.Clone(s.Moves)
		s.Moves[key] = old
		return
	} else if ok && old.By.Equal(m.By) {
		return
	}
	svc := s.Services[m.Service]
	if svc.Stable == m.To {
		return
	}
	s.Moves = maps.Clone(s.Moves)
	s.Moves[key] = Move{Service: m.Service, From: svc.Stable, To: m.To, Start: start, By: m.By,
		Status: MoveRunning, Accepted: offset, Changed: offset}
	svc.Moving = key
	s.setService(m.Service, svc)
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
	s.Moves = maps.Clone(s.Moves)
	maps.DeleteFunc(s.Moves, func(_ string, m Move) bool { return slices.Contains(services, m.Service) })
}

// applyMoveStep applies a step to the rollout that it names. A running rollout may change its
// share, complete at the full share before its deadline, or be rolled back; a completed one may
// be rolled back as long as its version is the stable one. Every other step is refused.
func (s *State) applyMoveStep(step MoveStep, rec configlog.Record, offset int64) error {
	key := rolloutKey(step.Service, step.To)
	m, ok := s.Moves[key]
	if !ok || m.Accepted != step.Accepted {
		return errors.Errorf("no rollout %s accepted at version %d", key, step.Accepted)
	}
	if step.Share < 0 || step.Share > FullShare {
		return errors.Errorf("share %d thousandths out of range", step.Share)
	}
	if step.Status == MoveDone && rec.Time.After(m.By) {
		return errors.Errorf("rollout completed at %s, after its deadline %s", rec.Time.Format(time.RFC3339), m.By.Format(time.RFC3339))
	}
	svc := s.Services[step.Service]
	switch {
	case m.Status == MoveRunning && step.Status == MoveRunning:
	case m.Status == MoveRunning && step.Status == MoveDone && step.Share == FullShare:
		svc = ServiceState{Stable: m.To}
	case m.Status == MoveRunning && step.Status == MoveTakenBack && step.Share == 0:
		svc = ServiceState{Stable: m.From}
	case m.Status == MoveDone && step.Status == MoveTakenBack && step.Share == 0 && svc.Stable == m.To:
		svc = ServiceState{Stable: m.From}
	default:
		return errors.Errorf("a rollout that is %s cannot become %s with share %d", m.Status, step.Status, step.Share)
	}
	m.Status, m.Share, m.Reason, m.Changed = step.Status, step.Share, step.Reason, offset
	if step.Status != MoveRunning {
		m.Ended = rec.Time
	}
	s.Moves = maps.Clone(s.Moves)
	s.Moves[key] = m
	s.setService(step.Service, svc)
	return nil
}
