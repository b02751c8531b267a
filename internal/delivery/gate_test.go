package delivery

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"celerybank/internal/proxy"
)

func claim(rank int, deadline, target time.Duration) Claim {
	now := time.Now()
	return Claim{Rank: rank, Deadline: now.Add(deadline), Target: now.Add(target), Patient: true}
}

// Pattern: slots short, requests of several ranks wait. The most urgent go first.
func TestMoreUrgentGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate()
		g.Open(1, time.Time{}, 0)
		if _, ok := g.Acquire(t.Context(), claim(0, time.Minute, time.Minute)); !ok {
			t.Fatal("no slot")
		}
		var mu sync.Mutex
		var order []int
		for _, rank := range []int{2, 1, 2, -1, 0, 1} {
			go func() {
				if _, ok := g.Acquire(t.Context(), claim(rank, time.Minute, time.Minute)); ok {
					mu.Lock()
					order = append(order, rank)
					mu.Unlock()
				}
			}()
			synctest.Wait()
		}
		for range 6 {
			g.Release(10 * time.Millisecond)
			synctest.Wait()
		}
		if !slices.Equal(order, []int{-1, 0, 1, 1, 2, 2}) {
			t.Errorf("%v", order)
		}
	})
}

// Pattern: overload. What cannot be served in time is refused at once, with a time to come back.
func TestHopelessIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate()
		g.Open(1, time.Time{}, 0)
		g.Acquire(t.Context(), claim(0, time.Minute, time.Minute))
		for range 3 {
			go g.Acquire(t.Context(), claim(0, time.Minute, time.Minute))
			synctest.Wait()
		}
		start := time.Now()
		refused, ok := g.Acquire(t.Context(), claim(0, firstPace, firstPace))
		if ok || refused.Reason != proxy.ReasonTooLate || refused.After < minRetryAfter || time.Since(start) > 0 {
			t.Errorf("%v %+v after %v", ok, refused, time.Since(start))
		}
		impatient := claim(0, time.Minute, 200*time.Millisecond)
		impatient.Patient = false
		if refused, ok := g.Acquire(t.Context(), impatient); ok || refused.Reason != proxy.ReasonFull {
			t.Errorf("an impatient one: %v %+v", ok, refused)
		}
		g.Close(proxy.ReasonDraining)
		synctest.Wait()
		if refused, ok := g.Acquire(t.Context(), claim(0, time.Minute, time.Minute)); ok || refused.Reason != proxy.ReasonDraining {
			t.Errorf("after the close: %v %+v", ok, refused)
		}
	})
}

// Pattern: a request waits and its time runs out. It is refused when it can no longer be
// served, not at its deadline.
func TestWaiterIsRefusedBeforeItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate()
		g.Open(2, time.Time{}, 0)
		g.Acquire(t.Context(), claim(0, time.Minute, time.Minute))
		g.Acquire(t.Context(), claim(0, time.Minute, time.Minute))
		var refused Refusal
		var waited time.Duration
		go func() {
			start := time.Now()
			refused, _ = g.Acquire(t.Context(), claim(0, 100*time.Millisecond, time.Minute))
			waited = time.Since(start)
		}()
		synctest.Wait()
		time.Sleep(80 * time.Millisecond)
		g.Release(time.Second) // much slower than it was taken for
		synctest.Wait()
		if refused.Reason != proxy.ReasonTooLate || waited != 80*time.Millisecond {
			t.Errorf("%+v after %v", refused, waited)
		}
	})
}

func TestCallerThatLeavesFreesItsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate()
		g.Open(1, time.Time{}, 0)
		g.Acquire(t.Context(), claim(0, time.Minute, time.Minute))
		ctx, leave := context.WithCancel(t.Context())
		var refused Refusal
		go func() { refused, _ = g.Acquire(ctx, claim(0, time.Minute, time.Minute)) }()
		synctest.Wait()
		leave()
		synctest.Wait()
		if l := g.Load(); refused.Reason != proxy.ReasonCancelled || l.InUse != 1 {
			t.Errorf("%+v %+v", refused, l)
		}
	})
}

// The platform's bound on a cold upstream: 1.5 times its rate and five more in any second.
const (
	coldRate      = 17
	coldOvershoot = 1.5
	coldSlack     = 5
)

var coldAllowed = ColdBound{coldOvershoot, coldSlack}.allowed(coldRate)

// A host without processor time stands still for up to a sixth of a second, as on iblee-mesh trouble-2,
// where 28 requests admitted in a second arrived as 31: what was admitted before leaves afterwards, at once.
const stall = time.Second / 6

// lastStep is how late the one request may be that was counted when its host stood still: a core's
// quota is given anew each tenth of a second.
const lastStep = time.Second / 10

