// Package upstream manages the upstream on this host: its announcement, the connections to it, and
// whether bytes of a request have been sent to it.
package upstream

import (
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"celerybank/internal/events"
)

// LeaseDuration is how long an announcement is valid without renewal.
const LeaseDuration = 3 * time.Second

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

// Registry holds the current announcement of the upstream on this host.
type Registry struct {
	events *events.Recorder

	mu       sync.Mutex
	current  Announcement
	renewed  time.Time
	present  bool
	draining bool
	onChange func(a Announcement, present, draining bool)
}

// NewRegistry returns a registry without an upstream. onChange is called, with the registry's lock held, when the
// upstream appears, is replaced, starts to drain or expires.
func NewRegistry(ev *events.Recorder, onChange func(a Announcement, present, draining bool)) *Registry {
	return &Registry{events: ev, onChange: onChange}
}

// Announce stores or renews an announcement. It returns an error when the announcement is invalid.
func (r *Registry) Announce(a Announcement) error {
	if err := a.Validate(); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.renewed = time.Now()
	if r.present && r.current == a {
		return nil
	}
	r.current, r.present, r.draining = a, true, false
	r.events.Emit(events.UpstreamAnnounced, events.Fields{"service": a.Service, "version": a.Version, "instance": a.Instance, "slots": a.Slots})
	r.onChange(a, true, false)
	return nil
}

// Drain marks the upstream as draining: it accepts no new requests. An unknown instance is ignored.
func (r *Registry) Drain(instance string) {
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
