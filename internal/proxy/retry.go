package proxy

import "celerybank/internal/verdict"

// Bounds of one request at its entry node.
const (
	// maxAttempts bounds all attempts, including those that an owner refused.
	maxAttempts = 5
	// maxSent bounds the attempts that may have reached an upstream.
	maxSent = 3
)

// retryRule decides whether a request is retried. It observes the response to every attempt.
type retryRule struct {
	idempotent bool
	// singleAttempt is set when the request descends from a retry: at most one attempt may reach
	// an upstream, so that retries do not multiply along a chain of services.
	singleAttempt bool
	sent          int
	// mayHaveRun is set once an attempt may have run without a response.
	mayHaveRun bool
}

// reachedUpstream reports whether the attempt with this response may have arrived at an upstream, to
// run or to be shed there.
func reachedUpstream(res *Response) bool { return res.Verdict != verdict.NotRun || res.Status != 0 }

// shouldRetry records the response to one attempt and reports whether another attempt is allowed.
func (r *retryRule) shouldRetry(res *Response) bool {
	if reachedUpstream(res) {
		r.sent++
	}
	if res.Verdict == verdict.MayHaveRun {
		r.mayHaveRun = true
	}
	switch {
	case !res.Verdict.MayRetry(r.idempotent), final(res.Reason):
		return false
	case r.singleAttempt:
		return r.sent == 0
	default:
		return r.sent < maxSent
	}
}

// combine extends the verdict of the last response to all attempts: a request of which any attempt may
// have run is not reported as NotRun.
func (r *retryRule) combine(res *Response) *Response {
	if r.mayHaveRun && res.Verdict == verdict.NotRun {
		res.Verdict = verdict.MayHaveRun
	}
	return res
}

// final reports whether the reason holds at every upstream, so that a retry is useless.
func final(reason Reason) bool {
	switch reason {
	case ReasonNoClaim, ReasonCrashing, ReasonCrashed, ReasonDuplicate, ReasonBadRequest, ReasonResponseTooLarge, ReasonCancelled:
		return true
	default:
		return false
	}
}
