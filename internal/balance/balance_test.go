package balance

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"celerybank/internal/gossip"
	"celerybank/internal/proxy"
)

// newBalancer returns a balancer in zone a with one upstream in each of four zones.
func newBalancer() (*Balancer, map[string]*Endpoint) {
	b := New("a")
	for i, zone := range []string{"a", "b", "c", "d"} {
		b.Update(gossip.Member{Addr: fmt.Sprint("10.0.0.", i, ":7000"), Zone: zone, Incarnation: 1,
			Upstream: gossip.Upstream{Service: "stock", Version: "v1", Instance: zone, Slots: 8}})
	}
	byZone := map[string]*Endpoint{}
	for _, e := range b.Endpoints("stock") {
		byZone[e.Zone] = e
	}
	for range 50 {
		b.Learn("stock", "list", 100*time.Millisecond)
	}
	return b, byZone
}

var ask = Ask{Service: "stock", Route: "list", Target: 400 * time.Millisecond}

// picks counts the zones of n choices.
func picks(b *Balancer, a Ask, n int) map[string]int {
	out := map[string]int{}
	for range n {
		if e, _ := b.Pick(a); e != nil {
			out[e.Zone]++
		}
	}
	return out
}

// Pattern: all upstreams are well. Bytes between zones are dear, so the own zone serves.
func TestOwnZoneServesWhileItIsInTime(t *testing.T) {
	b, _ := newBalancer()
	if got := picks(b, ask, 100); got["a"] != 100 {
		t.Errorf("%v", got)
	}
}

// Pattern: upstreams of unequal speed. The slow one in the own zone serves what it answers in
// time, and not what it would answer late.
func TestSlowUpstreamGetsWhatItAnswersInTime(t *testing.T) {
	b, zones := newBalancer()
	for range 50 {
		zones["a"].Answered(300*time.Millisecond, 100*time.Millisecond, false, time.Now())
	}
	if got := picks(b, ask, 100); got["a"] != 0 {
		t.Errorf("target 400 ms, it takes 300: %v", got)
	}
	patient := ask
	patient.Target = 2 * time.Second
	if got := picks(b, patient, 100); got["a"] != 100 {
		t.Errorf("target 2 s: %v", got)
	}
}

// Pattern: slots short. A full upstream in the own zone gives way to one with room.
func TestFullUpstreamGivesWay(t *testing.T) {
	b, zones := newBalancer()
	zones["a"].Reported(proxy.Load{InUse: 14, Limit: 8, Pace: 100 * time.Millisecond}, time.Now())
	if got := picks(b, ask, 100); got["a"] != 0 {
		t.Errorf("%v", got)
	}
	for _, e := range zones {
		e.Reported(proxy.Load{InUse: 14, Limit: 8, Pace: 100 * time.Millisecond}, time.Now())
	}
	if e, room := b.Pick(ask); e == nil || room {
		t.Errorf("all full: %v, room %v", e, room)
	}
}

// Pattern: an upstream fails part of its requests while it says that it is well.
func TestFailingUpstreamIsAvoidedAndTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, zones := newBalancer()
		for i := range 20 {
			zones["a"].Answered(100*time.Millisecond, 100*time.Millisecond, i%2 == 0, time.Now())
		}
		if got := picks(b, ask, 100); got["a"] != 0 {
			t.Errorf("%v", got)
		}
		time.Sleep(8 * fade)
		if got := picks(b, ask, 100); got["a"] == 0 {
			t.Errorf("after a while: %v", got)
		}
	})
}

// Pattern: a zone is cut off. After two silent hosts the third is not tried first.
func TestCutZoneIsDoubtedAsAWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New("a")
		for i := range 3 {
			b.Update(gossip.Member{Addr: fmt.Sprint("10.0.1.", i, ":7000"), Zone: "b", Upstream: gossip.Upstream{Service: "stock", Instance: fmt.Sprint(i), Slots: 8}})
		}
		b.Update(gossip.Member{Addr: "10.0.2.0:7000", Zone: "c", Upstream: gossip.Upstream{Service: "stock", Instance: "c", Slots: 8}})
		all := b.Endpoints("stock")
		for i, e := range all[:2] {
			if b.Silent(e, time.Now()) != (i == 1) {
				t.Errorf("doubt after %d silent hosts", i+1)
			}
		}
		if got := picks(b, ask, 50); got["b"] != 0 {
			t.Errorf("%v", got)
		}
		onlyThere := ask
		onlyThere.Eligible = func(e *Endpoint) bool { return e.Zone == "b" }
		if e, _ := b.Pick(onlyThere); e != nil {
			t.Error("a request waits for a zone that is known not to answer")
		}
		// Callers' requests do not probe the cut; heartbeats do, until one is answered.
		time.Sleep(3 * time.Second)
		lost := func(context.Context, string) error { return errors.New("silent") }
		if back := b.Probe(t.Context(), lost); len(back) > 0 || picks(b, ask, 50)["b"] != 0 {
			t.Errorf("back without an answer: %v", back)
		}
		if back := b.Probe(t.Context(), func(context.Context, string) error { return nil }); len(back) != 1 || back[0] != "b" {
			t.Errorf("an answered heartbeat: %v", back)
		}
		if got := picks(b, ask, 200); got["b"] == 0 {
			t.Errorf("after an answer from the zone: %v", got)
		}
		b.Silent(all[0], time.Now())
		b.Reached(all[2])
		if b.Silent(all[1], time.Now()) {
			t.Error("a zone that answers is in doubt")
		}
	})
}

