package proxy

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"celerybank/internal/events"
	"celerybank/internal/httpresponse"
	"celerybank/internal/upstream"
	"celerybank/internal/verdict"
)

// send sends req to the upstream and returns its response. It is the only place from which a request
// goes to an upstream.
func (o *Owner) send(ctx context.Context, up *upstreamState, req *Request) *Response {
	hr, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(hr)
	defer fasthttp.ReleaseResponse(resp)
	writeRequest(ctx, hr, req)
	start := time.Now()
	v, err := up.client.Do(ctx, hr, resp)
	took := time.Since(start)
	if o.observer != nil && v != verdict.NotRun {
		o.observer.Observe(req.Version, req.Route, outcomeOf(err, resp.StatusCode()), took)
	}
	if err != nil {
		return o.recordFailure(ctx, up, req, v, err, took)
	}
	if v == verdict.NotRun {
		o.gate.RecordShed()
	} else {
		o.recordCompleted(req, took)
	}
	return readResponse(v, resp)
}

// recordCompleted records a complete response: its latency, and that the request did not crash the upstream.
func (o *Owner) recordCompleted(req *Request, took time.Duration) {
	if o.gate.Observe(req.Route, took) {
		o.emitCold("latency")
	}
	if o.crashes.Active() {
		o.crashes.Clear(fingerprint(req))
	}
}

// recordFailure records an exchange without a complete response and returns the refusal for it.
func (o *Owner) recordFailure(ctx context.Context, up *upstreamState, req *Request, v verdict.Verdict, err error, took time.Duration) *Response {
	reason := reasonOf(v, err)
	switch reason {
	case ReasonDeadline:
		if v == verdict.MayHaveRun && o.gate.ObserveTimeout(req.Route, took) {
			o.emitCold("timeouts")
		}
	case ReasonConnBroken:
		reason = o.connectionBroken(ctx, up, req)
	}
	return refusal(v, reason)
}

// emitCold emits the event that the upstream is cold again; sign is how that was detected.
func (o *Owner) emitCold(sign string) {
	up := o.current.Load()
	o.events.Emit(events.UpstreamCold, events.Fields{"service": up.announced.Service, "instance": up.announced.Instance, "sign": sign})
}

func outcomeOf(err error, status int) Outcome {
	switch {
	case errors.Is(err, context.Canceled):
		return Abandoned
	case err != nil && !errors.Is(err, upstream.ErrTooLarge):
		return Unanswered
	case status >= fasthttp.StatusInternalServerError:
		return Failed
	default:
		return Succeeded
	}
}

func reasonOf(v verdict.Verdict, err error) Reason {
	switch {
	case errors.Is(err, upstream.ErrTooLarge):
		return ReasonResponseTooLarge
	case errors.Is(err, httpresponse.ErrMalformed):
		return ReasonInvalidResponse
	case errors.Is(err, context.DeadlineExceeded):
		return ReasonDeadline
	case errors.Is(err, context.Canceled):
		return ReasonCancelled
	case v == verdict.NotRun:
		return ReasonUnreachable
	default:
		return ReasonConnBroken
	}
}

func writeRequest(ctx context.Context, hr *fasthttp.Request, req *Request) {
	hr.Header.SetMethod(req.Method)
	hr.SetRequestURI(req.URI)
	hr.Header.SetHost(req.Service)
	hr.Header.SetNoDefaultContentType(true)
	for _, f := range req.Header {
		hr.Header.Add(f.Name, f.Value)
	}
	hr.Header.Set(HopHeader, req.Hop.String())
	if d, ok := ctx.Deadline(); ok {
		hr.Header.Set(upstream.TimeoutHeader, formatInt(time.Until(d).Milliseconds()))
	}
	hr.SetBodyRaw(req.Body)
}

// readResponse converts resp. It moves the body out of resp, which has none afterwards.
func readResponse(v verdict.Verdict, resp *fasthttp.Response) *Response {
	res := &Response{Verdict: v, Status: resp.StatusCode(), Header: make([]Field, 0, resp.Header.Len()), Body: resp.SwapBody(nil)}
	if v == verdict.NotRun {
		res.Reason = ReasonShed
	}
	for k, val := range resp.Header.All() {
		if !hopByHopHeaders[string(k)] {
			res.Header = append(res.Header, Field{Name: string(k), Value: string(val)})
		}
	}
	return res
}
