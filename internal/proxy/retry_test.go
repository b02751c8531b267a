package proxy

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"celerybank/internal/admission"
	"celerybank/internal/gossip"
	"celerybank/internal/inventory"
	"celerybank/internal/mesh"
	"celerybank/internal/routing"
	"celerybank/internal/verdict"
)

type fixedMembers []gossip.Member

func (f fixedMembers) Alive() []gossip.Member { return f }

// scriptedPeers responds to the attempts of a request one after another.
type scriptedPeers struct {
	respond  func(r *Request) *Response
	requests []Request
}

func (s *scriptedPeers) Call(_ context.Context, _, method string, args, reply any) error {
	if method != "Proxy.Call" {
		return nil
	}
	r := args.(*Request)
	s.requests = append(s.requests, *r)
	*reply.(*Response) = *s.respond(r)
	return nil
}

// scriptedEntry returns the entry of a node with count upstreams of one service, all on other nodes.
func scriptedEntry(count int, s *scriptedPeers) *Entry {
	var members fixedMembers
	for i := range count {
		members = append(members, gossip.Member{Addr: fmt.Sprintf("10.0.0.%d:7000", i+2), Zone: "a", Upstream: gossip.Upstream{
			Service: "orders", Version: "v1", Instance: fmt.Sprint(i), Slots: 10}})
	}
	router := routing.NewRouter("10.0.0.1:7000", "a", "", members)
	st := mesh.Empty()
	st.Inventory = inventory.Inventory{Services: []inventory.Service{{Name: "orders", Routes: []inventory.Route{
		{Name: "show", Method: "GET", Path: "/", Idempotent: true}, {Name: "place", Method: "POST", Path: "/"}}}}}
	st.Services["orders"] = mesh.ServiceState{Stable: "v1"}
	router.SetState(st)
	router.Refresh()
	return NewEntry("10.0.0.1:7000", router, NewOwner(admission.NewGate(), nil, 1, 1, nil, nil), s)
}

var responses = []Response{
	{Verdict: verdict.NotRun, Reason: ReasonFull},
	{Verdict: verdict.NotRun, Reason: ReasonShed, Status: 503},
	{Verdict: verdict.NotRun, Reason: ReasonNoClaim},
	{Verdict: verdict.MayHaveRun, Reason: ReasonConnBroken},
	{Verdict: verdict.MayHaveRun, Reason: ReasonInvalidResponse},
	{Verdict: verdict.MayHaveRun, Reason: ReasonCrashed},
	{Verdict: verdict.Ran, Status: 200},
	{Verdict: verdict.Ran, Status: 500},
}

// For any sequence of responses a request must be retried only where that is safe, within the bounds on
// attempts, and get a verdict that holds for all attempts.
func TestRetryRule(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(5)
	params.MinSuccessfulTests = 2000
	props := gopter.NewProperties(params)
	props.Property("a request is retried only where that is safe", prop.ForAll(
		func(script []int, idempotent, descendsFromRetry bool) string {
			i := 0
			s := &scriptedPeers{respond: func(*Request) *Response {
				res := responses[script[i%len(script)]]
				i++
				return &res
			}}
			method := "POST"
			if idempotent {
				method = "GET"
			}
			res := scriptedEntry(8, s).Dispatch(context.Background(), &Request{Service: "orders", Method: method, URI: "/",
				Hop: Hop{Retry: descendsFromRetry}}, "/", time.Second, time.Second)
			return checkAttempts(script, len(s.requests), res, idempotent, descendsFromRetry)
		},
		gen.SliceOfN(maxAttempts, gen.IntRange(0, len(responses)-1)), gen.Bool(), gen.Bool()))
	props.TestingRun(t)
}

// checkAttempts returns a text that says which rule a request broke that made the given number of
// attempts and returned res, or an empty string.
func checkAttempts(script []int, attempts int, res *Response, idempotent, descendsFromRetry bool) string {
	sent, open := 0, false
	for n, k := range script[:attempts] {
		o, last := responses[k], n == attempts-1
		if reachedUpstream(&o) {
			sent++
		}
		open = open || o.Verdict == verdict.MayHaveRun
		switch {
		case last:
		case o.Verdict == verdict.Ran:
			return "retried after it ran"
		case o.Verdict == verdict.MayHaveRun && !idempotent:
			return "non-idempotent request retried after it may have run"
		case o.Reason == ReasonCrashed:
			return "retried after its upstream crashed"
		}
	}
	switch {
	case attempts > maxAttempts || sent > maxSent:
		return "too many attempts"
	case descendsFromRetry && sent > 1:
		return "request that descends from a retry sent more than once"
	case open && res.Verdict == verdict.NotRun:
		return "got verdict not-run although an attempt may have run"
	}
	return ""
}

