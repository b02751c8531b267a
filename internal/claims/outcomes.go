package claims

import (
	"sync"
	"time"

	"celerybank/internal/proxy"
	"celerybank/internal/verdict"
)

// ownRequest is a keyed request of this process. Each of its attempts to collect grants has
// its own ID; only the last one can lead to a run.
type ownRequest struct {
	key      Key
	attempts []ID
	current  ID // 0 between two attempts
	outcome  Outcome
	verdict  verdict.Verdict
	response *proxy.Response
	size     int
	expires  time.Time
	ended    chan struct{}
}

// outcomes keeps the outcomes of this process's claims and evicts the oldest first.
type outcomes struct {
	mu    sync.Mutex
	byID  map[ID]*ownRequest
	order []*ownRequest
	bytes int
	// maxRequests bounds the number of requests, maxBytes the total size of their
	// responses.
	maxRequests, maxBytes int
}

func newOutcomes(maxRequests, maxBytes int) *outcomes {
	return &outcomes{byID: map[ID]*ownRequest{}, maxRequests: maxRequests, maxBytes: maxBytes}
}

// begin registers a request that is about to claim its key.
func (o *outcomes) begin(k Key) *ownRequest {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := &ownRequest{key: k, outcome: Running, ended: make(chan struct{}), expires: time.Now().Add(Lifetime)}
	o.order = append(o.order, r)
	o.evict()
	return r
}

// addAttempt registers id as the current attempt of r.
func (o *outcomes) addAttempt(r *ownRequest, id ID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r.attempts, r.current = append(r.attempts, id), id
	o.byID[id] = r
}

// attemptFailed records that the current attempt never leads to a run.
func (o *outcomes) attemptFailed(r *ownRequest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r.current = 0
}

// abandon records that the request was not sent and never will be.
func (o *outcomes) abandon(r *ownRequest) { o.end(r, Abandoned, verdict.NotRun, nil) }

// complete records the outcome of a run.
func (o *outcomes) complete(r *ownRequest, res *proxy.Response) {
	o.end(r, Completed, res.Verdict, res)
}

func (o *outcomes) end(r *ownRequest, outcome Outcome, v verdict.Verdict, res *proxy.Response) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r.outcome, r.verdict, r.expires = outcome, v, time.Now().Add(Lifetime)
	if size := responseSize(res); size <= o.maxBytes/8 {
		r.response, r.size = res, size
		o.bytes += size
	}
	close(r.ended)
	o.evict()
}

func responseSize(res *proxy.Response) int {
	if res == nil {
		return 0
	}
	n := len(res.Body)
	for _, f := range res.Header {
		n += len(f.Name) + len(f.Value)
	}
	return n
}

// evict removes requests that have expired or exceed the bounds, oldest first. It stops at
// the first one that still runs.
func (o *outcomes) evict() {
	now := time.Now()
	for len(o.order) > 0 {
		r := o.order[0]
		over := len(o.order) > o.maxRequests || o.bytes > o.maxBytes || now.After(r.expires)
		if !over || r.outcome == Running {
			return
		}
		o.order = o.order[1:]
		o.bytes -= r.size
		for _, id := range r.attempts {
			delete(o.byID, id)
		}
	}
}

// lookup returns the outcome of claim id and its key. It waits for the end of the request
// for at most wait, or until done is closed.
func (o *outcomes) lookup(id ID, wait time.Duration, done <-chan struct{}) (OutcomeReply, Key) {
	o.mu.Lock()
	r := o.byID[id]
	o.mu.Unlock()
	if r == nil {
		return OutcomeReply{}, Key{}
	}
	if wait > 0 {
		t := time.NewTimer(wait)
		defer t.Stop()
		select {
		case <-r.ended:
		case <-t.C:
		case <-done:
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if r.outcome == Running && r.current != id {
		return OutcomeReply{Outcome: Retrying}, r.key
	}
	return OutcomeReply{Outcome: r.outcome, Verdict: r.verdict, Response: r.response}, r.key
}
