package proxy

import (
	"context"
	"sync"

	"celerybank/internal/peer"
)

// inflightID identifies a request in flight at an owner.
type inflightID struct {
	entry string
	id    uint64
}

// inflightShardCount is the number of shards of the requests in flight; each has its own lock to
// reduce contention.
const inflightShardCount = 16

// inflight holds the cancel function of each request in flight.
type inflight [inflightShardCount]*inflightShard

type inflightShard struct {
	mu      sync.Mutex
	cancels map[inflightID]context.CancelFunc
}

func newInflight() (f inflight) {
	for i := range f {
		f[i] = &inflightShard{cancels: map[inflightID]context.CancelFunc{}}
	}
	return f
}

func (f *inflight) shard(id inflightID) *inflightShard { return f[id.id%inflightShardCount] }

func (f *inflight) add(id inflightID, cancel context.CancelFunc) {
	s := f.shard(id)
	s.mu.Lock()
	s.cancels[id] = cancel
	s.mu.Unlock()
}

func (f *inflight) remove(id inflightID) {
	s := f.shard(id)
	s.mu.Lock()
	delete(s.cancels, id)
	s.mu.Unlock()
}

func (f *inflight) cancel(id inflightID) {
	s := f.shard(id)
	s.mu.Lock()
	cancel := s.cancels[id]
	s.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// Runner runs requests at the upstream on its host.
type Runner interface {
	Handle(ctx context.Context, req *Request) *Response
}

// Service is the RPC service through which entry nodes reach the owner.
type Service struct {
	ctx      context.Context
	owner    Runner
	inflight inflight
}

// NewService returns the RPC service for owner; ctx ends with the process.
func NewService(ctx context.Context, owner Runner) *Service {
	return &Service{ctx, owner, newInflight()}
}

// Call is the RPC method that runs a request at the owner for an entry node.
func (s *Service) Call(req *Request, reply *Response) error {
	ctx, cancel := context.WithTimeout(s.ctx, req.Timeout)
	defer cancel()
	id := inflightID{req.Entry, req.ID}
	s.inflight.add(id, cancel)
	defer s.inflight.remove(id)
	*reply = *limitToFrame(s.owner.Handle(ctx, req))
	return nil
}

// maxResponseBytes bounds the content of a response in a message to a peer. The rest of the frame is
// for the other fields.
const maxResponseBytes = peer.MaxFrame - 1<<16

// fieldOverheadBytes is the most that the codec adds to one header field.
const fieldOverheadBytes = 16

// limitToFrame replaces a response that does not fit into a message by a refusal with the same verdict.
func limitToFrame(res *Response) *Response {
	size := len(res.Body)
	for _, f := range res.Header {
		size += len(f.Name) + len(f.Value) + fieldOverheadBytes
	}
	if size <= maxResponseBytes {
		return res
	}
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
	s.inflight.cancel(inflightID{c.Entry, c.ID})
	return nil
}
