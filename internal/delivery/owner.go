package delivery

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"celerybank/internal/calltree"
	"celerybank/internal/crash"
	"celerybank/internal/events"
	"celerybank/internal/httpresponse"
	"celerybank/internal/membudget"
	"celerybank/internal/proxy"
	"celerybank/internal/registry"
	"celerybank/internal/routes"
	"celerybank/internal/upstream"
	"celerybank/internal/verdict"
)

// Wire translates requests and responses to and from the protocol of the upstream.
type Wire interface {
	// Dialect returns how the upstream marks its responses.
	Dialect() upstream.Dialect
	// Request writes the request to the upstream to out. left is the time left until the caller's
	// deadline.
	Request(out *fasthttp.Request, req *proxy.Request, instance string, left time.Duration)
	// Response converts a complete response of the upstream to the request sent. It reports true if the
	// response is corrupt and must not be forwarded.
	Response(in *fasthttp.Response, sent *proxy.Request, v verdict.Verdict) (res *proxy.Response, corrupt bool)
	// Notices reads what the upstream says of itself in a response.
	Notices(in *fasthttp.Response) Notices
	// HealthCheck writes a health check to out; Health reads the response to it.
	HealthCheck(out *fasthttp.Request, path string)
	Health(in *fasthttp.Response) Health
}

// Health is the result of a health check.
type Health struct {
	// Instance is the process that responded; empty if the response does not name it.
	Instance string
	// Cold is how long the process stays cold.
	Cold time.Duration
	OK   bool
}

// Notices is what an upstream says of itself in a response.
type Notices struct {
	// RateLimit is the limit that the upstream names, in requests per second from all nodes together; it is
	// negative if it names none.
	RateLimit float64
	// Leaving is set if the upstream says that it leaves: it must get no more requests.
	Leaving bool
	// Malformed is set if the limit cannot be read; RateLimit has no meaning then.
	Malformed bool
}

// Observer records the outcome of each request that reached the upstream.
type Observer interface {
	Observe(version, route string, failed bool, took time.Duration)
}

// current is the upstream that the owner handles requests for.
type current struct {
	registry.Upstream
	client  *upstream.Client
	quality *quality
	down    atomic.Bool
}

// Config has the dependencies of an Owner.
type Config struct {
	Gate   *Gate
	Dialer upstream.Dialer
	Wire   Wire
	Table  func() *routes.Table
	// RefusalReason returns why an upstream of this version may get no requests, or proxy.ReasonNone.
	RefusalReason func(version string) proxy.Reason
	Crashes       *crash.Registry
	Observer      Observer
	// Leaving is called when a response of the upstream says that it leaves.
	Leaving func(instance string, born int64)
	Events  *events.Recorder
	Cold    ColdBound
	// ResponseMemory bounds the responses of the upstream that are being read; nil sets no bound.
	ResponseMemory *membudget.Budget
	// MeanProcessingTime returns the mean processing time on a route of a service, 0 when unknown.
	MeanProcessingTime func(service, route string) time.Duration
	// AdmitByChildren refuses requests whose children would find no room in the services that they call.
	AdmitByChildren bool
	// Usage counts the requests that the upstream begins to run; nil if they are not counted.
	Usage UsageCounter
}

// Owner handles requests for the upstream on this host.
type Owner struct {
	Config
	running   running
	abandoned abandoned
	trees     calltree.Tree
	// displaced counts the queued requests that gave way to others, dependencyFull those refused for their children.
	displaced, dependencyFull atomic.Int64

	// mu makes a change of the upstream and of the gate atomic.
	mu             sync.Mutex
	coldAssumption coldAssumption
	// limited is the process of the upstream whose limit the gate knows. It is kept while there is no upstream.
	limited registry.Upstream
	// coldReported is the end of the cold phase in the last event about it.
	coldReported time.Time
	// draining is set when this node stops, and never reset.
	draining bool
	up       atomic.Pointer[current]
	lifetime context.Context
	// started is when this process started, and givenUp the number of slots of requests that were given up.
	started time.Time
	givenUp atomic.Int64
}

