package proxy

import (
	"github.com/valyala/fasthttp"

	"celerybank/internal/events"
	"celerybank/internal/verdict"
)

// EventOf returns the event of an answer to a caller; for one that went well it is CallServed, and
// needsLine is false.
func EventOf(a *Answer) (code events.Code, needsLine bool) {
	switch {
	case a.Reason == ReasonNone && a.Status < fasthttp.StatusInternalServerError:
		return events.CallServed, false
	case a.Reason == ReasonNone:
		return events.UpstreamFailed, true
	case a.Reason == ReasonCancelled:
		return events.CallCancelled, true
	case a.Verdict == verdict.NotRun:
		return events.CallRefused, true
	default:
		return events.CallFailed, true
	}
}
