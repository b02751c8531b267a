package dispatch

import (
	"context"
	"math/rand/v2"
	"net/rpc"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"celerybank/internal/balance"
	"celerybank/internal/events"
	"celerybank/internal/gossip"
	"celerybank/internal/orders"
	"celerybank/internal/peer"
	"celerybank/internal/proxy"
	"celerybank/internal/routes"
	"celerybank/internal/verdict"
)

// fakeOwners answers for upstreams by the address of their owner.
type fakeOwners struct {
	mu      sync.Mutex
	answers map[string]func(*proxy.Request) (*proxy.Answer, error)
	asked   []string
	parents map[string]bool
	last    proxy.Request
}

func (f *fakeOwners) Call(_ context.Context, addr, method string, args, reply any) error {
	if method != "Proxy.Call" {
		return nil
	}
	req := args.(*proxy.Request)
	f.mu.Lock()
	f.asked, f.last = append(f.asked, addr), *req
	answer := f.answers[addr]
	f.mu.Unlock()
	a, err := answer(req)
	if err == nil {
		*reply.(*proxy.Answer) = *a
	}
	return err
}

func (f *fakeOwners) Handle(ctx context.Context, req *proxy.Request) *proxy.Answer {
	var a proxy.Answer
	if err := f.Call(ctx, "self", "Proxy.Call", req, &a); err != nil {
		return proxy.Refusal(verdict.MayHaveRun, proxy.ReasonBroken)
	}
	return &a
}

func (f *fakeOwners) Parent(id string) (bool, bool) {
	i := strings.LastIndexByte(id, '.')
	if i < 0 {
		return false, false
	}
	repeat, ok := f.parents[id[:i]]
	return ok, repeat
}

func ok(*proxy.Request) (*proxy.Answer, error) {
	return &proxy.Answer{Verdict: verdict.Ran, Status: 200, Took: 10 * time.Millisecond, Load: proxy.Load{Limit: 8}}, nil
}

func refused(reason proxy.Reason) func(*proxy.Request) (*proxy.Answer, error) {
	return func(*proxy.Request) (*proxy.Answer, error) {
		a := proxy.Refusal(verdict.NotRun, reason)
		a.RetryAfter = 70 * time.Millisecond
		return a, nil
	}
}

func status(code int) func(*proxy.Request) (*proxy.Answer, error) {
	return func(*proxy.Request) (*proxy.Answer, error) {
		return &proxy.Answer{Verdict: verdict.Ran, Status: code, Took: time.Millisecond}, nil
	}
}

func shed(*proxy.Request) (*proxy.Answer, error) {
	return &proxy.Answer{Verdict: verdict.NotRun, Status: 503, Reason: proxy.ReasonShed}, nil
}

func lost(*proxy.Request) (*proxy.Answer, error) { return nil, rpc.ErrShutdown }

func notSent(*proxy.Request) (*proxy.Answer, error) { return nil, peer.ErrNotSent }

type allVersions struct{}

func (allVersions) Choose(string) func(string) bool { return nil }

// newDispatcher returns a dispatcher with a safe route /get/ and an unsafe one /post/ to one
// service with the upstreams given.
func newDispatcher(f *fakeOwners, out ...string) *Dispatcher {
	b := balance.New("a")
	for addr := range f.answers {
		b.Update(gossip.Member{Addr: addr, Zone: "a", Upstream: gossip.Upstream{Service: "stock", Version: "v1", Instance: addr, Slots: 8}})
	}
	c := &routes.Config{Version: 1, Services: []routes.Service{{Name: "stock"}}, Routes: []routes.Route{
		{Name: "get", Host: "h", Prefix: "/get/", Targets: []routes.Target{{Service: "stock", Weight: 1}}, Idempotent: true, Timeout: time.Second, Target: 300 * time.Millisecond, Attempts: 2, Priority: 2},
		{Name: "post", Host: "h", Prefix: "/post/", Targets: []routes.Target{{Service: "stock", Weight: 1}}, Timeout: time.Second, Target: 300 * time.Millisecond, Attempts: 2, Priority: 1},
	}}
	view := &orders.View{Table: routes.NewTable(c), ZonesOut: map[string]bool{}}
	for _, z := range out {
		view.ZonesOut[z] = true
	}
	return New(Config{Addr: "entry", View: func() *orders.View { return view }, Balancer: b, Owner: f, Peers: f, Canaries: allVersions{},
		Budget: &Budget{Ratio: 0.2, Slack: 60, Window: 10 * time.Second, Nodes: func() int { return 1 }}, Trusts: func() bool { return true }})
}

