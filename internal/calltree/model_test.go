package calltree_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"celerybank/internal/calltree"
	"celerybank/internal/delivery"
	"celerybank/internal/proxy"
)

// The model has two services. Owners of P admit roots with the real admission and the real gate; 70% of their runs send two
// children to L, whose owners have real gates. Entry nodes offer a request to up to maxOffers owners, the one that looks
// least loaded of two first.
const (
	ownersP, ownersL = 30, 4
	slots            = 6
	maxOffers        = 4
	workP, workL     = 140 * time.Millisecond, 34 * time.Millisecond
	workDirect       = 96 * time.Millisecond
	childTime        = 400 * time.Millisecond
	rootTime         = 1200 * time.Millisecond
	childShare       = 0.7
	childrenPerRun   = 2
	childrenMean     = childShare * childrenPerRun
	spread           = 0.3
	pause            = 10 * time.Millisecond // of callers that retry at once
)

// rootLoad returns the roots per second that ask for the given share of the capacity of L.
func rootLoad(load float64) float64 { return load * ownersL * slots / workL.Seconds() / childrenMean }

// directLoad returns the direct requests per second that ask for the given share of the capacity of L.
func directLoad(load float64) float64 { return load * ownersL * slots / workDirect.Seconds() }

// caller describes the callers of one kind of request.
type caller struct {
	rate      func(time.Duration) float64
	rank      int
	impatient float64
}

// tally is what became of the requests of one kind.
type tally struct {
	callers, served, failed, refusals, impatient, impatientServed int
	childWaits                                                    []time.Duration
	responses                                                     []time.Duration
	refusalTimes                                                  []time.Duration
}

type ownerP struct {
	gate *delivery.Gate
	tree calltree.Tree
}

type model struct {
	t         *testing.T
	p         []*ownerP
	l         []*delivery.Gate
	admission bool
	start     time.Time
	mu        sync.Mutex
	rand      *rand.Rand
	root      tally
	direct    tally
}

func newModel(t *testing.T, seed uint64, admission bool) *model {
	m := &model{t: t, admission: admission, start: time.Now(), rand: rand.New(rand.NewPCG(seed, 0))}
	for range ownersP {
		p := &ownerP{gate: delivery.NewGate()}
		p.gate.Open(slots, time.Time{}, 0)
		m.p = append(m.p, p)
	}
	for range ownersL {
		g := delivery.NewGate()
		g.Open(slots, time.Time{}, 0)
		m.l = append(m.l, g)
	}
	return m
}

func (m *model) float() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rand.Float64()
}

func (m *model) work(mean time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(float64(mean) * math.Exp(spread*m.rand.NormFloat64()-spread*spread/2))
}

// play runs the callers for span and waits for them.
func (m *model) play(span time.Duration, root, direct caller) {
	var wg sync.WaitGroup
	arrivals := func(c caller, t *tally, timeout time.Duration, try func(context.Context, caller) (time.Duration, outcome)) {
		for time.Since(m.start) < span {
			rate := c.rate(time.Since(m.start))
			if rate <= 0 {
				time.Sleep(pause)
				continue
			}
			m.mu.Lock()
			gap := m.rand.ExpFloat64() / rate
			m.mu.Unlock()
			time.Sleep(time.Duration(gap * float64(time.Second)))
			wg.Go(func() { m.call(c, t, timeout, try) })
		}
	}
	wg.Go(func() { arrivals(root, &m.root, rootTime, m.tryRoot) })
	wg.Go(func() { arrivals(direct, &m.direct, 2500*time.Millisecond, m.tryDirect) })
	wg.Wait()
}

type outcome int

const (
	refused outcome = iota
	served
	failed
)

// call is one caller: it repeats a refused request twice, after the time that it was told, or at once and without end.
func (m *model) call(c caller, t *tally, timeout time.Duration, try func(context.Context, caller) (time.Duration, outcome)) {
	first := time.Now()
	impatient := m.float() < c.impatient
	ctx, cancel := context.WithTimeout(m.t.Context(), timeout)
	defer cancel()
	m.count(func() {
		t.callers++
		if impatient {
			t.impatient++
		}
	})
	for n := 0; n < 3 || impatient && ctx.Err() == nil; n++ {
		began := time.Now()
		retryAfter, got := try(ctx, c)
		m.count(func() {
			switch got {
			case served:
				t.served++
				if impatient {
					t.impatientServed++
				}
				t.responses = append(t.responses, time.Since(first))
			case failed:
				t.failed++
			case refused:
				t.refusals++
				t.refusalTimes = append(t.refusalTimes, time.Since(began))
			}
		})
		if got != refused {
			return
		}
		if impatient {
			time.Sleep(pause)
			continue
		}
		time.Sleep(min(retryAfter, time.Until(first.Add(timeout))/3))
	}
}

