package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"celerybank/internal/orders"
	"celerybank/internal/proxy"
	"celerybank/internal/routes"
	"celerybank/internal/verdict"
)

// offer is what an owner is told of a request, but for the number of the call.
type offer struct {
	addr           string
	rank           int
	timeout        time.Duration
	maxWait        time.Duration
	waitToDeadline bool
}

// offers returns what the owners of six upstreams are told of a request on a route with the given target latency. The
// first refusals owners are full; half of the upstreams are thought to have inUse requests.
func offers(t *testing.T, target, timeout time.Duration, refusals, slowest, inUse int) (list []offer) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeOwners{responses: map[string]func(*proxy.Request) (*proxy.Response, error){}}
		for _, addr := range []string{"1", "2", "3", "4", "5", "6"} {
			f.responses[addr] = func(r *proxy.Request) (*proxy.Response, error) {
				list = append(list, offer{addr, r.Rank, r.Timeout, r.MaxWait, r.WaitToDeadline})
				if len(list) <= refusals {
					return proxy.Refusal(verdict.NotRun, proxy.ReasonFull), nil
				}
				return ok(r)
			}
		}
		d := newDispatcher(f)
		d.Balancer.Random = func() float64 { return 0 }
		for _, e := range d.Balancer.Endpoints("stock") {
			e.UpdateLoad(proxy.Load{Limit: 8, Slowness: 1000 + int(e.Addr[0]-'1')*slowest, InUse: int(e.Addr[0]) % 2 * inUse, MeanTime: 50 * time.Millisecond}, time.Now())
		}
		c := &routes.Config{Version: 1, Services: []routes.Service{{Name: "stock"}}, Routes: []routes.Route{{Name: "get", Host: "h", Prefix: "/get/",
			Targets: []routes.Target{{Service: "stock", Weight: 1}}, Idempotent: true, Timeout: timeout, LatencyTarget: target, Attempts: 2, Priority: 2}}}
		table := routes.NewTable(c)
		d.View = func() *orders.View { return &orders.View{Table: table} }
		d.Dispatch(t.Context(), request("r1"), "/get/1", Caller{})
	})
	return list
}

// Of two requests that differ in the target latency of their routes alone, one waited less, was refused earlier and went
// to other upstreams than the other.
func TestTargetLatencyDecidesNothing(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(3))
	properties.Property("the offers of a request do not depend on the target latency", prop.ForAll(func(a, b, timeout int64, refusals, slowest int) bool {
		ms := func(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
		x, y := offers(t, ms(a), ms(timeout), refusals, slowest, 4*refusals), offers(t, ms(b), ms(timeout), refusals, slowest, 4*refusals)
		if len(x) != len(y) {
			return false
		}
		for i := range x {
			if x[i] != y[i] {
				return false
			}
		}
		return len(x) > 0
	}, gen.Int64Range(1, 3000), gen.Int64Range(1, 3000), gen.Int64Range(100, 8000), gen.IntRange(0, 5), gen.IntRange(1, 2000)))
	properties.TestingRun(t)
}

// More upstreams than a request is offered to are full. The last offer lets it wait, as its caller has time.
func TestLastOfferWaits(t *testing.T) {
	got := offers(t, time.Second, time.Second, maxOwners, 100, 0)
	if len(got) != maxOwners || !got[maxOwners-1].waitToDeadline {
		t.Errorf("got offers %+v, want %d of which the last lets the request wait", got, maxOwners)
	}
	seen := map[string]bool{}
	for _, o := range got[:maxOwners-1] {
		if seen[o.addr] {
			t.Errorf("got offers %+v, want each to another upstream before the last", got)
		}
		seen[o.addr] = true
	}
}
