// Package dispatch is the entry's part of a request: the node that took it from its caller
// finds its route, chooses upstreams and decides what is sent again.
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

// Canaries says which versions of a service get traffic.
type Canaries interface {
	// Choose returns which upstreams one request may go to by their version; nil takes all.
	Choose(service string) func(version string) bool
}

// Owner speaks for the upstream of this host.
type Owner interface {
	proxy.Runner
	// Parent says whether a request is a call of one that the upstream runs now, and whether
	// that one is a repeat.
	Parent(id string) (calls, repeat bool)
}

// Config has what a dispatcher needs.
type Config struct {
	// Addr is the peer address of this node.
	Addr     string
	View     func() *orders.View
	Balancer *balance.Balancer
	Owner    Owner
	Peers    proxy.Caller
	Budget   *Budget
	Crashes  *crash.Registry
	Canaries Canaries
	Events   *events.Recorder
	// Trusts reports whether what this node knows of others is fresh enough to serve.
	Trusts func() bool
}

// Dispatcher sends requests of callers to upstreams.
type Dispatcher struct {
	Config
	nextID atomic.Uint64
}

// New returns a dispatcher.
func New(c Config) *Dispatcher { return &Dispatcher{Config: c} }

// Bounds of one request at its entry.
const (
	// maxOffers bounds the owners that are asked for room.
	maxOffers = 4
	// noUpstreamRetry is when a caller whose service has no upstream in sight may come back: an
	// announcement takes about that long to arrive.
	noUpstreamRetry = time.Second
	// notReadyRetry is when a caller of a node without a configuration may come back.
	notReadyRetry = 500 * time.Millisecond
)

// callRank puts calls of running requests before all others: they finish work that is paid for.
const callRank = -1

// Caller is who waits for an answer.
type Caller struct {
	// Timeout is how long it waits, 0 when it does not say.
	Timeout time.Duration
	// Pipelines says that answers to later requests may wait for this one.
	Pipelines bool
}

