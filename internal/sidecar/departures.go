package sidecar

import (
	"context"
	"time"

	"celerybank/internal/delivery"
	"celerybank/internal/duration"
	"celerybank/internal/events"
	"celerybank/internal/registry"
)

// Timing of the health checks of an upstream whose announcement is held.
const (
	// departuresWait is the time after the start from which the upstream is asked itself: a node usually hears from
	// another one before that, unless all of them have just started.
	departuresWait = 300 * time.Millisecond
	// heldRetryInterval is the time after a failed check to the next.
	heldRetryInterval = 250 * time.Millisecond
)

// inheritDepartures applies the departures that predecessors of this process confirmed.
func (n *Node) inheritDepartures(ctx context.Context) error {
	return n.departures.Run(ctx, n.registry.Departed, n.registry.ReleaseCovered)
}

// checkHeld asks an upstream whose announcement is held whether it still serves, until it does or the announcement is dropped.
func (n *Node) checkHeld(ctx context.Context) error {
	if !duration.Sleep(ctx, departuresWait) {
		return nil
	}
	select { // there are no health checks without a configuration
	case <-n.follower.Ready():
	case <-ctx.Done():
		return nil
	}
	var unconfirmed registry.Announcement
	for {
		var retry <-chan time.Time
		if a, held := n.registry.Held(); held {
			if result := n.owner.CheckServing(a); result == delivery.Serves {
				n.registry.ReleaseServing(a)
			} else {
				if !unconfirmed.SameProcess(a) {
					unconfirmed = a
					n.events.Emit(events.AnnounceUnconfirmed, events.Fields{"instance": a.Instance, "sequence": a.Sequence, "born": a.Born, "result": result})
				}
				retry = time.After(heldRetryInterval)
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-n.registry.Holds():
		case <-retry:
		}
	}
}
