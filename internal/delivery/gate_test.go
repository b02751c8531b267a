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

func slotRequest(rank int, deadline time.Duration) SlotRequest {
	now := time.Now()
	return SlotRequest{Rank: rank, Deadline: now.Add(deadline), WaitToDeadline: true}
}

// Scenario: all slots are in use and requests of several ranks are queued. The lowest rank goes first.
func TestLowestRankGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate()
		g.Open(1, time.Time{}, 0)
		if _, ok := g.Acquire(t.Context(), slotRequest(0, time.Minute)); !ok {
			t.Fatal("got no slot from a gate with one free slot")
		}
		var mu sync.Mutex
		var order []int
		for _, rank := range []int{2, 1, 2, -1, 0, 1} {
			go func() {
				if _, ok := g.Acquire(t.Context(), slotRequest(rank, time.Minute)); ok {
					mu.Lock()
					order = append(order, rank)
					mu.Unlock()
				}
			}()
			synctest.Wait()
		}
		for range 6 {
			g.Release("", 10*time.Millisecond)
			synctest.Wait()
		}
		if !slices.Equal(order, []int{-1, 0, 1, 1, 2, 2}) {
			t.Errorf("got order of ranks %v, want ascending", order)
		}
	})
}

// Scenario: overload. A request that cannot be served in time is refused at once, with a Retry-After.
func TestRequestThatWouldBeLateIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate()
		g.Open(1, time.Time{}, 0)
		g.Acquire(t.Context(), slotRequest(0, time.Minute))
		for range 3 {
			go g.Acquire(t.Context(), slotRequest(0, time.Minute))
			synctest.Wait()
		}
		start := time.Now()
		refused, ok := g.Acquire(t.Context(), slotRequest(0, initialMeanTime))
		if ok || refused.Reason != proxy.ReasonTooLate || refused.RetryAfter < 4*initialMeanTime || time.Since(start) > 0 {
			t.Errorf("got ok %v, refusal %+v after %v, want %s at once with a RetryAfter", ok, refused, time.Since(start), proxy.ReasonTooLate)
		}
		shortWait := slotRequest(0, time.Minute)
		shortWait.WaitToDeadline = false
		if refused, ok := g.Acquire(t.Context(), shortWait); ok || refused.Reason != proxy.ReasonFull {
			t.Errorf("without WaitToDeadline: got ok %v, refusal %+v, want %s", ok, refused, proxy.ReasonFull)
		}
		g.Close(proxy.ReasonDraining)
		synctest.Wait()
		if refused, ok := g.Acquire(t.Context(), slotRequest(0, time.Minute)); ok || refused.Reason != proxy.ReasonDraining {
			t.Errorf("after Close: got ok %v, refusal %+v, want %s", ok, refused, proxy.ReasonDraining)
		}
	})
}

// Scenario: a queued request gets close to its deadline. It is refused as soon as it can no longer be
// served in time, not at the deadline.
func TestQueuedRequestIsRefusedBeforeItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate()
		g.Open(2, time.Time{}, 0)
		g.Acquire(t.Context(), slotRequest(0, time.Minute))
		g.Acquire(t.Context(), slotRequest(0, time.Minute))
		var refused Refusal
		var waited time.Duration
		go func() {
			start := time.Now()
			refused, _ = g.Acquire(t.Context(), slotRequest(0, 200*time.Millisecond))
			waited = time.Since(start)
		}()
		synctest.Wait()
		time.Sleep(80 * time.Millisecond)
		g.Release("", time.Second) // much slower than the initial estimate
		synctest.Wait()
		if refused.Reason != proxy.ReasonTooLate || waited != 80*time.Millisecond {
			t.Errorf("got refusal %+v after %v, want %s after 80ms", refused, waited, proxy.ReasonTooLate)
		}
	})
}

func TestCancelledRequestIsDequeued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate()
		g.Open(1, time.Time{}, 0)
		g.Acquire(t.Context(), slotRequest(0, time.Minute))
		ctx, cancel := context.WithCancel(t.Context())
		var refused Refusal
		go func() { refused, _ = g.Acquire(ctx, slotRequest(0, time.Minute)) }()
		synctest.Wait()
		cancel()
		synctest.Wait()
		if l := g.Load(); refused.Reason != proxy.ReasonCancelled || l.InUse != 1 {
			t.Errorf("got refusal %+v, load %+v, want %s and 1 in use", refused, l, proxy.ReasonCancelled)
		}
	})
}

// The operator's limit for a cold upstream: 1.5 times the rate that it states plus 5 requests in any
// second.
const (
	coldRate      = 17
	coldOvershoot = 1.5
	coldSlack     = 5
)

var coldAllowed = ColdBound{coldOvershoot, coldSlack}.allowed(coldRate)

// stall is how long a CPU-starved host may stall. Requests admitted before a stall are all sent after
// it: of requests admitted at 28 a second, 31 have been seen to arrive within one second.
const stall = time.Second / 6

// sendDelay is the delay of a request whose host stalls after it was counted as sent: a CPU quota is
// refilled every tenth of a second.
const sendDelay = time.Second / 10

// busiestSecond returns the largest number of times within one second. times is sorted.
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

