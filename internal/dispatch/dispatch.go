// Package dispatch implements the entry node's part of a request: the node that receives the request
// from its caller matches the route, chooses upstreams and decides about retries.
package dispatch

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"celerybank/internal/balance"
	"celerybank/internal/crash"
	"celerybank/internal/events"
	"celerybank/internal/orders"
	"celerybank/internal/proxy"
	"celerybank/internal/routes"
	"celerybank/internal/verdict"
)

// Canaries decides which versions of a service receive traffic.
type Canaries interface {
	// Choose returns a filter of the versions that one request may be sent to; nil accepts all.
	Choose(service string) func(version string) bool
}

// Owner handles requests for the upstream of this host.
type Owner interface {
	proxy.Runner
	// Parent reports whether the request with this ID is a child request, sent by the upstream of
	// this host for a request that it is running, and whether that parent is a retry.
	Parent(id string) (found, retry bool)
	// Abandoned reports whether the request with this ID is a child request of one that was given up lately, which the upstream of
	// this host may still be running.
	Abandoned(id string) bool
}

// Config has the dependencies of a Dispatcher.
type Config struct {
	// Addr is the peer address of this node.
	Addr     string
	View     func() *orders.View
	Balancer *balance.Balancer
	Owner    Owner
	Peers    proxy.PeerClient
	Budget   *Budget
	Crashes  *crash.Registry
	Canaries Canaries
	Events   *events.Recorder
	// Parents is told what becomes of child requests; nil for nobody.
	Parents Parents
	// ViewFresh reports whether this node's view of the other nodes is fresh enough to serve requests.
	ViewFresh func() bool
	// KeysConfirmed reports whether the keys of the configuration in force are recent enough to serve requests by them; nil means
	// that they always are.
	KeysConfirmed func() bool
}

// Dispatcher sends requests of callers to upstreams.
type Dispatcher struct {
	Config
	nextID atomic.Uint64
}

// New returns a Dispatcher.
func New(c Config) *Dispatcher {
	d := &Dispatcher{Config: c}
	d.nextID.Store(proxy.FirstID())
	return d
}

// Limits of one request at its entry node.
const (
	// maxOwners is the number of owners that one request is sent to at most, refusals included.
	maxOwners = 4
	// noUpstreamRetry is the mean Retry-After when no upstream of the service takes requests: about the
	// time that an announcement takes to arrive.
	noUpstreamRetry = time.Second
	// notReadyRetry is the mean Retry-After while this node has no configuration.
	notReadyRetry = 500 * time.Millisecond
	// unconfirmedRetry is the mean Retry-After while the configuration is not confirmed: about two exchanges with peers.
	unconfirmedRetry = time.Second
)

// Caller describes the connection that a request arrived on.
type Caller struct {
	// Timeout is how long the caller waits for the response, 0 when it sets no limit.
	Timeout time.Duration
	// Pipelines is set when responses to later requests on the connection may have to wait for this one.
	Pipelines bool
	// Key is the API key that the request carries and KeyCount the number of headers that carry one. Neither is logged or
	// forwarded.
	Key      string
	KeyCount int
	// Withheld are fields that are not in the request's header, in the order of their positions.
	Withheld []WithheldField
}

