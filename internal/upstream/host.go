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

// Host holds the current announcement of the upstream on this host.
type Host struct {
	events *events.Recorder

	mu       sync.Mutex
	current  Announcement
	renewed  time.Time
	present  bool
	draining bool
	onChange func(a Announcement, present, draining bool)
}

// NewHost returns a host without an upstream. onChange is called, with the host's lock held, when the
// upstream appears, is replaced, starts to drain or expires.
func NewHost(ev *events.Recorder, onChange func(a Announcement, present, draining bool)) *Host {
	return &Host{events: ev, onChange: onChange}
}

// Announce stores or renews an announcement. It returns an error when the announcement is invalid.
func (h *Host) Announce(a Announcement) error {
	if err := a.Validate(); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.renewed = time.Now()
	if h.present && h.current == a {
		return nil
	}
	h.current, h.present, h.draining = a, true, false
	h.events.Emit(events.UpstreamAnnounced, events.Fields{"service": a.Service, "version": a.Version, "instance": a.Instance, "slots": a.Slots})
	h.onChange(a, true, false)
	return nil
}

// Drain marks the upstream as draining: it accepts no new requests. An unknown instance is ignored.
func (h *Host) Drain(instance string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.present || h.draining || h.current.Instance != instance {
		return
	}
	h.draining = true
	h.events.Emit(events.UpstreamLeft, events.Fields{"service": h.current.Service, "instance": instance})
	h.onChange(h.current, true, true)
}

// Expire removes the announcement if it was not renewed within LeaseDuration. Call it about once a
// second.
func (h *Host) Expire() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.present || time.Since(h.renewed) < LeaseDuration {
		return
	}
	h.present = false
	if !h.draining {
		h.events.Emit(events.UpstreamExpired, events.Fields{"service": h.current.Service, "instance": h.current.Instance})
	}
	h.onChange(h.current, false, h.draining)
}
