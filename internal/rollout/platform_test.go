package rollout_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"celerybank/internal/configlog"
	"celerybank/internal/events"
	"celerybank/internal/mesh"
	standin "celerybank/internal/standin/upstream"
	"celerybank/internal/testmesh"
)

// During an outage of the log the share must not grow, a veto must take effect at once, and the
// rollback must be recorded after the outage.
func TestPlatformDownInTheMiddleOfAMove(t *testing.T) {
	t.Parallel()
	withFleet(t, 20, 2*time.Minute, testWork, busyTraffic, standin.Faults{}, func(f *fleet) {
		f.Eventually(time.Minute, "a tenth of the traffic", func() bool { return f.rollout().Share >= mesh.FullShare/10 })
		f.setOutage(true)
		share := f.rollout().Share
		time.Sleep(20 * time.Second)
		if f.rollout().Share != share {
			t.Errorf("share went from %d to %d during the outage, want no change", share, f.rollout().Share)
		}
		fault := time.Now()
		f.setFaults(standin.Faults{FailShare: 1})
		f.expectNoRequests(reactionTime, 10*time.Second)
		if took := f.counts().lastNew.Sub(fault); took > reactionTime {
			t.Errorf("last request of the faulty version %v after the fault, want at most %v", took, reactionTime)
		}
		if f.rollout().Status != mesh.RolloutRunning {
			t.Errorf("status %s during the outage of the log, want %s", f.rollout().Status, mesh.RolloutRunning)
		}
		f.setOutage(false)
		f.expectRollback(10*time.Second, int(busyTraffic.rate*reactionTime.Seconds()), "failed")
		t.Log(f.summary())
	})
}

// An outage of the log lasts past the deadline: a rollout whose version could not be shown to be
// healthy by then must be rolled back.
func TestLogDownPastTheDeadline(t *testing.T) {
	t.Parallel()
	withFleet(t, 21, 30*time.Second, testWork, busyTraffic, standin.Faults{}, func(f *fleet) {
		f.Eventually(time.Minute, "a first share", func() bool { return f.rollout().Share > 0 })
		f.setOutage(true)
		time.Sleep(40 * time.Second)
		f.setOutage(false)
		f.expectRollback(10*time.Second, 0, "deadline reached")
	})
}

// A suspended coordinator resumes and appends an outdated step after the version was vetoed, and
// again after the rollback was recorded. Neither may give the version any traffic.
func TestFrozenJudgeAppendsAnOldStep(t *testing.T) {
	t.Parallel()
	withFleet(t, 22, time.Minute, testWork, busyTraffic, standin.Faults{}, func(f *fleet) {
		f.Eventually(time.Minute, "a tenth of the traffic", func() bool { return f.rollout().Share >= mesh.FullShare/10 })
		r, st := f.rollout(), f.host(1, 1).Node.Store().State()
		subject := mesh.RolloutSubject("orders", "v2")
		old, err := configlog.NewRecord(mesh.KindRolloutStep, subject, st.Current[subject], "frozen",
			mesh.RolloutStep{Service: "orders", To: "v2", Accepted: r.Accepted, Status: mesh.RolloutRunning, Share: mesh.FullShare})
		if err != nil {
			t.Fatal(err)
		}
		f.setOutage(true)
		f.setFaults(standin.Faults{FailShare: 1})
		f.expectNoRequests(reactionTime, time.Second)
		f.setOutage(false)
		// The outdated step is the first in the log and so takes effect there, but the veto overrides it.
		f.append(old)
		f.expectNoRequests(0, 10*time.Second)
		f.expectRollback(10*time.Second, int(busyTraffic.rate*reactionTime.Seconds()), "")
		old.ID = configlog.NewID()
		f.append(old)
		f.expectNoRequests(time.Second, 10*time.Second)
		if f.rollout().Status != mesh.RolloutRolledBack {
			t.Errorf("status %s after an outdated step, want %s", f.rollout().Status, mesh.RolloutRolledBack)
		}
	})
}

func (f *fleet) append(rec configlog.Record) {
	f.T.Helper()
	data, err := json.Marshal(rec)
	if err != nil {
		f.T.Fatal(err)
	}
	if _, err := f.Log.Append(context.Background(), configlog.MeshStream, data); err != nil {
		f.T.Fatal(err)
	}
}

// rivalLog appends, after each step, a step to full traffic with the same predecessor, as another
// coordinator would in a race.
type rivalLog struct{ configlog.Log }