// Eight services form a chain, and each fails after its child request. The number of requests at the end
// of the chain must grow with its depth only linearly.
func TestNoRetryStormEightDeep(t *testing.T) {
	const chainLength = 8
	reachedLast := 0
	entries := make([]*Entry, chainLength)
	for d := range chainLength {
		entries[d] = scriptedEntry(8, &scriptedPeers{respond: func(r *Request) *Response {
			if d == chainLength-1 {
				reachedLast++
			} else {
				hop, ok := parseHop(r.Hop.String())
				if !ok || hop.Depth != d+1 {
					t.Fatalf("at depth %d: got hop %v, valid %v; want depth %d", d, hop, ok, d+1)
				}
				entries[d+1].Dispatch(context.Background(), &Request{Service: "orders", Method: "GET", URI: "/", Hop: hop}, "/", time.Second, time.Second)
			}
			return refusal(verdict.MayHaveRun, ReasonConnBroken)
		}})
	}
	entries[0].Dispatch(context.Background(), &Request{Service: "orders", Method: "GET", URI: "/"}, "/", time.Second, time.Second)
	if limit := 1 + chainLength*(maxSent-1); reachedLast > limit {
		t.Errorf("one request: got %d requests at depth %d, want at most %d", reachedLast, chainLength, limit)
	}
	if _, ok := parseHop(strings.Repeat("9", 3)); ok {
		t.Error("parseHop of depth 999: got it accepted, want it refused")
	}
}

// All upstreams of a service fail. The number of retries must stay within the retry budget.
func TestRetryBudgetHoldsWhileAServiceIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedPeers{respond: func(*Request) *Response { return refusal(verdict.NotRun, ReasonUnreachable) }}
		e := scriptedEntry(20, s)
		const total, rate = 4000, 200
		for range total {
			e.Dispatch(context.Background(), &Request{Service: "orders", Method: "GET", URI: "/"}, "/", time.Second, time.Second)
			time.Sleep(time.Second / rate)
		}
		retries := len(s.requests) - total
		if limit := total*retryDeposit/retryCost + retryCap/retryCost + total/rate + 1; retries > limit {
			t.Errorf("got %d retries for %d requests, want at most %d", retries, total, limit)
		}
	})
}

// All upstreams refuse as cold for a short time. A request must wait for capacity instead of being
// refused, whether its service has one upstream or more upstreams than attempts.
func TestRequestWaitsForCapacityWithinDeadline(t *testing.T) {
	for _, upstreams := range []int{1, 8} {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			s := &scriptedPeers{respond: func(*Request) *Response {
				if time.Since(start) < 25*time.Millisecond {
					return refusal(verdict.NotRun, ReasonCold)
				}
				return &Response{Verdict: verdict.Ran, Status: 200}
			}}
			res := scriptedEntry(upstreams, s).Dispatch(context.Background(), &Request{Service: "orders", Method: "GET", URI: "/"}, "/", time.Second, time.Second)
			if res.Verdict != verdict.Ran {
				t.Errorf("%d upstreams: got verdict %v, reason %s after %v; want %v", upstreams, res.Verdict, res.Reason, time.Since(start), verdict.Ran)
			}
		})
	}
}

// All upstreams are full, and the caller has less time left than the shortest pause before the next attempt. It was
// refused when its time was over; nothing can change before that.
func TestPauseBeyondTheDeadlineIsNotWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedPeers{respond: func(*Request) *Response { return &Response{Verdict: verdict.NotRun, Reason: ReasonFull} }}
		start := time.Now()
		res := scriptedEntry(2, s).Dispatch(t.Context(), &Request{Service: "orders", Method: "POST", URI: "/"}, "/", firstBackoff/2, time.Second)
		if res.Verdict != verdict.NotRun || res.Reason != ReasonFull || time.Since(start) > 0 || len(s.requests) != 2 {
			t.Errorf("got verdict %v, reason %s after %v and %d attempts, want %v, %s at once after 2", res.Verdict, res.Reason, time.Since(start), len(s.requests), verdict.NotRun, ReasonFull)
		}
	})
}
