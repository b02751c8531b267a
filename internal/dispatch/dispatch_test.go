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
	"celerybank/internal/calltree"
	"celerybank/internal/events"
	"celerybank/internal/gossip"
	"celerybank/internal/orders"
	"celerybank/internal/peer"
	"celerybank/internal/proxy"
	"celerybank/internal/routes"
	"celerybank/internal/verdict"
)

// fakeOwners stands in for the owners of upstreams: each responds by its address.
type fakeOwners struct {
	mu        sync.Mutex
	responses map[string]func(*proxy.Request) (*proxy.Response, error)
	called    []string
	parents   map[string]bool
	last      proxy.Request
}

func (f *fakeOwners) Call(_ context.Context, addr, method string, args, reply any) error {
	if method != "Proxy.Call" {
		return nil
	}
	req := args.(*proxy.Request)
	f.mu.Lock()
	f.called, f.last = append(f.called, addr), *req
	respond := f.responses[addr]
	f.mu.Unlock()
	res, err := respond(req)
	if err == nil {
		*reply.(*proxy.Response) = *res
	}
	return err
}

func (f *fakeOwners) Handle(ctx context.Context, req *proxy.Request) *proxy.Response {
	var res proxy.Response
	if err := f.Call(ctx, "self", "Proxy.Call", req, &res); err != nil {
		return proxy.Refusal(verdict.MayHaveRun, proxy.ReasonConnBroken)
	}
	return &res
}

func (f *fakeOwners) Parent(id string) (bool, bool) {
	i := strings.LastIndexByte(id, '.')
	if i < 0 {
		return false, false
	}
	retry, ok := f.parents[id[:i]]
	return ok, retry
}

func (f *fakeOwners) Abandoned(id string) bool { return strings.HasPrefix(id, "abandoned.") }

func ok(*proxy.Request) (*proxy.Response, error) {
	return &proxy.Response{Verdict: verdict.Ran, Status: 200, ProcessingTime: 10 * time.Millisecond, Load: proxy.Load{Limit: 8}}, nil
}

func refused(reason proxy.Reason) func(*proxy.Request) (*proxy.Response, error) {
	return func(*proxy.Request) (*proxy.Response, error) {
		res := proxy.Refusal(verdict.NotRun, reason)
		res.RetryAfter = 70 * time.Millisecond
		return res, nil
	}
}

func status(code int) func(*proxy.Request) (*proxy.Response, error) {
	return func(*proxy.Request) (*proxy.Response, error) {
		return &proxy.Response{Verdict: verdict.Ran, Status: code, ProcessingTime: time.Millisecond}, nil
	}
}

func shed(*proxy.Request) (*proxy.Response, error) {
	return &proxy.Response{Verdict: verdict.NotRun, Status: 503, Reason: proxy.ReasonShed}, nil
}

func lost(*proxy.Request) (*proxy.Response, error) { return nil, rpc.ErrShutdown }

func notSent(*proxy.Request) (*proxy.Response, error) { return nil, peer.ErrNotSent }

type allVersions struct{}

func (allVersions) Choose(string) func(string) bool { return nil }

// newDispatcher returns a Dispatcher with an idempotent route /get/ and a non-idempotent route /post/
// to one service, which has one upstream for each response of f. The zones in zonesOut are out.
func newDispatcher(f *fakeOwners, zonesOut ...string) *Dispatcher {
	b := balance.New("a")
	for addr := range f.responses {
		b.Update(gossip.Member{Addr: addr, Zone: "a", Upstream: gossip.Upstream{Service: "stock", Version: "v1", Instance: addr, Slots: 8}})
	}
	c := &routes.Config{Version: 1, Services: []routes.Service{{Name: "stock"}}, Routes: []routes.Route{
		{Name: "get", Host: "h", Prefix: "/get/", Targets: []routes.Target{{Service: "stock", Weight: 1}}, Idempotent: true, Timeout: time.Second, LatencyTarget: 300 * time.Millisecond, Attempts: 2, Priority: 2},
		{Name: "post", Host: "h", Prefix: "/post/", Targets: []routes.Target{{Service: "stock", Weight: 1}}, Timeout: time.Second, LatencyTarget: 300 * time.Millisecond, Attempts: 2, Priority: 1},
	}}
	view := &orders.View{Table: routes.NewTable(c), ZonesOut: map[string]bool{}}
	for _, z := range zonesOut {
		view.ZonesOut[z] = true
	}
	return New(Config{Addr: "entry", View: func() *orders.View { return view }, Balancer: b, Owner: f, Peers: f, Canaries: allVersions{},
		Budget: &Budget{Ratio: 0.2, Slack: 60, Window: 10 * time.Second, Nodes: func() int { return 1 }}, ViewFresh: func() bool { return true }})
}

