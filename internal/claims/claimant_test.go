package claims

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"celerybank/internal/proxy"
	"celerybank/internal/verdict"
)

// checkResponse compares the verdict and the reason of a response.
func checkResponse(t *testing.T, what string, res *proxy.Response, v verdict.Verdict, r proxy.Reason) {
	t.Helper()
	if res.Verdict != v || res.Reason != r {
		t.Errorf("%s: got verdict %v, reason %q; want %v, %q", what, res.Verdict, res.Reason, v, r)
	}
}

func TestResendLearnsTheOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, disabledRules{}, "a", "b", "c", "d", "e")
		ctx, counter := context.Background(), &runCounter{}
		var first, second *proxy.Response
		var wg sync.WaitGroup
		wg.Go(func() { first = tc.post(ctx, "d", counter, "order", 100*time.Millisecond) })
		time.Sleep(10 * time.Millisecond)
		wg.Go(func() { second = tc.post(ctx, "e", counter, "order", 0) })
		wg.Wait()
		if string(second.Body) != string(first.Body) || !second.Replayed {
			t.Errorf("retry while the first request ran: got %+v, want its replayed response", second)
		}
		checkResponse(t, "retry with other content", tc.post(ctx, "e", counter, "another order", 0), verdict.NotRun, proxy.ReasonDuplicate)
		synctest.Wait() // the holders are notified after the caller has its response
		tc.kill("d")
		checkResponse(t, "owner dead", tc.post(ctx, "e", counter, "order", 0), verdict.Ran, proxy.ReasonResponseGone)
		tc.kill("a")
		checkResponse(t, "owner and one holder dead", tc.post(ctx, "e", counter, "order", 0), verdict.Ran, proxy.ReasonResponseGone)
		tc.kill("b")
		checkResponse(t, "owner and two holders dead", tc.post(ctx, "e", counter, "order", 0), verdict.Ran, proxy.ReasonResponseGone)
		tc.kill("c")
		checkResponse(t, "owner and all holders dead", tc.post(ctx, "e", counter, "order", 0), verdict.MayHaveRun, proxy.ReasonNoClaim)
		if counter.runs != 1 {
			t.Errorf("got %d runs, want 1", counter.runs)
		}
	})
}

// The verdict is MayHaveRun for a request that still runs when a retry times out, and for
// one whose owner died during the run. A request that the upstream refused without running
// it may be granted again.
func TestOpenAndReleasedOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, disabledRules{}, "a", "b", "c", "d", "e")
		counter := &runCounter{}
		c, refused := tc.nodes["d"].claimant.Claim(context.Background(), "orders", testKey, 1)
		if refused != nil {
			t.Fatal("claim of a new key was refused")
		}
		c.Finish(&proxy.Response{Verdict: verdict.NotRun, Reason: proxy.ReasonShed})
		if _, refused = tc.nodes["d"].claimant.Claim(context.Background(), "orders", testKey, 5); refused != nil {
			t.Fatal("claim of a released key was refused")
		}
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		checkResponse(t, "request still running", tc.post(ctx, "e", counter, "order", 0), verdict.MayHaveRun, proxy.ReasonInProgress)
		tc.kill("d")
		checkResponse(t, "owner dead", tc.post(context.Background(), "e", counter, "order", 0), verdict.MayHaveRun, proxy.ReasonOutcomeUnknown)
		time.Sleep(Lifetime)
		checkResponse(t, "after the claim expired", tc.post(context.Background(), "e", counter, "order", 0), verdict.Ran, "")
	})
}

// Three claimants that get one grant each release their grants, and the key still runs
// exactly once.
func TestSplitGrantsAreReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, disabledRules{}, "a", "b", "c")
		tc.intercept(func(_ context.Context, from, to, method string) error {
			if method == "Claims.Grant" && from != to {
				time.Sleep(5 * time.Millisecond) // each claimant gets the grant of its own node first
			}
			return nil
		})
		counter := &runCounter{}
		var wg sync.WaitGroup
		responses := make([]*proxy.Response, 3)
		for i, addr := range []string{"a", "b", "c"} {
			wg.Go(func() { responses[i] = tc.post(context.Background(), addr, counter, "order", 20*time.Millisecond) })
		}
		wg.Wait()
		if counter.runs != 1 {
			t.Errorf("got %d runs, want 1", counter.runs)
		}
		for _, res := range responses {
			checkResponse(t, "claimant", res, verdict.Ran, "")
		}
	})
}

// A grant request that reaches its holder after the claimant has released the claim does
// not block the key.
func TestLateGrantIsReleasedByItsOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, disabledRules{}, "a", "b", "c", "d", "e")
		tc.intercept(func(ctx context.Context, from, to, method string) error {
			if method == "Claims.Grant" && to != "a" {
				go func() { // reaches the holder late; the claimant gets no reply
					time.Sleep(5 * time.Second)
					tc.nodes[to].holder.table.grant(&GrantRequest{Record: tc.group().Record, Key: KeyOf("orders", testKey),
						Digest: 5, Claim: lastClaim(tc.nodes[from].claimant), Owner: from})
				}()
				<-ctx.Done()
				return ctx.Err()
			}
			return nil
		})
		counter := &runCounter{}
		res := tc.post(context.Background(), "d", counter, "order", 0)
		checkResponse(t, "only one grant arrives in time", res, verdict.MayHaveRun, proxy.ReasonNoClaim)
		time.Sleep(10 * time.Second)
		tc.intercept(nil)
		checkResponse(t, "retry after the late grant", tc.post(context.Background(), "e", counter, "order", 0), verdict.Ran, "")
	})
}

