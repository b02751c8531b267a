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
	// soon after a fault shows, the bad version gets no traffic any more.
	soon = 3 * time.Second
	// smallShare of the calls during a move may go to a version that is bad from the start.
	smallShare = 0.05
)

var busy = traffic{rate: 100}

// takenBack expects the version to be vetoed, to stay without calls, and its move to be recorded as taken back.
func (f *fleet) takenBack(limit time.Duration, mostLost int, why string) {
	f.T.Helper()
	f.ends(limit, mesh.MoveTakenBack)
	f.quiet(soon, 10*time.Second)
	if f.counts().newLost > mostLost {
		f.T.Errorf("%d calls lost, want at most %d", f.counts().newLost, mostLost)
	}
	if !strings.Contains(f.move().Reason, why) {
		f.T.Errorf("reason %q does not say %q", f.move().Reason, why)
	}
}

func TestGoodVersionIsDoneInTime(t *testing.T) {
	t.Parallel()
	withFleet(t, 1, time.Minute, testWork, busy, standin.Faults{}, func(f *fleet) {
		f.ends(time.Minute, mesh.MoveDone)
		if f.counts().lost > 0 || !f.move().Ended.Before(f.by) {
			t.Errorf("ended %v, by %v, lost %d", f.move().Ended, f.by, f.counts().lost)
		}
	})
}

func TestVersionBadAtOnceIsTakenBack(t *testing.T) {
	t.Parallel()
	withFleet(t, 1, time.Minute, testWork, busy, standin.Faults{FailShare: 1}, func(f *fleet) {
		f.takenBack(time.Minute, int(smallShare*20*busy.rate), "failed")
		t.Log(f.summary())
	})
}

func TestVersionBadLaterIsTakenBackSoon(t *testing.T) {
	t.Parallel()
	withFleet(t, 2, time.Minute, testWork, busy, standin.Faults{}, func(f *fleet) {
		f.Eventually(time.Minute, "half of the traffic", func() bool { return f.move().Share >= mesh.FullShare/2 })
		time.Sleep(time.Second)
		fault := time.Now()
		f.setFaults(standin.Faults{FailShare: 0.5})
		f.takenBack(soon, int(busy.rate*soon.Seconds()/2), "failed")
		if took := f.counts().lastNew.Sub(fault); took > soon {
			t.Errorf("share zero after %v", took)
		}
		t.Log(f.summary())
	})
}

// One upstream of the new version gets the load of a finished move while the share is a third.
func TestVersionBadUnderLoadIsTakenBackAtASmallShare(t *testing.T) {
	t.Parallel()
	withFleet(t, 3, time.Minute, 100*time.Millisecond, busy, standin.Faults{FailAbove: 5}, func(f *fleet) {
		top := 0
		f.Eventually(time.Minute, "taken back", func() bool {
			top = max(top, f.move().Share)
			return f.move().Status == mesh.MoveTakenBack
		})
		if top > mesh.FullShare/testZones {
			t.Errorf("share grew to %d/1000 before the fault showed", top)
		}
		f.takenBack(time.Second, int(smallShare*60*busy.rate), "failed")
		t.Log(f.summary())
	})
}

func TestVersionBadOnARareRouteIsTakenBack(t *testing.T) {
	t.Parallel()
	load := traffic{rate: 100, paths: map[string]float64{"/rare": 0.01}}
	withFleet(t, 4, time.Minute, testWork, load, standin.Faults{FailShare: 1, FailRoute: "/rare"}, func(f *fleet) {
		f.takenBack(time.Minute, 20, "route rare")
		t.Log(f.summary())
	})
}

func TestSlowVersionIsTakenBack(t *testing.T) {
	t.Parallel()
	withFleet(t, 5, time.Minute, testWork, busy, standin.Faults{Slow: 30 * time.Millisecond}, func(f *fleet) {
		f.takenBack(time.Minute, 0, "slower")
		if f.counts().newCalls > int(smallShare*20*busy.rate) {
			t.Errorf("%d calls were slow", f.counts().newCalls)
		}
		t.Log(f.summary())
	})
}

