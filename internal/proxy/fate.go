package proxy

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"celerybank/internal/duration"
	"celerybank/internal/peer"
	"celerybank/internal/verdict"
)

// FateQuery asks an owner what became of a call whose connection was lost.
type FateQuery struct {
	Entry string `msgpack:"e"`
	ID    uint64 `msgpack:"i"`
	// Process identifies the process of the owner that the call was sent to.
	Process uint64 `msgpack:"p"`
}

// Fate is what became of a call.
type Fate uint8

const (
	// FateUnknown means that the owner cannot tell: it is another process, or has forgotten.
	FateUnknown Fate = iota
	// FateNeverArrived means that the call has not arrived and will be refused if it still does.
	FateNeverArrived
	// FateEnded means that the call has ended with the response in the reply.
	FateEnded
)

// FateReply is the reply to a FateQuery.
type FateReply struct {
	Fate     Fate     `msgpack:"f"`
	Response Response `msgpack:"r"`
}

// Fate tells an entry node what became of a call. It waits for a call that is queued or runs.
func (s *Service) Fate(q *FateQuery, reply *FateReply) error {
	if q.Process != s.process && !s.calls.disabled.process {
		return nil
	}
	c, known := s.calls.lookup(callID{q.Entry, q.ID})
	switch {
	case !known:
	case c == nil:
		reply.Fate = FateNeverArrived
	default:
		select {
		case <-c.done:
			reply.Fate, reply.Response = FateEnded, s.calls.result(c)
		case <-s.ctx.Done():
		}
	}
	return nil
}

const (
	// fateWait is how long the owner of an unsafe request is asked what became of it while it does not
	// respond. A safe one is sent elsewhere at once.
	fateWait = time.Second
	// fatePause is the pause between two queries.
	fatePause = 50 * time.Millisecond
)

// queryFate asks the owner at addr what became of r, whose connection was lost, and returns the response. A
// request that never arrived has not run and will not.
func queryFate(ctx context.Context, peers PeerClient, addr string, r *Request, lost *peer.LostError) *Response {
	if lost.Process == 0 {
		return refusal(verdict.MayHaveRun, ReasonPeerLost)
	}
	for start := time.Now(); ; {
		var reply FateReply
		err := peers.Call(ctx, addr, "Proxy.Fate", &FateQuery{r.Entry, r.ID, lost.Process}, &reply)
		switch {
		case err == nil && reply.Fate == FateEnded:
			reply.Response.Recovered = true
			return &reply.Response
		case err == nil && reply.Fate == FateNeverArrived:
			return &Response{Verdict: verdict.NotRun, Reason: ReasonNeverArrived, Recovered: true}
		case err == nil, ctx.Err() != nil, r.Idempotent, time.Since(start) >= fateWait, !noAnswer(err):
			return lostResponse(ctx, errFateUnknown)
		}
		if !duration.Sleep(ctx, fatePause) {
			return lostResponse(ctx, ctx.Err())
		}
	}
}

// noAnswer reports whether a query may be answered later.
func noAnswer(err error) bool {
	var lost *peer.LostError
	return errors.Is(err, peer.ErrNotSent) || errors.As(err, &lost)
}

// errFateUnknown reports a call that may have run at its owner.
var errFateUnknown = errors.New("it is not known whether the call has run")
