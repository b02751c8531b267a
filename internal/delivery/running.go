package delivery

import (
	"sync"

	"celerybank/internal/proxy"
)

// running names the requests at the upstream.
type running struct {
	mu   sync.Mutex
	byID map[string]*runs
}

// runs counts the runs of one name, and says whether one of them is a repeat.
type runs struct {
	count  int
	repeat bool
}

func (r *running) add(req *proxy.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byID == nil {
		r.byID = map[string]*runs{}
	}
	x := r.byID[req.RequestID]
	if x == nil {
		x = &runs{}
		r.byID[req.RequestID] = x
	}
	x.count++
	x.repeat = x.repeat || req.Hop.Retry
}

func (r *running) remove(req *proxy.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if x := r.byID[req.RequestID]; x != nil {
		if x.count--; x.count == 0 {
			delete(r.byID, req.RequestID)
		}
	}
}

func (r *running) find(id string) (found, repeat bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.byID[id]
	return x != nil, x != nil && x.repeat
}
