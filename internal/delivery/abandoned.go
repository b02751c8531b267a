package delivery

import (
	"sync"
	"time"

	"celerybank/internal/proxy"
	"celerybank/internal/verdict"
)

// Retention of requests that were given up while the upstream may still run them.
const (
	// abandonedRetention is how long upstreams are expected to go on with a request whose connection was closed. It is several
	// times the timeouts of routes in the platform's examples, 1 s and 1.2 s.
	abandonedRetention = 5 * time.Second
	// maxAbandoned bounds the memory; the oldest are dropped first.
	maxAbandoned = 4096
)

// abandoned has the IDs of requests that were given up. Their child requests need no key, since the upstream sends them all the
// same; they have no other privilege.
type abandoned struct {
	mu    sync.Mutex
	until map[string]time.Time
	order []string
}

// add records a request if it may still be running after the response res.
func (a *abandoned) add(req *proxy.Request, res *proxy.Response) {
	if res.Verdict != verdict.MayHaveRun {
		return
	}
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.until == nil {
		a.until = map[string]time.Time{}
	}
	for len(a.order) > 0 && (len(a.order) >= maxAbandoned || now.After(a.until[a.order[0]])) {
		delete(a.until, a.order[0])
		a.order = a.order[1:]
	}
	a.until[req.RequestID] = now.Add(abandonedRetention)
	a.order = append(a.order, req.RequestID)
}

func (a *abandoned) has(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	until, ok := a.until[id]
	return ok && time.Now().Before(until)
}

// Abandoned reports whether the request with this ID is a child request of one that was given up lately and that the upstream of
// this host may still be running.
func (o *Owner) Abandoned(id string) bool {
	parent, ok := parentID(id)
	return ok && o.abandoned.has(parent)
}
