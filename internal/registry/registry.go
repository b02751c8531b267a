// Package registry knows the one upstream on this host from what it announces: which
// process it is, whether it leaves, and how long it stays cold.
package registry

import (
	"sync"
	"time"

	"celerybank/internal/events"
)

// State is what an upstream says of itself.
type State uint8

const (
	// Ready upstreams take work.
	Ready State = iota
	// Draining upstreams finish what they have.
	Draining
	// Gone upstreams have said that they end; they finish what they have.
	Gone
)

// Announcement is one message of an upstream about itself.
type Announcement struct {
	// Instance names the process; a process that starts again may keep it.
	Instance string
	Service  string
	// Address is the IP:port at which the upstream takes requests.
	Address string
	Zone    string
	Version string
	Slots   int
	State   State
	// Cold is how much longer the upstream bears little load.
	Cold time.Duration
	// Sequence grows with each message of one process.
	Sequence int64
	// Born is when the process started, in unix milliseconds; 0 when it does not say.
	Born int64
}

// Upstream is the upstream in force.
type Upstream struct {
	Announcement
	// Heard is when the newest announcement came.
	Heard time.Time
	// ColdUntil is when the upstream is warm, as far as it has said.
	ColdUntil time.Time
}

// Registry holds the upstream of one host.
type Registry struct {
	service, address string
	events           *events.Recorder
	// lease is how long an announcement holds without another.
	lease time.Duration

	mu      sync.Mutex
	current Upstream
	present bool
	// handedOver is set once a successor of this process answers for the upstream.
	handedOver bool
	ended      map[string]int64 // instances that said that they end, with their Born
	onChange   func(u Upstream, present bool)
}

// leaseIntervals is how many usual intervals may pass without an announcement; they may
// come seconds late, and a dead upstream on the own host is seen from its connections.
const leaseIntervals = 4

// maxEnded bounds the instances that are remembered as ended.
const maxEnded = 64

// New returns a registry of the upstream of service at address, which announces itself
// about every interval. onChange is called under the registry's lock with each change.
func New(service, address string, interval time.Duration, ev *events.Recorder, onChange func(u Upstream, present bool)) *Registry {
	return &Registry{service: service, address: address, lease: leaseIntervals * interval, events: ev,
		ended: map[string]int64{}, onChange: onChange}
}

// Announce takes in a message. It reports false for one that names no upstream of this
// host; the sender should look elsewhere. An old message is taken for delivered.
func (r *Registry) Announce(a Announcement) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.Service != r.service || a.Address != r.address {
		r.ignore(a, "not the upstream of this host")
		return false
	}
	if r.handedOver {
		r.ignore(a, "this node stops; its successor answers for the upstream")
		return false
	}
	if reason := r.outdated(a); reason != "" {
		r.ignore(a, reason)
		return true
	}
	was, had := r.current, r.present
	now := time.Now()
	r.current = Upstream{Announcement: a, Heard: now}
	if a.Cold > 0 {
		r.current.ColdUntil = now.Add(a.Cold)
	}
	r.present = true
	if !had || was.Instance != a.Instance || was.Born != a.Born || was.State != a.State || was.Slots != a.Slots || was.Version != a.Version {
		r.report(a)
	}
	r.onChange(r.current, true)
	return true
}

// outdated says why a message is older than what is known; empty when it is not.
func (r *Registry) outdated(a Announcement) string {
	c := &r.current
	same := c.Instance == a.Instance && c.Born == a.Born
	if born, ok := r.ended[a.Instance]; ok && a.Born <= born && a.State == Ready {
		return "its process has said that it ends"
	}
	switch {
	case c.Instance == "":
		return ""
	case same && a.Sequence <= c.Sequence && c.Sequence > 0:
		return "older than one of the same process"
	case same && a.State < c.State:
		return "its process has said that it leaves"
	case !same && a.Born > 0 && c.Born > 0 && a.Born < c.Born:
		return "of a process that ended before the present one began"
	}
	return ""
}

func (r *Registry) ignore(a Announcement, reason string) {
	r.events.Emit(events.AnnounceIgnored, events.Fields{"instance": a.Instance, "service": a.Service, "address": a.Address,
		"sequence": a.Sequence, "born": a.Born, "reason": reason})
}

func (r *Registry) report(a Announcement) {
	code := events.UpstreamAnnounced
	if a.State != Ready {
		code = events.UpstreamLeft
	}
	r.events.Emit(code, events.Fields{"service": a.Service, "version": a.Version, "instance": a.Instance, "slots": a.Slots,
		"sequence": a.Sequence, "born": a.Born, "cold_ms": a.Cold.Milliseconds()})
}

// End takes in that a process ends. Without a known process of that name it is remembered,
// so that a late announcement of it is not believed. It reports false when a successor of this
// process answers for the upstream.
func (r *Registry) End(instance string, born int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.handedOver {
		return false
	}
	if r.present && r.current.Instance == instance {
		if born > 0 && r.current.Born > 0 && born < r.current.Born {
			return true // of an earlier process with the same name
		}
		born = max(born, r.current.Born)
	}
	if len(r.ended) >= maxEnded {
		clear(r.ended)
	}
	r.ended[instance] = max(r.ended[instance], born)
	if !r.present || r.current.Instance != instance || r.current.State == Gone {
		return true
	}
	r.current.State = Gone
	r.report(r.current.Announcement)
	r.onChange(r.current, true)
	return true
}

// HandOver ends the duty for the upstream: from now on nothing that it says is acknowledged, so
// that what is returned stays true for a successor. ok is false without an upstream that takes work.
func (r *Registry) HandOver() (u Upstream, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.handedOver = true
	return r.current, r.present && r.current.State == Ready
}

// Adopt takes over what a predecessor knew of the upstream, unless the upstream has spoken to this
// process already; it reports whether it did. Until the upstream speaks it counts as cold: it may
// have turned so while nobody listened.
func (r *Registry) Adopt(a Announcement) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ended := r.ended[a.Instance]
	if r.handedOver || r.current.Instance != "" || ended || a.State != Ready || a.Service != r.service || a.Address != r.address {
		return false
	}
	now := time.Now()
	r.current, r.present = Upstream{Announcement: a, Heard: now, ColdUntil: now.Add(r.lease)}, true
	r.report(a)
	r.onChange(r.current, true)
	return true
}

// Expire drops an upstream that has not announced itself for long; call it now and then.
func (r *Registry) Expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.present || time.Since(r.current.Heard) < r.lease {
		return
	}
	r.present = false
	r.events.Emit(events.UpstreamExpired, events.Fields{"service": r.current.Service, "instance": r.current.Instance,
		"age_ms": time.Since(r.current.Heard).Milliseconds()})
	r.onChange(r.current, false)
}

// Forget drops what is known: a host that stood still for long cannot tell what has
// become of its upstream until that speaks again.
func (r *Registry) Forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.present {
		r.present = false
		r.onChange(r.current, false)
	}
}
