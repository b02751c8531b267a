package node

import (
	"context"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"celerybank/internal/events"
	"celerybank/internal/gossip"
)

// drainQuiet is how long no call of a peer must have come before the node ends: by
// then every entry has learnt of the drain, from an answer or from the membership.
const drainQuiet = time.Second

// drainPoll is the time between two looks at the slots in use.
const drainPoll = 10 * time.Millisecond

// drain takes no new work and waits for the calls in flight, those of its own callers
// and those of peers.
func (n *Node) drain(kill context.Context, callers net.Listener, front *fasthttp.Server) {
	n.events.Emit(events.Draining, events.Fields{"inflight": n.handler.Inflight()})
	ctx, cancel := context.WithTimeout(kill, n.cfg.Drain.D())
	defer cancel()
	n.handler.Drain()
	cut := n.Drain(ctx)
	_ = callers.Close()
	_ = front.ShutdownWithContext(ctx)
	n.events.Emit(events.Stopped, events.Fields{"cut": cut + n.handler.Inflight()})
}

// Drain tells entries and members that this node takes no new work, and waits until
// the calls of peers have ended and their answers have left, or ctx ends. It returns
// how many were cut. Callers' calls are still served, by other upstreams.
func (n *Node) Drain(ctx context.Context) int64 {
	n.members.Update(func(m *gossip.Member) { m.Draining = true })
	n.gate.Drain()
	cut := n.server.Drain(ctx, drainQuiet) + int64(n.waitIdle(ctx))
	n.members.Leave(ctx)
	return cut
}

// LeaveUpstream takes the host's upstream out of service and waits until its requests have
// ended, or ctx ends. It returns how many still run; at zero the upstream may stop.
func (n *Node) LeaveUpstream(ctx context.Context, instance string) int {
	n.host.Drain(instance)
	return n.waitIdle(ctx)
}

func (n *Node) waitIdle(ctx context.Context) int {
	for n.gate.Running() > 0 && ctx.Err() == nil {
		select {
		case <-time.After(drainPoll):
		case <-ctx.Done():
		}
	}
	return n.gate.Running()
}
