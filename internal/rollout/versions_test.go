package rollout_test

import (
	"strings"
	"testing"
	"time"

	"celerybank/internal/mesh"
	standin "celerybank/internal/standin/upstream"
)

const (
	testWork = 5 * time.Millisecond
	// reactionTime is the maximum time from a fault to the last request of the faulty version.
	reactionTime = 3 * time.Second
	// maxFaultyShare is the maximum share of requests of a version that is faulty from the start.
	maxFaultyShare = 0.05
)

var busyTraffic = traffic{rate: 100}

// expectRollback fails the test unless the rollout is rolled back within limit for a reason that
// contains why, the version gets no more requests, and at most mostLost of its requests are lost.
func (f *fleet) expectRollback(limit time.Duration, mostLost int, why string) {
	f.T.Helper()
	f.waitForEnd(limit, mesh.RolloutRolledBack)
	f.expectNoRequests(reactionTime, 10*time.Second)
	if f.counts().newLost > mostLost {
		f.T.Errorf("%d requests of the new version lost, want at most %d", f.counts().newLost, mostLost)
	}
	if !strings.Contains(f.rollout().Reason, why) {
		f.T.Errorf("reason %q, want one that contains %q", f.rollout().Reason, why)
	}
}

func TestHealthyVersionCompletesInTime(t *testing.T) {
	t.Parallel()
	withFleet(t, 1, time.Minute, testWork, busyTraffic, standin.Faults{}, func(f *fleet) {
		f.waitForEnd(time.Minute, mesh.RolloutCompleted)
		if f.counts().lost > 0 || !f.rollout().Ended.Before(f.deadline) {
			t.Errorf("ended at %v, want before %v; %d requests lost, want 0", f.rollout().Ended, f.deadline, f.counts().lost)
		}
	})
}

func TestVersionBadAtOnceIsTakenBack(t *testing.T) {
	t.Parallel()
	withFleet(t, 1, time.Minute, testWork, busyTraffic, standin.Faults{FailShare: 1}, func(f *fleet) {
		f.expectRollback(time.Minute, int(maxFaultyShare*20*busyTraffic.rate), "failed")
		t.Log(f.summary())
	})
}

func TestVersionBadLaterIsTakenBackSoon(t *testing.T) {
	t.Parallel()
	withFleet(t, 2, time.Minute, testWork, busyTraffic, standin.Faults{}, func(f *fleet) {
		f.Eventually(time.Minute, "half of the traffic", func() bool { return f.rollout().Share >= mesh.FullShare/2 })
		time.Sleep(time.Second)
		fault := time.Now()
		f.setFaults(standin.Faults{FailShare: 0.5})
		f.expectRollback(reactionTime, int(busyTraffic.rate*reactionTime.Seconds()/2), "failed")
		if took := f.counts().lastNew.Sub(fault); took > reactionTime {
			t.Errorf("last request of the faulty version %v after the fault, want at most %v", took, reactionTime)
		}
		t.Log(f.summary())
	})
}

// Guards against a fault under load that shows only after completion: at a share of one third a
// single upstream of the new version carries the load that it has after the rollout.
func TestVersionBadUnderLoadIsTakenBackAtASmallShare(t *testing.T) {
	t.Parallel()
	withFleet(t, 3, time.Minute, 100*time.Millisecond, busyTraffic, standin.Faults{FailAbove: 5}, func(f *fleet) {
		top := 0
		f.Eventually(time.Minute, "rolled back", func() bool {
			top = max(top, f.rollout().Share)
			return f.rollout().Status == mesh.RolloutRolledBack
		})
		if top > mesh.FullShare/testZones {
			t.Errorf("share grew to %d/1000 before the rollback, want at most %d/1000", top, mesh.FullShare/testZones)
		}
		f.expectRollback(time.Second, int(maxFaultyShare*60*busyTraffic.rate), "failed")
		t.Log(f.summary())
	})
}

func TestVersionBadOnARareRouteIsTakenBack(t *testing.T) {
	t.Parallel()
	load := traffic{rate: 100, paths: map[string]float64{"/rare": 0.01}}
	withFleet(t, 4, time.Minute, testWork, load, standin.Faults{FailShare: 1, FailRoute: "/rare"}, func(f *fleet) {
		f.expectRollback(time.Minute, 20, "route rare")
		t.Log(f.summary())
	})
}

