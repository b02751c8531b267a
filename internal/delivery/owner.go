package delivery

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"celerybank/internal/crash"
	"celerybank/internal/events"
	"celerybank/internal/proxy"
	"celerybank/internal/registry"
	"celerybank/internal/routes"
	"celerybank/internal/upstream"
	"celerybank/internal/verdict"
)

// Wire translates requests and answers to what the upstream speaks.
type Wire interface {
	// Dialect says how the upstream marks its answers.
	Dialect() upstream.Dialect
	// Request writes what the upstream is sent: left is what remains of the caller's time.
	Request(out *fasthttp.Request, req *proxy.Request, instance string, left time.Duration)
	// Answer reads a whole answer; a spoiled one cannot be handed on.
	Answer(in *fasthttp.Response, sent *proxy.Request, v verdict.Verdict) (a *proxy.Answer, spoiled bool)
	// Probe asks the upstream how it is; Health reads the answer.
	Probe(out *fasthttp.Request, path string)
	Health(in *fasthttp.Response) Health
}

// Health is what an upstream answers to a probe.
type Health struct {
	// Instance is the process that answered; empty when it did not say.
	Instance string
	Cold     time.Duration
	OK       bool
}

// Observer learns the outcome of each request that reached the upstream.
type Observer interface {
	Observe(version, route string, failed bool, took time.Duration)
}

// current is the upstream that the owner speaks for.
type current struct {
	registry.Upstream
	client  *upstream.Client
	quality *quality
	down    atomic.Bool
}

// Config has what an owner needs.
type Config struct {
	Gate     *Gate
	Dialer   upstream.Dialer
	Wire     Wire
	Table    func() *routes.Table
	Barred   func(version string) proxy.Reason
	Crashes  *crash.Registry
	Observer Observer
	Events   *events.Recorder
	Cold     ColdBound
	// Usual returns the usual work time on a route of a service, 0 when it is not known.
	Usual func(service, route string) time.Duration
}

// Owner answers for the upstream on this host.
type Owner struct {
	Config
	running running

	// mu makes a change of the upstream and of the gate one step.
	mu sync.Mutex
	// doubtUntil is until when the upstream counts as cold because its zone came back: it may be so without having said it.
	doubtUntil time.Time
	// leaving is set for good when this node stops.
	leaving bool
	up      atomic.Pointer[current]
	life    context.Context
}

// New returns an owner without an upstream; ctx ends with the process.
func New(ctx context.Context, c Config) *Owner { return &Owner{Config: c, life: ctx} }

// maxAnswer bounds an answer of the upstream, in bytes: what a message between nodes carries.
const maxAnswer = 15 << 20

// defaultConnections bounds the connections to an upstream whose service states no figure.
const defaultConnections = 100

// connectionShare is the part of the upstream's connections that is used; beyond its bound it resets them.
const connectionShare = 0.8

// SetUpstream takes in what the upstream of this host announced.
func (o *Owner) SetUpstream(u registry.Upstream, present bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	old := o.up.Load()
	switch {
	case !present:
		o.up.Store(nil)
		o.Gate.Close(proxy.ReasonNoUpstream)
	case u.State != registry.Ready:
		if old != nil && old.Instance == u.Instance {
			// What is remembered must say that it leaves: a later order would open the gate again.
			o.up.Store(&current{Upstream: u, client: old.client, quality: old.quality})
		} else {
			o.up.Store(nil)
		}
		o.Gate.Close(proxy.ReasonDraining)
	case old != nil && old.Instance == u.Instance && old.Born == u.Born:
		old.down.Store(false)
		next := &current{Upstream: u, client: old.client, quality: old.quality}
		o.up.Store(next)
		o.doubtUntil = time.Time{}
		o.open(next)
	default:
		next := &current{Upstream: u, quality: &quality{},
			client: upstream.NewClient(u.Address, o.Dialer, o.connections(u.Service), maxAnswer, nil).Speak(o.Wire.Dialect()).Pace(o.Gate.Send)}
		o.up.Store(next)
		if old != nil {
			old.client.CloseIdle()
		}
		o.doubtUntil = time.Time{}
		o.open(next)
	}
}