// Scenario: a zone comes back in with cold upstreams, all callers send at once, and the host is
// CPU-starved.
func TestColdUpstreamIsRateLimitedInEverySecond(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			g, r := NewGate(), rand.New(rand.NewPCG(seed, 0))
			g.Open(9, time.Now().Add(time.Hour), coldAllowed)
			start := time.Now()
			stalls := map[time.Duration]bool{} // by index of the stall-long interval
			var mu sync.Mutex
			maybeStall := func() {
				n := time.Since(start) / stall
				mu.Lock()
				stalled, known := stalls[n]
				if !known {
					stalled = r.IntN(3) == 0
					stalls[n] = stalled
				}
				mu.Unlock()
				if stalled {
					time.Sleep((n+1)*stall - time.Since(start))
				}
			}
			var arrived []time.Time
			ctx, stop := context.WithCancel(t.Context())
			var callers sync.WaitGroup
			for range 40 {
				callers.Go(func() {
					for ctx.Err() == nil {
						if _, ok := g.Acquire(ctx, slotRequest(0, time.Minute)); !ok {
							time.Sleep(impatientPause)
							continue
						}
						maybeStall()
						sent, err := g.WaitToSend(ctx)
						if err != nil {
							return
						}
						sent()
						mu.Lock()
						at := time.Now()
						if r.IntN(10) == 0 {
							at = at.Add(sendDelay)
						}
						arrived = append(arrived, at)
						mu.Unlock()
						time.Sleep(20 * time.Millisecond)
						g.Release("", 20*time.Millisecond)
					}
				})
			}
			time.Sleep(5 * time.Second)
			stop()
			callers.Wait()
			slices.SortFunc(arrived, time.Time.Compare)
			if most := busiestSecond(arrived); float64(most) > coldRate*coldOvershoot+coldSlack {
				t.Errorf("seed %d: got %d requests in one second, want at most %v", seed, most, coldRate*coldOvershoot+coldSlack)
			}
			if n := len(arrived); float64(n) < 5*coldRate {
				t.Errorf("seed %d: got %d requests in five seconds, want at least %d", seed, n, 5*coldRate)
			}
		})
	}
}

// A slowed host stalls between the count of a request and its write, and several requests at the same time: they must not
// arrive together.
func TestStallsBetweenCountAndWriteDoNotFloodAColdUpstream(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			g, r := NewGate(), rand.New(rand.NewPCG(seed, 0))
			g.Open(9, time.Now().Add(time.Hour), coldAllowed)
			var mu sync.Mutex
			var arrived []time.Time
			ctx, stop := context.WithTimeout(t.Context(), 5*time.Second)
			defer stop()
			var callers sync.WaitGroup
			for range 40 {
				callers.Go(func() {
					for ctx.Err() == nil {
						sent, err := g.WaitToSend(ctx)
						if err != nil {
							return
						}
						mu.Lock()
						stalled := time.Duration(r.IntN(2)*r.IntN(400)) * time.Millisecond
						mu.Unlock()
						time.Sleep(stalled)
						mu.Lock()
						arrived = append(arrived, time.Now())
						mu.Unlock()
						sent()
						time.Sleep(20 * time.Millisecond)
					}
				})
			}
			callers.Wait()
			slices.SortFunc(arrived, time.Time.Compare)
			if most := busiestSecond(arrived); float64(most) > coldRate*coldOvershoot+coldSlack {
				t.Errorf("seed %d: got %d requests in one second, want at most %v", seed, most, coldRate*coldOvershoot+coldSlack)
			}
		})
	}
}

// No second gets more requests than allowed, whatever the gaps between requests. The first call of set
// has no effect: the second call replaces it before any request.
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
			if p.admit(now) {
				sent = append(sent, now)
			}
		}
		return float64(busiestSecond(sent)) <= coldAllowed
	}, gen.SliceOfN(4000, gen.IntRange(0, 1)), gen.IntRange(0, 1000)))
	properties.TestingRun(t)
}

// A cold upstream with enough demand gets close to its allowed rate, and never more.
func TestColdUpstreamGetsItsAllowedRate(t *testing.T) {
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
					if _, ok := g.Acquire(ctx, slotRequest(0, time.Minute)); !ok {
						time.Sleep(impatientPause)
						continue
					}
					mu.Lock()
					sent = append(sent, time.Now())
					mu.Unlock()
					time.Sleep(20 * time.Millisecond)
					g.Release("", 20*time.Millisecond)
				}
			})
		}
		time.Sleep(3 * time.Second)
		mu.Lock()
		n, most := len(sent), busiestSecond(sent)
		mu.Unlock()
		if float64(n) < 3*coldRate*(1+coldOvershoot)/2 || float64(most) > coldRate*coldOvershoot+coldSlack {
			t.Errorf("got %d requests in three seconds, want at least %v; %d in the busiest second, want at most %v", n, 3*coldRate*(1+coldOvershoot)/2, most, coldRate*coldOvershoot+coldSlack)
		}
		stop()
		callers.Wait()
	})
}

// When a warm upstream turns cold without notice, the requests sent in the second before count.
func TestRequestsBeforeTurningColdCount(t *testing.T) {
	p, now := pacer{}, time.Unix(1000, 0)
	p.set(time.Time{}, coldAllowed)
	for range 40 {
		now = now.Add(10 * time.Millisecond)
		p.admit(now)
	}
	p.set(now.Add(time.Minute), coldAllowed)
	if p.admit(now.Add(10 * time.Millisecond)) {
		t.Error("admitted one more request within the second, want none")
	}
	if !p.admit(now.Add(1100 * time.Millisecond)) {
		t.Error("admitted no request after the second, want one")
	}
}