func TestSlowVersionIsTakenBack(t *testing.T) {
	t.Parallel()
	withFleet(t, 5, time.Minute, testWork, busyTraffic, standin.Faults{Slow: 30 * time.Millisecond}, func(f *fleet) {
		f.expectRollback(time.Minute, 0, "slower")
		if f.counts().newRequests > int(maxFaultyShare*20*busyTraffic.rate) {
			t.Errorf("%d requests were slow, want at most %d", f.counts().newRequests, int(maxFaultyShare*20*busyTraffic.rate))
		}
		t.Log(f.summary())
	})
}

// A version that never responds is detected by the timeouts of its requests.
func TestSilentVersionIsTakenBack(t *testing.T) {
	t.Parallel()
	withFleet(t, 6, time.Minute, testWork, busyTraffic, standin.Faults{Slow: time.Hour}, func(f *fleet) {
		f.expectRollback(time.Minute, int(maxFaultyShare*20*busyTraffic.rate), "failed")
		t.Log(f.summary())
	})
}

func TestQuietService(t *testing.T) {
	t.Parallel()
	lowTraffic := traffic{rate: 0.5}
	t.Run("good", func(t *testing.T) {
		withFleet(t, 7, time.Minute, testWork, lowTraffic, standin.Faults{}, func(f *fleet) {
			f.waitForEnd(time.Minute, mesh.RolloutCompleted)
			t.Log(f.summary())
		})
	})
	t.Run("bad", func(t *testing.T) {
		withFleet(t, 8, time.Minute, testWork, lowTraffic, standin.Faults{FailShare: 1}, func(f *fleet) {
			f.expectRollback(time.Minute, 6, "")
			t.Log(f.summary())
		})
	})
	t.Run("no requests", func(t *testing.T) {
		withFleet(t, 9, time.Minute, testWork, traffic{rate: 1e-6}, standin.Faults{}, func(f *fleet) {
			f.expectRollback(time.Minute+reactionTime, 0, "no requests")
		})
	})
}

func TestVersionBadAfterDoneIsTakenBack(t *testing.T) {
	t.Parallel()
	withFleet(t, 10, time.Minute, testWork, busyTraffic, standin.Faults{}, func(f *fleet) {
		f.waitForEnd(time.Minute, mesh.RolloutCompleted)
		time.Sleep(3 * time.Minute)
		fault := time.Now()
		f.setFaults(standin.Faults{FailShare: 0.3})
		f.expectRollback(reactionTime, int(busyTraffic.rate*reactionTime.Seconds()), "failed")
		if took := f.counts().lastNew.Sub(fault); took > reactionTime {
			t.Errorf("last request of the faulty version %v after the fault, want at most %v", took, reactionTime)
		}
		before := f.counts().lost
		time.Sleep(5 * time.Second)
		if f.counts().lost != before {
			t.Errorf("%d requests lost after the rollback, want 0", f.counts().lost-before)
		}
		t.Log(f.summary())
	})
}

// A fault that both versions have in common, as by a failing dependency, must not cause a rollback.
func TestFaultOfBothVersionsCausesNoRollback(t *testing.T) {
	t.Parallel()
	withFleet(t, 11, 2*time.Minute, testWork, busyTraffic, standin.Faults{}, func(f *fleet) {
		f.Eventually(time.Minute, "a tenth of the traffic", func() bool { return f.rollout().Share >= mesh.FullShare/10 })
		both := func(faults standin.Faults) {
			f.setFaults(faults)
			for z := 1; z <= testZones; z++ {
				f.host(z, 1).Upstream.SetFaults(faults)
			}
		}
		both(standin.Faults{FailShare: 0.5})
		time.Sleep(20 * time.Second)
		both(standin.Faults{})
		f.waitForEnd(2*time.Minute, mesh.RolloutCompleted)
	})
}

// The share must not grow while a zone that has the old version has no upstream of the new one.
func TestZoneWithoutNewVersion(t *testing.T) {
	t.Parallel()
	withFleet(t, 12, 2*time.Minute, testWork, busyTraffic, standin.Faults{}, func(f *fleet) {
		f.Eventually(time.Minute, "a first share", func() bool { return f.rollout().Share > 0 })
		f.host(3, 2).KillUpstream()
		time.Sleep(5 * time.Second)
		share := f.rollout().Share
		time.Sleep(30 * time.Second)
		if now := f.rollout().Share; now != share {
			t.Errorf("share went from %d to %d while one zone lacked the new version, want no change", share, now)
		}
		f.host(3, 2).StartUpstream(standin.Config{Service: "orders", Version: "v2", Slots: 10, Work: testWork})
		f.waitForEnd(2*time.Minute, mesh.RolloutCompleted)
	})
}