// New returns an Owner without an upstream. ctx ends with the process.
func New(ctx context.Context, c Config) *Owner {
	o := &Owner{Config: c, lifetime: ctx, started: time.Now()}
	o.coldAssumption.begin(time.Now())
	o.Gate.AwaitLimit()
	return o
}

// maxResponseBytes limits a response of the upstream to what fits into a message between nodes.
const maxResponseBytes = 15 << 20

// defaultMaxConnections limits the connections to an upstream if its service sets no limit.
const defaultMaxConnections = 100

// connectionFraction is the fraction of the upstream's connection limit that is used: beyond its limit
// the upstream resets connections.
const connectionFraction = 0.8

// SetUpstream applies an announcement of the upstream of this host. present is false when it is gone.
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
			// Keep the draining state, or else a later order would open the gate again.
			o.up.Store(&current{Upstream: u, client: old.client, quality: old.quality})
		} else {
			o.up.Store(nil)
		}
		o.Gate.Close(proxy.ReasonDraining)
	case old != nil && old.SameProcess(u.Announcement):
		old.down.Store(false)
		next := &current{Upstream: u, client: old.client, quality: old.quality}
		o.up.Store(next)
		o.open(next, ColdAnnounced)
	default:
		if !o.limited.SameProcess(u.Announcement) {
			o.Gate.ResetLimit()
		}
		o.limited = u
		next := &current{Upstream: u, quality: &quality{}}
		next.client = o.newClient(u.Announcement, func() { o.handleRestart(next) })
		o.up.Store(next)
		if old != nil {
			old.client.CloseIdle()
		}
		o.open(next, ColdAnnounced)
	}
}

// newClient returns a client for the upstream; onRestart may be nil.
func (o *Owner) newClient(a registry.Announcement, onRestart func()) *upstream.Client {
	return upstream.NewClient(a.Address, o.Dialer, o.connections(a.Service), maxResponseBytes, onRestart).
		SetDialect(o.Wire.Dialect()).SetBeforeSend(o.beforeSend).SetResponseMemory(o.ResponseMemory)
}

// Refresh applies a changed configuration.
func (o *Owner) Refresh() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if up := o.up.Load(); up != nil && up.State == registry.Ready && !up.down.Load() {
		o.open(up, ColdConfigured)
	}
}

// Drain refuses all new requests from now on, because this node stops. Refused requests have not run.
func (o *Owner) Drain() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.draining = true
	o.Gate.Close(proxy.ReasonDraining)
}

// open opens the gate for an upstream that takes requests. reason is why it is opened now. o.mu is held.
func (o *Owner) open(up *current, reason ColdReason) {
	if o.draining {
		return
	}
	t := o.Table()
	if t == nil {
		// Without a configuration the rate limit of a cold upstream is unknown, and other nodes that
		// have one may send requests already.
		o.Gate.Close(proxy.ReasonNotReady)
		return
	}
	rate := 0.0
	if s := t.Service(up.Service); s != nil {
		rate = o.Cold.allowed(s.ColdPerSecond)
	}
	o.holdForPredecessor(up.Upstream)
	until := later(up.ColdUntil, o.coldAssumption.until)
	o.checkAssumption(rate)
	o.reportCold(up, until, rate, reason)
	o.Gate.Open(up.Slots, until, rate)
}

func (o *Owner) connections(service string) int {
	if t := o.Table(); t != nil {
		if s := t.Service(service); s != nil && s.MaxConnections > 0 {
			return max(1, int(float64(s.MaxConnections)*connectionFraction))
		}
	}
	return defaultMaxConnections
}

// Handle sends one request to the upstream if it is admitted. It implements proxy.Runner.
func (o *Owner) Handle(ctx context.Context, req *proxy.Request) *proxy.Response {
	start := time.Now()
	res := o.handle(ctx, req)
	res.Load, res.OwnerTime = o.Gate.Load(), time.Since(start)
	res.Pressure = o.rootPressure(req)
	if up := o.up.Load(); up != nil {
		up.quality.report(&res.Load, time.Now())
	}
	return res
}