func (m *model) count(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
}

// tryRoot sends a root to an owner of P. A refusal of its admission is final for the entry node.
func (m *model) tryRoot(ctx context.Context, c caller) (time.Duration, outcome) {
	var least time.Duration
	for n, i := range m.order(len(m.p), func(i int) int { return m.p[i].gate.Load().InUse }) {
		p := m.p[i]
		admission := calltree.Admission{OK: true}
		if m.admission {
			if admission = p.tree.Admit("root", time.Now()); !admission.OK {
				return admission.RetryAfter, refused
			}
		}
		r := delivery.SlotRequest{Rank: c.rank, Route: "root", Deadline: deadline(ctx), WaitToDeadline: n == maxOffers-1 || p.gate.Load().InUse >= slots}
		refusal, ok := p.gate.Acquire(ctx, r)
		if !ok {
			p.tree.Withdraw("root", admission)
			if least == 0 || refusal.RetryAfter < least {
				least = refusal.RetryAfter
			}
			continue
		}
		if m.admission {
			if admission = p.tree.Start("root", admission, time.Now()); !admission.OK {
				p.gate.Release("root", 0)
				return admission.RetryAfter, refused
			}
		}
		return 0, m.run(ctx, p, c)
	}
	return least, refused
}

// run is a run of a root: its children, then the rest of its work.
func (m *model) run(ctx context.Context, p *ownerP, c caller) outcome {
	began, got := time.Now(), served
	took := m.work(workP)
	if m.float() < childShare {
		var children sync.WaitGroup
		for range childrenPerRun {
			children.Go(func() {
				if !m.child(ctx, p, c) {
					m.count(func() { got = failed })
				}
			})
		}
		children.Wait()
	}
	if !sleep(ctx, took) {
		got = failed
	}
	p.gate.Release("root", time.Since(began))
	p.tree.Ended("root", time.Since(began))
	return got
}

// child sends one child to L, and reports what became of it to the admission.
func (m *model) child(ctx context.Context, p *ownerP, c caller) bool {
	ctx, cancel := context.WithTimeout(ctx, childTime)
	defer cancel()
	began := time.Now()
	r := delivery.SlotRequest{Rank: proxy.ChildRank(c.rank), Route: "child"}
	got, gate := m.tryL(ctx, r, workL)
	m.count(func() { m.root.childWaits = append(m.root.childWaits, time.Since(began)) })
	p.tree.Record("root", calltree.Child{Service: "L", Failed: got != served, Pressure: gate.RootPressure(c.rank)}, time.Now())
	return got == served
}

func (m *model) tryDirect(ctx context.Context, c caller) (time.Duration, outcome) {
	got, gate := m.tryL(ctx, delivery.SlotRequest{Rank: c.rank, Route: "direct"}, workDirect)
	return gate.RetryAfter(), got
}

// tryL offers a request to the owners of L. It returns the last one.
func (m *model) tryL(ctx context.Context, r delivery.SlotRequest, mean time.Duration) (outcome, *delivery.Gate) {
	r.Deadline = deadline(ctx)
	var last *delivery.Gate
	order := m.order(len(m.l), func(i int) int { return m.l[i].Load().InUse })
	for n, i := range order {
		last = m.l[i]
		r.WaitToDeadline = n == len(order)-1 || last.Load().InUse >= slots
		if _, ok := last.Acquire(ctx, r); !ok {
			continue
		}
		took := m.work(mean)
		done := sleep(ctx, took)
		last.Release(r.Route, took)
		if !done {
			return failed, last
		}
		return served, last
	}
	return refused, last
}

// order returns the owners to which a request is offered, the least loaded of them first.
func (m *model) order(owners int, load func(int) int) []int {
	m.mu.Lock()
	order := m.rand.Perm(owners)
	m.mu.Unlock()
	order = order[:min(maxOffers, owners)]
	slices.SortStableFunc(order, func(a, b int) int { return load(a) - load(b) })
	return order
}

func deadline(ctx context.Context) time.Time {
	d, _ := ctx.Deadline()
	return d
}

// sleep waits for d and reports whether ctx lasted as long.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

func lasting(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

const (
	span = 20 * time.Second
	// maxFailed is the largest share of the runs that may end for nothing, minServed the smallest of what L can bear.
	maxFailed, minServed = 0.02, 0.95
)

// bearable returns the roots that the rest of L's capacity can bear in span.
func bearable(rest float64) float64 { return rootLoad(rest) * span.Seconds() }

// quantile returns the q-quantile of times.
func quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[int(q*float64(len(times)-1))].Round(time.Millisecond)
}

