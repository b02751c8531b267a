package delivery

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"celerybank/internal/proxy"
)

// simRoute is one kind of request in a simulated overload. rate is in requests per second; work is the mean
// processing time, with a log-normal spread. Callers repeat a refused request up to repeats times, after the
// Retry-After but at most a third of the time that they have left.
type simRoute struct {
	name           string
	rank           int
	rate           float64
	work, deadline time.Duration
	target         time.Duration
	spread         float64
	repeats        int
	workspace      string
	// impatient is the share of the callers that retry at once, as often as they can in their time.
	impatient float64
}

// impatientPause is the time between the tries of an impatient caller.
const impatientPause = 10 * time.Millisecond

// simResult is what the callers of one route see.
type simResult struct {
	callers, served int
	// responses are the times from the first try to the response, refusals those from each try to its refusal,
	// as fractions of the time that the caller had left at the try.
	responses []time.Duration
	refusals  []float64
	// waits are the times that admitted requests waited for their slots.
	waits []time.Duration
	// unfinished counts requests that started and were not finished at the deadline.
	unfinished int
}

func (r *simResult) ratio() float64 { return float64(r.served) / float64(max(r.callers, 1)) }

// refusedLate returns the fraction of the refusals that came in the last tenth of the caller's time.
func (r *simResult) refusedLate() float64 {
	late := 0
	for _, f := range r.refusals {
		if f > 0.9 {
			late++
		}
	}
	return float64(late) / float64(max(len(r.refusals), 1))
}

// quantile returns the q-quantile of the times to a response.
func (r *simResult) quantile(q float64) time.Duration {
	return quantile(r.responses, q)
}

func quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[int(q*float64(len(times)-1))]
}

// simulation plays callers against a gate in virtual time.
type simulation struct {
	gate *Gate
	// slowness returns the factor of the processing times at a time from the start.
	slowness func(time.Duration) float64
	start    time.Time

	mu      sync.Mutex
	rand    *rand.Rand
	results map[string]*simResult
}

// simulate runs the routes for span against an upstream with slots slots and returns what their callers saw. gate
// may be nil. It must be called in a synctest bubble.
func simulate(t *testing.T, seed uint64, slots int, span time.Duration, slowness func(time.Duration) float64, gate *Gate, list ...simRoute) map[string]*simResult {
	if gate == nil {
		gate = NewGate()
	}
	gate.Open(slots, time.Time{}, 0)
	s := &simulation{gate: gate, slowness: slowness, start: time.Now(), rand: rand.New(rand.NewPCG(seed, 0)), results: map[string]*simResult{}}
	for _, r := range list {
		s.results[r.name] = &simResult{}
	}
	var callers sync.WaitGroup
	for _, r := range list {
		callers.Go(func() {
			for time.Since(s.start) < span {
				s.mu.Lock()
				gap := s.rand.ExpFloat64() / r.rate
				s.mu.Unlock()
				time.Sleep(time.Duration(gap * float64(time.Second)))
				callers.Go(func() { s.call(t.Context(), r) })
			}
		})
	}
	callers.Wait()
	return s.results
}

// call sends one request of a caller and repeats it while it is refused.
func (s *simulation) call(ctx context.Context, r simRoute) {
	first := time.Now()
	ctx, cancel := context.WithDeadline(ctx, first.Add(r.deadline))
	defer cancel()
	res := s.results[r.name]
	s.mu.Lock()
	res.callers++
	s.mu.Unlock()
	s.mu.Lock()
	impatient := r.impatient > 0 && s.rand.Float64() < r.impatient
	s.mu.Unlock()
	for n := 0; n <= r.repeats || impatient && ctx.Err() == nil; n++ {
		try, left := time.Now(), time.Until(first.Add(r.deadline))
		refused, ok := s.gate.Acquire(ctx, simRequest(r, first))
		if ok {
			s.mu.Lock()
			res.waits = append(res.waits, time.Since(try))
			s.mu.Unlock()
			s.process(ctx, r, first)
			return
		}
		s.mu.Lock()
		res.refusals = append(res.refusals, float64(time.Since(try))/float64(left))
		s.mu.Unlock()
		if impatient {
			time.Sleep(impatientPause)
			continue
		}
		time.Sleep(min(refused.RetryAfter, time.Until(first.Add(r.deadline))/3))
	}
}

// process holds the slot for the processing time, at most until the deadline.
func (s *simulation) process(ctx context.Context, r simRoute, first time.Time) {
	s.mu.Lock()
	took := time.Duration(float64(r.work) * math.Exp(r.spread*s.rand.NormFloat64()-r.spread*r.spread/2))
	if s.slowness != nil {
		took = time.Duration(float64(took) * s.slowness(time.Since(s.start)))
	}
	s.mu.Unlock()
	end, _ := ctx.Deadline()
	held := min(took, time.Until(end))
	time.Sleep(held)
	simRelease(s.gate, r, held)
	s.mu.Lock()
	defer s.mu.Unlock()
	res := s.results[r.name]
	if held < took {
		res.unfinished++
		return
	}
	res.served++
	res.responses = append(res.responses, time.Since(first))
}