func (o *Owner) handle(ctx context.Context, req *proxy.Request) *proxy.Response {
	up := o.up.Load()
	if up == nil {
		return proxy.Refusal(verdict.NotRun, proxy.ReasonNoUpstream)
	}
	refusal := o.RefusalReason(up.Version)
	switch {
	case up.Service != req.Service || (req.Version != "" && req.Version != up.Version):
		return proxy.Refusal(verdict.NotRun, proxy.ReasonReplaced)
	case refusal != proxy.ReasonNone:
		return proxy.Refusal(verdict.NotRun, refusal)
	case o.Crashes.Active() && o.Crashes.Blocked(proxy.Fingerprint(req)):
		return proxy.Refusal(verdict.NotRun, proxy.ReasonCrashing)
	}
	admission := o.admitRun(req)
	if !admission.OK {
		return o.refuseRun(req, admission)
	}
	now := time.Now()
	slot := SlotRequest{Rank: req.Rank, Workspace: req.Workspace, Route: req.Route, Deadline: now.Add(req.Timeout), MaxWait: req.MaxWait, WaitToDeadline: req.WaitToDeadline, RateLimit: req.RateLimit}
	if refused, ok := o.Gate.Acquire(ctx, slot); !ok {
		o.trees.Withdraw(req.Route, admission)
		o.reportDisplaced(req, refused)
		res := proxy.Refusal(verdict.NotRun, refused.Reason)
		res.RetryAfter = refused.RetryAfter
		return res
	}
	// The upstream and its permission may have changed while the request was queued.
	if cur := o.up.Load(); cur == nil || !cur.SameProcess(up.Announcement) || cur.State != registry.Ready {
		o.Gate.Release(req.Route, 0)
		return proxy.Refusal(verdict.NotRun, proxy.ReasonReplaced)
	}
	if refusal := o.RefusalReason(up.Version); refusal != proxy.ReasonNone {
		o.Gate.Release(req.Route, 0)
		return proxy.Refusal(verdict.NotRun, refusal)
	}
	if admission = o.startRun(req, admission); !admission.OK {
		o.Gate.Release(req.Route, 0)
		return o.refuseRun(req, admission)
	}
	o.running.add(req)
	res := o.send(ctx, up, req)
	o.abandoned.add(req, res) // before remove, so that children find the request in one of them
	o.running.remove(req)
	o.releaseSlot(req, res)
	o.trees.Ended(req.Route, processingTime(res))
	o.setRetryAfter(res)
	return res
}

// setRetryAfter sets the Retry-After of a request that had a slot and was rejected for lack of room all the same.
func (o *Owner) setRetryAfter(res *proxy.Response) {
	if res.Verdict == verdict.NotRun && (res.Reason == proxy.ReasonShed || res.Reason == proxy.ReasonTooLate) {
		res.RetryAfter = o.Gate.RetryAfter()
	}
}

// processingTime returns how long the upstream processed a request, 0 when unknown: the caller cancelled it.
func processingTime(res *proxy.Response) time.Duration {
	if res.Reason == proxy.ReasonCancelled {
		return 0
	}
	return res.ProcessingTime
}

