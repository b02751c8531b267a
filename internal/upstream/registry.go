// Package upstream manages the upstream on this host: its announcement, the connections to it, and
// whether bytes of a request have been sent to it.
package upstream

import (
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"celerybank/internal/departure"
	"celerybank/internal/events"
)

// LeaseDuration is how long an announcement is valid without renewal.
const LeaseDuration = 3 * time.Second

// announceInterval is the time between two announcements of an upstream.
const announceInterval = time.Second

// Announcement is what an upstream sends to the node on its host, once a second.
type Announcement struct {
	Service string `json:"service"`
	Version string `json:"version"`
	// Address is the IP:port at which the upstream serves HTTP requests.
	Address string `json:"address"`
	// Slots is the number of requests that it runs concurrently when warm.
	Slots int `json:"slots"`
	// Instance is unique to the process: a new value means that the upstream restarted and is cold.
	Instance string `json:"instance"`
	// Started is when the process started, in Unix milliseconds; 0 if not announced.
	Started int64 `json:"started,omitempty"`
}

// Validate returns an error that names the first invalid field, or nil.
func (a Announcement) Validate() error {
	switch {
	case a.Service == "":
		return errors.New("service: missing")
	case a.Version == "":
		return errors.New("version: missing")
	case a.Instance == "":
		return errors.New("instance: missing")
	case a.Slots < 1:
		return errors.New("slots: must be at least 1")
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return errors.Wrap(err, "address")
	}
	return nil
}

// Departures keeps which processes have said that they leave, also beyond the end of this node's process. Instances are
// unique, so that the start of a process is always 0.
type Departures interface {
	// Record keeps a notice. It returns when the notice outlives this process, as far as that needs no reply.
	Record(n departure.Notice)
	// Stage returns how far a process has left.
	Stage(instance string, born int64) departure.Stage
	// Covers reports whether this process knows if a process that started at born has left, by an announcement that was received
	// at the given time.
	Covers(born int64, received time.Time) bool
}

// Registry holds the current announcement of the upstream on this host.
type Registry struct {
	events     *events.Recorder
	departures Departures

	mu       sync.Mutex
	current  Announcement
	renewed  time.Time
	present  bool
	draining bool
	// held is an announcement that waits until its process is known not to have left, if its Instance is set; heldSince is when the
	// process first announced itself.
	held      Announcement
	heldSince time.Time
	onChange  func(a Announcement, present, draining bool)
}

// NewRegistry returns a registry without an upstream. onChange is called, with the registry's lock held, when the
// upstream appears, is replaced, starts to drain or expires.
func NewRegistry(departures Departures, ev *events.Recorder, onChange func(a Announcement, present, draining bool)) *Registry {
	return &Registry{departures: departures, events: ev, onChange: onChange}
}

// Announce stores or renews an announcement; a late one of a process that has left is ignored. It returns an error when
// the announcement is invalid.
func (r *Registry) Announce(a Announcement) error {
	if err := a.Validate(); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.present && r.current.Instance == a.Instance
	switch {
	case r.departures.Stage(a.Instance, 0) != departure.None:
		if known {
			r.renewed = time.Now()
		}
	case known && r.current == a:
		r.renewed = time.Now()
	case known || !r.hold(a):
		r.accept(a)
	}
	return nil
}

// hold keeps the first announcement of a process while this one cannot know whether a predecessor confirmed that it leaves. It
// reports false if the upstream may get requests: its process has announced itself again within LeaseDuration, which one that has left
// does not do.
func (r *Registry) hold(a Announcement) bool {
	now := time.Now()
	if r.departures.Covers(a.Started, now) {
		return false
	}
	if r.held.Instance != a.Instance || now.Sub(r.heldSince) > LeaseDuration {
		r.held, r.heldSince = a, now
		r.events.Emit(events.AnnounceHeld, events.Fields{"instance": a.Instance})
		return true
	}
	return now.Sub(r.heldSince) < announceInterval/2
}

// accept makes a the current announcement. r.mu is held.
func (r *Registry) accept(a Announcement) {
	r.held = Announcement{}
	r.renewed = time.Now()
	r.current, r.present, r.draining = a, true, false
	r.events.Emit(events.UpstreamAnnounced, events.Fields{"service": a.Service, "version": a.Version, "instance": a.Instance, "slots": a.Slots})
	r.onChange(a, true, false)
}

// ReleaseCovered applies the announcement that is held, if the departures that are known now show that its process has not left.
func (r *Registry) ReleaseCovered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.held
	if a.Instance != "" && r.departures.Stage(a.Instance, 0) == departure.None && r.departures.Covers(a.Started, r.heldSince) {
		r.accept(a)
	}
}

// Departed applies a departure that the previous process of this node confirmed.
func (r *Registry) Departed(n departure.Notice) { r.drain(n.Instance) }

// Drain marks the upstream as draining: it accepts no new requests. Announcements of an instance that is unknown are
// ignored from then on. Drain returns when other nodes have the departure, as far as that needs no reply.
func (r *Registry) Drain(instance string) {
	if instance == "" {
		return
	}
	r.drain(instance)
	r.departures.Record(departure.Notice{Instance: instance, Stage: departure.Draining})
}

func (r *Registry) drain(instance string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.present || r.draining || r.current.Instance != instance {
		return
	}
	r.draining = true
	r.events.Emit(events.UpstreamLeft, events.Fields{"service": r.current.Service, "instance": instance})
	r.onChange(r.current, true, true)
}

// Expire removes the announcement if it was not renewed within LeaseDuration. Call it at least once a
// second.
func (r *Registry) Expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.present || time.Since(r.renewed) < LeaseDuration {
		return
	}
	r.present = false
	if !r.draining {
		r.events.Emit(events.UpstreamExpired, events.Fields{"service": r.current.Service, "instance": r.current.Instance})
	}
	r.onChange(r.current, false, r.draining)
}