// report logs what the callers of each route saw.
func report(t *testing.T, name string, results map[string]*simResult) {
	t.Helper()
	for _, route := range []string{"a", "b"} {
		r := results[route]
		if r == nil {
			continue
		}
		slices.Sort(r.refusals)
		mid, late := 0.0, 0.0
		if n := len(r.refusals); n > 0 {
			mid, late = r.refusals[n/2], r.refusals[n*9/10]
		}
		t.Logf("%-44s %s: callers %4d served %.3f unfinished %.3f response p50 %4d p90 %4d ms, refusals %4d after p50 %.2f p90 %.2f of the time, late %.2f",
			name, route, r.callers, r.ratio(), float64(r.unfinished)/float64(r.callers), r.quantile(.5).Milliseconds(), r.quantile(.9).Milliseconds(), len(r.refusals), mid, late, r.refusedLate())
	}
}

// overloadSlots and overload describe an upstream that gets half as many requests again as it can process.
const (
	overloadSlots = 9
	overload      = 1.5
	overloadSpan  = 60 * time.Second
)

// rateFor returns the requests per second that make up the given load of the upstream.
func rateFor(load float64, work time.Duration) float64 { return load * overloadSlots / work.Seconds() }

// Of two routes with the same deadline and priority the one with the shorter target latency was served clearly
// less often under overload.
func TestTargetLatencyDoesNotDecideWhoIsServed(t *testing.T) {
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			a := simRoute{name: "a", rank: 1, rate: rateFor(overload/2, 90*time.Millisecond), work: 90 * time.Millisecond, deadline: 2 * time.Second, target: 200 * time.Millisecond, spread: 0.3, repeats: 2}
			b := a
			b.name, b.target = "b", time.Second
			got := simulate(t, seed, overloadSlots, overloadSpan, nil, nil, a, b)
			report(t, "same deadline, targets 200 and 1000 ms", got)
			if d := math.Abs(got["a"].ratio() - got["b"].ratio()); d > 0.05 {
				t.Errorf("seed %d: served %.3f with the short target and %.3f with the long one, want a difference of at most 0.05", seed, got["a"].ratio(), got["b"].ratio())
			}
			for name, r := range got {
				if late := r.refusedLate(); late > 0.02 {
					t.Errorf("seed %d, route %s: %.3f of the refusals came in the last tenth of the caller's time, want at most 0.02", seed, name, late)
				}
			}
		})
	}
}

// simRequest returns the slot request of a caller whose first try was at first.
func simRequest(r simRoute, first time.Time) SlotRequest {
	return SlotRequest{Rank: r.rank, Workspace: r.workspace, Route: r.name, Deadline: first.Add(r.deadline), WaitToDeadline: true}
}

func simRelease(g *Gate, r simRoute, took time.Duration) { g.Release(r.name, took) }

// Older requests waited to the end of their time while newcomers passed them. Requests of one rank keep their order of
// arrival, whatever their deadlines.
func TestQueuedRequestsOfOneRankKeepTheirOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate()
		g.Open(1, time.Time{}, 0)
		g.Acquire(t.Context(), slotRequest(1, time.Minute))
		var mu sync.Mutex
		var order []int
		for i, deadline := range []time.Duration{50, 10, 30, 20, 40} {
			go func() {
				if _, ok := g.Acquire(t.Context(), slotRequest(1, deadline*time.Second)); ok {
					mu.Lock()
					order = append(order, i)
					mu.Unlock()
				}
			}()
			synctest.Wait()
		}
		for range 5 {
			g.Release("", 10*time.Millisecond)
			synctest.Wait()
		}
		if !slices.IsSorted(order) || len(order) != 5 {
			t.Errorf("got order of turns %v, want the order of arrival", order)
		}
	})
}

// The upstream turns slow. The queued requests that it can no longer serve in time are refused when its processing
// times show that, not at their deadlines.
func TestQueuedRequestsAreRefusedWhenTheUpstreamTurnsSlow(t *testing.T) {
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			a := simRoute{name: "a", rank: 1, rate: rateFor(0.9, 90*time.Millisecond), work: 90 * time.Millisecond, deadline: 4 * time.Second, spread: 0.3}
			slowness := func(at time.Duration) float64 {
				if at > 10*time.Second {
					return 8
				}
				return 1
			}
			got := simulate(t, seed, overloadSlots, 20*time.Second, slowness, nil, a)["a"]
			if len(got.refusals) == 0 || got.refusedLate() > 0.02 || got.unfinished > got.callers/100 {
				t.Errorf("seed %d: %d refusals, %.3f of them in the last tenth of the caller's time; %d of %d requests started and did not end in time; want refusals, at most 0.02 and 1 in 100",
					seed, len(got.refusals), got.refusedLate(), got.unfinished, got.callers)
			}
		})
	}
}