// Refresh takes in a new configuration.
func (o *Owner) Refresh() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if up := o.up.Load(); up != nil && up.State == registry.Ready && !up.down.Load() {
		o.open(up)
	}
}

// Doubt treats the upstream as cold until it announces itself again.
func (o *Owner) Doubt() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.doubtUntil = time.Now().Add(doubtLimit)
	if up := o.up.Load(); up != nil && up.State == registry.Ready {
		o.open(up)
	}
}

// doubtLimit bounds how long an upstream counts as cold for want of an announcement.
const doubtLimit = 5 * time.Second

// Leave refuses new requests for good, unexecuted: this node stops.
func (o *Owner) Leave() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.leaving = true
	o.Gate.Close(proxy.ReasonDraining)
}

// open sets the gate for an upstream that takes work. o.mu is held.
func (o *Owner) open(up *current) {
	if o.leaving {
		return
	}
	t := o.Table()
	if t == nil {
		// Without a configuration nobody knows what a cold upstream bears; others may have one and send.
		o.Gate.Close(proxy.ReasonNotReady)
		return
	}
	rate := 0.0
	if s := t.Service(up.Service); s != nil {
		rate = o.Cold.allowed(s.ColdPerSecond)
	}
	until := up.ColdUntil
	if o.doubtUntil.After(until) {
		until = o.doubtUntil
	}
	o.Gate.Open(up.Slots, until, rate)
}

func (o *Owner) connections(service string) int {
	if t := o.Table(); t != nil {
		if s := t.Service(service); s != nil && s.MaxConnections > 0 {
			return max(1, int(float64(s.MaxConnections)*connectionShare))
		}
	}
	return defaultConnections
}

// Handle runs one request at the upstream, if it is admitted. It implements proxy.Runner.
func (o *Owner) Handle(ctx context.Context, req *proxy.Request) *proxy.Answer {
	start := time.Now()
	a := o.handle(ctx, req)
	a.Load, a.Held = o.Gate.Load(), time.Since(start)
	if up := o.up.Load(); up != nil {
		up.quality.report(&a.Load, time.Now())
	}
	return a
}

func (o *Owner) handle(ctx context.Context, req *proxy.Request) *proxy.Answer {
	up := o.up.Load()
	if up == nil {
		return proxy.Refusal(verdict.NotRun, proxy.ReasonNoUpstream)
	}
	bar := o.Barred(up.Version)
	switch {
	case up.Service != req.Service || (req.Version != "" && req.Version != up.Version):
		return proxy.Refusal(verdict.NotRun, proxy.ReasonMoved)
	case bar != proxy.ReasonNone:
		return proxy.Refusal(verdict.NotRun, bar)
	case o.Crashes.Watching() && o.Crashes.Blocked(proxy.Fingerprint(req)):
		return proxy.Refusal(verdict.NotRun, proxy.ReasonCrashing)
	}
	now := time.Now()
	claim := Claim{Rank: req.Rank, Patient: req.Patient, Deadline: now.Add(req.Timeout), Target: now.Add(req.Target)}
	if refused, ok := o.Gate.Acquire(ctx, claim); !ok {
		a := proxy.Refusal(verdict.NotRun, refused.Reason)
		a.RetryAfter = refused.After
		return a
	}
	// What was decided before the wait may have changed in it.
	if now := o.up.Load(); now == nil || now.Instance != up.Instance || now.Born != up.Born || now.State != registry.Ready {
		o.Gate.Release(0)
		return proxy.Refusal(verdict.NotRun, proxy.ReasonMoved)
	}
	if bar := o.Barred(up.Version); bar != proxy.ReasonNone {
		o.Gate.Release(0)
		return proxy.Refusal(verdict.NotRun, bar)
	}
	o.running.add(req)
	a := o.send(ctx, up, req)
	o.running.remove(req)
	o.Gate.Release(a.Took)
	return a
}

