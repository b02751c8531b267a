package sidecar

import (
	"context"
	"time"

	"celerybank/internal/registry"
)

// Timing of the health checks of an upstream that announced itself before the departures are known.
const (
	// departuresWait is the time after the start from which the upstream is asked itself: a node usually hears from
	// another one before that, unless all of them have just started.
	departuresWait = 300 * time.Millisecond
	// heldCheckInterval is the time between two looks for such an upstream, heldRetryInterval that after a failed check.
	heldCheckInterval = 50 * time.Millisecond
	heldRetryInterval = 250 * time.Millisecond
)

// inheritDepartures applies the departures that predecessors of this process confirmed.
func (n *Node) inheritDepartures(ctx context.Context) error {
	return n.departures.Run(ctx, n.registry.Departed, func() {
		if a, ok := n.registry.Held(); ok {
			n.registry.Release(a, registry.DeparturesKnown)
		}
	})
}

// checkHeld asks an upstream whose announcement is held whether it still serves, until the departures are known.
func (n *Node) checkHeld(ctx context.Context) error {
	wait := time.NewTimer(departuresWait)
	defer wait.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.members.FactsSynced():
			return nil
		case <-wait.C:
		}
		wait.Reset(heldCheckInterval)
		a, held := n.registry.Held()
		switch {
		case !held || n.table() == nil:
		case n.owner.StillServes(a):
			n.registry.Release(a, registry.HealthChecked)
		default:
			wait.Reset(heldRetryInterval)
		}
	}
}
