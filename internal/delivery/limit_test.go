package delivery

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"celerybank/internal/proxy"
	"celerybank/internal/ratelimit"
)

// An upstream that names a limit gets at most one and a half times of it and some requests more in any four seconds, from
// the moment at which it named it, and no fewer than it takes.
const (
	limitWindow    = 4 * time.Second
	limitOvershoot = 1.5
	limitSlack     = 5
	namedLimit     = 12.5
)

// Before the header was read, an upstream that named a limit got whatever callers sent.
func TestUpstreamGetsNoMoreThanTheLimitThatItNames(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newColdFixture(t)
		defer f.stop()
		time.Sleep(6 * time.Second)
		f.upstream.nameLimit(namedLimit)
		time.Sleep(500 * time.Millisecond)
		f.upstream.turnCold(0, false) // starts the count
		time.Sleep(3 * limitWindow)
		n := f.upstream.total()
		if most := 3 * (limitOvershoot*namedLimit*limitWindow.Seconds() + limitSlack); float64(n) > most {
			t.Errorf("got %d requests in three windows, want at most %v", n, most)
		}
		if least := 0.9 * namedLimit * 3 * limitWindow.Seconds(); float64(n) < least {
			t.Errorf("got %d requests in three windows, want at least %v", n, least)
		}
		if hint := f.owner.Gate.Load().RateLimit; hint != namedLimit*1000 {
			t.Errorf("entry nodes are told %v, want %v thousandths", hint, namedLimit*1000)
		}
		f.upstream.nameLimit(0)
		time.Sleep(time.Second)
		f.upstream.turnCold(0, false)
		time.Sleep(time.Second)
		if n := f.upstream.busiest(); n < 200 {
			t.Errorf("got %d requests in one second after the limit was lifted, want at least 200", n)
		}
	})
}

// The owner restarts, and entry nodes that have heard of the limit send to the new process at once. It must not take
// the upstream for one without a limit until the first response arrives.
func TestRestartedOwnerKeepsALimitThatEntryNodesHaveHeardOf(t *testing.T) {
	g := NewGate()
	g.AwaitLimit()
	g.Open(9, time.Time{}, 0)
	admitted := 0
	for range 20 {
		r := slotRequest(0, 20*time.Millisecond)
		r.RateLimit = ratelimit.Hint(namedLimit * 1000)
		if _, ok := g.Acquire(t.Context(), r); ok {
			admitted++
		}
	}
	if admitted > 2 {
		t.Errorf("admitted %d requests at once, want at most 2", admitted)
	}
}

// The owner must report a leave that the upstream says in a response to its host's registry, and to the entry node only
// if that asked for the same process: its next one does not leave.
func TestLeaveInAResponseIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newColdFixture(t)
		defer f.stop()
		left := map[int64]bool{}
		var mu sync.Mutex
		f.owner.Leaving = func(instance string, born int64) {
			mu.Lock()
			defer mu.Unlock()
			left[born] = instance == upstreamID
		}
		time.Sleep(time.Second)
		f.upstream.mu.Lock()
		f.upstream.leaving = true
		f.upstream.mu.Unlock()
		time.Sleep(time.Second)
		for instance, want := range map[string]bool{upstreamID: true, "i-0": false} {
			// Its rank lets the request pass those of the other callers, which keep the queue full.
			res := f.owner.Handle(t.Context(), &proxy.Request{Service: "stock", Rank: -1, Instance: instance, Timeout: time.Second, WaitToDeadline: true})
			if res.Leaving != want {
				t.Errorf("request to %s: leaving %v, want %v", instance, res.Leaving, want)
			}
		}
		mu.Lock()
		defer mu.Unlock()
		if !left[1] || len(left) != 1 {
			t.Errorf("reported leaves: %v, want that of the process started at 1", left)
		}
	})
}
