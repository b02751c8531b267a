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

// While the log is down no share grows, a veto works at once, and it is recorded afterwards.
func TestPlatformDownInTheMiddleOfAMove(t *testing.T) {
	t.Parallel()
	withFleet(t, 20, 2*time.Minute, testWork, busy, standin.Faults{}, func(f *fleet) {
		f.Eventually(time.Minute, "a tenth of the traffic", func() bool { return f.move().Share >= mesh.FullShare/10 })
		f.outage(true)
		share := f.move().Share
		time.Sleep(20 * time.Second)
		if f.move().Share != share {
			t.Errorf("share %d grew to %d", share, f.move().Share)
		}
		fault := time.Now()
		f.setFaults(standin.Faults{FailShare: 1})
		f.quiet(soon, 10*time.Second)
		if took := f.counts().lastNew.Sub(fault); took > soon {
			t.Errorf("share zero after %v", took)
		}
		if f.move().Status != mesh.MoveRunning {
			t.Errorf("recorded although the log is down")
		}
		f.outage(false)
		f.takenBack(10*time.Second, int(busy.rate*soon.Seconds()), "failed")
		t.Log(f.summary())
	})
}

// The log comes back after the time of the move: a version that could not be shown to be good is taken back.
func TestPlatformDownPastTheTimeOfAMove(t *testing.T) {
	t.Parallel()
	withFleet(t, 21, 30*time.Second, testWork, busy, standin.Faults{}, func(f *fleet) {
		f.Eventually(time.Minute, "a first share", func() bool { return f.move().Share > 0 })
		f.outage(true)
		time.Sleep(40 * time.Second)
		f.outage(false)
		f.takenBack(10*time.Second, 0, "not done by its time")
	})
}

// A judge that wakes up after the version was vetoed and taken back, or replaced by
// another judge's step, appends its old step: nothing changes.
func TestFrozenJudgeAppendsAnOldStep(t *testing.T) {
	t.Parallel()
	withFleet(t, 22, time.Minute, testWork, busy, standin.Faults{}, func(f *fleet) {
		f.Eventually(time.Minute, "a tenth of the traffic", func() bool { return f.move().Share >= mesh.FullShare/10 })
		m, st := f.move(), f.host(1, 1).Node.Store().State()
		subject := mesh.MoveSubject("orders", "v2")
		old, err := configlog.NewRecord(mesh.KindMoveStep, subject, st.Current[subject], "frozen",
			mesh.MoveStep{Service: "orders", To: "v2", Accepted: m.Accepted, Status: mesh.MoveRunning, Share: mesh.FullShare})
		if err != nil {
			t.Fatal(err)
		}
		f.outage(true)
		f.setFaults(standin.Faults{FailShare: 1})
		f.quiet(soon, time.Second)
		f.outage(false)
		// First in the log: it takes effect as a record, and the veto holds all the same.
		f.append(old)
		f.quiet(0, 10*time.Second)
		f.takenBack(10*time.Second, int(busy.rate*soon.Seconds()), "")
		old.ID = configlog.NewID()
		f.append(old)
		f.quiet(time.Second, 10*time.Second)
		if f.move().Status != mesh.MoveTakenBack {
			t.Errorf("an old step changed the move to %s", f.move().Status)
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

// rivalLog puts another judge's step to all traffic, with the same predecessor, after each step.
type rivalLog struct{ configlog.Log }

func (l rivalLog) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	offset, err := l.Log.Append(ctx, stream, data)
	rec, parseErr := configlog.ParseRecord(data)
	var step mesh.MoveStep
	if parseErr != nil || rec.Kind != mesh.KindMoveStep || json.Unmarshal(rec.Body, &step) != nil {
		return offset, err
	}
	step.Share, step.Status = mesh.FullShare, mesh.MoveRunning
	if late, err := configlog.NewRecord(rec.Kind, rec.Subject, rec.Prev, "rival", step); err == nil {
		text, _ := json.Marshal(late)
		_, _ = l.Log.Append(ctx, stream, text) // its answer may be lost, as any
	}
	return offset, err
}

// Two judges race at each step and every third answer of the log is lost: the first in
// the log wins, the shares grow as with one judge, and the good version is done in time.
func TestJudgesRace(t *testing.T) {
	t.Parallel()
	withFleet(t, 23, time.Minute, testWork, busy, standin.Faults{}, func(f *fleet) {
		f.Log.SetFaults(configlog.Faults{LoseEvery: 3, Delay: 50 * time.Millisecond})
		last, changed := 0, time.Time{}
		f.Eventually(time.Minute, "done", func() bool {
			if now := f.move().Share; now != last {
				if now < last || (last < mesh.FullShare/2 && now == mesh.FullShare) || (last > 0 && time.Since(changed) < time.Second) {
					t.Fatalf("share from %d to %d after %v", last, now, time.Since(changed))
				}
				last, changed = now, time.Now()
			}
			return f.move().Status == mesh.MoveDone
		})
	}, func(m *testmesh.Mesh) {
		m.Wrap = func(_ string, log configlog.Log) configlog.Log { return rivalLog{log} }
	})
}

// A killed judge is replaced and the move goes on.
func TestJudgeDies(t *testing.T) {
	t.Parallel()
	withFleet(t, 24, 90*time.Second, testWork, busy, standin.Faults{}, func(f *fleet) {
		f.Eventually(time.Minute, "a first share", func() bool { return f.move().Share > 0 })
		var judge *testmesh.Host
		for _, h := range f.Hosts {
			if judged(h) {
				judge = h
			}
		}
		if judge == nil {
			t.Fatal("no judge found")
		}
		f.kill(judge)
		f.Eventually(80*time.Second, "done", func() bool {
			for _, h := range f.Hosts {
				if m := h.Node.Store().State().Moves["orders/v2"]; m.Status == mesh.MoveDone {
					return true
				}
			}
			return false
		})
	})
}

// judged reports whether the node has emitted an event as the judge.
func judged(h *testmesh.Host) bool {
	for _, e := range h.Events.Since(0) {
		if e.Code >= events.MoveStepped && e.Code <= events.MoveHeld {
			return true
		}
	}
	return false
}

// An availability zone that is cut off goes on serving reads. Neither it nor the others,
// without sight of most zones, step up.
func TestNoStepUpWithoutSightOfMostZones(t *testing.T) {
	t.Parallel()
	withFleet(t, 25, 3*time.Minute, testWork, busy, standin.Faults{}, func(f *fleet) {
		f.Eventually(time.Minute, "a first share", func() bool { return f.move().Share > 0 })
		f.Net.Cut(func(from, to string) bool {
			return testmesh.CutZone(1)(from, to) || testmesh.CutZone(2)(from, to) || testmesh.CutZone(3)(from, to)
		})
		time.Sleep(5 * time.Second)
		share, lost, total := f.move().Share, f.counts().lost, f.counts().total
		time.Sleep(30 * time.Second)
		if now := f.move(); now.Share != share || now.Status != mesh.MoveRunning {
			t.Errorf("%s: share %d went to %d while every zone was cut off", now.Status, share, now.Share)
		}
		if f.counts().lost != lost {
			t.Errorf("%d of %d calls lost in zones that were cut off", f.counts().lost-lost, f.counts().total-total)
		}
		f.Net.Cut(nil)
		f.ends(3*time.Minute, mesh.MoveDone)
	})
}
