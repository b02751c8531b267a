package registry

import (
	"time"

	"celerybank/internal/events"
)

// hold keeps an announcement while nothing shows that its process has not left: it may be late by any time, and from before
// a departure that a predecessor of this process confirmed and no node remembers. A further one says no more, as it may be late
// too. It reports false if the upstream may get requests.
func (r *Registry) hold(a Announcement) bool {
	now := time.Now()
	known := r.current.Instance != "" && r.current.SameProcess(a)
	if a.State != Ready || known || r.departures.Covers(a.Born, now) {
		return false
	}
	switch {
	case !r.held.SameProcess(a):
		r.held, r.heldSince, r.heldRenewed = a, now, now
		r.events.Emit(events.AnnounceHeld, events.Fields{"instance": a.Instance, "sequence": a.Sequence, "born": a.Born})
		select {
		case r.holds <- struct{}{}:
		default:
		}
	case a.Sequence > r.held.Sequence:
		r.held, r.heldRenewed = a, now
	}
	return true
}

// Holds returns a channel that has a value after an announcement of another process was held.
func (r *Registry) Holds() <-chan struct{} { return r.holds }

// Held returns the announcement whose process may have left; ok is false if there is none.
func (r *Registry) Held() (a Announcement, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held, r.held.Instance != ""
}

// ReleaseServing applies the announcement that is held, if its process is that of a and has not left: it has passed a health check.
func (r *Registry) ReleaseServing(a Announcement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.held.SameProcess(a) {
		r.release(healthChecked)
	}
}

// ReleaseCovered applies the announcement that is held, if the departures that are known now show that its process has not left.
func (r *Registry) ReleaseCovered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.departures.Covers(r.held.Born, r.heldRenewed) {
		r.release(departuresKnown)
	}
}

// release applies the announcement that is held, unless its process is known to have left. reason is why it may get requests. r.mu is
// held.
func (r *Registry) release(reason releaseReason) {
	held := r.held
	if held.Instance == "" || r.handedOver {
		return
	}
	r.held = Announcement{}
	if stale := r.staleReason(held); stale != "" {
		r.ignore(held, stale)
		return
	}
	r.events.Emit(events.AnnounceReleased, events.Fields{"instance": held.Instance, "sequence": held.Sequence, "born": held.Born,
		"reason": reason, "after_ms": time.Since(r.heldSince).Milliseconds()})
	r.accept(held)
}

// releaseReason is the evidence that an upstream has not left.
type releaseReason string

const (
	departuresKnown releaseReason = "departures known"
	healthChecked   releaseReason = "health check"
)
