package admission

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

const testSlots = 10

// testRoute is the route of requests whose processing time does not matter.
const testRoute = "show"

func warmGate() *Gate {
	g := NewGate()
	g.Open(testSlots, 0)
	return g
}

// The gate never runs more requests than the upstream has slots, and every slot is released.
func TestSlotsAreExact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := warmGate()
		var running, peak, served atomic.Int64
		var wg sync.WaitGroup
		rng := rand.New(rand.NewPCG(1, 2))
		for i := range 3000 {
			wait, work := time.Duration(rng.IntN(40))*time.Millisecond, time.Duration(rng.IntN(20)+1)*time.Millisecond
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), wait)
				defer cancel()
				c := Class(i % 2)
				if g.Acquire(ctx, c, testRoute) != Admitted {
					return
				}
				now := running.Add(1)
				for p := peak.Load(); now > p && !peak.CompareAndSwap(p, now); p = peak.Load() {
				}
				time.Sleep(work)
				running.Add(-1)
				served.Add(1)
				g.Release(c)
			})
			time.Sleep(500 * time.Microsecond)
		}
		wg.Wait()
		if peak.Load() > testSlots || g.Running() != 0 || served.Load() == 0 {
			t.Errorf("got peak %d of %d slots, %d held at the end, %d served; want peak within the slots, none held, some served", peak.Load(), testSlots, g.Running(), served.Load())
		}
	})
}

// overload offers factor times the capacity of one upstream, whose running requests share its
// processors, and counts the responses within the deadline.
type overload struct {
	gate     *Gate // nil admits everything
	factor   float64
	running  atomic.Int64
	mu       sync.Mutex
	served   []time.Duration
	work     time.Duration
	deadline time.Duration
}

const overloadTime = 3 * time.Second

func (o *overload) run() (goodput float64, p99 time.Duration) {
	var wg sync.WaitGroup
	rng := rand.New(rand.NewPCG(7, 7))
	capacity := testSlots / o.work.Seconds()
	for start := time.Now(); time.Since(start) < overloadTime; {
		time.Sleep(time.Duration(rng.ExpFloat64() / (o.factor * capacity) * float64(time.Second)))
		wg.Go(o.request)
	}
	wg.Wait()
	slices.Sort(o.served)
	if n := len(o.served); n > 0 {
		p99 = o.served[n*99/100]
	}
	return float64(len(o.served)) / overloadTime.Seconds() / capacity, p99
}

func (o *overload) request() {
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), o.deadline)
	defer cancel()
	if o.gate != nil {
		if o.gate.Acquire(ctx, Lookup, testRoute) != Admitted {
			return
		}
		defer o.gate.Release(Lookup)
	}
	o.running.Add(1)
	defer o.running.Add(-1)
	for done := time.Duration(0); done < o.work; {
		if ctx.Err() != nil {
			return
		}
		time.Sleep(time.Millisecond)
		done += time.Duration(float64(time.Millisecond) * min(1, testSlots/float64(o.running.Load())))
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.served = append(o.served, time.Since(start))
}

// At two and five times the capacity the gate keeps goodput high and latency low.
func TestGoodputUnderOverload(t *testing.T) {
	for _, factor := range []float64{0.9, 2, 5} {
		for _, wait := range []time.Duration{-1, 0, 10 * time.Millisecond, InitialMaxWait} {
			if wait < 0 && factor > 2 && !testing.Verbose() {
				continue
			}
			synctest.Test(t, func(t *testing.T) {
				o := &overload{factor: factor, work: 20 * time.Millisecond, deadline: 500 * time.Millisecond}
				name := "no admission"
				if wait >= 0 {
					o.gate, name = warmGate(), fmt.Sprint("queued at most ", wait)
					o.gate.initialMaxWait = wait
				}
				goodput, p99 := o.run()
				t.Logf("%.1f times capacity, %s: goodput %.3f of capacity, p99 %v", factor, name, goodput, p99)
				if wait != InitialMaxWait {
					return
				}
				if want := min(factor, 1) * 0.9; goodput < want || p99 > o.work+InitialMaxWait+5*time.Millisecond {
					t.Errorf("got goodput %.3f, want at least %.3f; got p99 %v, want at most %v", goodput, want, p99, o.work+InitialMaxWait+5*time.Millisecond)
				}
			})
		}
	}
}

// A burst of slow changes fills the slots of its class. Lookups are still admitted at once.
func TestLookupsAreNotDelayedByChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := warmGate()
		var wg sync.WaitGroup
		lookup := func() (Outcome, time.Duration) {
			start := time.Now()
			r := g.Acquire(context.Background(), Lookup, testRoute)
			waited := time.Since(start)
			if r == Admitted {
				time.Sleep(5 * time.Millisecond)
				g.Release(Lookup)
			}
			return r, waited
		}
		lookup()
		for range 60 {
			wg.Go(func() {
				for range 10 {
					if g.Acquire(context.Background(), Change, testRoute) == Admitted {
						time.Sleep(200 * time.Millisecond)
						g.Release(Change)
					}
				}
			})
		}
		for range 100 {
			time.Sleep(10 * time.Millisecond)
			if r, waited := lookup(); r != Admitted || waited > 0 {
				t.Errorf("lookup: got outcome %d after %v, want %d at once", r, waited, Admitted)
			}
		}
		wg.Wait()
	})
}

