package sidecar

import (
	"sync/atomic"

	"celerybank/internal/events"
)

// confirmationState is whether this node refuses requests that need a key because nothing confirms its configuration.
type confirmationState struct{ refuses atomic.Bool }

// setConfirmationLimit makes the follower seek confirmations if the settings ask for it. Call it before the follower runs.
func (n *Node) setConfirmationLimit() {
	if n.settings.Bounds.FailClosed {
		n.follower.KeepConfirmed(n.settings.Bounds.RevokeWithin)
	}
}

// keysConfirmed reports whether requests may be served by the keys of the configuration in force.
func (n *Node) keysConfirmed() bool {
	if !n.settings.Bounds.FailClosed {
		return true
	}
	confirmed := n.follower.ConfirmedWithin(n.settings.Bounds.RevokeWithin)
	if n.confirmation.refuses.CompareAndSwap(confirmed, !confirmed) {
		n.events.Emit(events.ConfirmedChanged, events.Fields{"confirmed": confirmed})
	}
	return confirmed
}

// hasWorkspaces reports whether the configuration in force has workspaces.
func (n *Node) hasWorkspaces() bool {
	t := n.table()
	return t != nil && t.HasWorkspaces()
}

// workspaceCount returns the number of workspaces of the configuration in force.
func (n *Node) workspaceCount() int {
	if t := n.table(); t != nil {
		return len(t.Workspaces())
	}
	return 0
}

// confirmationAge returns the time in seconds since the configuration was last confirmed, -1 if it never was.
func (n *Node) confirmationAge() float64 {
	if age, known := n.follower.ConfirmationAge(); known {
		return age.Seconds()
	}
	return -1
}
