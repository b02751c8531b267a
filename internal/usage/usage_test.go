package usage

import (
	"testing"
	"time"
)

// drainTime is the time after the traffic in which the last reports are due.
const drainTime = 20 * time.Second

// within returns a filter for the windows that lie in part between two times.
func within(from, to time.Time) func(int64) bool {
	return func(k int64) bool {
		return time.Unix(0, int64(testWindow)*(k+1)).After(from) && time.Unix(0, int64(testWindow)*k).Before(to)
	}
}

// In calm, every window is reported in time and exactly, by one holder, at one append a window and without reads by others.
func TestCalmFleet(t *testing.T) {
	inFleet(t, func(t *testing.T) {
		f := newFleet(t, 1, 30, 3)
		time.Sleep(10 * time.Second)
		f.holder()
		reads := f.store.reads
		if reads > 3 {
			t.Errorf("%d reads of the store until there was a holder, want at most 3", reads)
		}
		appends := f.store.appends
		f.load(300, 40*time.Second)
		time.Sleep(drainTime)
		f.finish(0.05, nil)
		if got := f.store.appends - appends; got > len(f.ran) || f.store.reads != reads {
			t.Errorf("%d appends and %d reads for %d windows, want one append for each", got, f.store.reads-reads, len(f.ran))
		}
		if got := len(f.api.Calls()); got != len(f.ran) {
			t.Errorf("%d calls of the API for %d windows", got, len(f.ran))
		}
	})
}

// failures has what may go wrong during the traffic; affected are the windows whose counts may then be wrong or late.
var failures = map[string]func(f *fleet) (affected func(int64) bool){
	"the holder is killed": func(f *fleet) func(int64) bool { f.holder().crash(); return nil },
	"the holder is killed and restarted": func(f *fleet) func(int64) bool {
		n := f.holder()
		n.crash()
		time.Sleep(time.Second)
		f.start(n.addr, n.zone)
		return nil
	},
	"the holder dies after a call whose answer was lost": func(f *fleet) func(int64) bool {
		calls := len(f.api.Calls())
		f.setFault(nil, 5*time.Second)
		for len(f.api.Calls()) == calls {
			time.Sleep(10 * time.Millisecond)
		}
		f.holder().crash()
		f.setFault(nil, runTime)
		return nil
	},
	"the holder is paused beyond its lease": func(f *fleet) func(int64) bool {
		n, from := f.holder(), time.Now()
		n.pause(12 * time.Second)
		return within(from.Add(11*time.Second), time.Now())
	},
	"the holder cannot reach the store": func(f *fleet) func(int64) bool {
		n, from := f.holder(), time.Now()
		f.setCut(n.addr, "store", true)
		time.Sleep(30 * time.Second)
		f.setCut(n.addr, "store", false)
		return within(from.Add(-testWindow), from.Add(20*time.Second))
	},
	"the holder cannot reach the API": func(f *fleet) func(int64) bool {
		n, from := f.holder(), time.Now()
		f.setCut(n.addr, "api", true)
		time.Sleep(30 * time.Second)
		f.setCut(n.addr, "api", false)
		return within(from.Add(-testWindow), from.Add(20*time.Second))
	},
	"the store is unavailable": func(f *fleet) func(int64) bool {
		from := time.Now()
		f.setLoss(1)
		time.Sleep(20 * time.Second)
		f.setLoss(0)
		return within(from.Add(-2*testWindow), time.Now().Add(testWindow)) // late
	},
	"responses of the store are lost": func(f *fleet) func(int64) bool {
		f.setLoss(0.4)
		time.Sleep(30 * time.Second)
		f.setLoss(0)
		return nil
	},
	"the API is down": func(f *fleet) func(int64) bool {
		from := time.Now()
		f.setFault(ErrAnswered, runTime)
		time.Sleep(20 * time.Second)
		f.setFault(nil, runTime)
		return within(from.Add(-3*testWindow), time.Now().Add(testWindow)) // late
	},
	"the API is slow": func(f *fleet) func(int64) bool {
		f.setFault(nil, 1500*time.Millisecond)
		time.Sleep(20 * time.Second)
		f.setFault(nil, runTime)
		return nil
	},
	"the API answers too late": func(f *fleet) func(int64) bool {
		from := time.Now()
		f.setFault(nil, 4*time.Second)
		time.Sleep(20 * time.Second)
		f.setFault(nil, runTime)
		return within(from.Add(-2*testWindow), time.Now().Add(testWindow)) // accepted, perhaps late
	},
	"a zone is cut off": func(f *fleet) func(int64) bool {
		from := time.Now()
		f.cutZone("zone-1", true)
		time.Sleep(20 * time.Second)
		f.cutZone("zone-1", false)
		return within(from.Add(-2*testWindow), time.Now().Add(testWindow)) // its counts are missing
	},
	"all hosts lose power": func(f *fleet) func(int64) bool {
		from := time.Now()
		for _, n := range f.live() {
			n.crash()
		}
		time.Sleep(2 * time.Second)
		for _, n := range f.unique() {
			f.start(n.addr, n.zone)
		}
		return within(from.Add(-2*testWindow), time.Now())
	},
	"hosts are restarted one by one": func(f *fleet) func(int64) bool {
		for _, n := range f.live()[:12] {
			n.terminate()
			f.start(n.addr, n.zone)
		}
		return nil
	},
	"the collectors are killed": func(f *fleet) func(int64) bool {
		members := f.holder().Alive()
		for _, g := range groups(members) {
			for _, n := range f.live() {
				if n.addr == g.collectors(members)[0] {
					n.crash()
				}
			}
		}
		return nil
	},
}

// Each failure that the design names is brought about in the middle of the traffic. The requirements on the order of the calls
// and on repeated reports hold always, and the windows that are not affected are reported in time.
func TestFailures(t *testing.T) {
	for name, fail := range failures {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(4) {
				inFleet(t, func(t *testing.T) {
					f := newFleet(t, seed, 24, 3)
					time.Sleep(8 * time.Second)
					f.tasks.Go(func() { f.load(240, 70*time.Second) })
					time.Sleep(12*time.Second + time.Duration(seed)*1300*time.Millisecond)
					affected := fail(f)
					time.Sleep(70 * time.Second)
					f.finish(0.05, affected)
				})
			}
		})
	}
}
