// Package registry tracks the upstream on this host by its announcements: its process,
// whether it is draining or has ended, and how long it remains cold.
package registry

import (
	"sync"
	"time"

	"celerybank/internal/departure"
	"celerybank/internal/events"
)

// State is the state that an upstream announces.
type State uint8

const (
	// Ready upstreams accept requests.
	Ready State = iota
	// Draining upstreams finish their requests and accept no new ones.
	Draining
	// Gone upstreams have announced their end; they finish their requests.
	Gone
)

// Announcement is what an upstream periodically sends to the node on its host.
type Announcement struct {
	// Instance names the process; a restarted process may keep the name.
	Instance string
	Service  string
	// Address is the IP:port at which the upstream accepts requests.
	Address string
	Zone    string
	Version string
	Slots   int
	State   State
	// ColdFor is how much longer the upstream is cold and takes only a limited rate.
	ColdFor time.Duration
	// Sequence increases with each announcement of one process.
	Sequence int64
	// Born is when the process started, in Unix milliseconds; 0 if not announced.
	Born int64
}

// Upstream is the current upstream of the host.
type Upstream struct {
	Announcement
	// LastAnnounced is when the newest announcement was received.
	LastAnnounced time.Time
	// ColdUntil is when the upstream becomes warm; zero or past if it is warm.
	ColdUntil time.Time
}

// Departures keeps which processes have said that they leave, also beyond the end of this node's process.
type Departures interface {
	// Record keeps a notice. It returns when the notice outlives this process, as far as that needs no reply.
	Record(n departure.Notice)
	// Stage returns how far a process has left.
	Stage(instance string, born int64) departure.Stage
	// Covers reports whether this process knows if a process that started at born has left, by an announcement that was received
	// at the given time.
	Covers(born int64, received time.Time) bool
}

// Registry holds the upstream of one host.
type Registry struct {
	service, address string
	events           *events.Recorder
	departures       Departures
	// lease is how long an announcement is valid.
	lease time.Duration

	mu      sync.Mutex
	current Upstream
	present bool
	// handedOver is set once a successor of this node's process is responsible for the
	// upstream.
	handedOver bool
	// held is the newest announcement of a process that waits until it is known not to have left, if its Instance is set; heldSince
	// is when the process first announced itself, and heldRenewed when the newest announcement was received.
	held                   Announcement
	heldSince, heldRenewed time.Time
	// holds has a value after an announcement of another process was held.
	holds    chan struct{}
	onChange func(u Upstream, present bool)
}

// SameProcess reports whether b is an announcement of the same process.
func (a Announcement) SameProcess(b Announcement) bool {
	return a.Instance == b.Instance && a.Born == b.Born
}

// leaseIntervals is the lease in announcement intervals. Announcements may be seconds late,
// and a crashed upstream is detected sooner by its broken connections.
const leaseIntervals = 4

// New returns a registry for the upstream of service at address (IP:port), which announces
// itself about every interval. onChange is called under the registry's lock after each
// accepted announcement and each other change; present is false if there is no upstream.
func New(service, address string, interval time.Duration, departures Departures, ev *events.Recorder, onChange func(u Upstream, present bool)) *Registry {
	return &Registry{service: service, address: address, departures: departures, lease: leaseIntervals * interval,
		events: ev, holds: make(chan struct{}, 1), onChange: onChange}
}

// Announce applies an announcement. It returns false if this node is not responsible for
// the upstream: it is not the one of this host, it has been handed over, or the announcement lacks
// a field that the upstream of this host announces. It returns
// true for an outdated announcement, which is ignored. A departure is recorded before
// Announce returns.
func (r *Registry) Announce(a Announcement) bool {
	responsible := r.announce(a)
	if responsible && a.State != Ready {
		r.departures.Record(departure.Notice{Instance: a.Instance, Born: a.Born, Stage: departure.Draining})
	}
	return responsible
}

func (r *Registry) announce(a Announcement) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.Service != r.service || a.Address != r.address {
		r.ignore(a, "not the upstream of this host")
		return false
	}
	if r.handedOver {
		r.ignore(a, "this node has handed the upstream over to its successor")
		return false
	}
	if a.Born == 0 && (r.present && r.current.Born > 0 || r.held.Born > 0) {
		r.ignore(a, "without the start of its process, which the upstream of this host announces: from another writer")
		return false
	}
	if reason := r.staleReason(a); reason != "" {
		r.ignore(a, reason)
		return true
	}
	if !r.hold(a) {
		r.accept(a)
	}
	return true
}

// accept makes a the current announcement. r.mu is held.
func (r *Registry) accept(a Announcement) {
	r.held = Announcement{}
	previous, hadUpstream := r.current, r.present
	now := time.Now()
	r.current = Upstream{Announcement: a, LastAnnounced: now}
	if a.ColdFor > 0 {
		r.current.ColdUntil = now.Add(a.ColdFor)
	}
	r.present = true
	if !hadUpstream || !previous.SameProcess(a) || previous.State != a.State || previous.Slots != a.Slots || previous.Version != a.Version {
		r.report(a)
	}
	r.onChange(r.current, true)
}