// Requests that no upstream can serve before their deadlines were queued until then. A refusal of a newcomer is
// immediate, and names a time at which there may be room.
func TestNewcomerThatCannotBeServedIsRefusedAtOnce(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(5))
	properties.Property("a request is served or refused at once while processing times do not change", prop.ForAll(func(slots, queued int, deadline int64) bool {
		ok := true
		synctest.Test(t, func(t *testing.T) {
			g := NewGate()
			g.Open(slots, time.Time{}, 0)
			const work = 50 * time.Millisecond
			for range slots + queued {
				go func() {
					if _, admitted := g.Acquire(t.Context(), slotRequest(1, time.Minute)); admitted {
						time.Sleep(work)
						g.Release("", work)
					}
				}()
			}
			synctest.Wait()
			start := time.Now()
			refused, admitted := g.Acquire(t.Context(), slotRequest(1, time.Duration(deadline)*time.Millisecond))
			waited := time.Since(start)
			if admitted {
				g.Release("", 0)
				ok = waited+work <= time.Duration(deadline)*time.Millisecond
			} else {
				ok = waited == 0 && refused.RetryAfter > 0
			}
			time.Sleep(time.Minute)
		})
		return ok
	}, gen.IntRange(1, 12), gen.IntRange(0, 60), gen.Int64Range(1, 2000)))
	properties.TestingRun(t)
}

// Callers that repeat a request have less time left than those that send their first one. Under a lasting overload both
// are served alike as long as the upstream can still end their requests, and refused when it is known, not late.
func TestCallersWithLessTimeLeftAreServedAlike(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		got := simulate(t, 1, overloadSlots, overloadSpan, nil, nil,
			simRoute{name: "a", rank: 1, rate: rateFor(overload/2, 90*time.Millisecond), work: 90 * time.Millisecond, deadline: 2 * time.Second, spread: 0.3},
			simRoute{name: "b", rank: 1, rate: rateFor(overload/2, 90*time.Millisecond), work: 90 * time.Millisecond, deadline: 1200 * time.Millisecond, spread: 0.3})
		report(t, "deadlines of 2 s and 1.2 s", got)
		if d := math.Abs(got["a"].ratio() - got["b"].ratio()); d > 0.05 {
			t.Errorf("served %.3f of the callers with 2 s and %.3f of those with 1.2 s left, want a difference of at most 0.05", got["a"].ratio(), got["b"].ratio())
		}
		for name, r := range got {
			if late := r.refusedLate(); late > 0.02 {
				t.Errorf("route %s: %.3f of the refusals came in the last tenth of the caller's time, want at most 0.02", name, late)
			}
		}
	})
}

// Whatever the mix of deadlines and work, an overloaded upstream serves as many requests as it has capacity for, and the
// others are refused early. The figures of docs/design/waiting.md are the log of this test.
func TestOverloadedUpstreamServesItsCapacity(t *testing.T) {
	const work = 90 * time.Millisecond
	route := func(name string, load float64, work, deadline, target time.Duration) simRoute {
		return simRoute{name: name, rank: 1, rate: rateFor(load/2, work), work: work, deadline: deadline, target: target, spread: 0.3, repeats: 2}
	}
	slow := func(at time.Duration) float64 {
		if at > 20*time.Second && at < 40*time.Second {
			return 3
		}
		return 1
	}
	for _, c := range []struct {
		name     string
		load     float64
		span     time.Duration
		slowness func(time.Duration) float64
		a, b     simRoute
		// least is the smallest share of all callers to be served: the inverse of the load in a lasting overload.
		least float64
	}{
		{"load 0.95", 0.95, overloadSpan, nil, route("a", 0.95, work, 2*time.Second, 200*time.Millisecond), route("b", 0.95, work, 2*time.Second, time.Second), 0.99},
		{"load 1.5, targets 200 and 1000 ms", 1.5, overloadSpan, nil, route("a", 1.5, work, 2*time.Second, 200*time.Millisecond), route("b", 1.5, work, 2*time.Second, time.Second), 0.63},
		{"load 1.5, deadlines 0.5 and 8 s", 1.5, overloadSpan, nil, route("a", 1.5, work, 500*time.Millisecond, 300*time.Millisecond), route("b", 1.5, work, 8*time.Second, 300*time.Millisecond), 0.63},
		{"load 2 for 1 s", 2, time.Second, nil, route("a", 2, work, 2*time.Second, 300*time.Millisecond), route("b", 2, work, 2*time.Second, 300*time.Millisecond), 0.95},
		{"load 2 for 3 s", 2, 3 * time.Second, nil, route("a", 2, work, 2*time.Second, 300*time.Millisecond), route("b", 2, work, 2*time.Second, 300*time.Millisecond), 0.6},
		{"load 0.6, 3 times slower for 20 of 60 s", 0.6, overloadSpan, slow, route("a", 0.6, work, 2*time.Second, 300*time.Millisecond), route("b", 0.6, work, 2*time.Second, 300*time.Millisecond), 0.8},
	} {
		synctest.Test(t, func(t *testing.T) {
			got := simulate(t, 1, overloadSlots, c.span, c.slowness, nil, c.a, c.b)
			report(t, c.name, got)
			a, b := got["a"], got["b"]
			if all := float64(a.served+b.served) / float64(a.callers+b.callers); all < c.least {
				t.Errorf("%s: served %.3f of all callers, want at least %.2f", c.name, all, c.least)
			}
			for name, r := range got {
				if late := r.refusedLate(); late > 0.02 {
					t.Errorf("%s, route %s: %.3f of the refusals came in the last tenth of the caller's time, want at most 0.02", c.name, name, late)
				}
			}
		})
	}
}

