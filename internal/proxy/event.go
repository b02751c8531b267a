package proxy

import (
	"github.com/valyala/fasthttp"

	"celerybank/internal/events"
	"celerybank/internal/verdict"
)

// EventOf returns the code of the event for a response to a caller. mustLog is false for a served
// request, of which only a sample is logged.
func EventOf(res *Response) (code events.Code, mustLog bool) {
	switch {
	case res.Reason == ReasonNone && res.Status < fasthttp.StatusInternalServerError:
		return events.CallServed, false
	case res.Reason == ReasonNone:
		return events.UpstreamFailed, true
	case res.Reason == ReasonCancelled:
		return events.CallCancelled, true
	case res.Verdict == verdict.NotRun:
		return events.CallRefused, true
	default:
		return events.CallFailed, true
	}
}
