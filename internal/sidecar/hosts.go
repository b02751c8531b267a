package sidecar

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"celerybank/internal/duration"
	"celerybank/internal/events"
)

// Hosts is the list of nodes that have started lately, in the platform's store.
type Hosts interface {
	Add(ctx context.Context, addr string) error
	// List returns the addresses from a position on, and the position after them.
	List(ctx context.Context, from int64) (addrs []string, next int64, err error)
}

// Times after the start at which the list of hosts is read. The first read finds the hosts of
// before; all hosts start within 0.3 s of each other; the later reads find those whose first entry was late, and then only a node
// that is alone reads on.
var listTimes = []time.Duration{0, 350 * time.Millisecond, 1500 * time.Millisecond, 6 * time.Second}

// Pauses of the search for peers.
const (
	// retryMin and retryMax bound the pause after a call that the store refused.
	retryMin = 250 * time.Millisecond
	retryMax = 2 * time.Second
	// aloneInterval is the mean time between reads of a node that knows no other.
	aloneInterval = 2 * time.Second
)

// discover adds this node to the list of hosts and joins those that it does not know.
func (n *Node) discover(ctx context.Context) error {
	start := time.Now()
	self := n.settings.Peers
	for pause := retryMin; ctx.Err() == nil; pause = min(2*pause, retryMax) {
		if n.hosts.Add(ctx, self) == nil {
			break
		}
		duration.Sleep(ctx, pause/2+rand.N(pause))
	}
	next, known := int64(0), []string{}
	for i := 0; ctx.Err() == nil; i++ {
		wait := aloneInterval/2 + rand.N(aloneInterval)
		if i < len(listTimes) {
			wait = time.Until(start.Add(listTimes[i]))
		} else if len(n.members.Alive()) > 1 {
			i--
			duration.Sleep(ctx, wait)
			continue
		}
		duration.Sleep(ctx, wait)
		addrs, after, err := n.hosts.List(ctx, next)
		if err != nil {
			i--
			duration.Sleep(ctx, retryMin+rand.N(retryMax))
			continue
		}
		next = after
		for _, a := range addrs {
			if a != self && !slices.Contains(known, a) {
				known = append(known, a)
			}
		}
		n.events.Emit(events.HostsListed, events.Fields{"new": len(addrs), "known": len(known), "position": next})
		n.members.SetSeeds(slices.Clone(known))
		n.joinUnknown(ctx, known)
	}
	return nil
}

// joinUnknown asks hosts that are not members for their list, the newest first: the older
// entries may be of hosts that are gone.
func (n *Node) joinUnknown(ctx context.Context, addrs []string) {
	for _, addr := range slices.Backward(addrs) {
		if ctx.Err() == nil && !n.members.Knows(addr) {
			n.members.Join(ctx, addr)
		}
	}
}
