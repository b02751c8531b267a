package proxy

import (
	"context"
	"sync"

	"celerybank/internal/peer"
)

// callID names a call in flight at an owner.
type callID struct {
	entry string
	id    uint64
}

// inflightShards splits the calls in flight, so that they share no lock.
const inflightShards = 16

// inflight holds how to cancel each call.
type inflight [inflightShards]*inflightShard

type inflightShard struct {
	mu    sync.Mutex
	calls map[callID]context.CancelFunc
}

func newInflight() (f inflight) {
	for i := range f {
		f[i] = &inflightShard{calls: map[callID]context.CancelFunc{}}
	}
	return f
}

func (f *inflight) shard(id callID) *inflightShard { return f[id.id%inflightShards] }

func (f *inflight) add(id callID, cancel context.CancelFunc) {
	s := f.shard(id)
	s.mu.Lock()
	s.calls[id] = cancel
	s.mu.Unlock()
}

func (f *inflight) remove(id callID) {
	s := f.shard(id)
	s.mu.Lock()
	delete(s.calls, id)
	s.mu.Unlock()
}

func (f *inflight) cancel(id callID) {
	s := f.shard(id)
	s.mu.Lock()
	cancel := s.calls[id]
	s.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// Runner runs requests at the upstream of its host.
type Runner interface {
	Handle(ctx context.Context, req *Request) *Answer
}

// Service answers entry nodes.
type Service struct {
	ctx      context.Context
	owner    Runner
	inflight inflight
}

// NewService returns the rpc service over owner; ctx ends with the process.
func NewService(ctx context.Context, owner Runner) *Service {
	return &Service{ctx, owner, newInflight()}
}

// Call is the rpc method behind which the owner answers entry nodes.
func (s *Service) Call(req *Request, reply *Answer) error {
	ctx, cancel := context.WithTimeout(s.ctx, req.Timeout)
	defer cancel()
	id := callID{req.Entry, req.ID}
	s.inflight.add(id, cancel)
	defer s.inflight.remove(id)
	*reply = *fitFrame(s.owner.Handle(ctx, req))
	return nil
}

// maxAnswer bounds an answer's content in a message to a peer, in bytes.
const maxAnswer = peer.MaxFrame - 1<<16

// fieldOverhead bounds what the codec adds to one header field, in bytes.
const fieldOverhead = 16

// fitFrame replaces an answer that no message can carry by a refusal with the same verdict.
func fitFrame(a *Answer) *Answer {
	size := len(a.Body)
	for _, f := range a.Header {
		size += len(f.Name) + len(f.Value) + fieldOverhead
	}
	if size <= maxAnswer {
		return a
	}
	return &Answer{Verdict: a.Verdict, Reason: ReasonTooLarge, Load: a.Load}
}

// Cancel names a call that its entry node no longer waits for.
type Cancel struct {
	Entry string `msgpack:"e"`
	ID    uint64 `msgpack:"i"`
}

// Empty is an answer without content.
type Empty struct{}

// Cancel ends a call in flight; an unknown one is ignored.
func (s *Service) Cancel(c *Cancel, _ *Empty) error {
	s.inflight.cancel(callID{c.Entry, c.ID})
	return nil
}
