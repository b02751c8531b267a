package orders

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"celerybank/internal/gossip"
)

// contacts remembers which peers did not respond to this node's last exchange with them. It is this
// node's own observation, and available long before the failure detector of all nodes agrees.
type contacts struct {
	mu     sync.Mutex
	silent map[string]bool
	// changed is closed and replaced when a peer starts or stops to respond.
	changed chan struct{}
}

func newContacts() contacts { return contacts{silent: map[string]bool{}, changed: make(chan struct{})} }

// record records whether a peer responded.
func (c *contacts) record(addr string, responded bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silent[addr] == !responded {
		return
	}
	if responded {
		delete(c.silent, addr)
	} else {
		c.silent[addr] = true
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// failed reports whether a peer did not respond to the last exchange.
func (c *contacts) failed(addr string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent[addr]
}

// pick returns the address of a random one of the nodes that accept allows, if possible of one that responded to the
// last exchange, or an empty text if there is none. It copies no list, since a node picks often.
func (c *contacts) pick(nodes []gossip.Member, accept func(*gossip.Member) bool) (addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	silent, responding := 0, 0
	for i := range nodes {
		n := &nodes[i]
		switch {
		case !accept(n):
		case !c.silent[n.Addr]:
			if responding++; rand.IntN(responding) == 0 {
				addr = n.Addr
			}
		case responding == 0:
			if silent++; rand.IntN(silent) == 0 {
				addr = n.Addr
			}
		}
	}
	return addr
}

// keep forgets all peers but the nodes.
func (c *contacts) keep(nodes []gossip.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.silent) == 0 {
		return
	}
	kept := map[string]bool{}
	for i := range nodes {
		if addr := nodes[i].Addr; c.silent[addr] {
			kept[addr] = true
		}
	}
	c.silent = kept
}

// awaitChange waits until a peer starts or stops to respond, until ctx ends, or for limit.
func (c *contacts) awaitChange(ctx context.Context, limit time.Duration) {
	c.mu.Lock()
	changed := c.changed
	c.mu.Unlock()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}
