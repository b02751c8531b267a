package delivery

import (
	"testing"
	"testing/synctest"
	"time"

	"celerybank/internal/calltree"
	"celerybank/internal/proxy"
	"celerybank/internal/verdict"
)

// Runs whose children were refused ended for nothing. The owner must refuse them before their work, with a time to return,
// and must not refuse children, whose parents are running.
func TestRunsAreRefusedWhileTheirChildrenAre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 0)
		defer f.stop()
		f.owner.AdmitByChildren = true
		time.Sleep(2 * assumeColdLimit)
		handle := func(rank int) *proxy.Response {
			return f.owner.Handle(t.Context(), &proxy.Request{Service: "stock", Route: "lookup", Rank: rank, Timeout: time.Second, WaitToDeadline: true})
		}
		refused := 0
		for range 500 {
			time.Sleep(10 * time.Millisecond)
			res := handle(0)
			f.owner.RecordChild("lookup", calltree.Child{Service: "parts", Failed: true})
			if res.Reason != proxy.ReasonDependencyFull {
				continue
			}
			refused++
			if res.Verdict != verdict.NotRun || res.RetryAfter <= 0 {
				t.Fatalf("got refusal %+v, want %v with a RetryAfter", res, verdict.NotRun)
			}
		}
		if refused < 250 {
			t.Errorf("refused %d of 500 runs, want at least half", refused)
		}
		if res := handle(proxy.ChildRank(0)); res.Reason != proxy.ReasonNone || res.Pressure < proxy.RatioScale {
			t.Errorf("child on the route: got reason %q, pressure %d; want a response with the pressure at the services that it calls", res.Reason, res.Pressure)
		}
	})
}

// A child must be found by the ID of its parent, with the rank of the root of their tree also if the parent is a child.
func TestChildrenNameTheRankOfTheirRoot(t *testing.T) {
	var o Owner
	for id, rank := range map[string]int{"r": 2, "c.1": proxy.ChildRank(3)} {
		o.running.add(&proxy.Request{RequestID: id, Route: "lookup", Rank: rank})
	}
	for id, want := range map[string]int{"r.1": 2, "c.1.1": 3} {
		if route, rank, ok := o.ParentOf(id); !ok || route != "lookup" || rank != want {
			t.Errorf("%s: got parent %v on route %q with a root of rank %d, want one on lookup with rank %d", id, ok, route, rank, want)
		}
	}
	for _, id := range []string{"r", "x.1", ".1", ""} {
		if _, _, ok := o.ParentOf(id); ok {
			t.Errorf("%q: got a parent, want none", id)
		}
	}
}

// The pressure for roots of a rank must count what goes before their children, and nothing else.
func TestRootPressureCountsByRank(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate()
		g.Open(4, time.Time{}, 0)
		if p := g.RootPressure(1); p != 0 {
			t.Errorf("without children: got pressure %v, want 0", p)
		}
		try := func(rank int) {
			r := slotRequest(rank, 10*time.Millisecond)
			if _, ok := g.Acquire(t.Context(), r); ok {
				g.Release("", initialMeanTime)
			}
		}
		before := func() (p float64) { return g.RootPressure(1) }
		try(proxy.ChildRank(1))
		for rank, counts := range map[int]bool{0: true, 1: false, 2: false, proxy.ChildRank(0): true, proxy.ChildRank(1): true, proxy.ChildRank(2): false, -1: true} {
			old := before()
			for range 100 {
				try(rank)
			}
			if got := before() > old+1; got != counts {
				t.Errorf("requests of rank %d: pressure %v after %v, want a rise: %v", rank, before(), old, counts)
			}
		}
	})
}
