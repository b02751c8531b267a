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
	// Claim asks for the key of a request. With a Claim the request may be sent; without
	// one Refused says what became of the key.
	Claim(ctx context.Context, service, key string, digest uint64) (Claim, Refused)
}

// Claim is a granted key.
type Claim interface {
	// Deadline is when the right to send the request ends.
	Deadline() time.Time
	// Finish keeps the outcome for later requests with the key. An answer that
	// proves that nothing ran releases the key.
	Finish(a *Answer)
}

// Outcome says what became of a request that was sent to the upstream.
type Outcome uint8

const (
	// Succeeded means an answer below status 500.
	Succeeded Outcome = iota
	// Failed means an answer of status 500 or above.
	Failed
	// Unanswered means a timeout or a broken connection.
	Unanswered
	// Abandoned means that the caller went away before the answer.
	Abandoned
)

// Refused is a key that was not granted.
type Refused interface {
	// Answer finds out what became of the key; it may wait for an earlier request that
	// still runs, and needs no slot.
	Answer(ctx context.Context) *Answer
}

// Observer counts outcomes of requests that reached the upstream.
type Observer interface {
	Observe(version, route string, o Outcome, latency time.Duration)
}

// upstreamState is the upstream that the owner speaks for.
type upstreamState struct {
	announced upstream.Announcement
	client    *upstream.Client
	breaks    breaks
}

// Owner answers for the upstream on this host.
type Owner struct {
	gate     *admission.Gate
	dialer   upstream.Dialer
	maxConns int
	maxBody  int
	claims   Claims
	observer Observer
	crashes  *crash.Registry
	events   *events.Recorder
	barred   func() Reason

	current atomic.Pointer[upstreamState]
}

// NewOwner returns an owner without an upstream. claims and observer may be nil.
func NewOwner(gate *admission.Gate, dialer upstream.Dialer, maxConns, maxBody int, claims Claims, observer Observer) *Owner {
	return &Owner{gate: gate, dialer: dialer, maxConns: maxConns, maxBody: maxBody, claims: claims, observer: observer,
		barred: func() Reason { return ReasonNone }}
}

// Guard sets what crashes are reported to. Call it before the owner serves.
func (o *Owner) Guard(crashes *crash.Registry, ev *events.Recorder) {
	o.crashes, o.events = crashes, ev
}

// RefuseWhile makes the owner refuse new work while barred gives a reason, also to
// entries that do not know it yet. Call it before the owner serves.
func (o *Owner) RefuseWhile(barred func() Reason) { o.barred = barred }

// SetUpstream takes in a new upstream process, which is cold.
func (o *Owner) SetUpstream(a upstream.Announcement, slowStart time.Duration) {
	up := &upstreamState{announced: a}
	up.client = upstream.NewClient(a.Address, o.dialer, o.maxConns, o.maxBody, func() { o.restarted(up) })
	old := o.current.Swap(up)
	o.gate.Open(a.Slots, slowStart)
	if old != nil {
		old.client.CloseIdle()
		o.blame(old, old.breaks.take(time.Now()))
	}
}

// Load returns what the owner says of its upstream.
func (o *Owner) Load() Load {
	used, limit, draining := o.gate.Load()
	return Load{InUse: used, Limit: limit, Draining: draining}
}

var refusals = map[admission.Refusal]Reason{admission.Full: ReasonFull, admission.Cold: ReasonCold,
	admission.Draining: ReasonDraining, admission.Absent: ReasonNoUpstream}

// Handle runs one request at the upstream, if it is admitted.
func (o *Owner) Handle(ctx context.Context, req *Request) *Answer {
	a := o.handle(ctx, req)
	if a.Reason == ReasonCrashed {
		hold(ctx)
		o.crashes.Republish(fingerprint(req), req.Instance)
		hold(ctx)
	}
	a.Load = o.Load()
	return a
}

func (o *Owner) handle(ctx context.Context, req *Request) *Answer {
	up, bar := o.current.Load(), o.barred()
	switch {
	case up == nil:
		return refusal(verdict.NotRun, ReasonNoUpstream)
	case up.announced.Service != req.Service || up.announced.Version != req.Version,
		req.Instance != "" && req.Instance != up.announced.Instance:
		return refusal(verdict.NotRun, ReasonMoved)
	case bar != ReasonNone:
		return refusal(verdict.NotRun, bar)
	case o.crashes.Active() && o.crashes.Blocked(fingerprint(req)):
		return refusal(verdict.NotRun, ReasonCrashing)
	}
	class := admission.ClassOf(req.Idempotent)
	if refused := o.gate.Acquire(ctx, class); refused != admission.Admitted {
		return refusal(verdict.NotRun, refusals[refused])
	}
	if req.Idempotent || req.Key == "" || o.claims == nil {
		defer o.gate.Release(class)
		return o.send(ctx, up, req)
	}
	a, refused := o.claimed(ctx, up, req)
	o.gate.Release(class)
	if refused != nil {
		return refused.Answer(ctx)
	}
	return a
}

// claimed sends req if its key is granted.
func (o *Owner) claimed(ctx context.Context, up *upstreamState, req *Request) (*Answer, Refused) {
	claim, refused := o.claims.Claim(ctx, req.Service, req.Key, Digest(req))
	if refused != nil {
		return nil, refused
	}
	if end, ok := ctx.Deadline(); !ok || end.After(claim.Deadline()) {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, claim.Deadline())
		defer cancel()
	}
	a := o.send(ctx, up, req)
	claim.Finish(a)
	return a, nil
}