// busiestSecond returns the most of times, in order, that lie within one second.
func busiestSecond(times []time.Time) (most int) {
	for i := range times {
		n := 0
		for _, at := range times[i:] {
			if at.Sub(times[i]) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Pattern: a zone returns cold, all callers come at once, and the host is short of processor time.
func TestColdUpstreamIsPacedInEverySecond(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			g, r := NewGate(), rand.New(rand.NewPCG(seed, 0))
			g.Open(9, time.Now().Add(time.Hour), coldAllowed)
			start := time.Now()
			stalls := map[time.Duration]bool{} // by number of the sixth of a second
			var mu sync.Mutex
			standStill := func() {
				n := time.Since(start) / stall
				mu.Lock()
				still, known := stalls[n]
				if !known {
					still = r.IntN(3) == 0
					stalls[n] = still
				}
				mu.Unlock()
				if still {
					time.Sleep((n+1)*stall - time.Since(start))
				}
			}
			var arrived []time.Time
			ctx, stop := context.WithCancel(t.Context())
			var callers sync.WaitGroup
			for range 40 {
				callers.Go(func() {
					for ctx.Err() == nil {
						if _, ok := g.Acquire(ctx, claim(0, time.Minute, time.Minute)); !ok {
							continue
						}
						standStill()
						if g.Send(ctx) != nil {
							return
						}
						mu.Lock()
						at := time.Now()
						if r.IntN(10) == 0 {
							at = at.Add(lastStep)
						}
						arrived = append(arrived, at)
						mu.Unlock()
						time.Sleep(20 * time.Millisecond)
						g.Release(20 * time.Millisecond)
					}
				})
			}
			time.Sleep(5 * time.Second)
			stop()
			callers.Wait()
			slices.SortFunc(arrived, time.Time.Compare)
			if most := busiestSecond(arrived); float64(most) > coldRate*coldOvershoot+coldSlack {
				t.Errorf("seed %d: %d in one second", seed, most)
			}
			if n := len(arrived); float64(n) < 5*coldRate {
				t.Errorf("seed %d: %d in five seconds, it bears %d", seed, n, 5*coldRate)
			}
		})
	}
}

// A pacer alone: no second gets more than is allowed, whatever the gaps between requests are and
// however much a warm upstream got just before.
func TestPacerKeepsItsRateInEverySecond(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(7))
	properties.Property("no second gets more than allowed", prop.ForAll(func(gaps []int, warm int) bool {
		p := pacer{}
		now := time.Unix(1000, 0)
		p.set(now.Add(time.Duration(warm)*time.Millisecond), 0)
		p.set(now.Add(time.Hour), coldAllowed)
		var sent []time.Time
		for _, gap := range gaps {
			now = now.Add(time.Duration(gap) * time.Millisecond)
			if p.take(now) {
				sent = append(sent, now)
			}
		}
		return float64(busiestSecond(sent)) <= coldAllowed
	}, gen.SliceOfN(4000, gen.IntRange(0, 1)), gen.IntRange(0, 1000)))
	properties.TestingRun(t)
}

func TestColdUpstreamServesWhatItBears(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate()
		g.Open(9, time.Now().Add(4*time.Second), coldAllowed)
		var mu sync.Mutex
		var sent []time.Time
		ctx, stop := context.WithCancel(t.Context())
		var callers sync.WaitGroup
		for range 30 {
			callers.Go(func() {
				for ctx.Err() == nil {
					if _, ok := g.Acquire(ctx, claim(0, time.Minute, time.Minute)); !ok {
						continue
					}
					mu.Lock()
					sent = append(sent, time.Now())
					mu.Unlock()
					time.Sleep(20 * time.Millisecond)
					g.Release(20 * time.Millisecond)
				}
			})
		}
		time.Sleep(3 * time.Second)
		mu.Lock()
		n, most := len(sent), busiestSecond(sent)
		mu.Unlock()
		if float64(n) < 3*coldRate*(1+coldOvershoot)/2 || float64(most) > coldRate*coldOvershoot+coldSlack {
			t.Errorf("%d in three seconds, %d in the busiest", n, most)
		}
		stop()
		callers.Wait()
	})
}

// A warm upstream that turns cold without notice: what was sent in the second before counts.
func TestSuddenColdCountsWhatWasSentBefore(t *testing.T) {
	p, now := pacer{}, time.Unix(1000, 0)
	p.set(time.Time{}, coldAllowed)
	for range 40 {
		now = now.Add(10 * time.Millisecond)
		p.take(now)
	}
	p.set(now.Add(time.Minute), coldAllowed)
	if p.take(now.Add(10 * time.Millisecond)) {
		t.Error("one more within the second")
	}
	if !p.take(now.Add(1100 * time.Millisecond)) {
		t.Error("none after the second")
	}
}
