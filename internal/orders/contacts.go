package orders

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
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

// pickDraws is the number of random draws in which pick looks for a peer that responds.
const pickDraws = 8

// pick returns a random one of the peers, if possible one that responded to the last exchange.
func (c *contacts) pick(peers []string) (addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for range pickDraws {
		if addr = peers[rand.IntN(len(peers))]; !c.silent[addr] {
			break
		}
	}
	return addr
}

// keep forgets all peers but those in the lists.
func (c *contacts) keep(lists ...[]string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.silent) == 0 {
		return
	}
	kept := map[string]bool{}
	for _, list := range lists {
		for _, addr := range list {
			if c.silent[addr] {
				kept[addr] = true
			}
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