func request(id string) *proxy.Request {
	return &proxy.Request{Method: "GET", Host: "h", RequestID: id}
}

// Which responses are retried, and the verdict that the caller gets.
func TestRetriesFollowTheVerdict(t *testing.T) {
	for _, c := range []struct {
		name, path string
		first      func(*proxy.Request) (*proxy.Response, error)
		called     int // owners called when the first one responds so
		verdict    verdict.Verdict
	}{
		{"refused, no free slot", "/post/1", refused(proxy.ReasonFull), 2, verdict.Ran},
		{"owner gone before the request was sent", "/post/1", notSent, 2, verdict.Ran},
		{"owner lost, non-idempotent", "/post/1", lost, 1, verdict.MayHaveRun},
		{"owner lost, idempotent", "/get/1", lost, 2, verdict.Ran},
		{"upstream sheds, non-idempotent", "/post/1", shed, 2, verdict.Ran},
		{"upstream fails, non-idempotent", "/post/1", status(500), 1, verdict.Ran},
		{"upstream fails, idempotent", "/get/1", status(500), 2, verdict.Ran},
		{"gateway timeout of the upstream, idempotent", "/get/1", status(504), 1, verdict.Ran},
		{"not found", "/get/1", status(404), 1, verdict.Ran},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := &fakeOwners{responses: map[string]func(*proxy.Request) (*proxy.Response, error){}}
			// The first owner called responds as the case says, whichever it is.
			var once sync.Once
			respond := func(r *proxy.Request) (*proxy.Response, error) {
				response := ok
				once.Do(func() { response = c.first })
				return response(r)
			}
			f.responses["one"], f.responses["two"] = respond, respond
			res := newDispatcher(f).Dispatch(t.Context(), request("r1"), c.path, Caller{})
			if len(f.called) != c.called || res.Verdict != c.verdict {
				t.Errorf("%s: called owners %v, want %d; got verdict %v, status %d, reason %s, want verdict %v", c.name, f.called, c.called, res.Verdict, res.Status, res.Reason, c.verdict)
			}
		})
	}
}

// A request that may have run at one owner is never reported as not run, even if the next owner
// refuses it.
func TestMayHaveRunIsNeverReportedAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeOwners{responses: map[string]func(*proxy.Request) (*proxy.Response, error){"one": lost}}
		var once sync.Once
		f.responses["one"] = func(r *proxy.Request) (*proxy.Response, error) {
			response := refused(proxy.ReasonFull)
			once.Do(func() { response = lost })
			return response(r)
		}
		f.responses["two"] = f.responses["one"]
		if res := newDispatcher(f).Dispatch(t.Context(), request("r1"), "/get/1", Caller{}); res.Verdict != verdict.MayHaveRun {
			t.Errorf("got verdict %v, reason %s, want verdict %v", res.Verdict, res.Reason, verdict.MayHaveRun)
		}
	})
}

