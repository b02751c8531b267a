package routing

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// Endpoint is one upstream process with the load and failures that this node has observed.
type Endpoint struct {
	Addr, Zone, Region string
	Version, Instance  string
	Slots              int

	service string
	// score orders the endpoints of a group differently at each entry node (rendezvous hashing).
	score uint64
	// rank orders the endpoints of a group alike at every entry node.
	rank uint64

	// inflight counts the requests that this node has in flight at the endpoint.
	inflight atomic.Int64
	// reported is the last load that a response reported, encoded by packLoad.
	reported atomic.Uint64
	// reportedAt, avoidUntil and drainUntil are Unix times in nanoseconds.
	reportedAt atomic.Int64
	avoidUntil atomic.Int64
	drainUntil atomic.Int64
	// failures counts consecutive failures.
	failures atomic.Int32
}

// loadMaxAge is the time after which a reported load is ignored. A full upstream is tried again
// after it, because only a response can report that it is still full.
const loadMaxAge = 500 * time.Millisecond

// Mean time for which a failed endpoint is avoided: baseAvoidTime after the first failure, doubled with
// each consecutive one, at most maxAvoidDoublings times.
const (
	baseAvoidTime     = 125 * time.Millisecond
	maxAvoidDoublings = 5
)

// drainingExclusion is how long an endpoint that reported that it is draining is excluded. By then
// the membership has spread the draining status to every node.
const drainingExclusion = 5 * time.Second

// Begin counts the start of a request to e. End must follow.
func (e *Endpoint) Begin() { e.inflight.Add(1) }

// End counts the end of a request counted by Begin.
func (e *Endpoint) End() { e.inflight.Add(-1) }

// UpdateLoad records the load that a response reported.
func (e *Endpoint) UpdateLoad(inUse, limit int) {
	e.reported.Store(packLoad(inUse, limit))
	e.reportedAt.Store(time.Now().UnixNano())
}

// RecordSuccess records a success and clears earlier failures.
func (e *Endpoint) RecordSuccess() {
	if e.failures.Load() != 0 {
		e.failures.Store(0)
		e.avoidUntil.Store(0)
	}
}

// RecordFailure records a failure. It avoids e for a time with jitter that grows with each consecutive failure.
func (e *Endpoint) RecordFailure() {
	d := baseAvoidTime << min(e.failures.Add(1)-1, maxAvoidDoublings)
	e.Avoid(d/2 + rand.N(d))
}

// Avoid excludes e for the time d unless no other endpoint is eligible.
func (e *Endpoint) Avoid(d time.Duration) { e.avoidUntil.Store(time.Now().Add(d).UnixNano()) }

// SetDraining excludes e for a time, because it reported that it accepts no new requests.
func (e *Endpoint) SetDraining() { e.drainUntil.Store(time.Now().Add(drainingExclusion).UnixNano()) }

// load estimates the fraction of the slots in use. now is a Unix time in nanoseconds.
func (e *Endpoint) load(now int64) float64 {
	inUse, limit := int64(0), int64(e.Slots)
	if now-e.reportedAt.Load() < int64(loadMaxAge) {
		inUse, limit = unpackLoad(e.reported.Load())
	}
	return float64(max(inUse, e.inflight.Load())) / float64(max(limit, 1))
}

// packLoad encodes both numbers in one word, so that they are stored atomically.
func packLoad(inUse, limit int) uint64 {
	return uint64(uint32(max(inUse, 0)))<<32 | uint64(uint32(max(limit, 0)))
}

func unpackLoad(p uint64) (inUse, limit int64) { return int64(p >> 32), int64(uint32(p)) }
