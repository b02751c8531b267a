// Package crash detects requests that crash upstreams. Every request in flight when an
// upstream crashes is a suspect; one that was in flight at two crashes is blocked: all
// nodes refuse it for blockDuration.
package crash

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"celerybank/internal/events"
	"celerybank/internal/gossip"
)

// FactKind is the kind of the facts that report crashes to other nodes.
const FactKind = "crash"

// Facts spreads gossip facts.
type Facts interface {
	SetFact(gossip.Fact)
	SubscribeFacts(func(gossip.Fact))
}

// Expiry of suspicions and blocks.
const (
	// suspectLifetime is how long a request remains a suspect after a crash.
	suspectLifetime = 5 * time.Minute
	// blockDuration is how long a request is refused once it is blocked.
	blockDuration = 10 * time.Minute
)

// crashesToBlock is the number of crashes with the request in flight after which it is
// blocked.
const crashesToBlock = 2

// Limits on the requests that are tracked, and on the suspects that this node records for
// one crash.
const (
	maxRequests         = 1024
	maxSuspectsPerCrash = 64
)

// Sequence numbers of facts: a fact that clears a request supersedes those that it was in
// flight at the crash.
const (
	seqSuspected   = 1
	seqRepublished = 2
	seqCleared     = 3
)

// Registry holds the suspects and the blocked requests by fingerprint. Active, RecordCrash,
// Republish and Expire accept a nil Registry.
type Registry struct {
	facts  Facts
	events *events.Recorder
	// entries is the length of requests, readable without the lock, so that requests cost
	// nothing extra while there are no suspects.
	entries atomic.Int64

	mu              sync.Mutex
	requests        map[uint64]*request
	suspectsByCrash map[string]int // number of suspects recorded by this node, by process
}

// request is the state of one fingerprint.
type request struct {
	// crashes maps the processes that crashed with the request in flight to the time when
	// the suspicion expires.
	crashes      map[string]time.Time
	blockedUntil time.Time // end of the block; zero if not blocked
}

// Process returns the identity of a process of an upstream for RecordCrash: its instance, and its start in Unix milliseconds, as it may start
// again under the name. born is 0 if instances are unique to processes, or the start is unknown.
func Process(instance string, born int64) string {
	if born == 0 {
		return instance
	}
	return instance + "/" + strconv.FormatInt(born, 10)
}

// New returns a registry that exchanges suspicions with other nodes through facts, which
// may be nil.
func New(facts Facts, ev *events.Recorder) *Registry {
	r := &Registry{facts: facts, events: ev, requests: map[uint64]*request{}, suspectsByCrash: map[string]int{}}
	if facts != nil {
		facts.SubscribeFacts(r.mergeFact)
	}
	return r
}

// Active reports whether any request is suspected or blocked. It takes no lock.
func (r *Registry) Active() bool { return r != nil && r.entries.Load() > 0 }

// Blocked reports whether the request is refused because it was in flight at
// crashesToBlock crashes.
func (r *Registry) Blocked(fingerprint uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	req := r.requests[fingerprint]
	return req != nil && time.Now().Before(req.blockedUntil)
}

// Suspected reports whether the request was in flight at a crash that has not expired.
func (r *Registry) Suspected(fingerprint uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requests[fingerprint] != nil
}

// RecordCrash records that the request was in flight when the given process of an upstream
// crashed.
func (r *Registry) RecordCrash(fingerprint uint64, process string) {
	if r == nil {
		return
	}
	r.mu.Lock()
	if len(r.suspectsByCrash) >= maxRequests {
		clear(r.suspectsByCrash)
	}
	r.suspectsByCrash[process]++
	if r.suspectsByCrash[process] > maxSuspectsPerCrash {
		r.mu.Unlock()
		return
	}
	r.addCrash(fingerprint, process, time.Now().Add(suspectLifetime))
	r.mu.Unlock()
	r.publish(fingerprint, process, seqSuspected)
}

// Clear removes the request from the suspects because an upstream has responded to it.
// The removal spreads to all nodes and also lifts a block.
func (r *Registry) Clear(fingerprint uint64) {
	r.mu.Lock()
	var crashes []string
	if req := r.requests[fingerprint]; req != nil {
		crashes = slices.Collect(maps.Keys(req.crashes))
		for _, process := range crashes {
			r.removeCrash(fingerprint, req, process)
		}
	}
	r.mu.Unlock()
	for _, process := range crashes {
		r.publish(fingerprint, process, seqCleared)
	}
}

// Republish publishes an earlier suspicion again, for nodes that did not receive the first
// fact.
func (r *Registry) Republish(fingerprint uint64, process string) {
	if r != nil && r.Suspected(fingerprint) {
		r.publish(fingerprint, process, seqRepublished)
	}
}

// publish gossips a fact about the request and the crashed process.
func (r *Registry) publish(fingerprint uint64, process string, seq int64) {
	if r.facts == nil {
		return
	}
	r.facts.SetFact(gossip.Fact{Kind: FactKind, Key: strconv.FormatUint(fingerprint, 16) + "/" + process,
		Seq: seq, Expires: time.Now().Add(suspectLifetime)})
}

// mergeFact applies a fact from another node.
func (r *Registry) mergeFact(f gossip.Fact) {
	if f.Kind != FactKind {
		return
	}
	hex, process, _ := strings.Cut(f.Key, "/")
	fingerprint, err := strconv.ParseUint(hex, 16, 64)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if f.Seq >= seqCleared {
		if req := r.requests[fingerprint]; req != nil {
			r.removeCrash(fingerprint, req, process)
		}
		return
	}
	r.addCrash(fingerprint, process, f.Expires)
}

// addCrash adds a crash to a request and blocks it after crashesToBlock. r.mu is held.
func (r *Registry) addCrash(fingerprint uint64, process string, expires time.Time) {
	req := r.requests[fingerprint]
	if req == nil {
		if len(r.requests) >= maxRequests {
			return
		}
		req = &request{crashes: map[string]time.Time{}}
		r.requests[fingerprint] = req
		r.entries.Add(1)
	}
	req.crashes[process] = expires
	if len(req.crashes) >= crashesToBlock && req.blockedUntil.IsZero() {
		req.blockedUntil = time.Now().Add(blockDuration)
		r.events.Emit(events.RequestBlocked, events.Fields{"fingerprint": strconv.FormatUint(fingerprint, 16), "crashes": len(req.crashes)})
	}
}

// removeCrash removes a crash from a request, lifting its block if too few remain. r.mu is
// held.
func (r *Registry) removeCrash(fingerprint uint64, req *request, process string) {
	delete(req.crashes, process)
	if len(req.crashes) < crashesToBlock && !req.blockedUntil.IsZero() {
		req.blockedUntil = time.Time{}
		r.events.Emit(events.RequestUnblocked, events.Fields{"fingerprint": strconv.FormatUint(fingerprint, 16)})
	}
	if len(req.crashes) == 0 && r.requests[fingerprint] == req {
		delete(r.requests, fingerprint)
		r.entries.Add(-1)
	}
}

// Expire removes expired suspicions and blocks. It is to be called about once a second.
func (r *Registry) Expire() {
	if !r.Active() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for fingerprint, req := range r.requests {
		if now.Before(req.blockedUntil) {
			continue
		}
		for process, expires := range req.crashes {
			if !req.blockedUntil.IsZero() || now.After(expires) {
				r.removeCrash(fingerprint, req, process)
			}
		}
	}
}
