package mesh

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"celerybank/internal/configlog"
	"celerybank/internal/inventory"
)

// publish returns the state after publishing one service with the given rollouts.
func publish(t *testing.T, s *State, rollouts ...inventory.Rollout) *State {
	t.Helper()
	inv := inventory.Inventory{Mesh: "m", Zones: []inventory.Zone{{Name: "z"}}, Services: []inventory.Service{{Name: "s", InitialVersion: "v1"}}}
	rec, err := s.PublishRecord(inv, inventory.Rules{Rollouts: rollouts}, "test", time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return applyRecordTo(t, s, rec, Applied)
}

// applyRecordTo returns the state after rec, whose outcome must be want.
func applyRecordTo(t *testing.T, s *State, rec configlog.Record, want Outcome) *State {
	t.Helper()
	data, err := json.Marshal(rec)
	if err != nil {
		t.Fatal(err)
	}
	next, res, err := s.Apply(configlog.Entry{Offset: s.Version + 1, Data: data})
	if err != nil || res.Outcome != want {
		t.Fatalf("err %v, outcome %v (%s), want %v", err, res.Outcome, res.Reason, want)
	}
	return next
}

// step returns the state after a step of the rollout s/v2 that was recorded at the given time.
func step(t *testing.T, s *State, at time.Time, status RolloutStatus, share int, want Outcome) *State {
	t.Helper()
	r := s.Rollouts["s/v2"]
	rec, err := configlog.NewRecord(KindRolloutStep, RolloutSubject("s", "v2"), s.Current[RolloutSubject("s", "v2")], "coordinator",
		RolloutStep{Service: "s", To: "v2", Accepted: r.Accepted, Status: status, Share: share})
	if err != nil {
		t.Fatal(err)
	}
	rec.Time = at
	return applyRecordTo(t, s, rec, want)
}

func TestPublicationChangesRunningRollout(t *testing.T) {
	rollout := inventory.Rollout{Service: "s", To: "v2", By: time.Now().Add(time.Hour)}
	s := step(t, publish(t, Empty(), rollout), time.Now(), RolloutRunning, 100, Applied)
	later := rollout
	later.By = rollout.By.Add(time.Hour)
	s = publish(t, s, later)
	if r := s.Rollouts["s/v2"]; !r.By.Equal(later.By) || r.Share != 100 {
		t.Errorf("got deadline %v and share %d, want %v and 100", r.By, r.Share, later.By)
	}
	s = publish(t, s)
	if r := s.Rollouts["s/v2"]; r.Status != RolloutRolledBack || s.Services["s"] != (ServiceState{Stable: "v1"}) || !strings.Contains(r.Reason, "rules") {
		t.Errorf("got rollout %+v, service %+v; want a rollback to v1 with the rules as its reason", r, s.Services["s"])
	}
	step(t, s, time.Now(), RolloutRunning, 200, Refused)
}

// A rollout must not complete after its deadline, whichever coordinator recorded the step.
func TestMoveIsNotDoneLate(t *testing.T) {
	by := time.Now().Add(time.Hour)
	s := publish(t, Empty(), inventory.Rollout{Service: "s", To: "v2", By: by})
	s = step(t, s, time.Now(), RolloutRunning, FullShare, Applied)
	s = step(t, s, by.Add(time.Second), RolloutCompleted, FullShare, Refused)
	step(t, s, by.Add(time.Second), RolloutRolledBack, 0, Applied)
}
