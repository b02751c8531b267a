package sidecar

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"celerybank/internal/duration"
	"celerybank/internal/events"
	"celerybank/internal/gossip"
)

// Hosts is the list of hosts in the platform's store: the peer addresses of their nodes. It keeps the newest
// address of each key and never expires it.
type Hosts interface {
	Put(ctx context.Context, key, addr string) error
	// List returns the addresses, the most recently written ones last.
	List(ctx context.Context) ([]string, error)
}

// hostKeys is the number of keys in the list of hosts; the store returns at most 500 records per read. A node
// whose entry is overwritten by another with the same key is found through the other members, or finds
// them itself: it reads the list again while it knows no other node.
const hostKeys = 448

// hostKey returns the key in the list of hosts of the node at addr; it is the same after each restart.
func hostKey(addr string) string { return fmt.Sprintf("%03d", xxhash.Sum64String(addr)%hostKeys) }

// membership is the part of gossip.Members that discovery uses.
type membership interface {
	Alive() []gossip.Member
	AliveCount() int
	Contains(addr string) bool
	Join(ctx context.Context, addr string) bool
	SetSeeds(addrs []string)
}

// joinTimes are the times after its start at which a node joins the listed nodes that it does not know yet:
// at once, then when nodes that started at the same moment listen, and later for nodes that were
// partitioned or slow. Nodes that start later find this node in the list, so a node that knows another
// member needs no second read.
var joinTimes = []time.Duration{0, 350 * time.Millisecond, 1500 * time.Millisecond, 6 * time.Second, 15 * time.Second}

// Pauses of discovery.
const (
	// retryMin and retryMax bound the pause after a failed call to the store.
	retryMin = 250 * time.Millisecond
	retryMax = 2 * time.Second
	// relistSpread and relistSpreadPerHost are the time over which the hosts look for their entries after the store came
	// back from a copy: a large fleet makes at most 500 such calls a second.
	relistSpread        = time.Second
	relistSpreadPerHost = 2 * time.Millisecond
	// aloneInterval is the mean time between reads of the list while a node knows no other node.
	aloneInterval = 2 * time.Second
	// startSpread is the time over which nodes that start at once read the list: those that read it first enter
	// themselves, and the others find them there.
	startSpread = 100 * time.Millisecond
	// enterAfter is the time without another node after which a node enters itself, although the list names others.
	enterAfter = 150 * time.Millisecond
	// joinLimit is the time after which a node that has reached none of the listed nodes reads the list again.
	joinLimit = time.Second
)

// listedPerZone is the number of nodes of a zone that keep an entry in the list; they are the first by rendezvous
// hashing. More survive a larger loss without the list naming dead nodes only, and cost a call for each start.
const listedPerZone = 4

// discovery finds other nodes through the list of hosts.
type discovery struct {
	self    string
	hosts   Hosts
	members membership
	events  *events.Recorder
	// restored gets a value when the store came back from a copy and may have lost entries.
	restored chan struct{}

	known  []string
	listed bool
	// entered is set once the list has this node's entry.
	entered bool
}

// rewriteLost writes the entry of this node again each time that the store lost it, until ctx ends.
func (d *discovery) rewriteLost(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.restored:
		}
		spread := relistSpread + time.Duration(d.members.AliveCount())*relistSpreadPerHost
		for pause := rand.N(spread); duration.Sleep(ctx, pause); pause = retryMin + rand.N(retryMax) {
			addrs, err := d.hosts.List(ctx)
			if err == nil && (d.keyInUse(addrs) || d.hosts.Put(ctx, hostKey(d.self), d.self) == nil) {
				break
			}
		}
	}
}

// keyInUse reports whether the list has this node's address, or that of another living node under the same key.
func (d *discovery) keyInUse(addrs []string) bool {
	return slices.ContainsFunc(addrs, func(addr string) bool {
		return addr == d.self || hostKey(addr) == hostKey(d.self) && d.members.Contains(addr)
	})
}

// Run joins the listed nodes that this node does not know, and enters this node in the list if others depend on
// that, until ctx ends.
func (d *discovery) Run(ctx context.Context) error {
	duration.Sleep(ctx, rand.N(startSpread))
	start := time.Now()
	for i := 0; ctx.Err() == nil; i++ {
		wait := aloneInterval/2 + rand.N(aloneInterval)
		if i < len(joinTimes) {
			wait = time.Until(start.Add(joinTimes[i]))
		}
		duration.Sleep(ctx, wait)
		for !d.listed || d.alone() {
			if d.list(ctx) {
				break
			}
			if !duration.Sleep(ctx, retryMin+rand.N(retryMax)) {
				return nil
			}
		}
		if i < len(joinTimes) || d.alone() {
			d.joinUnknown(ctx)
		}
		if d.alone() || d.isRanked() {
			d.enter(ctx)
		}
	}
	return nil
}

// enter adds this node to the list of hosts, unless that is done. After a failure the next round tries again.
func (d *discovery) enter(ctx context.Context) {
	d.entered = d.entered || d.hosts.Put(ctx, hostKey(d.self), d.self) == nil
}

// isRanked reports whether this node is one of the first listedPerZone live nodes of its zone.
func (d *discovery) isRanked() bool {
	rank := func(addr string) uint64 { return xxhash.Sum64String("listed/" + addr) }
	alive := d.members.Alive()
	self := slices.IndexFunc(alive, func(m gossip.Member) bool { return m.Addr == d.self })
	if d.entered || self < 0 {
		return false
	}
	above, mine := 0, rank(d.self)
	for i := range alive {
		if m := &alive[i]; m.Zone == alive[self].Zone && rank(m.Addr) > mine {
			above++
		}
	}
	return above < listedPerZone
}

func (d *discovery) alone() bool { return d.members.AliveCount() <= 1 }

// list reads the list of hosts and reports whether that succeeded.
func (d *discovery) list(ctx context.Context) bool {
	addrs, err := d.hosts.List(ctx)
	if err != nil {
		return false
	}
	d.listed = true
	listed := len(addrs)
	addrs = slices.DeleteFunc(addrs, func(a string) bool { _, err := netip.ParseAddrPort(a); return err != nil })
	invalid := listed - len(addrs)
	d.entered = slices.Contains(addrs, d.self)
	d.known = slices.DeleteFunc(addrs, func(a string) bool { return a == d.self })
	d.events.Emit(events.HostsListed, events.Fields{"known": len(d.known), "invalid": invalid})
	d.members.SetSeeds(slices.Clone(d.known))
	return true
}

// joinUnknown joins the listed nodes that are not members yet, the newest first, since older entries
// may belong to hosts that no longer exist. If none of them is reached, it enters this node and gives up, so that
// nodes that start at the same time find each other.
func (d *discovery) joinUnknown(ctx context.Context) {
	start := time.Now()
	for _, addr := range slices.Backward(d.known) {
		if d.alone() && time.Since(start) > enterAfter {
			d.enter(ctx)
		}
		if ctx.Err() != nil || (d.alone() && time.Since(start) > joinLimit) {
			return
		}
		if !d.members.Contains(addr) {
			d.members.Join(ctx, addr)
		}
	}
}