// send sends a request to the upstream. No other function sends requests of callers.
func (o *Owner) send(ctx context.Context, up *current, req *proxy.Request) *proxy.Response {
	hr, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(hr)
	defer releaseResponse(resp)
	left := req.Timeout
	if d, ok := ctx.Deadline(); ok {
		left = time.Until(d)
	}
	o.Wire.Request(hr, req, up.Instance, left)
	if !req.Idempotent {
		ctx = upstream.WithFreshConn(ctx)
	}
	ctx, run := o.countRun(ctx, req)
	start := time.Now()
	v, held, err := up.client.DoHeld(ctx, hr, resp)
	took := time.Since(start)
	if err != nil {
		return o.handleError(ctx, up, req, run.settle(v), err, took)
	}
	notices := o.Wire.Notices(resp)
	o.observeNotices(up, notices, start)
	res, corrupt := o.Wire.Response(resp, req, v)
	res.ProcessingTime = took
	run.settle(res.Verdict)
	holdBody(res, held)
	if corrupt {
		o.Events.Emit(events.CallFailed, events.Fields{"request": req.RequestID, "instance": up.Instance, "reason": proxy.ReasonInvalidResponse, "status": res.Status})
		res = proxy.Refusal(verdict.MayHaveRun, proxy.ReasonInvalidResponse)
		res.ProcessingTime = took
	}
	res.Leaving = notices.Leaving && req.Instance == up.Instance
	failed := corrupt || res.Verdict == verdict.NotRun || res.Status >= fasthttp.StatusInternalServerError
	up.quality.observe(took, o.meanTime(req), failed, time.Now())
	if res.Verdict != verdict.NotRun {
		o.Observer.Observe(up.Version, req.Route, corrupt || res.Status >= fasthttp.StatusInternalServerError, took)
	}
	if o.Crashes.Active() && res.Verdict == verdict.Ran {
		o.Crashes.Clear(proxy.Fingerprint(req))
	}
	return res
}

// observeNotices applies what the upstream says of itself in the response to a request that was sent at sent.
func (o *Owner) observeNotices(up *current, n Notices, sent time.Time) {
	if n.Leaving {
		o.Leaving(up.Instance, up.Born)
	}
	if now := o.up.Load(); n.Malformed || now == nil || !now.SameProcess(up.Announcement) {
		return
	}
	if o.Gate.ObserveLimit(n.RateLimit, sent) {
		o.Events.Emit(events.LimitNamed, events.Fields{"instance": up.Instance, "service": up.Service, "rate": max(n.RateLimit, 0), "limited": n.RateLimit >= 0})
	}
}

func (o *Owner) meanTime(req *proxy.Request) time.Duration {
	if o.MeanProcessingTime == nil {
		return 0
	}
	return o.MeanProcessingTime(req.Service, req.Route)
}

// handleError classifies an exchange without a complete response, records it and returns the refusal
// for the caller.
func (o *Owner) handleError(ctx context.Context, up *current, req *proxy.Request, v verdict.Verdict, err error, took time.Duration) *proxy.Response {
	reason := proxy.ReasonConnBroken
	switch {
	case errors.Is(err, upstream.ErrTooLarge):
		reason = proxy.ReasonResponseTooLarge
	case errors.Is(err, httpresponse.ErrMalformed):
		reason = proxy.ReasonInvalidResponse
		o.Events.Emit(events.CallFailed, events.Fields{"request": req.RequestID, "instance": up.Instance, "reason": reason, "error": err.Error()})
	case errors.Is(err, context.DeadlineExceeded) || errors.Is(ctx.Err(), context.DeadlineExceeded):
		reason = proxy.ReasonDeadline
	case ctx.Err() != nil:
		reason = proxy.ReasonCancelled
	case errors.Is(err, errTurnTooLate):
		reason = proxy.ReasonTooLate
	case v == verdict.NotRun:
		reason = proxy.ReasonUnreachable
		o.handleDown(up, err)
	case !up.client.AcceptsConn(ctx) && ctx.Err() == nil:
		reason = proxy.ReasonCrashed
		o.handleDown(up, err)
		o.Crashes.RecordCrash(proxy.Fingerprint(req), crash.Process(up.Instance, up.Born))
	}
	switch reason {
	case proxy.ReasonConnBroken, proxy.ReasonCrashed, proxy.ReasonInvalidResponse:
		up.quality.observe(0, 0, true, time.Now())
	case proxy.ReasonDeadline: // slow or not responding: processing would have taken even longer
		if v != verdict.NotRun && took > o.meanTime(req) {
			up.quality.observe(took, o.meanTime(req), false, time.Now())
		}
	}
	if reason != proxy.ReasonCancelled && v != verdict.NotRun {
		o.Observer.Observe(up.Version, req.Route, true, took)
	}
	res := proxy.Refusal(v, reason)
	if reason == proxy.ReasonCrashed {
		res.Born = up.Born
	}
	if v != verdict.NotRun {
		res.ProcessingTime = took
	}
	return res
}