func (l rivalLog) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	offset, err := l.Log.Append(ctx, stream, data)
	rec, parseErr := configlog.ParseRecord(data)
	var step mesh.RolloutStep
	if parseErr != nil || rec.Kind != mesh.KindRolloutStep || json.Unmarshal(rec.Body, &step) != nil {
		return offset, err
	}
	step.Share, step.Status = mesh.FullShare, mesh.RolloutRunning
	if late, err := configlog.NewRecord(rec.Kind, rec.Subject, rec.Prev, "rival", step); err == nil {
		text, _ := json.Marshal(late)
		_, _ = l.Log.Append(ctx, stream, text) // best effort: the response may be lost like any other
	}
	return offset, err
}

// Two coordinators race at each step, and every third response of the log is lost. The first step in
// the log must win, so that the share grows as with one coordinator and the rollout completes in
// time.
func TestCoordinatorsRace(t *testing.T) {
	t.Parallel()
	withFleet(t, 23, time.Minute, testWork, busyTraffic, standin.Faults{}, func(f *fleet) {
		f.Log.SetFaults(configlog.Faults{LoseReplyEvery: 3, Delay: 50 * time.Millisecond})
		last, changed := 0, time.Time{}
		f.Eventually(time.Minute, "rollout completed", func() bool {
			if now := f.rollout().Share; now != last {
				if now < last || (last < mesh.FullShare/2 && now == mesh.FullShare) || (last > 0 && time.Since(changed) < time.Second) {
					t.Fatalf("share went from %d to %d after %v, want a regular step", last, now, time.Since(changed))
				}
				last, changed = now, time.Now()
			}
			return f.rollout().Status == mesh.RolloutCompleted
		})
	}, func(m *testmesh.Mesh) {
		m.Wrap = func(_ string, log configlog.Log) configlog.Log { return rivalLog{log} }
	})
}

// After the coordinator is killed another node must continue the rollout.
func TestCoordinatorKilled(t *testing.T) {
	t.Parallel()
	withFleet(t, 24, 90*time.Second, testWork, busyTraffic, standin.Faults{}, func(f *fleet) {
		f.Eventually(time.Minute, "a first share", func() bool { return f.rollout().Share > 0 })
		var coordinator *testmesh.Host
		for _, h := range f.Hosts {
			if hasCoordinated(h) {
				coordinator = h
			}
		}
		if coordinator == nil {
			t.Fatal("no coordinator found")
		}
		f.kill(coordinator)
		f.Eventually(80*time.Second, "rollout completed", func() bool {
			for _, h := range f.Hosts {
				if r := h.Node.Store().State().Rollouts["orders/v2"]; r.Status == mesh.RolloutCompleted {
					return true
				}
			}
			return false
		})
	})
}

// hasCoordinated reports whether the node has emitted an event as the coordinator.
func hasCoordinated(h *testmesh.Host) bool {
	for _, e := range h.Events.Since(0) {
		if e.Code >= events.MoveStepped && e.Code <= events.MoveHeld {
			return true
		}
	}
	return false
}

// With all availability zones cut off from each other, each must go on serving requests, but no
// coordinator may raise the share, because none sees more than half of the zones.
func TestNoStepUpWithoutSightOfMostZones(t *testing.T) {
	t.Parallel()
	withFleet(t, 25, 3*time.Minute, testWork, busyTraffic, standin.Faults{}, func(f *fleet) {
		f.Eventually(time.Minute, "a first share", func() bool { return f.rollout().Share > 0 })
		f.Net.Partition(func(from, to string) bool {
			return testmesh.PartitionZone(1)(from, to) || testmesh.PartitionZone(2)(from, to) || testmesh.PartitionZone(3)(from, to)
		})
		time.Sleep(5 * time.Second)
		share, lost, total := f.rollout().Share, f.counts().lost, f.counts().total
		time.Sleep(30 * time.Second)
		if now := f.rollout(); now.Share != share || now.Status != mesh.RolloutRunning {
			t.Errorf("status %s, share went from %d to %d while all zones were cut off, want no change", now.Status, share, now.Share)
		}
		if f.counts().lost != lost {
			t.Errorf("%d of %d requests lost while all zones were cut off, want 0", f.counts().lost-lost, f.counts().total-total)
		}
		f.Net.Partition(nil)
		f.waitForEnd(3*time.Minute, mesh.RolloutCompleted)
	})
}
