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
	"celerybank/internal/ratelimit"
)

// newBalancer returns a Balancer in zone a with one upstream in each of four zones.
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
		b.RecordProcessingTime("stock", "list", 100*time.Millisecond)
	}
	return b, byZone
}

var criteria = Criteria{Service: "stock", Route: "list", Left: 2 * time.Second}

// picks counts the zones of n choices.
func picks(b *Balancer, c Criteria, n int) map[string]int {
	out := map[string]int{}
	for range n {
		if e := b.Pick(c); e.Endpoint != nil {
			out[e.Zone]++
		}
	}
	return out
}

// Scenario: all upstreams are healthy. Traffic between zones is expensive, so the upstream in the own
// zone gets the requests.
func TestOwnZoneIsPreferred(t *testing.T) {
	b, _ := newBalancer()
	if got := picks(b, criteria, 100); got["a"] != 100 {
		t.Errorf("got picks by zone %v, want all in a", got)
	}
}

// Scenario: upstreams differ in speed. One in the own zone that is slower by less than half of the processing time gets
// the requests, and a much slower one none, however much time the caller has.
func TestOwnZoneIsPreferredUnlessMuchSlower(t *testing.T) {
	for slowness, want := range map[float64]int{1.2: 100, 3: 0} {
		b, zones := newBalancer()
		for range 50 {
			zones["a"].RecordOutcome(time.Duration(slowness*float64(100*time.Millisecond)), 100*time.Millisecond, false, time.Now())
		}
		for _, left := range []time.Duration{400 * time.Millisecond, 8 * time.Second} {
			c := criteria
			c.Left = left
			if got := picks(b, c, 100); got["a"] != want {
				t.Errorf("upstream in a takes %v times as long, %v left: got picks by zone %v, want %d in a", slowness, left, got, want)
			}
		}
	}
}

// An owner that is full refuses a request that another upstream serves sooner. The longest sensible wait there
// follows from the expected times at both, and from nothing else.
func TestMaxWaitIsTheAdvantageOverTheNextChoice(t *testing.T) {
	b, zones := newBalancer()
	b.Random = func() float64 { return 0 }
	if c := b.Pick(criteria); c.Zone != "a" || c.Only || c.MaxWait != crossZoneCost*100*time.Millisecond+minCrossZoneTransit {
		t.Errorf("all idle: got %s, MaxWait %v, Only %v; want a and half of the processing time and the transit", c.Zone, c.MaxWait, c.Only)
	}
	pipelined := criteria
	pipelined.Pipelined = true
	if c := b.Pick(pipelined); c.Zone != "a" || c.Only || c.MaxWait != crossZoneCost*100*time.Millisecond/pipelinedFactor+minCrossZoneTransit {
		t.Errorf("all idle, pipelined: got %s, MaxWait %v, Only %v; want a and a quarter of the processing time and the transit", c.Zone, c.MaxWait, c.Only)
	}
	for _, e := range zones {
		if e.Zone != "a" {
			e.RecordUnreachable(time.Now())
		}
	}
	if c := b.Pick(criteria); c.Zone != "a" || !c.Only {
		t.Errorf("others in back-off: got %s, Only %v; want a, and no other choice", c.Zone, c.Only)
	}
}

// Scenario: the upstream in the own zone has no free slot. One that is known to have free slots is picked instead. A zone
// of which nothing is known gets one request, whose response tells.
func TestFullUpstreamIsAvoided(t *testing.T) {
	b, zones := newBalancer()
	zones["a"].UpdateLoad(proxy.Load{InUse: 14, Limit: 8, MeanTime: 100 * time.Millisecond}, time.Now())
	if got := picks(b, criteria, 100); got["a"] != 97 || got["b"] != 1 || got["c"] != 1 || got["d"] != 1 {
		t.Errorf("nothing known of the others: got picks by zone %v, want one in each other zone", got)
	}
	for _, zone := range []string{"b", "c", "d"} {
		zones[zone].UpdateLoad(proxy.Load{Limit: 8, MeanTime: 100 * time.Millisecond}, time.Now())
	}
	if got := picks(b, criteria, 100); got["a"] != 0 {
		t.Errorf("others have free slots: got picks by zone %v, want none in a", got)
	}
	for _, e := range zones {
		e.UpdateLoad(proxy.Load{InUse: 14, Limit: 8, MeanTime: 100 * time.Millisecond}, time.Now())
	}
	if e := b.Pick(criteria); e.Endpoint == nil || !e.Only {
		t.Errorf("all full: got endpoint %v, Only %v, want an endpoint, and no other choice with a free slot", e.Endpoint, e.Only)
	}
}

