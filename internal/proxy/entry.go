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

// PeerClient sends RPCs to other nodes.
type PeerClient interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// Entry is the entry node's side of a request: it routes the request, picks an upstream and retries.
type Entry struct {
	addr    string
	router  *routing.Router
	owner   *Owner
	peers   PeerClient
	budgets budgets
	nextID  atomic.Uint64
}

// NewEntry returns the entry of the node whose peer address is addr.
func NewEntry(addr string, router *routing.Router, owner *Owner, peers PeerClient) *Entry {
	e := &Entry{addr: addr, router: router, owner: owner, peers: peers}
	e.nextID.Store(FirstID())
	return e
}

// FirstID returns a random number from which the IDs of the calls of one process count up, so that no ID is
// used twice, also after a restart.
func FirstID() uint64 { return rand.Uint64N(1 << 62) }

// Dispatch routes req, whose Service, Method, URI, Header, Body, Key and Hop are set, and
// returns the response for the caller. timeout is the caller's, 0 for none; fallback is the
// timeout of routes that set none.
func (e *Entry) Dispatch(ctx context.Context, req *Request, path string, timeout, fallback time.Duration) *Response {
	if req.Hop.Depth > maxDepth {
		return refusal(verdict.NotRun, ReasonTooDeep)
	}
	svc := e.router.Table().Service(req.Service)
	if svc == nil {
		return refusal(verdict.NotRun, ReasonUnknownService)
	}
	route := svc.Match(req.Method, path)
	if route == nil {
		return refusal(verdict.NotRun, ReasonUnknownService)
	}
	req.Route, req.Idempotent = route.Name, route.Idempotent
	rule := retryRule{idempotent: req.Idempotent, singleAttempt: req.Hop.Retry}
	if crashes := e.owner.crashes; crashes.Active() {
		f := fingerprint(req)
		if crashes.Blocked(f) {
			return refusal(verdict.NotRun, ReasonCrashing)
		}
		// A request suspected of crashing upstreams is not retried once it may have run.
		rule.idempotent = rule.idempotent && !crashes.Suspected(f)
	}
	ctx, cancel := context.WithTimeout(ctx, effectiveTimeout(timeout, route.Timeout, fallback))
	defer cancel()
	return e.sendWithRetries(ctx, svc, req, rule)
}

// effectiveTimeout returns the caller's timeout, capped by the route's, or the route's if the caller sets
// none. fallback replaces a route timeout of 0, which means that the route sets none.
func effectiveTimeout(caller, route, fallback time.Duration) time.Duration {
	if route == 0 {
		route = fallback
	}
	if caller > 0 && caller < route {
		return caller
	}
	return route
}

// sendWithRetries sends req until a response is final, the retry budget is spent or the deadline has passed.
func (e *Entry) sendWithRetries(ctx context.Context, svc *routing.Service, req *Request, rule retryRule) *Response {
	retryBudget := e.budgets.forService(svc.Name)
	retryBudget.deposit()
	var tried [maxAttempts]*routing.Endpoint
	firstEligible, backoffs := 0, 0 // upstreams tried before firstEligible may be picked again: a backoff has passed since
	last := refusal(verdict.NotRun, ReasonNoUpstream)
	for n := range maxAttempts {
		ep := e.router.Pick(svc, tried[firstEligible:n])
		if atCapacity(last.Reason) && (ep == nil || n >= maxImmediateAttempts) {
			if !waitBackoff(ctx, backoffs) {
				break
			}
			backoffs++
			firstEligible = n
			ep = e.router.Pick(svc, nil)
		}
		if ep == nil || (n > 0 && !retryBudget.withdraw()) {
			break
		}
		tried[n] = ep
		last = e.attempt(ctx, ep, req, n > 0)
		if !rule.shouldRetry(last) || ctx.Err() != nil {
			break
		}
	}
	return rule.combine(last)
}

// Backoff of a request that several upstreams refused for lack of capacity.
const (
	// maxImmediateAttempts is the number of attempts made before the first backoff.
	maxImmediateAttempts = 3
	// firstBackoff is the mean of the first backoff; each further one is twice as long.
	firstBackoff = 20 * time.Millisecond
)

// atCapacity reports whether an upstream that refused for this reason may accept requests again soon.
func atCapacity(r Reason) bool { return r == ReasonFull || r == ReasonCold }

// waitBackoff waits for the backoff with the given number, counted from 0, with jitter. It returns false when ctx ends
// first, and at once when the deadline comes first.
func waitBackoff(ctx context.Context, n int) bool {
	mean := firstBackoff << n
	pause := mean/2 + rand.N(mean)
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= pause {
		return false
	}
	return duration.Sleep(ctx, pause)
}