// A version that leaves requests without an answer is found by the timeouts.
func TestSilentVersionIsTakenBack(t *testing.T) {
	t.Parallel()
	withFleet(t, 6, time.Minute, testWork, busy, standin.Faults{Slow: time.Hour}, func(f *fleet) {
		f.takenBack(time.Minute, int(smallShare*20*busy.rate), "failed")
		t.Log(f.summary())
	})
}

func TestQuietService(t *testing.T) {
	t.Parallel()
	quiet := traffic{rate: 0.5}
	t.Run("good", func(t *testing.T) {
		withFleet(t, 7, time.Minute, testWork, quiet, standin.Faults{}, func(f *fleet) {
			f.ends(time.Minute, mesh.MoveDone)
			t.Log(f.summary())
		})
	})
	t.Run("bad", func(t *testing.T) {
		withFleet(t, 8, time.Minute, testWork, quiet, standin.Faults{FailShare: 1}, func(f *fleet) {
			f.takenBack(time.Minute, 6, "")
			t.Log(f.summary())
		})
	})
	t.Run("no calls", func(t *testing.T) {
		withFleet(t, 9, time.Minute, testWork, traffic{rate: 1e-6}, standin.Faults{}, func(f *fleet) {
			f.takenBack(time.Minute+soon, 0, "no calls")
		})
	})
}

func TestVersionBadAfterDoneIsTakenBack(t *testing.T) {
	t.Parallel()
	withFleet(t, 10, time.Minute, testWork, busy, standin.Faults{}, func(f *fleet) {
		f.ends(time.Minute, mesh.MoveDone)
		time.Sleep(3 * time.Minute)
		fault := time.Now()
		f.setFaults(standin.Faults{FailShare: 0.3})
		f.takenBack(soon, int(busy.rate*soon.Seconds()), "failed")
		if took := f.counts().lastNew.Sub(fault); took > soon {
			t.Errorf("share zero after %v", took)
		}
		before := f.counts().lost
		time.Sleep(5 * time.Second)
		if f.counts().lost != before {
			t.Errorf("calls are lost after the move was taken back")
		}
		t.Log(f.summary())
	})
}

// A fault that both versions share, as of a service behind them, is no reason to take a version back.
func TestFaultOfBothVersionsTakesNothingBack(t *testing.T) {
	t.Parallel()
	withFleet(t, 11, 2*time.Minute, testWork, busy, standin.Faults{}, func(f *fleet) {
		f.Eventually(time.Minute, "a tenth of the traffic", func() bool { return f.move().Share >= mesh.FullShare/10 })
		both := func(faults standin.Faults) {
			f.setFaults(faults)
			for z := 1; z <= testZones; z++ {
				f.host(z, 1).Upstream.SetFaults(faults)
			}
		}
		both(standin.Faults{FailShare: 0.5})
		time.Sleep(20 * time.Second)
		both(standin.Faults{})
		f.ends(2*time.Minute, mesh.MoveDone)
	})
}

// A zone that serves has to have the new version too before its share grows.
func TestZoneWithoutNewVersion(t *testing.T) {
	t.Parallel()
	withFleet(t, 12, 2*time.Minute, testWork, busy, standin.Faults{}, func(f *fleet) {
		f.Eventually(time.Minute, "a first share", func() bool { return f.move().Share > 0 })
		f.host(3, 2).KillUpstream()
		time.Sleep(5 * time.Second)
		share := f.move().Share
		time.Sleep(30 * time.Second)
		if now := f.move().Share; now != share {
			t.Errorf("share %d grew to %d without the version in one zone", share, now)
		}
		f.host(3, 2).StartUpstream(standin.Config{Service: "orders", Version: "v2", Slots: 10, Work: testWork})
		f.ends(2*time.Minute, mesh.MoveDone)
	})
}