// An upstream ran an idempotent request and failed it, and the retry was refused: the caller was told that the request
// had not run. It gets the response of the upstream that ran it.
func TestRefusedRetryKeepsTheResponseOfTheUpstreamThatRan(t *testing.T) {
	for name, second := range map[string]func(*proxy.Request) (*proxy.Response, error){
		"refused": refused(proxy.ReasonFull), "shed": shed, "not sent": notSent, "owner lost": lost,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeOwners{responses: map[string]func(*proxy.Request) (*proxy.Response, error){}}
				var once sync.Once
				respond := func(r *proxy.Request) (*proxy.Response, error) {
					response := second
					once.Do(func() { response = status(500) })
					return response(r)
				}
				f.responses["one"], f.responses["two"] = respond, respond
				res := newDispatcher(f).Dispatch(t.Context(), request("r1"), "/get/1", Caller{})
				if res.Verdict != verdict.Ran || res.Status != 500 || len(f.called) < 2 {
					t.Errorf("called owners %v; got verdict %v, status %d, reason %s, want at least 2, verdict %v and status 500", f.called, res.Verdict, res.Status, res.Reason, verdict.Ran)
				}
			})
		})
	}
}

func TestAllFullIsRefusedWithRetryAfter(t *testing.T) {
	f := &fakeOwners{responses: map[string]func(*proxy.Request) (*proxy.Response, error){"one": refused(proxy.ReasonFull), "two": refused(proxy.ReasonCold)}}
	res := newDispatcher(f).Dispatch(t.Context(), request("r1"), "/post/1", Caller{})
	if res.Verdict != verdict.NotRun || res.RetryAfter <= 0 || len(f.called) > maxOwners || !f.last.WaitToDeadline {
		t.Errorf("got verdict %v, reason %s, RetryAfter %v, called owners %v, WaitToDeadline %v; want %v, a RetryAfter, at most %d owners and WaitToDeadline", res.Verdict, res.Reason, res.RetryAfter, f.called, f.last.WaitToDeadline, verdict.NotRun, maxOwners)
	}
}

// Several owners refuse a request and expect room at different times. The caller was told that of the last one; it is told
// the earliest.
func TestRetryAfterIsTheEarliestOfAllOwners(t *testing.T) {
	f := &fakeOwners{responses: map[string]func(*proxy.Request) (*proxy.Response, error){}}
	for _, addr := range []string{"1", "2", "3"} {
		f.responses[addr] = func(*proxy.Request) (*proxy.Response, error) {
			res := proxy.Refusal(verdict.NotRun, proxy.ReasonFull)
			res.RetryAfter = time.Duration(len(f.called)) * 100 * time.Millisecond
			return res, nil
		}
	}
	res := newDispatcher(f).Dispatch(t.Context(), request("r1"), "/post/1", Caller{})
	if len(f.called) < 2 || res.RetryAfter != 100*time.Millisecond || res.Verdict != verdict.NotRun {
		t.Errorf("called owners %v; got verdict %v, RetryAfter %v, want %v and 100ms", f.called, res.Verdict, res.RetryAfter, verdict.NotRun)
	}
}

func TestUnknownAndUnservedRequests(t *testing.T) {
	f := &fakeOwners{responses: map[string]func(*proxy.Request) (*proxy.Response, error){"one": ok}}
	if res := newDispatcher(f).Dispatch(t.Context(), request("r1"), "/none/1", Caller{}); res.Reason != proxy.ReasonUnknownService {
		t.Errorf("unknown route: got reason %s, want %s", res.Reason, proxy.ReasonUnknownService)
	}
	if res := newDispatcher(f, "a").Dispatch(t.Context(), request("r1"), "/get/1", Caller{}); res.Reason != proxy.ReasonNoUpstream || res.RetryAfter == 0 {
		t.Errorf("zone out: got reason %s, RetryAfter %v, want reason %s and a RetryAfter", res.Reason, res.RetryAfter, proxy.ReasonNoUpstream)
	}
	d := newDispatcher(f)
	d.View = func() *orders.View { return &orders.View{} }
	if res := d.Dispatch(t.Context(), request("r1"), "/get/1", Caller{}); res.Reason != proxy.ReasonNotReady || res.Verdict != verdict.NotRun {
		t.Errorf("no configuration: got verdict %v, reason %s, want %v, %s", res.Verdict, res.Reason, verdict.NotRun, proxy.ReasonNotReady)
	}
}

