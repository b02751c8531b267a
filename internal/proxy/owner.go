package proxy

import (
	"context"
	"sync/atomic"
	"time"

	"celerybank/internal/admission"
	"celerybank/internal/crash"
	"celerybank/internal/events"
	"celerybank/internal/upstream"
	"celerybank/internal/verdict"
)

// Claims grants the right to run a keyed non-idempotent request once.
type Claims interface {
	// Claim requests the right to send the request with the given key. It returns either a
	// Claim, and the request may be sent, or a Refused, which finds the outcome of the earlier
	// request with the key.
	Claim(ctx context.Context, service, key string, digest uint64) (Claim, Refused)
}

// Claim is a granted key.
type Claim interface {
	// Deadline returns the time at which the right to send the request ends.
	Deadline() time.Time
	// Finish stores the outcome for later requests with the key. A response which
	// proves that nothing ran releases the key.
	Finish(res *Response)
}

// Outcome is the result of a request that was sent to the upstream.
type Outcome uint8

const (
	// Succeeded means a response with a status below 500.
	Succeeded Outcome = iota
	// Failed means a response with status 500 or above.
	Failed
	// Unanswered means a timeout, a broken connection or a malformed response.
	Unanswered
	// Abandoned means that the caller cancelled the request before the response.
	Abandoned
)

// Refused is the result of a claim that was not granted.
type Refused interface {
	// Response returns the outcome of the earlier request with the key. It may wait while that
	// request still runs, and needs no slot.
	Response(ctx context.Context) *Response
}

// Observer records the outcomes of requests that reached the upstream.
type Observer interface {
	Observe(version, route string, o Outcome, latency time.Duration)
}

// upstreamState is the upstream that the owner currently sends requests to.
type upstreamState struct {
	announced       upstream.Announcement
	client          *upstream.Client
	brokenExchanges brokenExchanges
}

// Owner admits requests to the upstream on this host and sends them to it.
type Owner struct {
	gate          *admission.Gate
	dialer        upstream.Dialer
	maxConns      int
	maxBody       int
	claims        Claims
	observer      Observer
	crashes       *crash.Registry
	events        *events.Recorder
	refusalReason func() Reason

	current atomic.Pointer[upstreamState]
}

// NewOwner returns an owner without an upstream. maxConns bounds its connections to the upstream and
// maxBody the body of a response, in bytes. claims and observer may be nil.
func NewOwner(gate *admission.Gate, dialer upstream.Dialer, maxConns, maxBody int, claims Claims, observer Observer) *Owner {
	return &Owner{gate: gate, dialer: dialer, maxConns: maxConns, maxBody: maxBody, claims: claims, observer: observer,
		refusalReason: func() Reason { return ReasonNone }}
}

// SetCrashRegistry sets the registry of requests that crash upstreams and the recorder of their events. Call it
// before the owner serves.
func (o *Owner) SetCrashRegistry(crashes *crash.Registry, ev *events.Recorder) {
	o.crashes, o.events = crashes, ev
}

// RefuseWhile makes the owner refuse new requests while refusalReason returns a reason other than
// ReasonNone. This also covers entry nodes that have not yet learned of the reason. Call it before
// the owner serves.
func (o *Owner) RefuseWhile(refusalReason func() Reason) { o.refusalReason = refusalReason }

// SetUpstream replaces the upstream by a new process, which is cold and warms up for slowStart.
func (o *Owner) SetUpstream(a upstream.Announcement, slowStart time.Duration) {
	up := &upstreamState{announced: a}
	up.client = upstream.NewClient(a.Address, o.dialer, o.maxConns, o.maxBody, func() { o.connectionsLost(up) })
	old := o.current.Swap(up)
	o.gate.Open(a.Slots, slowStart)
	if old != nil {
		old.client.CloseIdle()
		o.reportCrash(old, old.brokenExchanges.takeRecent(time.Now()))
	}
}

// Load returns the current load of the upstream.
func (o *Owner) Load() Load {
	used, limit, draining := o.gate.Load()
	return Load{InUse: used, Limit: limit, Draining: draining}
}

var refusals = map[admission.Outcome]Reason{admission.Full: ReasonFull, admission.Cold: ReasonCold,
	admission.Draining: ReasonDraining, admission.Absent: ReasonNoUpstream}

// Handle runs one request at the upstream, if it is admitted, and returns its response.
func (o *Owner) Handle(ctx context.Context, req *Request) *Response {
	res := o.handle(ctx, req)
	if res.Reason == ReasonCrashed {
		delayCrashResponse(ctx)
		o.crashes.Republish(fingerprint(req), req.Instance)
		delayCrashResponse(ctx)
	}
	res.Load = o.Load()
	return res
}

func (o *Owner) handle(ctx context.Context, req *Request) *Response {
	up, reason := o.current.Load(), o.refusalReason()
	switch {
	case up == nil:
		return refusal(verdict.NotRun, ReasonNoUpstream)
	case up.announced.Service != req.Service || up.announced.Version != req.Version,
		req.Instance != "" && req.Instance != up.announced.Instance:
		return refusal(verdict.NotRun, ReasonReplaced)
	case reason != ReasonNone:
		return refusal(verdict.NotRun, reason)
	case o.crashes.Active() && o.crashes.Blocked(fingerprint(req)):
		return refusal(verdict.NotRun, ReasonCrashing)
	}
	class := admission.ClassOf(req.Idempotent)
	if refused := o.gate.Acquire(ctx, class, req.Route); refused != admission.Admitted {
		return refusal(verdict.NotRun, refusals[refused])
	}
	if req.Idempotent || req.Key == "" || o.claims == nil {
		defer o.gate.Release(class)
		return o.send(ctx, up, req)
	}
	res, refused := o.sendClaimed(ctx, up, req)
	o.gate.Release(class)
	if refused != nil {
		return refused.Response(ctx)
	}
	return res
}

// sendClaimed sends req if the claim to its key is granted.
func (o *Owner) sendClaimed(ctx context.Context, up *upstreamState, req *Request) (*Response, Refused) {
	claim, refused := o.claims.Claim(ctx, req.Service, req.Key, Digest(req))
	if refused != nil {
		return nil, refused
	}
	if end, ok := ctx.Deadline(); !ok || end.After(claim.Deadline()) {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, claim.Deadline())
		defer cancel()
	}
	res := o.send(ctx, up, req)
	claim.Finish(res)
	return res, nil
}