// Dispatch routes one request. Method, URI, Host, Header, Body, RequestID and Caller of req are set.
func (d *Dispatcher) Dispatch(ctx context.Context, req *proxy.Request, path string, from Caller) *proxy.Response {
	view := d.View()
	if view.Table == nil || !d.ViewFresh() {
		return d.refuse(req, proxy.ReasonNotReady, jitter(notReadyRetry))
	}
	route := view.Table.Match(req.Host, path)
	child, retry := d.Owner.Parent(req.RequestID)
	workspace, refusal := d.authorize(view.Table, route, child, req, from)
	if refusal != nil {
		d.report(&requestState{req: req}, refusal)
		return refusal
	}
	if route == nil {
		return proxy.Refusal(verdict.NotRun, proxy.ReasonUnknownService)
	}
	timeout := route.Timeout
	if from.Timeout > 0 && from.Timeout < timeout {
		timeout = from.Timeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req.Service, req.Route, req.Idempotent = route.Pick(), route.Name, route.Idempotent
	req.Rank = route.Priority
	switch {
	case child:
		req.Rank, req.Hop.Retry = childRank, retry
	case workspace != nil:
		setWorkspace(req, workspace)
	}
	d.Budget.Deposit(req.Service)
	st := &requestState{route: route, req: req, view: view, pipelined: from.Pipelines, parent: d.parentOf(req)}
	res := d.sendUntilFinal(ctx, st)
	d.recordChild(st, res)
	d.report(st, res)
	return res
}

// requestState is the state of one request at its entry node, over all of its attempts.
type requestState struct {
	route *routes.Route
	req   *proxy.Request
	view  *orders.View
	// pipelined is set when responses to other requests may have to wait for this one.
	pipelined bool
	// parent is set for a child request.
	parent *parent
	tried  []*balance.Endpoint
	// reached counts the upstreams that the request may have arrived at.
	reached int
	// mayHaveRun is set once the request may have run at an upstream.
	mayHaveRun bool
	// response is the latest response of an upstream that ran the request, or nil.
	response *proxy.Response
	// suspected is set when the request is suspected of crashing upstreams. It is not retried once
	// it may have arrived at one.
	suspected bool
	// retryAfter is the shortest time after which an owner that refused the request expects room; 0 if none did.
	retryAfter time.Duration
	// stop is the reason why the request was not sent to another upstream; empty when no other was
	// available.
	stop stopCause
}

// keep makes res the response of the request, and returns the memory of an earlier one.
func (st *requestState) keep(res *proxy.Response) {
	if st.response != nil {
		st.response.ReleaseMemory()
	}
	st.response = res
}

// stopCause is why a request is not retried, as recorded in its event.
type stopCause string

const (
	stopOutcome  stopCause = "outcome"  // the response is final, or a non-idempotent request may have run
	stopCrashing stopCause = "crashing" // the request was in flight when an upstream crashed
	stopReason   stopCause = "reason"   // every other upstream would give the same response
	stopAttempts stopCause = "attempts" // the route allows no more attempts
	stopRetry    stopCause = "repeat"   // the request belongs to a retry; retries must not multiply
	stopBudget   stopCause = "budget"   // the retry budget is exhausted
)

// sendUntilFinal sends a request to one upstream after another until a response is final.
func (d *Dispatcher) sendUntilFinal(ctx context.Context, st *requestState) *proxy.Response {
	req := st.req
	if d.Crashes.Active() {
		f := proxy.Fingerprint(req)
		if d.Crashes.Blocked(f) {
			return proxy.Refusal(verdict.NotRun, proxy.ReasonCrashing)
		}
		st.suspected = d.Crashes.Suspected(f)
	}
	accepts := d.Canaries.Choose(req.Service)
	last := proxy.Refusal(verdict.NotRun, proxy.ReasonNoUpstream)
	for n := range maxOwners {
		if ctx.Err() != nil {
			break
		}
		choice := d.pick(ctx, st, accepts, n == maxOwners-1)
		if choice.Endpoint == nil {
			break
		}
		res := d.send(ctx, st, choice)
		if last = res; !d.shouldRetry(st, res, choice.Endpoint) {
			break
		}
	}
	switch {
	case st.response != nil:
		return st.response // a later attempt that ended without one does not undo the run
	case st.mayHaveRun && last.Verdict == verdict.NotRun:
		last.Verdict = verdict.MayHaveRun
	case st.retryAfter > 0:
		last.RetryAfter = st.retryAfter
	case last.Verdict == verdict.NotRun && !final(last.Reason):
		last.RetryAfter = jitter(noUpstreamRetry)
	}
	return last
}

// pick returns the next upstream; its Endpoint is nil if there is none. accepts filters the versions; nil accepts all.
// On the last offer, or once each upstream has refused, the request may wait for the upstream that is expected to have
// room first, which may have refused before.
func (d *Dispatcher) pick(ctx context.Context, st *requestState, accepts func(version string) bool, lastOffer bool) balance.Choice {
	criteria := balance.Criteria{Service: st.req.Service, Route: st.req.Route, Tried: st.tried, Pipelined: st.pipelined,
		Eligible: func(e *balance.Endpoint) bool {
			return !st.view.ZonesOut[e.Zone] && (accepts == nil || accepts(e.Version))
		}}
	if deadline, ok := ctx.Deadline(); ok {
		criteria.Left = time.Until(deadline)
	}
	anyRefused := st.reached == 0 && len(st.tried) > 0
	if lastOffer && anyRefused {
		criteria.Tried = nil
	}
	choice := d.Balancer.Pick(criteria)
	if choice.Endpoint == nil && anyRefused {
		criteria.Tried = nil
		choice = d.Balancer.Pick(criteria)
		lastOffer = true
	}
	choice.Only = choice.Only || lastOffer
	return choice
}

func (d *Dispatcher) send(ctx context.Context, st *requestState, choice balance.Choice) *proxy.Response {
	r, e := *st.req, choice.Endpoint
	r.Version, r.Instance, r.Entry, r.ID = e.Version, e.Instance, d.Addr, d.nextID.Add(1)
	r.Rank = st.ownerRank()
	r.MaxWait, r.WaitToDeadline = choice.MaxWait, choice.Only
	r.RateLimit = e.RateLimit(time.Now())
	r.Hop.Retry = r.Hop.Retry || st.reached > 0
	e.Begin()
	defer e.End()
	st.tried = append(st.tried, e)
	if e.Addr == d.Addr {
		if deadline, ok := ctx.Deadline(); ok {
			r.Timeout = time.Until(deadline)
		}
		res := d.Owner.Handle(ctx, &r)
		d.recordResponse(e, &r, res)
		return res
	}
	start := time.Now()
	res := proxy.CallOwner(ctx, d.Peers, e.Addr, &r)
	if res.Recovered {
		d.Events.Emit(events.CallRecovered, events.Fields{"request": r.RequestID, "instance": e.Instance, "addr": e.Addr,
			"reason": res.Reason, "status": res.Status, "verdict": res.Verdict.String(), "after_ms": time.Since(start).Milliseconds()})
	} else if now := time.Now(); res.OwnerTime > 0 || res.Reason == proxy.ReasonDeadline {
		e.RecordTransit(now.Sub(start)-res.OwnerTime, now)
		if res.OwnerTime == 0 && now.Sub(start) >= noResponseThreshold {
			d.recordNoResponse(e, now)
		}
	}
	d.recordResponse(e, &r, res)
	return res
}

// noResponseThreshold is the time without a response from which a timed-out call to an owner counts
// against its zone: many times the round trip between zones, and less than the shortest deadlines of
// requests.
const noResponseThreshold = 150 * time.Millisecond

// recordNoResponse records that the owner of e did not respond.
func (d *Dispatcher) recordNoResponse(e *balance.Endpoint, now time.Time) {
	if d.Balancer.RecordNoResponse(e, now) {
		d.Events.Emit(events.ZoneDoubted, events.Fields{"zone_in_doubt": e.Zone, "addr": e.Addr})
	}
}

// recordResponse updates the estimates of an upstream from a response.
func (d *Dispatcher) recordResponse(e *balance.Endpoint, r *proxy.Request, res *proxy.Response) {
	now := time.Now()
	if res.Load.Limit > 0 {
		d.Balancer.RecordResponse(e)
	}
	// The owner's statistics cover all requests to the upstream and replace those of this node.
	hasStats := e.UpdateLoad(res.Load, now)
	if res.Leaving && e.MarkLeaving() {
		d.Events.Emit(events.LeaveNoticed, events.Fields{"request": r.RequestID, "instance": e.Instance, "addr": e.Addr, "service": e.Service})
	}
	mean := d.Balancer.MeanProcessingTime(r.Service, r.Route)
	switch res.Reason {
	case proxy.ReasonNone:
		failed := res.Status >= fasthttp.StatusInternalServerError
		if !failed {
			d.Balancer.RecordProcessingTime(r.Service, r.Route, res.ProcessingTime)
			e.RecordSpeed(r.Route, res.ProcessingTime, mean, now)
		}
		if e.ResetFailures(); !hasStats {
			e.RecordOutcome(res.ProcessingTime, mean, failed, now)
		}
	case proxy.ReasonShed:
		if !hasStats {
			e.RecordShed(now)
		}
	case proxy.ReasonConnBroken, proxy.ReasonInvalidResponse:
		if !hasStats {
			e.RecordOutcome(0, mean, true, now)
		}
	case proxy.ReasonDeadline:
		if res.ProcessingTime > 0 && !hasStats {
			e.RecordOutcome(res.ProcessingTime, mean, false, now)
		}
	case proxy.ReasonPeerLost, proxy.ReasonUnreachable, proxy.ReasonDown, proxy.ReasonCrashed, proxy.ReasonNoUpstream,
		proxy.ReasonReplaced, proxy.ReasonDraining, proxy.ReasonVetoed, proxy.ReasonZoneOut, proxy.ReasonNotReady:
		d.Events.Emit(events.EndpointShunned, events.Fields{"request": r.RequestID, "instance": e.Instance, "addr": e.Addr,
			"reason": res.Reason, "for_ms": e.RecordUnreachable(now).Milliseconds()})
		if res.Reason == proxy.ReasonPeerLost {
			d.recordNoResponse(e, now)
		}
		if res.Reason == proxy.ReasonCrashed {
			d.Crashes.RecordCrash(proxy.Fingerprint(r), crash.Process(e.Instance, res.Born))
		}
	}
}

// shouldRetry updates the state of a request from a response and reports whether the request is sent
// to another upstream.
func (d *Dispatcher) shouldRetry(st *requestState, res *proxy.Response, e *balance.Endpoint) bool {
	if res.Verdict != verdict.NotRun || res.Status != 0 {
		st.reached++
	}
	if res.RetryAfter > 0 && (st.retryAfter == 0 || res.RetryAfter < st.retryAfter) {
		st.retryAfter = res.RetryAfter
	}
	switch {
	case res.Verdict == verdict.Ran:
		st.keep(res)
	default:
		st.mayHaveRun = st.mayHaveRun || res.Verdict == verdict.MayHaveRun
		res.ReleaseMemory()
	}
	// After a gateway timeout of the upstream itself there is no time left for another attempt.
	failed := res.Verdict == verdict.Ran && res.Status >= fasthttp.StatusInternalServerError && res.Status != fasthttp.StatusGatewayTimeout && st.route.Idempotent
	st.stop = ""
	switch {
	case res.Verdict == verdict.Ran && !failed, res.Verdict == verdict.MayHaveRun && !st.route.Idempotent:
		st.stop = stopOutcome
	case st.suspected && st.reached > 0:
		st.stop = stopCrashing
	case final(res.Reason):
		st.stop = stopReason
	case st.reached >= st.route.Attempts:
		st.stop = stopAttempts
	case st.reached > 0 && st.req.Hop.Retry:
		st.stop = stopRetry
	case st.reached > 0 && !d.Budget.Withdraw(st.req.Service, res.Verdict != verdict.NotRun, st.req.Rank == childRank):
		st.stop = stopBudget
	}
	if st.stop != "" {
		return false
	}
	if st.reached > 0 {
		d.Events.Emit(events.CallRetried, events.Fields{"request": st.req.RequestID, "service": st.req.Service, "from": e.Instance,
			"reason": res.Reason, "status": res.Status, "verdict": res.Verdict.String()})
	}
	return true
}

// final reports whether a refusal for reason r would be repeated at every other upstream, or is one
// after which the request must not run elsewhere: it may crash other upstreams too.
func final(r proxy.Reason) bool {
	switch r {
	case proxy.ReasonCancelled, proxy.ReasonCrashing, proxy.ReasonCrashed, proxy.ReasonResponseTooLarge, proxy.ReasonDeadline, proxy.ReasonBadRequest,
		proxy.ReasonDependencyFull:
		return true
	default:
		return false
	}
}

// jitter returns a random duration between half of d and one and a half times d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

func (d *Dispatcher) refuse(req *proxy.Request, reason proxy.Reason, retryAfter time.Duration) *proxy.Response {
	res := proxy.Refusal(verdict.NotRun, reason)
	res.RetryAfter = retryAfter
	d.report(&requestState{req: req}, res)
	return res
}

// report emits the event of a request that was not served, or of a sample of the served ones.
func (d *Dispatcher) report(st *requestState, res *proxy.Response) {
	code, ok := proxy.EventOf(res)
	if !ok && !d.Events.SampleServed() {
		return
	}
	req, last := st.req, ""
	if n := len(st.tried); n > 0 {
		last = st.tried[n-1].Instance
	}
	d.Events.Emit(code, events.Fields{"request": req.RequestID, "offers": len(st.tried), "reached": st.reached, "upstream": last,
		"took_ms": res.ProcessingTime.Milliseconds(), "service": req.Service, "route": req.Route, "reason": res.Reason, "status": res.Status,
		"verdict": res.Verdict.String(), "stop": st.stop, "in_use": res.Load.InUse, "limit": res.Load.Limit, "pace_ms": res.Load.MeanTime.Milliseconds(),
		"retry_after_ms": res.RetryAfter.Milliseconds(), "rank": req.Rank, "config": d.View().Next})
}