// Child requests rank before other requests, and those of a retry are not retried.
func TestChildRequestsRankFirstAndAreNotRetriedInARetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeOwners{responses: map[string]func(*proxy.Request) (*proxy.Response, error){"one": ok, "two": ok}, parents: map[string]bool{"p1": false, "p2": true}}
		d := newDispatcher(f)
		for id, rank := range map[string]int{"r1": 2, "p1.x": childRank, "other.x": 2} {
			if d.Dispatch(t.Context(), request(id), "/get/1", Caller{}); f.last.Rank != rank {
				t.Errorf("%s: got rank %d, want %d", id, f.last.Rank, rank)
			}
		}
		f.responses["one"], f.responses["two"] = lost, lost
		f.called = nil
		d.Dispatch(t.Context(), request("p2.x"), "/get/1", Caller{})
		if len(f.called) != 1 {
			t.Errorf("child request of a retry: sent %d times, want 1", len(f.called))
		}
	})
}

// parents is a stand-in of the owner for child requests of p1.
type parents struct{ children []calltree.Child }

func (p *parents) ParentOf(id string) (string, int, bool) { return "lookup", 2, id == "p1.x" }

func (p *parents) RecordChild(route string, c calltree.Child) {
	if route == "lookup" {
		p.children = append(p.children, c)
	}
}

// The owner of a parent must learn what became of its children, and their owners the rank of the root. A request whose
// parent cannot be served anywhere must not be sent to further owners.
func TestChildrenAreReportedToTheirParent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		loaded := func(*proxy.Request) (*proxy.Response, error) {
			return &proxy.Response{Verdict: verdict.Ran, Status: 200, Load: proxy.Load{Limit: 8}, Pressure: 1200}, nil
		}
		f := &fakeOwners{responses: map[string]func(*proxy.Request) (*proxy.Response, error){"one": loaded, "two": loaded}, parents: map[string]bool{"p1": false}}
		d, p := newDispatcher(f), &parents{}
		d.Parents = p
		d.Dispatch(t.Context(), request("p1.x"), "/get/1", Caller{})
		if f.last.Rank != proxy.ChildRank(2) || len(p.children) != 1 || p.children[0].Failed || p.children[0].Pressure != 1.2 {
			t.Errorf("got rank %d, reports %+v; want %d and a served child with pressure 1.2", f.last.Rank, p.children, proxy.ChildRank(2))
		}
		f.responses["one"], f.responses["two"] = refused(proxy.ReasonFull), refused(proxy.ReasonFull)
		d.Dispatch(t.Context(), request("p1.x"), "/get/1", Caller{})
		d.Dispatch(t.Context(), request("r1"), "/get/1", Caller{})
		if len(p.children) != 2 || !p.children[1].Failed || f.last.Rank < 0 {
			t.Errorf("got reports %+v, rank %d; want a second report of a refused child, and none of a request that is no child", p.children, f.last.Rank)
		}
		f.responses["one"], f.responses["two"] = refused(proxy.ReasonDependencyFull), refused(proxy.ReasonDependencyFull)
		f.called = nil
		if d.Dispatch(t.Context(), request("r1"), "/get/1", Caller{}); len(f.called) != 1 {
			t.Errorf("%s: offered to %d owners, want 1", proxy.ReasonDependencyFull, len(f.called))
		}
	})
}

func TestDeadlineIsTheShorterOfCallerAndRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeOwners{responses: map[string]func(*proxy.Request) (*proxy.Response, error){"one": ok}}
		d := newDispatcher(f)
		for timeout, want := range map[time.Duration]time.Duration{0: time.Second, 200 * time.Millisecond: 200 * time.Millisecond, time.Minute: time.Second} {
			d.Dispatch(t.Context(), request("r1"), "/get/1", Caller{Timeout: timeout})
			if f.last.Timeout > want || f.last.Timeout < want*9/10 {
				t.Errorf("timeout of the caller %v: got %v, want %v", timeout, f.last.Timeout, want)
			}
		}
	})
}