// Scenario: an upstream fails some of its requests while it reports itself healthy. It is avoided, and
// tried again after a while.
func TestFailingUpstreamIsAvoidedAndTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, zones := newBalancer()
		for i := range 20 {
			zones["a"].RecordOutcome(100*time.Millisecond, 100*time.Millisecond, i%2 == 0, time.Now())
		}
		if got := picks(b, criteria, 100); got["a"] != 0 {
			t.Errorf("got picks by zone %v, want none in a", got)
		}
		time.Sleep(8 * estimateHalfLife)
		if got := picks(b, criteria, 100); got["a"] == 0 {
			t.Errorf("after the estimates have decayed: got picks by zone %v, want some in a", got)
		}
	})
}

// Scenario: a zone is partitioned. After two of its hosts have not responded, no request has to time
// out at a third one.
func TestPartitionedZoneGetsNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New("a")
		for i := range 3 {
			b.Update(gossip.Member{Addr: fmt.Sprint("10.0.1.", i, ":7000"), Zone: "b", Upstream: gossip.Upstream{Service: "stock", Instance: fmt.Sprint(i), Slots: 8}})
		}
		b.Update(gossip.Member{Addr: "10.0.2.0:7000", Zone: "c", Upstream: gossip.Upstream{Service: "stock", Instance: "c", Slots: 8}})
		all := b.Endpoints("stock")
		for i, e := range all[:2] {
			if b.RecordNoResponse(e, time.Now()) != (i == 1) {
				t.Errorf("after %d hosts without a response: got unreachable %v, want %v", i+1, i != 1, i == 1)
			}
		}
		if got := picks(b, criteria, 50); got["b"] != 0 {
			t.Errorf("got picks by zone %v, want none in b", got)
		}
		onlyB := criteria
		onlyB.Eligible = func(e *Endpoint) bool { return e.Zone == "b" }
		if e := b.Pick(onlyB); e.Endpoint != nil {
			t.Error("picked an endpoint in an unreachable zone")
		}
		// Requests of callers do not probe the partition; heartbeats do, until one is acknowledged.
		time.Sleep(3 * time.Second)
		lost := func(context.Context, string) error { return errors.New("no response") }
		if recovered := b.ProbeZones(t.Context(), lost); len(recovered) > 0 || picks(b, criteria, 50)["b"] != 0 {
			t.Errorf("got recovered zones %v without an acknowledged heartbeat, want none and no picks in b", recovered)
		}
		if recovered := b.ProbeZones(t.Context(), func(context.Context, string) error { return nil }); len(recovered) != 1 || recovered[0] != "b" {
			t.Errorf("after an acknowledged heartbeat: got recovered zones %v, want [b]", recovered)
		}
		if got := picks(b, criteria, 200); got["b"] == 0 {
			t.Errorf("after a response from zone b: got picks by zone %v, want some in b", got)
		}
		b.RecordNoResponse(all[0], time.Now())
		b.RecordResponse(all[2])
		if b.RecordNoResponse(all[1], time.Now()) {
			t.Error("a zone that responded between two missing responses became unreachable")
		}
	})
}

