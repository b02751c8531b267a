package claims

import (
	"context"
	"math/rand/v2"
	"time"

	"celerybank/internal/mesh"
	"celerybank/internal/proxy"
	"celerybank/internal/verdict"
)

// Claimant claims keys for the owner on this node. It implements proxy.Claims.
type Claimant struct {
	addr     string
	source   StateSource
	peers    PeerClient
	holder   *Holder
	outcomes *outcomes
	disabled disabledRules
	metrics  *counters
}

// NewClaimant returns the claimant of the node that holder belongs to.
func NewClaimant(holder *Holder, source StateSource, peers PeerClient) *Claimant {
	return &Claimant{addr: holder.addr, source: source, peers: peers, holder: holder, disabled: holder.table.disabled,
		outcomes: newOutcomes(maxOwnRequests, maxResponseBytes), metrics: newCounters(holder.table)}
}

// attempt is one attempt to collect grants, under one claim ID and one seat record.
type attempt struct {
	id      ID
	record  int64
	holders []string
	started time.Time
	replies []holderReply
}

// holderReply is the reply of one holder; a zero Status means that the call failed.
type holderReply struct {
	addr string
	GrantReply
}

func (a *attempt) countStatus(s Status) int {
	n := 0
	for _, r := range a.replies {
		if r.Status == s {
			n++
		}
	}
	return n
}

// elapsed returns the time since began, by the larger of the monotonic and the wall clock,
// because the monotonic clock does not advance while the host is suspended.
func elapsed(began time.Time) time.Duration {
	now := time.Now()
	return max(now.Sub(began), now.Round(0).Sub(began.Round(0)))
}

// Claim implements proxy.Claims. It retries within grantWindow as long as no other claim of
// the key can have succeeded.
func (c *Claimant) Claim(ctx context.Context, service, key string, digest uint64) (proxy.Claim, proxy.Refused) {
	k := KeyOf(service, key)
	began, request := time.Now(), c.outcomes.begin(k)
	for {
		a := c.gatherGrants(ctx, k, digest, request)
		if a.granted(c.disabled) {
			c.metrics.granted.Inc()
			return &claim{c, k, a, request}, nil
		}
		c.outcomes.attemptFailed(request)
		go c.sendEnd(k, a.id, verdict.NotRun, a.holders)
		r := &refusedClaim{claimant: c, key: k, digest: digest, attempt: a}
		if elapsed(began) > grantWindow || !r.canRetry(ctx) || !c.waitBeforeRetry(ctx) {
			c.outcomes.abandon(request)
			c.metrics.refused.Inc()
			return nil, r
		}
	}
}

// granted reports whether a has a majority of grants, collected within grantWindow. A later
// grant may come from a holder that has restarted and lost its claims in between.
func (a *attempt) granted(disabled disabledRules) bool {
	if len(a.holders) == 0 || a.countStatus(Granted) < mesh.Quorum(len(a.holders)) {
		return false
	}
	return disabled.window || elapsed(a.started) <= grantWindow
}

// waitBeforeRetry waits for a random time around retryDelay, so that claimants of one key
// do not collide again. It reports false if ctx or the holder's Run ended first.
func (c *Claimant) waitBeforeRetry(ctx context.Context) bool {
	t := time.NewTimer(retryDelay/2 + rand.N(retryDelay))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	case <-c.holder.ctx.Done():
		return false
	}
}

// call calls a peer, or fails if the holder's Run has ended.
func (c *Claimant) call(ctx context.Context, addr, method string, args, reply any) error {
	if err := c.holder.ctx.Err(); err != nil {
		return err
	}
	return c.peers.Call(ctx, addr, method, args, reply)
}

// gatherGrants calls all holders of the key's group in parallel and returns once it has a
// majority of grants or all replies.
func (c *Claimant) gatherGrants(ctx context.Context, k Key, digest uint64, request *ownRequest) *attempt {
	a := &attempt{id: newID(), started: time.Now()}
	st := c.source.State()
	if st.Groups == nil || st.Groups[k.Group()].Record == 0 {
		return a
	}
	g := &st.Groups[k.Group()]
	a.record, a.holders = g.Record, g.Holders()
	c.outcomes.addAttempt(request, a.id)
	ctx, cancel := context.WithTimeout(ctx, grantWindow)
	args := &GrantRequest{Record: a.record, Key: k, Digest: digest, Claim: a.id, Owner: c.addr}
	replies := make(chan holderReply, len(a.holders))
	for _, addr := range a.holders {
		go func() { replies <- holderReply{addr, c.requestGrant(ctx, addr, args)} }()
	}
	for range a.holders {
		a.replies = append(a.replies, <-replies)
		if a.countStatus(Granted) == mesh.Quorum(len(a.holders)) {
			break
		}
	}
	if len(a.replies) == len(a.holders) {
		cancel()
	} else {
		context.AfterFunc(ctx, cancel) // lets the remaining holders store the claim too
	}
	return a
}

func (c *Claimant) requestGrant(ctx context.Context, addr string, args *GrantRequest) GrantReply {
	if addr == c.addr {
		return c.holder.grant(args)
	}
	var out GrantReply
	if err := c.call(ctx, addr, "Claims.Grant", args, &out); err != nil {
		return GrantReply{} // a late reply may still be decoded into out
	}
	return out
}

// sendEnd notifies the holders of the end of a claim. Delivery is best effort: a lost
// message only makes later responses less specific.
func (c *Claimant) sendEnd(k Key, id ID, v verdict.Verdict, holders []string) {
	args := &EndNotice{Key: k, Claim: id, Verdict: v}
	for _, addr := range holders {
		if addr == c.addr {
			c.holder.table.end(args)
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(c.holder.ctx, messageTimeout)
			defer cancel()
			_ = c.call(ctx, addr, "Claims.End", args, &Empty{})
		}()
	}
}

// claim is a granted claim. It implements proxy.Claim.
type claim struct {
	claimant *Claimant
	key      Key
	attempt  *attempt
	request  *ownRequest
}

// Deadline implements proxy.Claim: the request must be sent before it.
func (c *claim) Deadline() time.Time { return c.attempt.started.Add(sendWindow) }

// Finish implements proxy.Claim: it records the outcome and notifies the holders.
func (c *claim) Finish(res *proxy.Response) {
	if res.Verdict == verdict.NotRun {
		c.claimant.outcomes.abandon(c.request)
	} else {
		kept := *res
		c.claimant.outcomes.complete(c.request, &kept)
	}
	c.claimant.sendEnd(c.key, c.attempt.id, res.Verdict, c.attempt.holders)
}
