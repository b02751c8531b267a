package node

import (
	"context"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"celerybank/internal/events"
	"celerybank/internal/gossip"
)

// drainQuietPeriod is how long no peer must have sent a call before the node stops: by then every
// entry node knows of the drain, from a response or through the membership.
const drainQuietPeriod = time.Second

// drainPollInterval is the time between two checks of the slots in use.
const drainPollInterval = 10 * time.Millisecond

// drain refuses new requests and waits for those in flight, from the node's own callers and from
// peers, until they have ended, the drain timeout has expired or kill ends.
func (n *Node) drain(kill context.Context, callers net.Listener, server *fasthttp.Server) {
	n.events.Emit(events.Draining, events.Fields{"inflight": n.handler.Inflight()})
	ctx, cancel := context.WithTimeout(kill, n.cfg.Drain.D())
	defer cancel()
	n.handler.Drain()
	cut := n.Drain(ctx)
	_ = callers.Close()
	_ = server.ShutdownWithContext(ctx)
	n.events.Emit(events.Stopped, events.Fields{"cut": cut + n.handler.Inflight()})
}

// Drain announces to entry nodes and members that this node accepts no new work, and waits until the
// calls of peers have ended and their responses are sent, or ctx ends. It returns the number of
// calls and of requests at the upstream that had not ended. Callers' requests are still served, by other
// upstreams.
func (n *Node) Drain(ctx context.Context) int64 {
	n.members.Update(func(m *gossip.Member) { m.Draining = true })
	n.gate.Drain()
	cut := n.server.Drain(ctx, drainQuietPeriod) + int64(n.waitIdle(ctx))
	n.members.Leave(ctx)
	return cut
}

// DrainUpstream takes the host's upstream out of service and waits until its requests have
// ended, or ctx ends. It returns how many still run; at zero the upstream may stop.
func (n *Node) DrainUpstream(ctx context.Context, instance string) int {
	n.registry.Drain(instance)
	return n.waitIdle(ctx)
}

// waitIdle waits until the upstream runs no request, or ctx ends; it returns how many still run.
func (n *Node) waitIdle(ctx context.Context) int {
	for n.gate.Running() > 0 && ctx.Err() == nil {
		select {
		case <-time.After(drainPollInterval):
		case <-ctx.Done():
		}
	}
	return n.gate.Running()
}