// Draining and dead members, and members without an upstream, are not picked.
func TestUnavailableUpstreamIsNotPicked(t *testing.T) {
	b, zones := newBalancer()
	b.Update(gossip.Member{Addr: zones["a"].Addr, Zone: "a", Draining: true, Upstream: gossip.Upstream{Service: "stock", Version: "v1", Instance: "a", Slots: 8}})
	b.Update(gossip.Member{Addr: zones["b"].Addr, Zone: "b"})
	b.Update(gossip.Member{Addr: zones["c"].Addr, Zone: "c", Status: gossip.Dead, Upstream: gossip.Upstream{Service: "stock", Version: "v1", Instance: "c", Slots: 8}})
	if got := picks(b, criteria, 50); got["d"] != 50 {
		t.Errorf("got picks by zone %v, want all in d", got)
	}
	notD := criteria
	notD.Eligible = func(e *Endpoint) bool { return e.Zone != "d" }
	if e := b.Pick(notD); e.Endpoint != nil {
		t.Errorf("got endpoint in zone %s, want none", e.Zone)
	}
}

// Scenario: a host is CPU-starved while its upstream is healthy. An owner with a long transit time, or
// one that does not respond at all, is avoided and tried again after a while.
func TestSlowOwnerIsAvoidedAndTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, zones := newBalancer()
		zones["a"].RecordTransit(5*time.Millisecond, time.Now())
		if got := picks(b, criteria, 100); got["a"] != 100 {
			t.Errorf("transit time 5 ms: got picks by zone %v, want all in a", got)
		}
		for range 3 {
			zones["a"].RecordTransit(600*time.Millisecond, time.Now())
		}
		if got := picks(b, criteria, 100); got["a"] != 0 {
			t.Errorf("transit time 600 ms: got picks by zone %v, want none in a", got)
		}
		time.Sleep(4 * estimateHalfLife)
		if got := picks(b, criteria, 100); got["a"] == 0 {
			t.Errorf("after the estimates have decayed: got picks by zone %v, want some in a", got)
		}
	})
}

// Scenario: two hosts of a zone are lost for good and the others are healthy. Heartbeats go to any host
// of the zone, so that it becomes reachable again with the first one that is acknowledged.
func TestLostHostsDoNotKeepTheirZoneUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New("a")
		for i := range 4 {
			b.Update(gossip.Member{Addr: fmt.Sprint("10.0.1.", i, ":7000"), Zone: "b", Upstream: gossip.Upstream{Service: "stock", Instance: fmt.Sprint(i), Slots: 8}})
		}
		all := b.Endpoints("stock")
		lost := map[string]bool{all[0].Addr: true, all[1].Addr: true}
		b.RecordNoResponse(all[0], time.Now())
		b.RecordNoResponse(all[1], time.Now())
		ping := func(_ context.Context, addr string) error {
			if lost[addr] {
				return errors.New("no response")
			}
			return nil
		}
		const probes = 60 // half of the hosts respond, so the test fails by chance with probability 2^-60
		for range probes {
			b.ProbeZones(t.Context(), ping)
		}
		if e := b.Pick(criteria); e.Endpoint == nil {
			t.Error("the zone is still unreachable")
		}
	})
}

// Scenario: a large mesh, where an entry node sends each upstream one request every few seconds. One
// response with the owner's statistics is enough to avoid a bad upstream; they decay like the entry
// node's own estimates.
func TestOneReportOfTheOwnerIsEnough(t *testing.T) {
	for name, load := range map[string]proxy.Load{
		"slow":    {Limit: 8, Slowness: 3000},
		"failing": {Limit: 8, Slowness: 1000, Failures: 400},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b, zones := newBalancer()
				if !zones["a"].UpdateLoad(load, time.Now()) {
					t.Error("got no statistics from a load that has them")
				}
				if got := picks(b, criteria, 100); got["a"] != 0 {
					t.Errorf("got picks by zone %v, want none in a", got)
				}
				time.Sleep(8 * estimateHalfLife)
				if got := picks(b, criteria, 100); got["a"] == 0 {
					t.Errorf("after the estimates have decayed: got picks by zone %v, want some in a", got)
				}
			})
		})
	}
}

