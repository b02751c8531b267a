package sidecar

import (
	"context"
	"time"

	"celerybank/internal/events"
	"celerybank/internal/gossip"
)

// Times of a planned stop.
const (
	// ownerStays is how long a node that stops goes on as the owner of its upstream: the rest of
	// readyMisses is for the news that it leaves to reach the entries.
	ownerStays = 1500 * time.Millisecond
	// readyMisses is how long callers may still come after the node has said that it is not
	// ready: two checks, one a second, and their answers.
	readyMisses = 2300 * time.Millisecond
	// drainPoll is the time between two looks at the requests in flight.
	drainPoll = 20 * time.Millisecond
	// graceMargin is the part of the grace period after which the node ends with requests in flight.
	graceMargin = 0.95
)

// plannedStop is what happens in a planned stop, in this order: the node is no longer ready for
// callers when it begins, later it leaves as owner of its upstream, and at last it takes nothing more.
type plannedStop struct {
	// leaveOwner tells the entries to send nothing more to this host's upstream.
	leaveOwner func()
	// takeNothing refuses new requests of callers and of entries.
	takeNothing func()
	// busy reports whether requests are in flight.
	busy func() bool
}

// run returns when nothing is in flight, or after limit.
func (p plannedStop) run(limit time.Duration) {
	start := time.Now()
	time.Sleep(min(ownerStays, limit))
	p.leaveOwner()
	time.Sleep(max(0, min(readyMisses, limit)-time.Since(start)))
	p.takeNothing()
	for p.busy() && time.Since(start) < limit {
		time.Sleep(drainPoll)
	}
}

// drain tells callers and nodes that this node goes, and waits until nothing is in flight.
func (n *Node) drain() {
	n.events.Emit(events.Draining, events.Fields{"inflight": n.ingress.Inflight(), "running": n.gate.Running()})
	n.life.draining.Store(true)
	plannedStop{
		leaveOwner:  func() { n.members.Update(func(m *gossip.Member) { m.Draining = true }) },
		takeNothing: func() { n.ingress.Drain(); n.owner.Drain() },
		busy:        func() bool { return n.ingress.Inflight() > 0 || n.gate.Running() > 0 },
	}.run(time.Duration(graceMargin * float64(n.settings.Bounds.Grace)))
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	n.members.Leave(ctx, n.handOver()...)
	n.events.Emit(events.Stopped, events.Fields{"cut": n.ingress.Inflight() + int64(n.gate.Running())})
}

// leaveTimeout bounds the message by which a node leaves.
const leaveTimeout = 200 * time.Millisecond
