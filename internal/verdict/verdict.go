// Package verdict defines what is known about the execution of a request. Whether the request may be
// retried depends only on its verdict and on whether it is idempotent.
package verdict

// Verdict says whether an upstream may have executed a request.
// The zero value is NotRun: a request that was never sent has not run.
type Verdict uint8

const (
	// NotRun means that no byte of the request was sent to the upstream, or that the upstream
	// reported that it refused the request before execution.
	NotRun Verdict = iota
	// MayHaveRun means that bytes were sent to the upstream and no complete response was received.
	MayHaveRun
	// Ran means that the upstream responded.
	Ran
)

// Header is the response header that carries the verdict to the caller.
const Header = "X-Celerybank-Verdict"

var names = [...]string{NotRun: "not-run", MayHaveRun: "may-have-run", Ran: "ran"}

// String returns the header value of v, and that of MayHaveRun for an unknown verdict.
func (v Verdict) String() string {
	if int(v) < len(names) {
		return names[v]
	}
	return "may-have-run"
}

// Parse returns the verdict with header value s; for an unknown value it returns MayHaveRun and false.
func Parse(s string) (v Verdict, ok bool) {
	for i, n := range names {
		if n == s {
			return Verdict(i), true
		}
	}
	return MayHaveRun, false
}

// MayRetry reports whether a node may retry the request.
func (v Verdict) MayRetry(idempotent bool) bool {
	return v == NotRun || (v == MayHaveRun && idempotent)
}
