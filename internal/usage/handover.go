package usage

import (
	"context"
	"slices"

	"celerybank/internal/gossip"
)

// adopt keeps the counts of processes that have ended or are about to.
func (c *Collector) adopt(h *HandOver) {
	for i, addr := range h.Hosts {
		if i < len(h.Counts) && h.Counts[i] != nil {
			c.merge(addr, h.Counts[i], true)
		}
	}
}

// HandOver passes the counts of this process, and those that it holds of processes that have ended, to the next collector of its
// group. It returns when one has taken them, or ctx ends.
func (c *Collector) HandOver(ctx context.Context) {
	members := c.Members.Alive()
	heirs := c.groupAt(members).collectors(members)
	h := c.ended(members)
	h.Hosts, h.Counts = append(h.Hosts, c.Addr), append(h.Counts, c.counter.snapshot(-1, true))
	for _, addr := range heirs {
		if addr != c.Addr && (c.Peers.Call(ctx, addr, "Usage.HandOver", h, &Empty{}) == nil || ctx.Err() != nil) {
			return
		}
	}
}

// ended returns the counts of processes that cannot be pulled any more.
func (c *Collector) ended(members []gossip.Member) *HandOver {
	h := &HandOver{}
	now := c.Clock.Boot()
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, list := range c.hosts {
		live := slices.ContainsFunc(members, func(m gossip.Member) bool { return m.Addr == addr })
		for i, s := range list {
			ended := s.ended || !live || i < len(list)-1 || now-s.heard > 2*pullInterval
			if ended && s.process != c.counter.process {
				h.Hosts, h.Counts = append(h.Hosts, addr), append(h.Counts, s.export(now))
			}
		}
	}
	return h
}

// inheritFrom is the number of collectors of a group, after the first, that hold counts which the first may lack.
const inheritFrom = 2

// inherit gets the counts of ended processes from the other collectors of the group, once each, when this node is or becomes the
// first: they took the counts that were handed over while another process was the first.
func (c *Collector) inherit(ctx context.Context, g group, members []gossip.Member) {
	collectors := g.collectors(members)
	if len(collectors) == 0 || collectors[0] != c.Addr {
		c.mu.Lock()
		clear(c.inherited)
		c.mu.Unlock()
		return
	}
	for _, addr := range collectors[1:min(len(collectors), 1+inheritFrom)] {
		c.mu.Lock()
		done := c.inherited[addr]
		c.mu.Unlock()
		if done {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, pullTimeout)
		h := &HandOver{}
		if c.Peers.Call(callCtx, addr, "Usage.Ended", &EndedRequest{Addr: c.Addr}, h) == nil {
			c.adopt(h)
			c.mu.Lock()
			c.inherited[addr] = true
			c.mu.Unlock()
		}
		cancel()
	}
}

// endedFor returns the counts of ended processes for another collector, whose own earlier processes have ended too.
func (c *Collector) endedFor(addr string) *HandOver {
	return c.ended(slices.DeleteFunc(slices.Clone(c.Members.Alive()), func(m gossip.Member) bool { return m.Addr == addr }))
}