func request(id string) *proxy.Request {
	return &proxy.Request{Method: "GET", Host: "h", RequestID: id}
}

// What is sent again, and what the caller is told in the end.
func TestRetriesFollowTheVerdict(t *testing.T) {
	for _, c := range []struct {
		name, path string
		first      func(*proxy.Request) (*proxy.Answer, error)
		asked      int // owners asked when the first one answers so
		verdict    verdict.Verdict
	}{
		{"refused for want of room", "/post/1", refused(proxy.ReasonFull), 2, verdict.Ran},
		{"owner gone before the send", "/post/1", notSent, 2, verdict.Ran},
		{"owner lost, unsafe", "/post/1", lost, 1, verdict.MayHaveRun},
		{"owner lost, safe", "/get/1", lost, 2, verdict.Ran},
		{"upstream sheds, unsafe", "/post/1", shed, 2, verdict.Ran},
		{"upstream fails, unsafe", "/post/1", status(500), 1, verdict.Ran},
		{"upstream fails, safe", "/get/1", status(500), 2, verdict.Ran},
		{"upstream's timeout, safe", "/get/1", status(504), 1, verdict.Ran},
		{"not found", "/get/1", status(404), 1, verdict.Ran},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := &fakeOwners{answers: map[string]func(*proxy.Request) (*proxy.Answer, error){}}
			// The first owner asked answers as the case says, whichever it is.
			var once sync.Once
			answer := func(r *proxy.Request) (*proxy.Answer, error) {
				which := ok
				once.Do(func() { which = c.first })
				return which(r)
			}
			f.answers["one"], f.answers["two"] = answer, answer
			a := newDispatcher(f).Call(t.Context(), request("r1"), c.path, Caller{})
			if len(f.asked) != c.asked || a.Verdict != c.verdict {
				t.Errorf("%s: asked %v, answer %v %d %s", c.name, f.asked, a.Verdict, a.Status, a.Reason)
			}
		})
	}
}

// A request that may have run is never called not run, whatever comes after.
func TestMayHaveRunStaysOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeOwners{answers: map[string]func(*proxy.Request) (*proxy.Answer, error){"one": lost}}
		var once sync.Once
		f.answers["one"] = func(r *proxy.Request) (*proxy.Answer, error) {
			which := refused(proxy.ReasonFull)
			once.Do(func() { which = lost })
			return which(r)
		}
		f.answers["two"] = f.answers["one"]
		if a := newDispatcher(f).Call(t.Context(), request("r1"), "/get/1", Caller{}); a.Verdict != verdict.MayHaveRun {
			t.Errorf("%v %s", a.Verdict, a.Reason)
		}
	})
}

func TestAllFullIsRefusedWithATimeToComeBack(t *testing.T) {
	f := &fakeOwners{answers: map[string]func(*proxy.Request) (*proxy.Answer, error){"one": refused(proxy.ReasonFull), "two": refused(proxy.ReasonCold)}}
	a := newDispatcher(f).Call(t.Context(), request("r1"), "/post/1", Caller{})
	if a.Verdict != verdict.NotRun || a.RetryAfter <= 0 || len(f.asked) > maxOffers || !f.last.Patient {
		t.Errorf("%v %s after %v, asked %v, patient %v", a.Verdict, a.Reason, a.RetryAfter, f.asked, f.last.Patient)
	}
}

