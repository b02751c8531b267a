package proxy

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"celerybank/internal/events"
	"celerybank/internal/upstream"
	"celerybank/internal/verdict"
)

// send is the only place where a request leaves for an upstream.
func (o *Owner) send(ctx context.Context, up *upstreamState, req *Request) *Answer {
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
		return o.failed(ctx, up, req, v, err, took)
	}
	if v == verdict.NotRun {
		o.gate.RecordShed()
	} else {
		o.answered(req, took)
	}
	return readAnswer(v, resp)
}

// answered learns from a whole answer.
func (o *Owner) answered(req *Request, took time.Duration) {
	if o.gate.Observe(req.Route, took) {
		o.turnedCold("latency")
	}
	if o.crashes.Active() {
		o.crashes.Clear(fingerprint(req))
	}
}

// failed learns from an exchange without a whole answer, and gives its answer.
func (o *Owner) failed(ctx context.Context, up *upstreamState, req *Request, v verdict.Verdict, err error, took time.Duration) *Answer {
	reason := reasonOf(v, err)
	switch reason {
	case ReasonDeadline:
		if v == verdict.MayHaveRun && o.gate.ObserveTimeout(req.Route, took) {
			o.turnedCold("timeouts")
		}
	case ReasonBroken:
		reason = o.broken(ctx, up, req)
	}
	return refusal(v, reason)
}

func (o *Owner) turnedCold(sign string) {
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
		return ReasonTooLarge
	case errors.Is(err, context.DeadlineExceeded):
		return ReasonDeadline
	case errors.Is(err, context.Canceled):
		return ReasonCancelled
	case v == verdict.NotRun:
		return ReasonUnreachable
	default:
		return ReasonBroken
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
		hr.Header.Set(upstream.TimeoutHeader, itoa(time.Until(d).Milliseconds()))
	}
	hr.SetBodyRaw(req.Body)
}

// readAnswer takes the body out of resp, which must not be used for it again.
func readAnswer(v verdict.Verdict, resp *fasthttp.Response) *Answer {
	a := &Answer{Verdict: v, Status: resp.StatusCode(), Header: make([]Field, 0, resp.Header.Len()), Body: resp.SwapBody(nil)}
	if v == verdict.NotRun {
		a.Reason = ReasonShed
	}
	for k, val := range resp.Header.All() {
		if !hopHeaders[string(k)] {
			a.Header = append(a.Header, Field{Name: string(k), Value: string(val)})
		}
	}
	return a
}