func TestLeavingUpstreamIsNotChosen(t *testing.T) {
	b, zones := newBalancer()
	b.Update(gossip.Member{Addr: zones["a"].Addr, Zone: "a", Draining: true, Upstream: gossip.Upstream{Service: "stock", Version: "v1", Instance: "a", Slots: 8}})
	b.Update(gossip.Member{Addr: zones["b"].Addr, Zone: "b"})
	b.Update(gossip.Member{Addr: zones["c"].Addr, Zone: "c", Status: gossip.Dead, Upstream: gossip.Upstream{Service: "stock", Version: "v1", Instance: "c", Slots: 8}})
	if got := picks(b, ask, 50); got["d"] != 50 {
		t.Errorf("%v", got)
	}
	only := ask
	only.Eligible = func(e *Endpoint) bool { return e.Zone != "d" }
	if e, _ := b.Pick(only); e != nil {
		t.Errorf("%s was chosen", e.Zone)
	}
}

// Pattern: hosts of ours turn slow while their upstreams are well. Requests avoid an owner whose
// answers are long on their way, also when none comes at all, and try it again after a while.
func TestSlowOwnerIsAvoidedAndTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, zones := newBalancer()
		zones["a"].Travelled(5*time.Millisecond, time.Now())
		if got := picks(b, ask, 100); got["a"] != 100 {
			t.Errorf("a usual way: %v", got)
		}
		for range 3 {
			zones["a"].Travelled(600*time.Millisecond, time.Now())
		}
		if got := picks(b, ask, 100); got["a"] != 0 {
			t.Errorf("a long way: %v", got)
		}
		time.Sleep(4 * fade)
		if got := picks(b, ask, 100); got["a"] == 0 {
			t.Errorf("after a while: %v", got)
		}
	})
}

// Pattern: two hosts of a zone are lost for good and the rest is well. Heartbeats go to any host of
// the zone, so that the doubt ends with the first that is answered.
func TestLostHostsDoNotKeepTheirZoneInDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New("a")
		for i := range 4 {
			b.Update(gossip.Member{Addr: fmt.Sprint("10.0.1.", i, ":7000"), Zone: "b", Upstream: gossip.Upstream{Service: "stock", Instance: fmt.Sprint(i), Slots: 8}})
		}
		all := b.Endpoints("stock")
		lost := map[string]bool{all[0].Addr: true, all[1].Addr: true}
		b.Silent(all[0], time.Now())
		b.Silent(all[1], time.Now())
		ping := func(_ context.Context, addr string) error {
			if lost[addr] {
				return errors.New("silent")
			}
			return nil
		}
		const probes = 60 // half of the hosts answer: none is asked with a chance of 2 to the -60
		for range probes {
			b.Probe(t.Context(), ping)
		}
		if e, _ := b.Pick(ask); e == nil {
			t.Error("the zone is still in doubt")
		}
	})
}

// Pattern: a large mesh, where an entry sends one request in seconds to each upstream. One answer
// with what the owner knows of its upstream is enough to choose by; it fades like the entry's own.
func TestOneAnswerTellsHowAnUpstreamWorks(t *testing.T) {
	for name, told := range map[string]proxy.Load{
		"slow":    {Limit: 8, Speed: 3000},
		"failing": {Limit: 8, Speed: 1000, Failures: 400},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b, zones := newBalancer()
				if !zones["a"].Reported(told, time.Now()) {
					t.Error("not taken in")
				}
				if got := picks(b, ask, 100); got["a"] != 0 {
					t.Errorf("%v", got)
				}
				time.Sleep(8 * fade)
				if got := picks(b, ask, 100); got["a"] == 0 {
					t.Errorf("after a while: %v", got)
				}
			})
		})
	}
}

// Pattern: upstreams of unequal speed in one zone, all in time on the mean. Work times scatter, so
// the fast ones serve until they fill up.
func TestFasterUpstreamServesFirst(t *testing.T) {
	b := New("a")
	for i := range 3 {
		b.Update(gossip.Member{Addr: fmt.Sprint("10.0.0.", i, ":7000"), Zone: "a", Incarnation: 1,
			Upstream: gossip.Upstream{Service: "stock", Version: "v1", Instance: fmt.Sprint(i), Slots: 8}})
	}
	for range 50 {
		b.Learn("stock", "list", 100*time.Millisecond)
	}
	all := b.Endpoints("stock")
	for i, speed := range []int{500, 1000, 1500} {
		all[i].Reported(proxy.Load{Limit: 8, Speed: speed}, time.Now())
	}
	tight := ask
	tight.Target = 200 * time.Millisecond // the difference outweighs the jitter
	for range 100 {
		if e, _ := b.Pick(tight); e.Instance != "0" {
			t.Fatalf("%s is chosen", e.Instance)
		}
	}
	all[0].Reported(proxy.Load{InUse: 8, Limit: 8, Speed: 500, Pace: 50 * time.Millisecond}, time.Now())
	if e, _ := b.Pick(tight); e.Instance == "0" {
		t.Error("a full one is chosen")
	}
}

// Pattern: callers that pipeline. Answers go out in order, so a request that others wait for leaves
// its zone for an upstream that is much faster, though it would be in time where it is.
func TestAwaitedRequestGoesToTheFasterUpstream(t *testing.T) {
	b, zones := newBalancer()
	zones["a"].Reported(proxy.Load{Limit: 8, Speed: 1600}, time.Now())
	zones["b"].Reported(proxy.Load{Limit: 8, Speed: 500}, time.Now())
	roomy := ask
	roomy.Target = 300 * time.Millisecond
	if got := picks(b, roomy, 100); got["a"] != 100 {
		t.Errorf("nobody waits behind it: %v", got)
	}
	roomy.Awaited = true
	if got := picks(b, roomy, 100); got["b"] != 100 {
		t.Errorf("others wait behind it: %v", got)
	}
}