func (e *Entry) attempt(ctx context.Context, ep *routing.Endpoint, req *Request, retry bool) *Response {
	if err := ctx.Err(); err != nil {
		return refusal(verdict.NotRun, reasonOf(verdict.NotRun, err))
	}
	ep.Begin()
	defer ep.End()
	r := *req
	r.Version, r.Instance, r.Entry, r.ID = ep.Version, ep.Instance, e.addr, e.nextID.Add(1)
	r.Hop.Retry = r.Hop.Retry || retry
	var res *Response
	if ep.Addr == e.addr {
		res = e.owner.Handle(ctx, &r)
	} else {
		res = e.sendToOwner(ctx, ep.Addr, &r)
	}
	updateEndpoint(ep, res)
	if res.Reason == ReasonCrashed {
		// The owner records the crash too; the fact spreads faster when two nodes gossip it.
		e.owner.crashes.RecordCrash(fingerprint(req), ep.Instance)
	}
	return res
}

// avoidReplaced is how long an endpoint whose upstream was replaced is picked last: about as
// long as the membership takes to announce the new upstream.
const avoidReplaced = time.Second

// updateEndpoint applies the load and the outcome in a response to the endpoint that it came from.
func updateEndpoint(ep *routing.Endpoint, res *Response) {
	if res.Load.Limit > 0 {
		ep.UpdateLoad(res.Load.InUse, res.Load.Limit)
	}
	if res.Load.Draining {
		ep.SetDraining()
	}
	switch res.Reason {
	case ReasonNone:
		ep.RecordSuccess()
	case ReasonReplaced, ReasonNoUpstream:
		ep.Avoid(avoidReplaced)
	case ReasonShed, ReasonUnreachable, ReasonConnBroken, ReasonInvalidResponse, ReasonCrashed, ReasonPeerLost, ReasonZoneOut, ReasonVetoed:
		ep.RecordFailure()
	}
}

// cancelTimeout bounds the RPC that cancels a request at its owner.
const cancelTimeout = 200 * time.Millisecond

// ownerDeadlineMargin is how much earlier the owner's deadline ends than the entry node's, so that
// the owner's verdict, which is more precise, arrives in time. It is at most a tenth of the
// time left.
const ownerDeadlineMargin = 10 * time.Millisecond

func (e *Entry) sendToOwner(ctx context.Context, addr string, r *Request) *Response {
	res := CallOwner(ctx, e.peers, addr, r)
	res.ReleaseMemory() // this node bounds responses by their size and number only
	return res
}

// CallOwner sends r to the owner at addr and returns its response. When the call fails, the response
// is a refusal with the verdict that follows from the error; when its connection is lost, the owner is
// asked over another one what became of r. When ctx ends first, the owner is asked
// to cancel the request.
func CallOwner(ctx context.Context, peers PeerClient, addr string, r *Request) *Response {
	if d, ok := ctx.Deadline(); ok {
		left := time.Until(d)
		r.Timeout = left - min(ownerDeadlineMargin, left/10)
	}
	var res Response
	err := peers.Call(ctx, addr, "Proxy.Call", r, &res)
	if err == nil {
		return &res
	}
	out := lostResponse(ctx, err)
	var lost *peer.LostError
	if errors.As(err, &lost) && ctx.Err() == nil {
		out = queryFate(ctx, peers, addr, r, lost)
	}
	if ctx.Err() != nil && !errors.Is(err, peer.ErrNotSent) {
		go sendCancel(peers, addr, r)
	}
	return out
}

// lostResponse returns the refusal for an RPC that ended with err instead of a response.
func lostResponse(ctx context.Context, err error) *Response {
	var serverErr rpc.ServerError
	switch {
	case errors.Is(err, peer.ErrTooLarge):
		return refusal(verdict.NotRun, ReasonResponseTooLarge)
	case errors.Is(err, peer.ErrRefused):
		return refusal(verdict.NotRun, ReasonNoMemory)
	case errors.Is(err, peer.ErrNoMemory):
		return refusal(verdict.MayHaveRun, ReasonResponseTooLarge)
	case errors.Is(err, peer.ErrNotSent) && ctx.Err() != nil:
		return refusal(verdict.NotRun, reasonOf(verdict.NotRun, ctx.Err()))
	case errors.Is(err, peer.ErrNotSent):
		return refusal(verdict.NotRun, ReasonPeerLost)
	case ctx.Err() != nil:
		return refusal(verdict.MayHaveRun, reasonOf(verdict.MayHaveRun, ctx.Err()))
	case errors.As(err, &serverErr) && isUndecodable(serverErr):
		return refusal(verdict.NotRun, ReasonNotReady)
	case errors.As(err, &serverErr):
		return refusal(verdict.MayHaveRun, ReasonBadRequest)
	default:
		return refusal(verdict.MayHaveRun, ReasonPeerLost)
	}
}

func sendCancel(peers PeerClient, addr string, r *Request) {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	_ = peers.Call(ctx, addr, "Proxy.Cancel", &Cancel{r.Entry, r.ID}, &Empty{}) // on failure the request ends at the owner's deadline
}
