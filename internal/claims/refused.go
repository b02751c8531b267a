package claims

import (
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"celerybank/internal/mesh"
	"celerybank/internal/proxy"
	"celerybank/internal/verdict"
)

// refusedClaim is a claim that did not get a majority of grants. It implements
// proxy.Refused.
type refusedClaim struct {
	claimant *Claimant
	key      Key
	digest   uint64
	attempt  *attempt
}

// conflict is another claim of the key, as its holders and its owner know it.
type conflict struct {
	StoredClaim
	OutcomeReply
}

// conflicts returns the other claims of the key, with their outcomes as reported by their
// owners. Each owner waits up to the given time for a claim that still runs.
func (r *refusedClaim) conflicts(ctx context.Context, wait time.Duration) []conflict {
	var out []conflict
	for _, rep := range r.attempt.replies {
		isSame := func(cf conflict) bool { return cf.StoredClaim == rep.Conflict }
		if rep.Status == Taken && !slices.ContainsFunc(out, isSame) {
			out = append(out, conflict{StoredClaim: rep.Conflict})
		}
	}
	var wg conc.WaitGroup
	for i := range out {
		if cf := &out[i]; cf.Phase != Blocked {
			wg.Go(func() { cf.OutcomeReply = r.claimant.queryOutcome(ctx, cf.Owner, cf.Claim, wait) })
		}
	}
	wg.Wait()
	return out
}

// canRetry reports whether another attempt can succeed: no holder was at its limit and no
// conflicting claim may have succeeded.
func (r *refusedClaim) canRetry(ctx context.Context) bool {
	if r.attempt.countStatus(Exhausted) > 0 {
		return false
	}
	for _, cf := range r.conflicts(ctx, 0) {
		if cf.Phase == Blocked || (cf.Outcome != Abandoned && cf.Outcome != Retrying) {
			return false
		}
	}
	return true
}

// Response implements proxy.Refused. It replays the response of the conflicting claim if that
// is known, else it returns the highest verdict that a conflicting claim implies.
func (r *refusedClaim) Response(ctx context.Context) *proxy.Response {
	wait := outcomeTimeout
	if d, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(d)*3/4) // the rest is for the response to reach the caller
	}
	conflicts := r.conflicts(ctx, wait)
	best := &proxy.Response{Verdict: verdict.NotRun}
	for _, cf := range conflicts {
		if res := r.responseFor(cf); res != nil && (res.Verdict > best.Verdict || res.Replayed) {
			best = res
		}
	}
	if best.Verdict != verdict.NotRun {
		return best
	}
	return r.fallbackResponse(conflicts)
}

// responseFor returns the response that follows from one conflicting claim, nil if that
// claim decides nothing.
func (r *refusedClaim) responseFor(cf conflict) *proxy.Response {
	switch {
	case cf.Phase == Blocked:
		return &proxy.Response{Verdict: verdict.MayHaveRun, Reason: proxy.ReasonOutcomeUnknown}
	case cf.Digest != r.digest || cf.Outcome == Abandoned:
		return nil
	case cf.Response != nil:
		res := *cf.Response
		res.Replayed = true
		return &res
	case cf.Phase == Ended || cf.Outcome == Completed && cf.OutcomeReply.Verdict == verdict.Ran:
		return &proxy.Response{Verdict: verdict.Ran, Reason: proxy.ReasonResponseGone}
	case cf.Outcome == Running || cf.Outcome == Retrying:
		return &proxy.Response{Verdict: verdict.MayHaveRun, Reason: proxy.ReasonInProgress}
	default:
		return &proxy.Response{Verdict: verdict.MayHaveRun, Reason: proxy.ReasonOutcomeUnknown}
	}
}

// fallbackResponse returns the response when no conflicting claim with the same content is
// known to have succeeded. The verdict is NotRun only if enough holders with complete
// claims replied and know of none, so that no such claim can have had a majority.
func (r *refusedClaim) fallbackResponse(conflicts []conflict) *proxy.Response {
	n, complete, reason := len(r.attempt.holders), 0, proxy.ReasonNoClaim
	for _, rep := range r.attempt.replies {
		switch rep.Status {
		case Granted, Exhausted, Taken:
			complete++
		}
	}
	for _, cf := range conflicts {
		if cf.Outcome != Abandoned {
			reason = proxy.ReasonDuplicate // responseFor skipped only claims with other content
		}
	}
	if n > 0 && complete > n-mesh.Quorum(n) {
		return &proxy.Response{Verdict: verdict.NotRun, Reason: reason}
	}
	return &proxy.Response{Verdict: verdict.MayHaveRun, Reason: reason}
}

// queryOutcome asks the owner of a claim, which may be this node, for its outcome.
func (c *Claimant) queryOutcome(ctx context.Context, owner string, id ID, wait time.Duration) OutcomeReply {
	args := &OutcomeQuery{Claim: id, WaitMS: wait.Milliseconds()}
	if owner == c.addr {
		return c.handleOutcomeQuery(ctx, args)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+grantWindow)
	defer cancel()
	var out OutcomeReply
	if err := c.call(ctx, owner, "Claims.Ask", args, &out); err != nil {
		return OutcomeReply{} // a late reply may still be decoded into out
	}
	return out
}

// handleOutcomeQuery replies to a claimant whose claim conflicts with one of this process.
// If that claim was abandoned, its end is sent again: a delayed grant request may have
// stored it after the first notice.
func (c *Claimant) handleOutcomeQuery(ctx context.Context, args *OutcomeQuery) OutcomeReply {
	out, k := c.outcomes.lookup(args.Claim, min(time.Duration(args.WaitMS)*time.Millisecond, outcomeTimeout), ctx.Done())
	if out.Outcome == Abandoned || out.Outcome == Retrying {
		if st := c.source.State(); st.Groups != nil {
			c.sendEnd(k, args.Claim, verdict.NotRun, st.Groups[k.Group()].Holders())
		}
	}
	return out
}