// Parent says whether the request named id is a call that the upstream of this host makes for
// one that it runs now, and whether that one is a repeat. Upstreams put the name of the
// request that they run before that of the call.
func (o *Owner) Parent(id string) (calls, repeat bool) {
	i := strings.LastIndexByte(id, '.')
	if i <= 0 {
		return false, false
	}
	return o.running.find(id[:i])
}

// send is the only place where a request leaves for the upstream.
func (o *Owner) send(ctx context.Context, up *current, req *proxy.Request) *proxy.Answer {
	hr, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(hr)
	defer fasthttp.ReleaseResponse(resp)
	left := req.Timeout
	if d, ok := ctx.Deadline(); ok {
		left = time.Until(d)
	}
	o.Wire.Request(hr, req, up.Instance, left)
	if !req.Idempotent {
		ctx = upstream.WithFresh(ctx)
	}
	start := time.Now()
	v, err := up.client.Do(ctx, hr, resp)
	took := time.Since(start)
	if err != nil {
		return o.failed(ctx, up, req, v, err, took)
	}
	a, spoiled := o.Wire.Answer(resp, req, v)
	a.Took = took
	if spoiled {
		o.Events.Emit(events.CallFailed, events.Fields{"request": req.RequestID, "instance": up.Instance, "reason": proxy.ReasonSpoiled, "status": a.Status})
		a = proxy.Refusal(verdict.MayHaveRun, proxy.ReasonSpoiled)
		a.Took = took
	}
	failed := spoiled || a.Verdict == verdict.NotRun || a.Status >= fasthttp.StatusInternalServerError
	up.quality.observe(took, o.usual(req), failed, time.Now())
	if a.Verdict != verdict.NotRun {
		o.Observer.Observe(up.Version, req.Route, spoiled || a.Status >= fasthttp.StatusInternalServerError, took)
	}
	if o.Crashes.Watching() && a.Verdict == verdict.Ran {
		o.Crashes.Cleared(proxy.Fingerprint(req))
	}
	return a
}

func (o *Owner) usual(req *proxy.Request) time.Duration {
	if o.Usual == nil {
		return 0
	}
	return o.Usual(req.Service, req.Route)
}

// failed learns from an exchange without a whole answer, and gives its answer.
func (o *Owner) failed(ctx context.Context, up *current, req *proxy.Request, v verdict.Verdict, err error, took time.Duration) *proxy.Answer {
	reason := proxy.ReasonBroken
	switch {
	case errors.Is(err, upstream.ErrTooLarge):
		reason = proxy.ReasonTooLarge
	case errors.Is(err, context.DeadlineExceeded) || errors.Is(ctx.Err(), context.DeadlineExceeded):
		reason = proxy.ReasonDeadline
	case ctx.Err() != nil:
		reason = proxy.ReasonCancelled
	case v == verdict.NotRun:
		reason = proxy.ReasonUnreachable
		o.lost(up, err)
	case !up.client.Accepts(ctx) && ctx.Err() == nil:
		reason = proxy.ReasonCrashed
		o.lost(up, err)
		o.Crashes.Blame(proxy.Fingerprint(req), up.Instance)
	}
	switch reason {
	case proxy.ReasonBroken, proxy.ReasonCrashed:
		up.quality.observe(0, 0, true, time.Now())
	case proxy.ReasonDeadline: // it is slow, or silent: the work would have taken longer still
		if v != verdict.NotRun && took > o.usual(req) {
			up.quality.observe(took, o.usual(req), false, time.Now())
		}
	}
	if reason != proxy.ReasonCancelled && v != verdict.NotRun {
		o.Observer.Observe(up.Version, req.Route, true, took)
	}
	a := proxy.Refusal(v, reason)
	if v != verdict.NotRun {
		a.Took = took
	}
	return a
}