// An upstream gets a tenth of its slots at its start and ramps up. Requests beyond the limit are refused
// at once.
func TestSlowStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate()
		g.Open(testSlots, 10*time.Second)
		for second, want := range []int{1, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10} {
			got := 0
			for g.Acquire(context.Background(), Lookup, testRoute) == Admitted {
				got++
			}
			if got != want {
				t.Errorf("%d s after the start: got %d slots, want %d", second, got, want)
			}
			if r := g.Acquire(context.Background(), Lookup, testRoute); second < 10 && r != Cold {
				t.Errorf("%d s after the start: got outcome %d, want %d", second, r, Cold)
			}
			for range got {
				g.Release(Lookup)
			}
			time.Sleep(time.Second)
		}
	})
}

// An upstream that turns cold without announcing it is detected from its latency. Single outliers and a
// route that is always slow do not count as cold.
func TestColdWithoutWarning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate()
		g.Open(testSlots, 5*time.Second)
		time.Sleep(5 * time.Second)
		observe := func(n int, lookup time.Duration) (cold bool) {
			for i := range n {
				cold = g.Observe("book", 300*time.Millisecond+time.Duration(i%7)*10*time.Millisecond) || cold
				cold = g.Observe("show", lookup) || cold
				time.Sleep(20 * time.Millisecond)
			}
			return cold
		}
		if observe(200, 10*time.Millisecond) {
			t.Error("got cold at constant latencies")
		}
		if observe(2, 2*time.Second) || observe(100, 12*time.Millisecond) {
			t.Error("got cold after two outliers")
		}
		if !observe(20, 80*time.Millisecond) {
			t.Fatal("got warm at eight times the latency, want cold")
		}
		if _, limit, _ := g.Load(); limit > 2 {
			t.Errorf("got limit %d after the upstream turned cold, want at most 2", limit)
		}
	})
}

// A request shed by the upstream lowers the limit, which recovers over time.
func TestShedRequestLowersTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := warmGate()
		for range 8 {
			g.Acquire(context.Background(), Lookup, testRoute)
		}
		g.RecordShed()
		if _, limit, _ := g.Load(); limit != 6 {
			t.Errorf("got limit %d after a shed request with 8 running, want 6", limit)
		}
		time.Sleep(10 * time.Second)
		if _, limit, _ := g.Load(); limit != testSlots {
			t.Errorf("got limit %d ten seconds later, want %d", limit, testSlots)
		}
	})
}

func BenchmarkAcquire(b *testing.B) {
	g, ctx := warmGate(), context.Background()
	b.ReportAllocs()
	for b.Loop() {
		if g.Acquire(ctx, Lookup, testRoute) == Admitted {
			g.Release(Lookup)
		}
	}
}

// Scenario: the whole machine is busy. Latencies jump because of the scheduling lag of this process,
// while the upstream is as warm as before.
func TestSchedulingLagIsNotAColdUpstream(t *testing.T) {
	for _, lag := range []time.Duration{0, jumpFloor} {
		synctest.Test(t, func(t *testing.T) {
			g := NewGate()
			current := time.Duration(0)
			g.SetLag(func() time.Duration { return current })
			g.Open(10, 0)
			for range 100 {
				g.Observe("show", 5*time.Millisecond)
				time.Sleep(10 * time.Millisecond)
			}
			current = lag
			cold := false
			for range 100 {
				cold = g.Observe("show", 100*time.Millisecond) || cold
				time.Sleep(10 * time.Millisecond)
			}
			if cold != (lag == 0) {
				t.Errorf("lag %v: got cold %v, want %v", lag, cold, lag == 0)
			}
		})
	}
}

// An upstream takes 400 ms for a request. A request that found all slots in use was refused after 50 ms, though a slot was
// free before those ahead of it were due and its caller had seconds left.
func TestRequestWaitsAsLongAsThoseAheadTake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := warmGate()
		const work = 400 * time.Millisecond
		for range baselineSamples {
			g.Observe("list", work)
		}
		for range testSlots {
			go func() {
				if g.Acquire(t.Context(), Lookup, testRoute) == Admitted {
					time.Sleep(work)
					g.Release(Lookup)
				}
			}()
		}
		time.Sleep(work / 4)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		if got := g.Acquire(ctx, Lookup, testRoute); got != Admitted {
			t.Errorf("got outcome %d, want %d", got, Admitted)
		}
		// No slot is returned within the time that requests take: the request may go elsewhere.
		synctest.Wait()
		for g.Running() < testSlots {
			g.Acquire(t.Context(), Lookup, testRoute)
		}
		start := time.Now()
		if got := g.Acquire(ctx, Lookup, testRoute); got != Full || time.Since(start) != work {
			t.Errorf("stalled upstream: got outcome %d after %v, want %d after %v", got, time.Since(start), Full, work)
		}
	})
}

// An upstream takes 400 ms for a request, and all its slots have just been taken. A queued request whose caller has 500 ms
// waited for a slot until no time was left to be served, there or elsewhere.
func TestQueuedRequestLeavesWhenItsWorkNoLongerFits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := warmGate()
		const work, deadline = 400 * time.Millisecond, 500 * time.Millisecond
		for range baselineSamples {
			g.Observe("list", work)
		}
		for range testSlots {
			g.Acquire(t.Context(), Lookup, "list")
		}
		for left, want := range map[time.Duration]time.Duration{deadline: deadline - work, work / 2: 0} {
			ctx, cancel := context.WithTimeout(t.Context(), left)
			start := time.Now()
			if got := g.Acquire(ctx, Lookup, "list"); got != Full || time.Since(start) != want {
				t.Errorf("caller with %v: got outcome %d after %v, want %d after %v", left, got, time.Since(start), Full, want)
			}
			cancel()
		}
	})
}
