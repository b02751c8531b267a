package proxy

import (
	"context"
	"math/rand/v2"
	"net/rpc"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"celerybank/internal/duration"
	"celerybank/internal/peer"
	"celerybank/internal/routing"
	"celerybank/internal/verdict"
)

// Caller performs calls to peers.
type Caller interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// Entry sends calls of callers to upstreams.
type Entry struct {
	addr    string
	router  *routing.Router
	owner   *Owner
	peers   Caller
	budgets budgets
	nextID  atomic.Uint64
}

// NewEntry returns the entry of the node with peer address addr.
func NewEntry(addr string, router *routing.Router, owner *Owner, peers Caller) *Entry {
	return &Entry{addr: addr, router: router, owner: owner, peers: peers}
}

// Call routes req, whose Service, Method, URI, Header, Body, Key and Hop are set, and
// returns the one answer for its caller. timeout is the caller's, 0 for none.
func (e *Entry) Call(ctx context.Context, req *Request, path string, timeout, fallback time.Duration) *Answer {
	if req.Hop.Depth > maxDepth {
		return refusal(verdict.NotRun, ReasonTooDeep)
	}
	svc := e.router.Table().Service(req.Service)
	if svc == nil {
		return refusal(verdict.NotRun, ReasonUnknown)
	}
	route := svc.Match(req.Method, path)
	if route == nil {
		return refusal(verdict.NotRun, ReasonUnknown)
	}
	req.Route, req.Idempotent = route.Name, route.Idempotent
	rule := retryRule{idempotent: req.Idempotent, single: req.Hop.Retry}
	if crashes := e.owner.crashes; crashes.Active() {
		f := fingerprint(req)
		if crashes.Blocked(f) {
			return refusal(verdict.NotRun, ReasonCrashing)
		}
		// A suspect is not sent again by the system once it may have run.
		rule.idempotent = rule.idempotent && !crashes.Suspected(f)
	}
	ctx, cancel := context.WithTimeout(ctx, shortest(timeout, route.Timeout, fallback))
	defer cancel()
	return e.attempts(ctx, svc, req, rule)
}

// shortest returns the caller's timeout or, without one, the route's or the node's;
// a caller cannot ask for more than its route gives.
func shortest(caller, route, fallback time.Duration) time.Duration {
	if route == 0 {
		route = fallback
	}
	if caller > 0 && caller < route {
		return caller
	}
	return route
}

// attempts sends req until an answer is final, the budget is spent or the deadline has passed.
func (e *Entry) attempts(ctx context.Context, svc *routing.Service, req *Request, rule retryRule) *Answer {
	purse := e.budgets.of(svc.Name)
	purse.deposit()
	var tried [maxAttempts]*routing.Endpoint
	from, pauses := 0, 0 // upstreams tried before from have had time to get room
	last := refusal(verdict.NotRun, ReasonNoUpstream)
	for n := range maxAttempts {
		ep := e.router.Pick(svc, tried[from:n])
		if crowded(last.Reason) && (ep == nil || n >= maxAtOnce) {
			if !backOff(ctx, pauses) {
				break
			}
			pauses++
			from = n
			ep = e.router.Pick(svc, nil)
		}
		if ep == nil || (n > 0 && !purse.withdraw()) {
			break
		}
		tried[n] = ep
		last = e.attempt(ctx, ep, req, n > 0)
		if !rule.again(last) || ctx.Err() != nil {
			break
		}
	}
	return rule.settle(last)
}

// Pauses of a call that several upstreams refused for want of room.
const (
	// maxAtOnce attempts are made without a pause.
	maxAtOnce = 3
	// firstPause is the mean of the first pause; each next one is twice as long.
	firstPause = 20 * time.Millisecond
)

// crowded reports whether an upstream that refused for this reason may have room soon.
func crowded(r Reason) bool { return r == ReasonFull || r == ReasonCold }

// backOff waits for the pause of that number, from 0, with jitter; false when the deadline comes first.
func backOff(ctx context.Context, pauses int) bool {
	mean := firstPause << pauses
	return duration.Sleep(ctx, mean/2+rand.N(mean))
}

