package delivery

import (
	"sync"

	"celerybank/internal/proxy"
)

// running tracks the requests at the upstream by their ID.
type running struct {
	mu   sync.Mutex
	byID map[string]*runs
}

// runs counts the concurrent runs of one request ID; retry is set if one of them is a retry.
type runs struct {
	count int
	retry bool
	// route is that of the request, rootRank the rank of the request that began its call tree.
	route    string
	rootRank int
}

func (r *running) add(req *proxy.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byID == nil {
		r.byID = map[string]*runs{}
	}
	x := r.byID[req.RequestID]
	if x == nil {
		x = &runs{route: req.Route}
		x.rootRank, _ = proxy.RootRank(req.Rank)
		r.byID[req.RequestID] = x
	}
	x.count++
	x.retry = x.retry || req.Hop.Retry
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

func (r *running) find(id string) (found, retry bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.byID[id]
	return x != nil, x != nil && x.retry
}

// origin returns the route of a running request, and the rank of the request that began its call tree.
func (r *running) origin(id string) (route string, rootRank int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.byID[id]
	if x == nil {
		return "", 0, false
	}
	return x.route, x.rootRank, true
}
