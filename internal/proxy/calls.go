package proxy

import (
	"context"
	"sync"
	"time"
)

// Retention of calls that have ended, for entry nodes whose connection was lost before the response arrived.
const (
	// responseRetention is how long a response is kept. It covers the detection of a silent connection
	// and the opening of another; more costs memory.
	responseRetention = 800 * time.Millisecond
	// retainedResponseBytes bounds the responses that are kept; the oldest are dropped first.
	retainedResponseBytes = 256 << 10
	// idRetention is how long the ID of a call is kept beyond its timeout.
	idRetention = 2 * time.Second
	// fenceRetention is how long a call that had not arrived is refused if it still does. It exceeds the
	// time for which the network holds a message of a closed connection.
	fenceRetention = time.Minute
	// maxFences bounds the fences; beyond it a call that has not arrived counts as unknown.
	maxFences = 8192
)

// callID identifies a call. Entry nodes begin at a random number, so that no ID is used twice, also after
// a restart.
type callID struct {
	entry string
	id    uint64
}

// call is a call that has arrived at the owner.
type call struct {
	id     callID
	cancel context.CancelFunc
	// done is closed when the call has ended. The fields below are set before and guarded by callTable.mu.
	done     chan struct{}
	response *Response // nil once it is no longer kept
	verdict  Response  // the response without its content
	forget   time.Time // when the ID may be dropped
}

// callTable holds the calls that have arrived at the owner, and fences against those that an entry node has given up.
type callTable struct {
	mu    sync.Mutex
	byID  map[callID]*call
	ended []*call // in the order of their end; those from kept on may have a response
	kept  int
	bytes int
	// dropped is the highest ID of each entry node that was dropped: whether a call with that ID or a
	// lower one arrived is no longer known.
	dropped map[string]uint64
	fences  map[callID]time.Time
	swept   time.Time
	// disabled is set in tests only.
	disabled disabledRules
}

// disabledRules disables rules of the call table, so that a test can show that it detects their absence.
type disabledRules struct {
	// fence does not refuse a call that had not arrived when its entry node asked.
	fence bool
	// process answers for calls that were sent to another process.
	process bool
	// memory forgets a call as soon as it has ended.
	memory bool
}

func newCallTable() *callTable {
	return &callTable{byID: map[callID]*call{}, dropped: map[string]uint64{}, fences: map[callID]time.Time{}}
}

// begin records the arrival of a call. ok is false if the call is fenced.
func (t *callTable) begin(id callID, cancel context.CancelFunc, timeout time.Duration) (c *call, ok bool) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	if _, fenced := t.fences[id]; fenced {
		return nil, false
	}
	c = &call{id: id, cancel: cancel, done: make(chan struct{}), forget: now.Add(timeout + idRetention)}
	t.byID[id] = c
	return c, true
}

// end records the response to a call.
func (t *callTable) end(c *call, res *Response) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.response, c.verdict = res, Response{Verdict: res.Verdict, Reason: ReasonResponseGone, Load: res.Load}
	if at := time.Now().Add(responseRetention); at.After(c.forget) {
		c.forget = at
	}
	close(c.done)
	if t.disabled.memory {
		delete(t.byID, c.id)
		return
	}
	t.ended = append(t.ended, c)
	t.bytes += len(res.Body)
	for ; t.bytes > retainedResponseBytes && t.kept < len(t.ended); t.kept++ {
		t.dropResponse(t.ended[t.kept])
	}
	time.AfterFunc(responseRetention, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.dropResponse(c)
	})
}

func (t *callTable) dropResponse(c *call) {
	if c.response != nil {
		t.bytes -= len(c.response.Body)
		c.response = nil
	}
}

// sweepInterval is the minimum time between two sweeps.
const sweepInterval = time.Second

// sweep drops the IDs and fences that are old enough. t.mu is held.
func (t *callTable) sweep(now time.Time) {
	if now.Sub(t.swept) < sweepInterval {
		return
	}
	t.swept = now
	keep := t.ended[:0]
	for _, c := range t.ended {
		if now.Before(c.forget) {
			keep = append(keep, c)
			continue
		}
		t.dropResponse(c)
		delete(t.byID, c.id)
		t.dropped[c.id.entry] = max(t.dropped[c.id.entry], c.id.id)
	}
	clear(t.ended[len(keep):])
	t.ended, t.kept = keep, 0
	for id, until := range t.fences {
		if now.After(until) {
			delete(t.fences, id)
			t.dropped[id.entry] = max(t.dropped[id.entry], id.id)
		}
	}
}

func (t *callTable) cancel(id callID) {
	t.mu.Lock()
	c := t.byID[id]
	t.mu.Unlock()
	if c != nil {
		c.cancel()
	}
}

// lookup returns the call with an ID. If it has not arrived, it is fenced; known is false if that cannot be
// told or the fence not be kept.
func (t *callTable) lookup(id callID) (c *call, known bool) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	if c := t.byID[id]; c != nil {
		return c, true
	}
	if id.id <= t.dropped[id.entry] || len(t.fences) >= maxFences {
		return nil, false
	}
	if !t.disabled.fence {
		t.fences[id] = now.Add(fenceRetention)
	}
	return nil, true
}

// result returns the response to a call that has ended, or its verdict if the response is no longer kept.
func (t *callTable) result(c *call) Response {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.response != nil {
		return *c.response
	}
	return c.verdict
}
