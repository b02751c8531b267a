package calltree

import (
	"strconv"
	"testing"
	"time"
)

// feed records children with a pressure for span and returns the number of runs of 100 a second that were admitted.
func feed(tree *Tree, now *time.Time, span time.Duration, c *Child) (admitted int) {
	for end := now.Add(span); now.Before(end); *now = now.Add(10 * time.Millisecond) {
		a := tree.Admit("root", *now)
		if a.OK {
			a = tree.Start("root", a, *now)
		}
		if !a.OK {
			continue
		}
		admitted++
		if c != nil {
			tree.Record("root", *c, *now)
		}
	}
	return admitted
}

// A route without children, or whose children are served, has no limit.
func TestRoutesWithoutPressureAreNotLimited(t *testing.T) {
	var tree Tree
	now := time.Unix(1000, 0)
	if n := feed(&tree, &now, 5*time.Second, nil); n != 500 {
		t.Errorf("no children: admitted %d of 500", n)
	}
	if n := feed(&tree, &now, 5*time.Second, &Child{Service: "L", Pressure: 0.9}); n != 500 {
		t.Errorf("children that are served: admitted %d of 500", n)
	}
}

// The called service is gone, as behind a partition: almost no run is started, but some are, so that its return is seen
// within seconds. The refused are told different times.
func TestLostServiceIsProbedAndUsedAgain(t *testing.T) {
	var tree Tree
	now := time.Unix(1000, 0)
	feed(&tree, &now, 20*time.Second, &Child{Service: "L", Failed: true})
	if n := feed(&tree, &now, 10*time.Second, &Child{Service: "L", Failed: true}); n < 5 || n > 40 {
		t.Errorf("service lost: admitted %d of 1000 runs, want some, at most 40", n)
	}
	feed(&tree, &now, 15*time.Second, &Child{Service: "L", Pressure: 0.3})
	if n := feed(&tree, &now, 10*time.Second, &Child{Service: "L", Pressure: 0.3}); n < 990 {
		t.Errorf("service back for 15 s: admitted %d of 1000 runs, want at least 990", n)
	}
}

// Without news of its children a route gets more runs slowly; the last news must not limit it for ever.
func TestLimitEndsWithoutNews(t *testing.T) {
	var tree Tree
	now := time.Unix(1000, 0)
	feed(&tree, &now, 20*time.Second, &Child{Service: "L", Failed: true})
	feed(&tree, &now, 5*time.Minute, nil)
	if n := feed(&tree, &now, 10*time.Second, nil); n < 990 {
		t.Errorf("after 5 minutes without children: admitted %d of 1000 runs, want at least 990", n)
	}
}

// An admission that was not used is returned, and memory is bounded.
func TestUnusedAdmissionsAndBounds(t *testing.T) {
	var tree Tree
	now := time.Unix(1000, 0)
	feed(&tree, &now, 20*time.Second, &Child{Service: "L", Failed: true})
	now = now.Add(time.Second)
	a := tree.Admit("root", now)
	for range 1000 {
		if !a.OK {
			t.Fatal("refused a run whose admission had been returned each time")
		}
		tree.Withdraw("root", a)
		a = tree.Admit("root", now)
	}
	for i := range 2 * maxRoutes {
		tree.Record(strconv.Itoa(i), Child{Service: "L"}, now)
		tree.Record("root", Child{Service: strconv.Itoa(i)}, now)
	}
	if len(tree.routes) > maxRoutes || len(tree.routes["root"].services) > maxServices {
		t.Errorf("got %d routes and %d services, want at most %d and %d", len(tree.routes), len(tree.routes["root"].services), maxRoutes, maxServices)
	}
}