// Call routes one request. Method, URI, Host, Header, Body, RequestID and Caller are set.
func (d *Dispatcher) Call(ctx context.Context, req *proxy.Request, path string, from Caller) *proxy.Answer {
	view := d.View()
	if view.Table == nil || !d.Trusts() {
		return d.refuse(req, proxy.ReasonNotReady, spread(notReadyRetry))
	}
	route := view.Table.Match(req.Host, path)
	if route == nil {
		return proxy.Refusal(verdict.NotRun, proxy.ReasonUnknown)
	}
	limit := route.Timeout
	if from.Timeout > 0 && from.Timeout < limit {
		limit = from.Timeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req.Service, req.Route, req.Idempotent = route.Pick(), route.Name, route.Idempotent
	req.Rank = route.Priority
	if calls, repeat := d.Owner.Parent(req.RequestID); calls {
		req.Rank, req.Hop.Retry = callRank, repeat
	}
	d.Budget.Earn(req.Service)
	at := &attempt{route: route, req: req, view: view, target: time.Now().Add(route.Target), pipelines: from.Pipelines}
	a := d.offer(ctx, at)
	d.report(at, a)
	return a
}

// attempt is the state of one request on its way.
type attempt struct {
	route *routes.Route
	req   *proxy.Request
	view  *orders.View
	// target is when the answer begins to lose worth.
	target time.Time
	// pipelines says that answers to other requests may wait for this one.
	pipelines bool
	tried     []*balance.Endpoint
	// reached counts the upstreams that the request may have arrived at.
	reached int
	// open is set once it may have run.
	open bool
	// crashing requests are not repeated once they may have run.
	suspected bool
	// stop says why the request was not sent to a further upstream; empty when none was in sight.
	stop stop
}

// stop is why a request is not sent again, for the log.
type stop string

const (
	stopOutcome  stop = "outcome"  // the answer holds, or an unsafe request may have run
	stopCrashing stop = "crashing" // it was in flight at a crash
	stopReason   stop = "reason"   // no other upstream would answer otherwise
	stopAttempts stop = "attempts" // the route allows no more
	stopRepeat   stop = "repeat"   // it belongs to a repeat, which is not multiplied again
	stopBudget   stop = "budget"   // the retry budget is spent
)

// offer sends a request to one upstream after the other until an answer is final.
func (d *Dispatcher) offer(ctx context.Context, at *attempt) *proxy.Answer {
	req := at.req
	if d.Crashes.Watching() {
		f := proxy.Fingerprint(req)
		if d.Crashes.Blocked(f) {
			return proxy.Refusal(verdict.NotRun, proxy.ReasonCrashing)
		}
		at.suspected = d.Crashes.Suspected(f)
	}
	version := d.Canaries.Choose(req.Service)
	last := proxy.Refusal(verdict.NotRun, proxy.ReasonNoUpstream)
	last.RetryAfter = spread(noUpstreamRetry)
	for range maxOffers {
		if ctx.Err() != nil {
			break
		}
		e, patient := d.choose(at, version)
		if e == nil {
			break
		}
		a := d.send(ctx, at, e, patient)
		if last = a; !d.again(at, a, e) {
			break
		}
	}
	if at.open && last.Verdict == verdict.NotRun {
		last.Verdict = verdict.MayHaveRun
	}
	return last
}

// choose picks the next upstream; patient says that no other is likely to have room sooner.
func (d *Dispatcher) choose(at *attempt, version func(string) bool) (e *balance.Endpoint, patient bool) {
	ask := balance.Ask{Service: at.req.Service, Route: at.req.Route, Target: time.Until(at.target), Tried: at.tried, Awaited: at.pipelines,
		Eligible: func(e *balance.Endpoint) bool {
			return !at.view.ZonesOut[e.Zone] && (version == nil || version(e.Version))
		}}
	e, room := d.Balancer.Pick(ask)
	if e == nil && at.reached == 0 && len(at.tried) > 0 {
		// All have refused once; the least loaded may queue the request.
		ask.Tried = nil
		e, _ = d.Balancer.Pick(ask)
		return e, true
	}
	return e, !room
}

func (d *Dispatcher) send(ctx context.Context, at *attempt, e *balance.Endpoint, patient bool) *proxy.Answer {
	r := *at.req
	r.Version, r.Instance, r.Entry, r.ID, r.Patient = e.Version, e.Instance, d.Addr, d.nextID.Add(1), patient
	r.Target = time.Until(at.target)
	r.Hop.Retry = r.Hop.Retry || at.reached > 0
	e.Begin()
	defer e.End()
	at.tried = append(at.tried, e)
	if e.Addr == d.Addr {
		if end, ok := ctx.Deadline(); ok {
			r.Timeout = time.Until(end)
		}
		a := d.Owner.Handle(ctx, &r)
		d.learn(e, &r, a)
		return a
	}
	start := time.Now()
	a := proxy.CallOwner(ctx, d.Peers, e.Addr, &r)
	if now := time.Now(); a.Held > 0 || a.Reason == proxy.ReasonDeadline {
		e.Travelled(now.Sub(start)-a.Held, now)
		if a.Held == 0 && now.Sub(start) >= silenceFrom {
			d.silent(e, now)
		}
	}
	d.learn(e, &r, a)
	return a
}

// silenceFrom is how long an owner may leave a call without any answer before that says something
// of its zone: many times the way between zones, and less than the shortest deadlines of calls.
const silenceFrom = 150 * time.Millisecond

// silent takes in that the owner of e did not answer.
func (d *Dispatcher) silent(e *balance.Endpoint, now time.Time) {
	if d.Balancer.Silent(e, now) {
		d.Events.Emit(events.ZoneDoubted, events.Fields{"zone_in_doubt": e.Zone, "addr": e.Addr})
	}
}

// learn takes in what an answer says of its upstream.
func (d *Dispatcher) learn(e *balance.Endpoint, r *proxy.Request, a *proxy.Answer) {
	now := time.Now()
	if a.Load.Limit > 0 {
		d.Balancer.Reached(e)
	}
	told := e.Reported(a.Load, now)
	usual := d.Balancer.Usual(r.Service, r.Route)
	switch a.Reason {
	case proxy.ReasonNone:
		failed := a.Status >= fasthttp.StatusInternalServerError
		if !failed {
			d.Balancer.Learn(r.Service, r.Route, a.Took)
		}
		if e.Works(); !told {
			e.Answered(a.Took, usual, failed, now)
		}
	case proxy.ReasonShed:
		if !told {
			e.Shed(now)
		}
	case proxy.ReasonBroken, proxy.ReasonSpoiled:
		if !told {
			e.Answered(0, usual, true, now)
		}
	case proxy.ReasonDeadline:
		if a.Took > 0 && !told {
			e.Answered(a.Took, usual, false, now)
		}
	case proxy.ReasonPeerLost, proxy.ReasonUnreachable, proxy.ReasonDown, proxy.ReasonCrashed, proxy.ReasonNoUpstream,
		proxy.ReasonMoved, proxy.ReasonDraining, proxy.ReasonVetoed, proxy.ReasonZoneOut, proxy.ReasonNotReady:
		d.Events.Emit(events.EndpointShunned, events.Fields{"request": r.RequestID, "instance": e.Instance, "addr": e.Addr,
			"reason": a.Reason, "for_ms": e.Unreachable(now).Milliseconds()})
		if a.Reason == proxy.ReasonPeerLost {
			d.silent(e, now)
		}
		if a.Reason == proxy.ReasonCrashed {
			d.Crashes.Blame(proxy.Fingerprint(r), e.Instance)
		}
	}
}

// again takes in an answer and reports whether the request goes to another upstream.
func (d *Dispatcher) again(at *attempt, a *proxy.Answer, e *balance.Endpoint) bool {
	if a.Verdict != verdict.NotRun || a.Status != 0 {
		at.reached++
	}
	if a.Verdict == verdict.MayHaveRun {
		at.open = true
	}
	// A timeout of the upstream's own leaves no time for another.
	failed := a.Verdict == verdict.Ran && a.Status >= fasthttp.StatusInternalServerError && a.Status != fasthttp.StatusGatewayTimeout && at.route.Idempotent
	at.stop = ""
	switch {
	case a.Verdict == verdict.Ran && !failed, a.Verdict == verdict.MayHaveRun && !at.route.Idempotent:
		at.stop = stopOutcome
	case at.suspected && at.reached > 0:
		at.stop = stopCrashing
	case final(a.Reason):
		at.stop = stopReason
	case at.reached >= at.route.Attempts:
		at.stop = stopAttempts
	case at.reached > 0 && at.req.Hop.Retry:
		at.stop = stopRepeat
	case at.reached > 0 && !d.Budget.Spend(at.req.Service, a.Verdict != verdict.NotRun, at.req.Rank == callRank):
		at.stop = stopBudget
	}
	if at.stop != "" {
		return false
	}
	if at.reached > 0 {
		d.Events.Emit(events.CallRetried, events.Fields{"request": at.req.RequestID, "service": at.req.Service, "from": e.Instance,
			"reason": a.Reason, "status": a.Status, "verdict": a.Verdict.String()})
	}
	return true
}

// final reports whether no other upstream would answer otherwise.
func final(r proxy.Reason) bool {
	switch r {
	case proxy.ReasonCancelled, proxy.ReasonCrashing, proxy.ReasonCrashed, proxy.ReasonTooLarge, proxy.ReasonDeadline, proxy.ReasonBadRequest:
		return true
	default:
		return false
	}
}

func spread(d time.Duration) time.Duration { return d/2 + rand.N(d) }

func (d *Dispatcher) refuse(req *proxy.Request, reason proxy.Reason, after time.Duration) *proxy.Answer {
	a := proxy.Refusal(verdict.NotRun, reason)
	a.RetryAfter = after
	d.report(&attempt{req: req}, a)
	return a
}

// report writes the line of a request that was not served, or of a sample of those that were.
func (d *Dispatcher) report(at *attempt, a *proxy.Answer) {
	code, ok := proxy.EventOf(a)
	if !ok && !d.Events.Sample() {
		return
	}
	req, last := at.req, ""
	if n := len(at.tried); n > 0 {
		last = at.tried[n-1].Instance
	}
	d.Events.Emit(code, events.Fields{"request": req.RequestID, "offers": len(at.tried), "reached": at.reached, "upstream": last,
		"took_ms": a.Took.Milliseconds(), "service": req.Service, "route": req.Route, "reason": a.Reason, "status": a.Status,
		"verdict": a.Verdict.String(), "stop": at.stop, "in_use": a.Load.InUse, "limit": a.Load.Limit, "pace_ms": a.Load.Pace.Milliseconds(),
		"retry_after_ms": a.RetryAfter.Milliseconds(), "rank": req.Rank, "config": d.View().Next})
}
