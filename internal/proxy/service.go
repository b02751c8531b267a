package proxy

import (
	"context"

	"celerybank/internal/peer"
	"celerybank/internal/verdict"
)

// Runner runs requests at the upstream on its host.
type Runner interface {
	Handle(ctx context.Context, req *Request) *Response
}

// Service is the RPC service through which entry nodes reach the owner.
type Service struct {
	ctx     context.Context
	owner   Runner
	process uint64
	calls   *callTable
}

// NewService returns the RPC service for owner; ctx ends with the process, which process identifies
// (peer.Server.Process).
func NewService(ctx context.Context, owner Runner, process uint64) *Service {
	return &Service{ctx, owner, process, newCallTable()}
}

// Call is the RPC method that runs a request at the owner for an entry node.
func (s *Service) Call(req *Request, reply *Response) error {
	ctx, cancel := context.WithTimeout(s.ctx, req.Timeout)
	defer cancel()
	c, ok := s.calls.begin(callID{req.Entry, req.ID}, cancel, req.Timeout)
	if !ok {
		*reply = *refusal(verdict.NotRun, ReasonNeverArrived)
		return nil
	}
	*reply = *limitToFrame(s.owner.Handle(ctx, req))
	s.calls.end(c, reply)
	return nil
}

// maxResponseBytes bounds the content of a response in a message to a peer. The rest of the frame is
// for the other fields.
const maxResponseBytes = peer.MaxFrame - 1<<16

// fieldOverheadBytes is the most that the codec adds to one header field.
const fieldOverheadBytes = 16

// limitToFrame replaces a response that does not fit into a message by a refusal with the same verdict.
func limitToFrame(res *Response) *Response {
	if res.FrameSize() <= maxResponseBytes {
		return res
	}
	res.ReleaseMemory()
	return &Response{Verdict: res.Verdict, Reason: ReasonResponseTooLarge, Load: res.Load}
}

// Cancel identifies a request that its entry node no longer waits for.
type Cancel struct {
	Entry string `msgpack:"e"`
	ID    uint64 `msgpack:"i"`
}

// Empty is an RPC reply without content.
type Empty struct{}

// Cancel cancels a request in flight; an unknown one is ignored.
func (s *Service) Cancel(c *Cancel, _ *Empty) error {
	s.calls.cancel(callID{c.Entry, c.ID})
	return nil
}