func TestUnknownAndUnservedRequests(t *testing.T) {
	f := &fakeOwners{answers: map[string]func(*proxy.Request) (*proxy.Answer, error){"one": ok}}
	if a := newDispatcher(f).Call(t.Context(), request("r1"), "/none/1", Caller{}); a.Reason != proxy.ReasonUnknown {
		t.Errorf("%s", a.Reason)
	}
	if a := newDispatcher(f, "a").Call(t.Context(), request("r1"), "/get/1", Caller{}); a.Reason != proxy.ReasonNoUpstream || a.RetryAfter == 0 {
		t.Errorf("zone out: %s", a.Reason)
	}
	d := newDispatcher(f)
	d.View = func() *orders.View { return &orders.View{} }
	if a := d.Call(t.Context(), request("r1"), "/get/1", Caller{}); a.Reason != proxy.ReasonNotReady || a.Verdict != verdict.NotRun {
		t.Errorf("no configuration: %s", a.Reason)
	}
}

// Calls of a running request go before new work, and those of a repeat are not repeated.
func TestCallsOfARunningRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeOwners{answers: map[string]func(*proxy.Request) (*proxy.Answer, error){"one": ok, "two": ok}, parents: map[string]bool{"p1": false, "p2": true}}
		d := newDispatcher(f)
		for id, rank := range map[string]int{"r1": 2, "p1.x": callRank, "other.x": 2} {
			if d.Call(t.Context(), request(id), "/get/1", Caller{}); f.last.Rank != rank {
				t.Errorf("%s: rank %d", id, f.last.Rank)
			}
		}
		f.answers["one"], f.answers["two"] = lost, lost
		f.asked = nil
		d.Call(t.Context(), request("p2.x"), "/get/1", Caller{})
		if len(f.asked) != 1 {
			t.Errorf("a call of a repeat was sent %d times", len(f.asked))
		}
	})
}

func TestDeadlineIsTheShorterOfCallerAndRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeOwners{answers: map[string]func(*proxy.Request) (*proxy.Answer, error){"one": ok}}
		d := newDispatcher(f)
		for caller, want := range map[time.Duration]time.Duration{0: time.Second, 200 * time.Millisecond: 200 * time.Millisecond, time.Minute: time.Second} {
			d.Call(t.Context(), request("r1"), "/get/1", Caller{Timeout: caller})
			if f.last.Timeout > want || f.last.Timeout < want*9/10 {
				t.Errorf("caller %v: %v", caller, f.last.Timeout)
			}
		}
	})
}

// The platform's bound on repeats, over all nodes together in any window.
func TestRepeatsOfTheFleetStayWithinTheBound(t *testing.T) {
	const ratio, slack = 0.2, 60.0
	window := 10 * time.Second
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(11))
	properties.Property("repeats in any window", prop.ForAll(func(nodes, perTick int, seed uint64) bool {
		held := true
		synctest.Test(t, func(*testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			budgets := make([]*Budget, nodes)
			for i := range budgets {
				budgets[i] = &Budget{Ratio: ratio, Slack: slack, Window: window, Nodes: func() int { return nodes }}
			}
			const tick = 250 * time.Millisecond
			var requests, repeats []int
			for range 120 {
				r := rng.IntN(perTick + 1)
				n := 0
				for range r {
					b := budgets[rng.IntN(nodes)]
					b.Earn("s")
					if b.Spend("s", rng.IntN(2) == 0, rng.IntN(2) == 0) {
						n++
					}
				}
				requests, repeats = append(requests, r), append(repeats, n)
				span := int(window / tick)
				sumR, sumN := 0, 0
				for i := max(0, len(requests)-span); i < len(requests); i++ {
					sumR, sumN = sumR+requests[i], sumN+repeats[i]
				}
				held = held && float64(sumN) <= ratio*float64(sumR)+slack
				time.Sleep(tick)
			}
		})
		return held
	}, gen.IntRange(1, 90), gen.IntRange(0, 400), gen.UInt64()))
	properties.TestingRun(t)
}