// staleReason returns why an announcement is outdated, or "" if it is not.
func (r *Registry) staleReason(a Announcement) string {
	c := &r.current
	same := c.SameProcess(a)
	if a.State == Ready && r.departures.Stage(a.Instance, a.Born) != departure.None {
		return "its process has announced that it drains or ends"
	}
	if h := &r.held; h.Instance != "" && !h.SameProcess(a) && a.Born > 0 && a.Born < h.Born {
		return "its process started before one that has announced itself"
	}
	switch {
	case c.Instance == "":
		return ""
	case same && a.Sequence <= c.Sequence && c.Sequence > 0:
		return "sequence number not above the newest of the same process"
	case same && a.State < c.State:
		return "its process has announced that it drains or ends"
	case !same && a.Born > 0 && c.Born > 0 && a.Born < c.Born:
		return "its process started before the current one"
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
		"sequence": a.Sequence, "born": a.Born, "cold_ms": a.ColdFor.Milliseconds()})
}

// End records that the process named instance, started at born in Unix milliseconds (0 if
// unknown), ends. The end is kept even if the process is not the current one, so that a
// late announcement of it is ignored. End returns false if the upstream has been handed
// over.
func (r *Registry) End(instance string, born int64) bool {
	n, responsible := r.end(instance, born)
	if responsible {
		r.departures.Record(n)
	}
	return responsible
}

func (r *Registry) end(instance string, born int64) (n departure.Notice, responsible bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.handedOver {
		return n, false
	}
	if born <= 0 {
		born = r.bornOf(instance)
	}
	n = departure.Notice{Instance: instance, Born: born, Stage: departure.Ended}
	r.depart(n)
	return n, true
}

// bornOf returns the start of the newest process named instance that may have announced its end just now, in Unix
// milliseconds.
func (r *Registry) bornOf(instance string) int64 {
	switch instance {
	case r.current.Instance:
		return r.current.Born
	case r.held.Instance:
		return r.held.Born
	}
	return time.Now().UnixMilli()
}

// Departed applies a departure that the previous process of this node confirmed.
func (r *Registry) Departed(n departure.Notice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.handedOver {
		r.depart(n)
	}
}

// depart applies a departure to the current upstream, if n is about it. r.mu is held.
func (r *Registry) depart(n departure.Notice) {
	state := Draining
	if n.Stage == departure.Ended {
		state = Gone
	}
	if !r.present || r.current.Instance != n.Instance || r.current.Born > n.Born || r.current.State >= state {
		return
	}
	r.current.State = state
	r.report(r.current.Announcement)
	r.onChange(r.current, true)
}

// Leave records that the process named instance, started at born, said that it leaves. It has the effect of
// an announcement that the process drains.
func (r *Registry) Leave(instance string, born int64) {
	n := departure.Notice{Instance: instance, Born: born, Stage: departure.Draining}
	r.mu.Lock()
	current := !r.handedOver && r.present && r.current.Instance == instance && r.current.Born == born && r.current.State == Ready
	if current {
		r.depart(n)
	}
	r.mu.Unlock()
	if current {
		r.departures.Record(n)
	}
}

// HandOver returns the upstream for this process's successor. From then on Announce and End
// acknowledge nothing, so that the returned state remains valid. ok is false if no upstream
// accepts requests.
func (r *Registry) HandOver() (u Upstream, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.handedOver = true
	return r.current, r.present && r.current.State == Ready
}

// Adopt applies the state that this process's predecessor handed over, and reports whether
// it did; it does not if the upstream has announced itself or its end to this process
// already. Until its next announcement the upstream counts as cold, since it may have
// restarted while no node received announcements.
func (r *Registry) Adopt(a Announcement) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	left := r.departures.Stage(a.Instance, a.Born) != departure.None
	if r.handedOver || r.current.Instance != "" || left || a.State != Ready || a.Service != r.service || a.Address != r.address {
		return false
	}
	now := time.Now()
	if r.held.Instance != "" && !r.held.SameProcess(a) && a.Born < r.held.Born {
		return false
	}
	if r.held.SameProcess(a) {
		r.held = Announcement{}
	}
	r.current, r.present = Upstream{Announcement: a, LastAnnounced: now, ColdUntil: now.Add(r.lease)}, true
	r.report(a)
	r.onChange(r.current, true)
	return true
}

// Expire removes the upstream if its lease has expired, and drops an announcement that was held for as long. It is to be called
// periodically.
func (r *Registry) Expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.held.Instance != "" && time.Since(r.heldRenewed) >= r.lease {
		r.ignore(r.held, "nothing showed that its process has not left, and the process did not announce itself again")
		r.held = Announcement{}
	}
	if !r.present || time.Since(r.current.LastAnnounced) < r.lease {
		return
	}
	r.present = false
	r.events.Emit(events.UpstreamExpired, events.Fields{"service": r.current.Service, "instance": r.current.Instance,
		"age_ms": time.Since(r.current.LastAnnounced).Milliseconds()})
	r.onChange(r.current, false)
}

// Forget removes the upstream until its next announcement. It is for a node that has been
// suspended for long and does not know what has happened to the upstream.
func (r *Registry) Forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.present {
		r.present = false
		r.onChange(r.current, false)
	}
}