// In any window the retries of all nodes together stay within the fleet-wide bound.
func TestFleetRetriesStayWithinTheBound(t *testing.T) {
	const ratio, slack = 0.2, 60.0
	window := 10 * time.Second
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(11))
	properties.Property("retries in any window", prop.ForAll(func(nodes, perTick int, seed uint64) bool {
		within := true
		synctest.Test(t, func(*testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			budgets := make([]*Budget, nodes)
			for i := range budgets {
				budgets[i] = &Budget{Ratio: ratio, Slack: slack, Window: window, Nodes: func() int { return nodes }}
			}
			const tick = 250 * time.Millisecond
			var requests, retries []int
			for range 120 {
				r := rng.IntN(perTick + 1)
				n := 0
				for range r {
					b := budgets[rng.IntN(nodes)]
					b.Deposit("s")
					if b.Withdraw("s", rng.IntN(2) == 0, rng.IntN(2) == 0) {
						n++
					}
				}
				requests, retries = append(requests, r), append(retries, n)
				span := int(window / tick)
				requestSum, retrySum := 0, 0
				for i := max(0, len(requests)-span); i < len(requests); i++ {
					requestSum, retrySum = requestSum+requests[i], retrySum+retries[i]
				}
				within = within && float64(retrySum) <= ratio*float64(requestSum)+slack
				time.Sleep(tick)
			}
		})
		return within
	}, gen.IntRange(1, 90), gen.IntRange(0, 400), gen.UInt64()))
	properties.TestingRun(t)
}

func TestBudgetIsPerService(t *testing.T) {
	b := &Budget{Ratio: 0.2, Slack: 60, Window: 10 * time.Second, Nodes: func() int { return 1 }}
	for b.Withdraw("one", false, false) {
	}
	if !b.Withdraw("two", false, false) {
		t.Error("the retries of one service exhausted the budget of another")
	}
}

// Scenario: after a time without refusals, every upstream of a service refuses. The retries from the
// saved tokens of all nodes, together with those earned meanwhile, stay within the bound at many fleet
// sizes and request rates.
func TestSavedTokensOfTheFleetStayWithinTheBound(t *testing.T) {
	const ratio, window, tick = 0.2, 10 * time.Second, 100 * time.Millisecond
	for _, nodes := range []int{1, 4, 16, 70, 300} {
		for _, perSecond := range []int{10, 100, 1000} {
			slack := max(60, 2.5*float64(nodes)) // the slack of a deployment grows with its number of hosts
			synctest.Test(t, func(t *testing.T) {
				rng := rand.New(rand.NewPCG(uint64(nodes), uint64(perSecond)))
				budgets := make([]*Budget, nodes)
				for i := range budgets {
					budgets[i] = &Budget{Ratio: ratio, Slack: slack, Window: window, Nodes: func() int { return nodes }}
				}
				retries := 0
				for now := time.Duration(0); now < 4*window; now += tick {
					for range perSecond / 10 {
						b := budgets[rng.IntN(nodes)]
						b.Deposit("s")
						for now >= 3*window && b.Withdraw("s", false, true) {
							retries++
						}
					}
					time.Sleep(tick)
				}
				if bound := ratio*float64(perSecond)*window.Seconds() + slack; float64(retries) > bound {
					t.Errorf("%d nodes, %d requests/s: got %d retries in a window, want at most %.0f", nodes, perSecond, retries, bound)
				}
			})
		}
	}
}

