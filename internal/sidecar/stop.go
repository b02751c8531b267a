package sidecar

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"celerybank/internal/events"
	"celerybank/internal/gossip"
)

// Timing of a graceful stop.
const (
	// ownerDrainDelay is how long a stopping node stays the owner of its upstream. The rest of
	// unreadyDelay is for the announcement of the drain to reach the entry nodes.
	ownerDrainDelay = 1500 * time.Millisecond
	// unreadyDelay is how long callers may still send requests after the node has become unready:
	// two readiness checks, one per second, and their responses.
	unreadyDelay = 2300 * time.Millisecond
	// drainPollInterval is the time between two checks for requests in flight.
	drainPollInterval = 20 * time.Millisecond
	// leaveTimeout bounds the sending of the leave message, exitTime the time that the process then takes to end.
	leaveTimeout = 200 * time.Millisecond
	exitTime     = 100 * time.Millisecond
)

// drainLimit returns how long requests in flight may go on after a signal: the grace period, after which the process
// is killed, less what the node needs to leave.
func drainLimit(grace time.Duration) time.Duration { return max(0, grace-leaveTimeout-exitTime) }

// gracefulStop holds the steps of a graceful stop, which starts when the node has become unready for callers:
// later the node stops being the owner of its upstream, and finally it refuses all new requests.
type gracefulStop struct {
	// drainOwner makes entry nodes stop sending requests to this host's upstream.
	drainOwner func()
	// refuseNew makes the node refuse new requests from callers and entry nodes.
	refuseNew func()
	// busy reports whether requests are in flight.
	busy func() bool
}

// run executes the steps; it returns when nothing is in flight, or after limit.
func (s gracefulStop) run(limit time.Duration) {
	start := time.Now()
	time.Sleep(min(ownerDrainDelay, limit))
	s.drainOwner()
	time.Sleep(max(0, min(unreadyDelay, limit)-time.Since(start)))
	s.refuseNew()
	for s.busy() && time.Since(start) < limit {
		time.Sleep(drainPollInterval)
	}
}

// drain announces to callers and members that this node stops, waits until nothing is in flight or the
// grace period is nearly over, and leaves the membership.
func (n *Node) drain() {
	n.events.Emit(events.Draining, events.Fields{"inflight": n.ingress.Inflight(), "running": n.gate.Running()})
	n.process.draining.Store(true)
	var usageStopped conc.WaitGroup
	usageStopped.Go(n.usage.stop)
	defer usageStopped.Wait()
	gracefulStop{
		drainOwner: func() { n.members.Update(func(m *gossip.Member) { m.Draining = true }) },
		refuseNew:  func() { n.ingress.Drain(); n.owner.Drain() },
		busy:       func() bool { return n.ingress.Inflight() > 0 || n.gate.Running() > 0 },
	}.run(drainLimit(n.settings.Bounds.Grace))
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	var counts conc.WaitGroup
	counts.Go(func() { n.usage.handOver(ctx) })
	n.members.Leave(ctx, n.handOver()...)
	counts.Wait()
	n.events.Emit(events.Stopped, events.Fields{"cut": n.ingress.Inflight() + int64(n.gate.Running())})
}