func (e *Entry) attempt(ctx context.Context, ep *routing.Endpoint, req *Request, retry bool) *Answer {
	if err := ctx.Err(); err != nil {
		return refusal(verdict.NotRun, reasonOf(verdict.NotRun, err))
	}
	ep.Begin()
	defer ep.End()
	r := *req
	r.Version, r.Instance, r.Entry, r.ID = ep.Version, ep.Instance, e.addr, e.nextID.Add(1)
	r.Hop.Retry = r.Hop.Retry || retry
	var a *Answer
	if ep.Addr == e.addr {
		a = e.owner.Handle(ctx, &r)
	} else {
		a = e.remote(ctx, ep.Addr, &r)
	}
	learn(ep, a)
	if a.Reason == ReasonCrashed {
		// The owner blames it too; two nodes spread the news faster than one.
		e.owner.crashes.RecordCrash(fingerprint(req), ep.Instance)
	}
	return a
}

// replacedAvoid is how long an endpoint whose upstream was replaced is the last
// choice, until the membership brings the new one.
const replacedAvoid = time.Second

// learn takes in what an answer says of its upstream.
func learn(ep *routing.Endpoint, a *Answer) {
	if a.Load.Limit > 0 {
		ep.Observe(a.Load.InUse, a.Load.Limit)
	}
	if a.Load.Draining {
		ep.Draining()
	}
	switch a.Reason {
	case ReasonNone:
		ep.Succeeded()
	case ReasonMoved, ReasonNoUpstream:
		ep.Avoid(replacedAvoid)
	case ReasonShed, ReasonUnreachable, ReasonBroken, ReasonCrashed, ReasonPeerLost, ReasonZoneOut, ReasonVetoed:
		ep.Failed()
	}
}

// cancelTimeout bounds the message that ends a call nobody waits for.
const cancelTimeout = 200 * time.Millisecond

// answerMargin is what the owner's deadline ends before the entry's, so that the
// owner's verdict, which knows more, arrives in time.
const answerMargin = 10 * time.Millisecond

func (e *Entry) remote(ctx context.Context, addr string, r *Request) *Answer {
	return CallOwner(ctx, e.peers, addr, r)
}

// CallOwner sends r to the owner at addr and returns its answer, or what is known without
// one. When ctx ends first the owner is told to cancel.
func CallOwner(ctx context.Context, peers Caller, addr string, r *Request) *Answer {
	if d, ok := ctx.Deadline(); ok {
		left := time.Until(d)
		r.Timeout = left - min(answerMargin, left/10)
	}
	var a Answer
	err := peers.Call(ctx, addr, "Proxy.Call", r, &a)
	if err == nil {
		return &a
	}
	if ctx.Err() != nil && !errors.Is(err, peer.ErrNotSent) {
		go cancel(peers, addr, r)
	}
	return lostAnswer(ctx, err)
}

// lostAnswer is the answer to a call that the peer did not answer.
func lostAnswer(ctx context.Context, err error) *Answer {
	var answered rpc.ServerError
	switch {
	case errors.Is(err, peer.ErrTooLarge):
		return refusal(verdict.NotRun, ReasonTooLarge)
	case errors.Is(err, peer.ErrNotSent) && ctx.Err() != nil:
		return refusal(verdict.NotRun, reasonOf(verdict.NotRun, ctx.Err()))
	case errors.Is(err, peer.ErrNotSent):
		return refusal(verdict.NotRun, ReasonPeerLost)
	case ctx.Err() != nil:
		return refusal(verdict.MayHaveRun, reasonOf(verdict.MayHaveRun, ctx.Err()))
	case errors.As(err, &answered):
		return refusal(verdict.MayHaveRun, ReasonBadRequest)
	default:
		return refusal(verdict.MayHaveRun, ReasonPeerLost)
	}
}

func cancel(peers Caller, addr string, r *Request) {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	_ = peers.Call(ctx, addr, "Proxy.Cancel", &Cancel{r.Entry, r.ID}, &Empty{}) // the owner's deadline ends it anyway
}