func (m *model) report(name string) {
	m.t.Helper()
	for kind, r := range map[string]*tally{"roots": &m.root, "direct": &m.direct} {
		if r.callers == 0 {
			continue
		}
		n := float64(r.callers)
		m.t.Logf("%s, %s: %d callers, served %.3f, failed %.4f of the runs, %.2f refusals a caller, served of those at once %.2f, response p50 %v p99 %v, refused after p50 %v p99 %v, children p99 %v", name, kind,
			r.callers, float64(r.served)/n, r.failedShare(), float64(r.refusals)/n, float64(r.impatientServed)/float64(max(1, r.impatient)),
			quantile(r.responses, .5), quantile(r.responses, .99), quantile(r.refusalTimes, .5), quantile(r.refusalTimes, .99), quantile(r.childWaits, .99))
	}
}

// failedShare returns the share of the runs that ended for nothing.
func (t *tally) failedShare() float64 { return float64(t.failed) / float64(max(1, t.served+t.failed)) }

// A called service that was short by a tenth cost a third of the runs of its callers, all after their work. The parents are
// refused instead, before their work, and as many end as the called service can bear.
func TestRunsDoNotEndForNothing(t *testing.T) {
	for _, load := range []float64{0.95, 1.3, 2, 4} {
		for _, impatient := range []float64{0, 0.1} {
			synctest.Test(t, func(t *testing.T) {
				m := newModel(t, 1, true)
				m.play(span, caller{rate: lasting(rootLoad(load)), impatient: impatient}, caller{rate: lasting(0)})
				m.report(fmt.Sprintf("load %.2f, %.1f at once", load, impatient))
				served := float64(m.root.served) / bearable(min(load, 1))
				if share := m.root.failedShare(); share > maxFailed || served < minServed {
					t.Errorf("load %.2f, %.1f at once: %.4f of the runs ended for nothing, want at most %v; served %.3f of what L can bear, want at least %v",
						load, impatient, share, maxFailed, served, minServed)
				}
			})
		}
	}
}

// The overload comes in bursts of two seconds with pauses of three, and L comes back each time.
func TestBurstsOfRootsDoNotEndForNothing(t *testing.T) {
	for _, load := range []float64{1.3, 2, 4} {
		synctest.Test(t, func(t *testing.T) {
			m := newModel(t, 1, true)
			bursts := func(at time.Duration) float64 {
				if at%(5*time.Second) < 2*time.Second {
					return rootLoad(load)
				}
				return rootLoad(0.3)
			}
			m.play(span, caller{rate: bursts}, caller{rate: lasting(0)})
			m.report(fmt.Sprintf("bursts of load %.2f", load))
			served := float64(m.root.served) / bearable((2*min(load, 1)+3*0.3)/5)
			if share := m.root.failedShare(); share > maxFailed || served < minServed {
				t.Errorf("bursts of load %.2f: %.4f of the runs ended for nothing, want at most %v; served %.3f of what L can bear, want at least %v", load, share, maxFailed, served, minServed)
			}
		})
	}
}

// L has requests of its own, for 0.6 of its capacity, and roots ask for 0.8. Those of the lower priority get what is left.
func TestCalledServiceIsSharedByPriority(t *testing.T) {
	const roots, direct, minPreferred = 0.8, 0.6, 0.97
	for _, c := range []struct {
		name                 string
		rootRank, directRank int
		preferred            func(*model) *tally
	}{
		{"direct requests of lower priority", 0, 1, func(m *model) *tally { return &m.root }},
		{"direct requests of higher priority", 2, 1, func(m *model) *tally { return &m.direct }},
	} {
		synctest.Test(t, func(t *testing.T) {
			m := newModel(t, 1, true)
			m.play(span, caller{rate: lasting(rootLoad(roots)), rank: c.rootRank}, caller{rate: lasting(directLoad(direct)), rank: c.directRank})
			m.report(c.name)
			preferred := c.preferred(m)
			share := float64(preferred.served) / float64(preferred.callers)
			used := float64(m.root.served)/bearable(1) + float64(m.direct.served)/(directLoad(1)*span.Seconds())
			if failed := m.root.failedShare(); share < minPreferred || used < minServed || failed > maxFailed {
				t.Errorf("%s: served %.3f of those of higher priority, want at least %v; %.3f of the capacity of L, want at least %v; %.4f of the runs ended for nothing, want at most %v",
					c.name, share, minPreferred, used, minServed, failed, maxFailed)
			}
		})
	}
}