// An upstream stalls with requests in all of its slots. Requests in the queue waited for it until their deadlines; they
// have not run, and are refused while there is time to go to another upstream.
func TestQueuedRequestsLeaveAStalledUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const deadline = 2 * time.Second
		g := NewGate()
		g.Open(overloadSlots, time.Time{}, 0)
		for range overloadSlots {
			g.Acquire(t.Context(), slotRequest(1, time.Minute))
		}
		var mu sync.Mutex
		var waited []time.Duration
		for range 2 * overloadSlots {
			go func() {
				start := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), deadline)
				defer cancel()
				refused, ok := g.Acquire(ctx, slotRequest(1, deadline))
				if ok || refused.Reason != proxy.ReasonTooLate || refused.RetryAfter <= 0 {
					t.Errorf("got ok %v, refusal %+v, want %s with a RetryAfter", ok, refused, proxy.ReasonTooLate)
				}
				mu.Lock()
				waited = append(waited, time.Since(start))
				mu.Unlock()
			}()
		}
		time.Sleep(2 * deadline)
		synctest.Wait()
		for _, w := range waited {
			if w > deadline*2/3 {
				t.Errorf("refused after %v of %v, want at most two thirds", w, deadline)
			}
		}
		if len(waited) != 2*overloadSlots {
			t.Errorf("%d requests were refused, want %d", len(waited), 2*overloadSlots)
		}
	})
}

// The upstream has a free slot and is known to take far longer than the caller has time. The request was sent all the same
// and ended at its deadline, when nobody could say any more whether it had run. One request of the route may run at a time
// to learn the processing time anew.
func TestRequestThatCannotEndInTimeIsNotStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const work = 400 * time.Millisecond
		g := NewGate()
		g.Open(overloadSlots, time.Time{}, 0)
		acquire := func(route string, deadline time.Duration) (Refusal, bool) {
			return g.Acquire(t.Context(), SlotRequest{Rank: 1, Route: route, Deadline: time.Now().Add(deadline), WaitToDeadline: true})
		}
		for range 50 {
			if _, ok := acquire("list", time.Minute); !ok {
				t.Fatal("got no slot from a gate with free slots")
			}
			g.Release("list", work)
		}
		if _, ok := acquire("list", work/4); !ok {
			t.Error("no request of the route is running: got a refusal, want a slot")
		}
		if refused, ok := acquire("list", work/4); ok || refused.Reason != proxy.ReasonTooLate || refused.RetryAfter <= 0 {
			t.Errorf("got ok %v, refusal %+v, want %s with a RetryAfter", ok, refused, proxy.ReasonTooLate)
		}
		if _, ok := acquire("list", 2*work); !ok {
			t.Error("got a refusal of a request with time enough, want a slot")
		}
		if _, ok := acquire("other", work/4); !ok {
			t.Error("got a refusal on a route without an estimate, want a slot")
		}
	})
}

// Requests admitted to a paced upstream together are sent one after the other. One whose turn to be sent comes after its
// deadline waited for the deadline.
func TestSendThatComesTooLateIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate()
		g.Open(overloadSlots, time.Now().Add(time.Minute), 2)
		sent, err := g.WaitToSend(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		sent()
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		start := time.Now()
		if _, err := g.WaitToSend(ctx); !errors.Is(err, errTurnTooLate) || time.Since(start) > 0 {
			t.Errorf("got error %v after %v, want %v at once", err, time.Since(start), errTurnTooLate)
		}
		if _, err := g.WaitToSend(t.Context()); err != nil {
			t.Errorf("next request: got error %v, want none", err)
		}
	})
}