// Scenario: upstreams in one zone differ in speed. The fastest one is picked until it is full.
func TestFastestUpstreamIsPickedUntilFull(t *testing.T) {
	b := New("a")
	for i := range 3 {
		b.Update(gossip.Member{Addr: fmt.Sprint("10.0.0.", i, ":7000"), Zone: "a", Incarnation: 1,
			Upstream: gossip.Upstream{Service: "stock", Version: "v1", Instance: fmt.Sprint(i), Slots: 8}})
	}
	for range 50 {
		b.RecordProcessingTime("stock", "list", 100*time.Millisecond)
	}
	all := b.Endpoints("stock")
	for i, slowness := range []int{500, 1000, 1500} {
		all[i].UpdateLoad(proxy.Load{Limit: 8, Slowness: slowness}, time.Now())
	}
	for range 100 {
		if e := b.Pick(criteria); e.Instance != "0" {
			t.Fatalf("got instance %s, want 0", e.Instance)
		}
	}
	all[0].UpdateLoad(proxy.Load{InUse: 8, Limit: 8, Slowness: 500, MeanTime: 50 * time.Millisecond}, time.Now())
	if e := b.Pick(criteria); e.Instance == "0" {
		t.Error("got instance 0, which is full")
	}
}

// Scenario: callers pipeline requests. Responses are sent in order, so a request that delays others goes
// to a faster upstream in another zone, even if the own zone is preferred for one that delays none.
func TestPipelinedRequestGoesToTheFasterUpstream(t *testing.T) {
	b, zones := newBalancer()
	b.Random = func() float64 { return 0 }
	zones["a"].UpdateLoad(proxy.Load{Limit: 8, Slowness: 2200}, time.Now())
	zones["b"].UpdateLoad(proxy.Load{Limit: 8, Slowness: 1000}, time.Now())
	c := criteria
	if got := picks(b, c, 100); got["a"] != 100 {
		t.Errorf("not pipelined: got picks by zone %v, want all in a", got)
	}
	c.Pipelined = true
	if got := picks(b, c, 100); got["b"] != 100 {
		t.Errorf("pipelined: got picks by zone %v, want all in b", got)
	}
}

// The owner of an upstream restarts: the node that has heard of the upstream's limit must still know it afterwards, and
// must not take another process of the upstream for the same.
func TestLimitIsRememberedWhileTheOwnerRestarts(t *testing.T) {
	b := New("a")
	m := gossip.Member{Addr: "10.0.0.1:7000", Zone: "a", Upstream: gossip.Upstream{Service: "s", Version: "v1", Instance: "i", Slots: 4, Since: 5}}
	b.Update(m)
	b.Endpoints("s")[0].UpdateLoad(proxy.Load{Limit: 4, RateLimit: 7000}, time.Now())
	down := m
	down.Upstream = gossip.Upstream{}
	b.Update(down)
	b.Update(m)
	if got := b.Endpoints("s")[0].RateLimit(time.Now().Add(time.Hour)); got != 7000 {
		t.Errorf("after the restart of the owner: heard %d, want 7000", got)
	}
	m.Upstream.Since = 6
	b.Update(m)
	if got := b.Endpoints("s")[0].RateLimit(time.Now()); got != ratelimit.Unknown {
		t.Errorf("of another process: heard %d, want nothing", got)
	}
}

// An upstream says in a response that it leaves. The node gets no more of its requests to it, also after its owner has
// restarted and does not know, as the upstream may not say it in its announcements. Its successor gets requests.
func TestUpstreamThatSaidThatItLeavesIsNotPickedAgain(t *testing.T) {
	b := New("a")
	m := gossip.Member{Addr: "10.0.0.1:7000", Zone: "a", Upstream: gossip.Upstream{Service: "s", Version: "v1", Instance: "i", Slots: 4, Since: 5}}
	b.Update(m)
	pick := func() *Endpoint {
		return b.Pick(Criteria{Service: "s", Left: time.Second}).Endpoint
	}
	pick().MarkLeaving()
	if e := pick(); e != nil {
		t.Fatalf("picked %s, want none", e.Instance)
	}
	down := m
	down.Upstream = gossip.Upstream{}
	b.Update(down)
	b.Update(m)
	if e := pick(); e != nil {
		t.Errorf("after the restart of the owner: picked %s, want none", e.Instance)
	}
	m.Upstream.Since = 6
	b.Update(m)
	if pick() == nil {
		t.Error("another process was not picked")
	}
}
