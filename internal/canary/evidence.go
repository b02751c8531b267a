package canary

import (
	"sync"
	"time"

	"celerybank/internal/window"
)

// Size of the rings of counters: about 32 s, meant to cover a whole rollout, in buckets that are
// small enough for a decision within seconds.
const (
	ringBuckets  = 128
	ringInterval = 250 * time.Millisecond
)

// Counters of one bucket.
const (
	cellTotal = iota
	cellFailed
	cellMillis
	cells
)

// Counts are outcomes of requests within a window.
type Counts struct {
	Total  uint64 `msgpack:"t"`
	Failed uint64 `msgpack:"f"`
	// Millis is the sum of the latencies in milliseconds.
	Millis uint64 `msgpack:"m"`
}

func (c *Counts) add(o Counts) {
	c.Total, c.Failed, c.Millis = c.Total+o.Total, c.Failed+o.Failed, c.Millis+o.Millis
}

// failureRatio returns the ratio of requests that failed; 0 without requests.
func (c Counts) failureRatio() float64 { return float64(c.Failed) / float64(max(c.Total, 1)) }

// mean returns the mean latency in milliseconds; 0 without requests.
func (c Counts) mean() float64 { return float64(c.Millis) / float64(max(c.Total, 1)) }

// RouteEvidence has the counts of one route in the recent window and since the rollout began.
type RouteEvidence struct {
	Route  string `msgpack:"r"`
	Recent Counts `msgpack:"c"`
	All    Counts `msgpack:"a"`
}

// recorder counts outcomes of requests at their owner.
type recorder struct {
	mu     sync.Mutex
	routes map[string]*window.Ring
}

func (r *recorder) ring(route string) *window.Ring {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.routes == nil {
		r.routes = map[string]*window.Ring{}
	}
	ring := r.routes[route]
	if ring == nil {
		ring = window.NewRing(ringBuckets, ringInterval, cells)
		r.routes[route] = ring
	}
	return ring
}

func (r *recorder) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.routes)
}

// observe counts one request. It is called only while a rollout of the service is running.
func (r *recorder) observe(route string, failed bool, took time.Duration) {
	b := r.ring(route).At(time.Now())
	b.Add(cellTotal, 1)
	b.Add(cellMillis, uint32(took.Milliseconds()))
	if failed {
		b.Add(cellFailed, 1)
	}
}

// evidence returns the counts of each route over the windows recent and all. Routes without
// requests in all are left out.
func (r *recorder) evidence(recent, all time.Duration) []RouteEvidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	var out []RouteEvidence
	for route, ring := range r.routes {
		e := RouteEvidence{Route: route, Recent: sum(ring, now, recent), All: sum(ring, now, all)}
		if e.All.Total > 0 {
			out = append(out, e)
		}
	}
	return out
}

func sum(ring *window.Ring, now time.Time, span time.Duration) Counts {
	out := make([]uint64, cells)
	ring.Sum(now, span, out)
	return Counts{Total: out[cellTotal], Failed: out[cellFailed], Millis: out[cellMillis]}
}