func TestBudgetIsPerService(t *testing.T) {
	b := &Budget{Ratio: 0.2, Slack: 60, Window: 10 * time.Second, Nodes: func() int { return 1 }}
	for b.Spend("one", false, false) {
	}
	if !b.Spend("two", false, false) {
		t.Error("the budget of one service is spent by another")
	}
}

// Pattern: after a calm time every upstream of a service refuses. What nodes have saved, together
// with what they earn, stays within the bound, at many sizes and rates.
func TestSavedRepeatsOfTheFleetStayWithinTheBound(t *testing.T) {
	const ratio, window, tick = 0.2, 10 * time.Second, 100 * time.Millisecond
	for _, nodes := range []int{1, 4, 16, 70, 300} {
		for _, perS := range []int{10, 100, 1000} {
			slack := max(60, 2.5*float64(nodes)) // the deployments' slack grows with their hosts
			synctest.Test(t, func(t *testing.T) {
				rng := rand.New(rand.NewPCG(uint64(nodes), uint64(perS)))
				budgets := make([]*Budget, nodes)
				for i := range budgets {
					budgets[i] = &Budget{Ratio: ratio, Slack: slack, Window: window, Nodes: func() int { return nodes }}
				}
				repeats := 0
				for now := time.Duration(0); now < 4*window; now += tick {
					for range perS / 10 {
						b := budgets[rng.IntN(nodes)]
						b.Earn("s")
						for now >= 3*window && b.Spend("s", false, true) {
							repeats++
						}
					}
					time.Sleep(tick)
				}
				if bound := ratio*float64(perS)*window.Seconds() + slack; float64(repeats) > bound {
					t.Errorf("%d nodes, %d requests a second: %d repeats in a window, bound %.0f", nodes, perS, repeats, bound)
				}
			})
		}
	}
}

// Pattern: all upstreams of a service shed half. What may be sent again goes to the calls of running
// requests first: their callers do not come again, and the work of the request is paid for.
func TestShortBudgetServesCallsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &Budget{Ratio: 0.2, Slack: 60, Window: 10 * time.Second, Nodes: func() int { return 16 }}
		rng := rand.New(rand.NewPCG(5, 1))
		var asked, served [2]int
		for range 20_000 {
			call := rng.IntN(2)
			b.Earn("s")
			if rng.IntN(2) == 0 { // refused
				asked[call]++
				if b.Spend("s", false, call == 1) {
					served[call]++
				}
			}
			time.Sleep(time.Millisecond)
		}
		calls, others := float64(served[1])/float64(asked[1]), float64(served[0])/float64(asked[0])
		if calls < 2*others {
			t.Errorf("%.2f of the calls and %.2f of the other requests are sent again", calls, others)
		}
	})
}

// The line of a failed request says why it was not sent to another upstream.
func TestLineSaysWhyNoOtherWasTried(t *testing.T) {
	failing := map[string]func(*proxy.Request) (*proxy.Answer, error){"one": status(500), "two": status(500), "three": status(500)}
	for _, c := range []struct {
		path string
		want stop
	}{{"/get/1", stopAttempts}, {"/post/1", stopOutcome}} {
		f := &fakeOwners{answers: failing}
		d := newDispatcher(f)
		d.Events = events.New("n", "z", nil)
		d.Budget.Slack = 600
		d.Call(t.Context(), request("r1"), c.path, Caller{})
		lines := d.Events.Since(0)
		if last := lines[len(lines)-1]; last.Code != events.UpstreamFailed || last.Fields["stop"] != c.want {
			t.Errorf("%s: %s %v", c.path, last.Name, last.Fields)
		}
	}
	d := newDispatcher(&fakeOwners{answers: failing})
	d.Events = events.New("n", "z", nil)
	for d.Budget.Spend("stock", true, true) {
	}
	d.Call(t.Context(), request("r1"), "/get/1", Caller{})
	lines := d.Events.Since(0)
	if last := lines[len(lines)-1]; last.Fields["stop"] != stopBudget {
		t.Errorf("budget spent: %s %v", last.Name, last.Fields)
	}
}
