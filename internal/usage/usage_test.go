package usage

import (
	"math/rand/v2"
	"sync"
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
	"the holder cannot reach other nodes": func(f *fleet) func(int64) bool {
		n, from := f.holder(), time.Now()
		for _, m := range f.unique() {
			if m != n {
				f.setCut(m.addr, n.addr, true)
			}
		}
		time.Sleep(30 * time.Second)
		accepted := f.api.Accepted()
		for k := window(time.Duration(from.UnixNano()), testWindow); k < window(time.Duration(time.Now().UnixNano()), testWindow)-2; k++ {
			if end := time.Unix(0, int64(testWindow)*(k+1)); accepted[k].At.IsZero() || accepted[k].At.Sub(end) > testDelay {
				f.t.Errorf("window %d was not reported in time by the other nodes", k)
			}
		}
		for _, m := range f.unique() {
			f.setCut(m.addr, n.addr, false)
		}
		return within(from.Add(-testWindow), time.Now()) // without the counts of the host that was cut off
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
			for seed := range uint64(3) {
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

// Nodes start at the same moment, a third of them cannot reach the store, which loses a third of the other calls. A holder must be
// found before the first window ends, or the reports of a short day come too late.
func TestFirstHolderIsFoundInTime(t *testing.T) {
	for seed := range uint64(6) {
		inFleet(t, func(t *testing.T) {
			f := newFleet(t, seed, 86, 3)
			start := time.Now()
			f.setLoss(0.33)
			for i, n := range f.unique() {
				if i%3 == int(seed)%3 {
					f.setCut(n.addr, "store", true)
				}
			}
			f.holder()
			if took := time.Since(start); took > 10*time.Second {
				t.Errorf("seed %d: the first holder was found after %v, want at most 10 s", seed, took)
			}
			f.finish(0, nil)
		})
	}
}

// When a host is killed, at most the counts since the last pull are lost, whether it collects, holds the duty or does neither.
func TestCountsLostWithAHost(t *testing.T) {
	for _, which := range []int{0, 5, 11, 17} {
		inFleet(t, func(t *testing.T) {
			f := newFleet(t, 3, 18, 2)
			time.Sleep(8 * time.Second)
			f.tasks.Go(func() { f.load(360, 30*time.Second) })
			time.Sleep(13 * time.Second)
			f.unique()[which].crash()
			time.Sleep(40 * time.Second)
			f.finish(0.05, nil)
			var ran, told int64
			for k, counts := range f.ran {
				for w, n := range counts {
					ran, told = ran+n, told+f.api.Accepted()[k].Counts[w]
				}
			}
			perHost := int64(360 / 18)
			t.Logf("host %d: %d of %d requests were not reported; the host ran %d a second", which, ran-told, ran, perHost)
			if lost := ran - told; lost < 0 || lost > perHost*5/4+5 {
				t.Errorf("host %d: %d of %d requests were not reported, want at most those of about a second, %d", which, lost, ran, perHost)
			}
		})
	}
}

// The counter is in the path of every request: it must not allocate once the buckets have their size.
func TestCounterDoesNotAllocate(t *testing.T) {
	start := time.Now()
	c := NewCounter(Clock{Boot: func() time.Duration { return time.Since(start) }, Wall: start}, 1)
	at := start.Add(time.Second)
	c.Begin("shop", at)
	if n := testing.AllocsPerRun(1000, func() { c.Begin("shop", at) }); n > 0 {
		t.Errorf("%v allocations for a request, want none", n)
	}
}

// A bucket that was handed out does not change: a request that is counted late goes into the next one, and none is counted twice.
func TestLateRequestIsCountedOnce(t *testing.T) {
	inFleet(t, func(t *testing.T) {
		start := time.Now()
		c := NewCounter(Clock{Boot: func() time.Duration { return time.Since(start) }, Wall: start}, 1)
		s := &series{process: 1, last: -1}
		for range 100 {
			at := time.Now()
			time.Sleep(30 * time.Millisecond)
			s.merge(c.snapshot(s.last, false), time.Since(start))
			c.Begin("shop", at)
		}
		s.merge(c.snapshot(s.last, true), time.Since(start))
		var n int64
		for _, e := range s.counts {
			n += e.n
		}
		if n != 100 {
			t.Errorf("counted %d requests, want 100", n)
		}
	})
}

func BenchmarkCounter(b *testing.B) {
	start := time.Now()
	c := NewCounter(Clock{Boot: func() time.Duration { return time.Since(start) }, Wall: start}, 1)
	b.ReportAllocs()
	for b.Loop() {
		c.Begin("shop", time.Now())
	}
}

// Any mix of failures: the requirements on the order of the calls and on repeated reports hold in all of them, and the fleet
// reports in time again afterwards.
func TestRandomFailures(t *testing.T) {
	for seed := range uint64(12) {
		inFleet(t, func(t *testing.T) {
			f := newFleet(t, 100+seed, 15, 3)
			rng := rand.New(rand.NewPCG(seed, 7))
			time.Sleep(6 * time.Second)
			var traffic sync.WaitGroup
			traffic.Go(func() { f.load(60, 130*time.Second) })
			for range 16 {
				f.disturb(rng)
				time.Sleep(time.Duration(rng.Int64N(int64(5 * time.Second))))
			}
			f.repair()
			time.Sleep(20 * time.Second)
			calm := time.Now()
			traffic.Wait()
			time.Sleep(drainTime)
			f.finish(1, within(time.Unix(0, 0), calm)) // the counts are checked elsewhere, with more requests
		})
	}
}

// disturb brings about one failure.
func (f *fleet) disturb(rng *rand.Rand) {
	live := f.live()
	n := live[rng.IntN(len(live))]
	for _, m := range live {
		if rng.IntN(2) == 0 && m.reporter.Status().Holds {
			n = m // mostly the holder
		}
	}
	switch rng.IntN(8) {
	case 0:
		n.crash()
		f.start(n.addr, n.zone)
	case 1:
		n.terminate()
		f.start(n.addr, n.zone)
	case 2:
		n.pause(time.Duration(rng.Int64N(int64(9 * time.Second))))
	case 3:
		f.setCut(n.addr, "store", rng.IntN(2) == 0)
	case 4:
		f.setCut(n.addr, "api", rng.IntN(2) == 0)
	case 5:
		f.setLoss(rng.Float64())
	case 6:
		f.cutZone(n.zone, rng.IntN(2) == 0)
	case 7:
		f.setFault(nil, time.Duration(rng.Int64N(int64(4*time.Second))))
	}
}

// repair ends all failures.
func (f *fleet) repair() {
	f.setLoss(0)
	f.setFault(nil, runTime)
	for _, zone := range []string{"zone-0", "zone-1", "zone-2"} {
		f.cutZone(zone, false)
	}
}

// The holder has a backlog to send when it is cut off from the store and from all nodes, but not from the API. It must stop before its
// successor begins: with a successor that does not wait for the lease, or a holder that does not end with it, the API gets a lower
// generation after a higher one.
func TestHolderThatOnlyReachesTheAPIStopsInTime(t *testing.T) {
	holderCalls := 0
	for seed := range uint64(6) {
		inFleet(t, func(t *testing.T) {
			f := newFleet(t, seed, 12, 3)
			time.Sleep(6 * time.Second)
			f.tasks.Go(func() { f.load(60, 50*time.Second) })
			time.Sleep(8 * time.Second)
			f.setFault(ErrAnswered, runTime)
			time.Sleep(40 * time.Second)
			n := f.holder()
			for appends := f.appends(); f.appends() == appends; {
				time.Sleep(time.Millisecond)
			}
			from := len(f.api.Calls())
			f.setFault(nil, 700*time.Millisecond)
			f.setCut(n.addr, "store", true)
			for _, m := range f.unique() {
				if m != n {
					f.setCut(m.addr, n.addr, true)
				}
			}
			time.Sleep(40 * time.Second)
			f.finish(1, func(int64) bool { return true }) // the order of the calls is what is checked
			senders := map[string]int{}
			for _, c := range f.api.Calls()[from:] {
				senders[c.Host]++
			}
			holderCalls += senders[n.addr] // none where the backoff outlasts the lease
			delete(senders, n.addr)
			if len(senders) == 0 {
				t.Errorf("seed %d: no other node called the API", seed)
			}
		})
	}
	if holderCalls == 0 {
		t.Error("the holder made no call after it was cut off: the test checks nothing")
	}
}