// Scenario: all upstreams of a service shed half of their requests, so that the budget covers only some
// retries. Child requests get them first: the upstreams that send them do not retry, and the work
// already done for the parent would be lost.
func TestScarceBudgetServesChildRequestsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &Budget{Ratio: 0.2, Slack: 60, Window: 10 * time.Second, Nodes: func() int { return 16 }}
		rng := rand.New(rand.NewPCG(5, 1))
		var wanted, retried [2]int
		for range 20_000 {
			child := rng.IntN(2)
			b.Deposit("s")
			if rng.IntN(2) == 0 { // refused
				wanted[child]++
				if b.Withdraw("s", false, child == 1) {
					retried[child]++
				}
			}
			time.Sleep(time.Millisecond)
		}
		children, others := float64(retried[1])/float64(wanted[1]), float64(retried[0])/float64(wanted[0])
		if children < 2*others {
			t.Errorf("got %.2f of the child requests and %.2f of the others retried, want at least twice the fraction for child requests", children, others)
		}
	})
}

// The event of a failed request gives the reason why the request was not sent to another upstream.
func TestEventGivesReasonForNoRetry(t *testing.T) {
	failing := map[string]func(*proxy.Request) (*proxy.Response, error){"one": status(500), "two": status(500), "three": status(500)}
	for _, c := range []struct {
		path string
		want stopCause
	}{{"/get/1", stopAttempts}, {"/post/1", stopOutcome}} {
		f := &fakeOwners{responses: failing}
		d := newDispatcher(f)
		d.Events = events.New("n", "z", nil)
		d.Budget.Slack = 600
		d.Dispatch(t.Context(), request("r1"), c.path, Caller{})
		recorded := d.Events.Since(0)
		if last := recorded[len(recorded)-1]; last.Code != events.UpstreamFailed || last.Fields["stop"] != c.want {
			t.Errorf("%s: got event %s %v, want stop %q", c.path, last.Name, last.Fields, c.want)
		}
	}
	d := newDispatcher(&fakeOwners{responses: failing})
	d.Events = events.New("n", "z", nil)
	for d.Budget.Withdraw("stock", true, true) {
	}
	d.Dispatch(t.Context(), request("r1"), "/get/1", Caller{})
	recorded := d.Events.Since(0)
	if last := recorded[len(recorded)-1]; last.Fields["stop"] != stopBudget {
		t.Errorf("budget exhausted: got event %s %v, want stop %q", last.Name, last.Fields, stopBudget)
	}
}

// Every owner of a service refused because it had no upstream to send to, and the caller was not told when to come back.
// A caller whose request has not run always is, unless the request itself is at fault.
func TestRefusedCallersAreToldWhenToReturn(t *testing.T) {
	reply := func(reason proxy.Reason) func(*proxy.Request) (*proxy.Response, error) {
		return func(*proxy.Request) (*proxy.Response, error) { return proxy.Refusal(verdict.NotRun, reason), nil }
	}
	type response = func(*proxy.Request) (*proxy.Response, error)
	cases := map[string]response{"owner not reached": notSent}
	for _, r := range []proxy.Reason{proxy.ReasonNoUpstream, proxy.ReasonDraining, proxy.ReasonReplaced, proxy.ReasonNotReady, proxy.ReasonZoneOut,
		proxy.ReasonVetoed, proxy.ReasonUnreachable, proxy.ReasonDown} {
		cases[string(r)] = reply(r)
	}
	for name, respond := range cases {
		f := &fakeOwners{responses: map[string]response{"one": respond, "two": respond}}
		res := newDispatcher(f).Dispatch(t.Context(), request("r1"), "/post/1", Caller{})
		if res.Verdict != verdict.NotRun || res.RetryAfter <= 0 {
			t.Errorf("%s: got verdict %v, reason %s, RetryAfter %v, want %v and a RetryAfter", name, res.Verdict, res.Reason, res.RetryAfter, verdict.NotRun)
		}
	}
	f := &fakeOwners{responses: map[string]response{"one": reply(proxy.ReasonCrashing)}}
	if res := newDispatcher(f).Dispatch(t.Context(), request("r1"), "/post/1", Caller{}); res.RetryAfter != 0 {
		t.Errorf("a request that crashes upstreams: got RetryAfter %v, want none", res.RetryAfter)
	}
}