func lastClaim(c *Claimant) ID {
	c.outcomes.mu.Lock()
	defer c.outcomes.mu.Unlock()
	return c.outcomes.order[len(c.outcomes.order)-1].attempts[0]
}

// Grants that arrive after grantWindow do not count, and the deadline for sending is long
// before a holder may expire the claim. This guards against a claimant that was suspended
// between its grants and the send.
func TestFrozenClaimantMayNotSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, disabledRules{}, "a", "b", "c", "d")
		got, refused := tc.nodes["d"].claimant.Claim(context.Background(), "orders", testKey, 1)
		if refused != nil {
			t.Fatal("claim of a new key was refused")
		}
		if left := time.Until(got.Deadline()); left > Lifetime-2*recoveryDelay {
			t.Errorf("deadline for sending is in %v, want at most %v", left, Lifetime-2*recoveryDelay)
		}
		tc = newTestCluster(t, disabledRules{}, "a", "b", "c")
		c := tc.newClaimant(tc.group().Record)
		first := c.requestGrant("a")
		time.Sleep(grantWindow + time.Millisecond)
		if second := c.requestGrant("b"); first != Granted || second != Granted || c.runIfGranted() {
			t.Error("ran on a grant received after grantWindow, or a grant was refused")
		}
	})
}

// Holders at their claim limit refuse with verdict NotRun, and grant again once they are
// below it. Expired claims are removed.
func TestHolderRefusesAtClaimLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, disabledRules{}, "a", "b", "c", "d")
		for _, n := range []string{"a", "b", "c"} {
			tc.nodes[n].holder.table.held.Add(maxHeldClaims)
		}
		counter := &runCounter{}
		checkResponse(t, "all holders at the limit", tc.post(context.Background(), "d", counter, "order", 0), verdict.NotRun, proxy.ReasonNoClaim)
		tc.nodes["a"].holder.table.held.Add(-maxHeldClaims)
		tc.nodes["b"].holder.table.held.Add(-maxHeldClaims)
		checkResponse(t, "two holders below the limit", tc.post(context.Background(), "d", counter, "order", 0), verdict.Ran, "")
		time.Sleep(Lifetime + time.Second)
		tc.nodes["a"].holder.table.sweep()
		if n := tc.nodes["a"].holder.table.held.Load(); n != 0 {
			t.Errorf("got %d held claims after they expired, want 0", n)
		}
	})
}

// Two holders that restart together lose a claim that the third never stored. They must not
// grant the key again before the claim has expired.
func TestTwoHoldersRestartingTogetherAbstain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, disabledRules{}, "a", "b", "c", "d", "e")
		defer tc.startRecovery()()
		counter := &runCounter{}
		tc.intercept(func(_ context.Context, _, to, method string) error {
			if to == "c" && strings.HasSuffix(method, "Grant") {
				return errUnreachable // the third holder does not store the claim
			}
			return nil
		})
		checkResponse(t, "first request", tc.post(context.Background(), "d", counter, "order", 0), verdict.Ran, "")
		synctest.Wait()
		tc.intercept(nil)
		tc.kill("d")
		tc.restart("a")
		tc.restart("b")
		for range 11 {
			time.Sleep(50 * time.Second)
			if res := tc.post(context.Background(), "e", counter, "order", 0); res.Verdict == verdict.NotRun || counter.runs > 1 {
				t.Fatalf("retry after two restarts: got verdict %v after %d runs, want no NotRun and at most 1 run", res.Verdict, counter.runs)
			}
		}
		time.Sleep(100 * time.Second)
		checkResponse(t, "after the claim expired", tc.post(context.Background(), "e", counter, "order", 0), verdict.Ran, "")
	})
}

// A request between two attempts may still run: a competing claimant must not treat it as
// abandoned.
func TestClaimBetweenTwoTriesIsNotGivenUp(t *testing.T) {
	o := newOutcomes(maxOwnRequests, maxResponseBytes)
	r := o.begin(KeyOf("orders", testKey))
	o.addAttempt(r, 1)
	o.attemptFailed(r)
	if reply, _ := o.lookup(1, 0, nil); reply.Outcome != Retrying {
		t.Errorf("between two attempts: got %+v, want Retrying", reply)
	}
	o.addAttempt(r, 2)
	o.complete(r, &proxy.Response{Verdict: verdict.Ran})
	if reply, _ := o.lookup(1, 0, nil); reply.Outcome != Completed || reply.Response == nil {
		t.Errorf("after the second attempt: got %+v, want Completed with a response", reply)
	}
}
