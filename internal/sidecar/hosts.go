package sidecar

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"celerybank/internal/duration"
	"celerybank/internal/events"
	"celerybank/internal/gossip"
)

// Hosts is a list of nodes in the platform's store, which keeps the newest node of each place for good.
type Hosts interface {
	Put(ctx context.Context, place, addr string) error
	// List returns the addresses, those written last at the end.
	List(ctx context.Context) ([]string, error)
}

// places bounds the list of hosts: the store answers with at most 500 records at once. A node that
// loses its place to another is found through the members, or by its own next read while it is alone.
const places = 448

// placeOf is the place of a node, the same after each start.
func placeOf(addr string) string { return fmt.Sprintf("%03d", xxhash.Sum64String(addr)%places) }

// membership is what the search for peers needs of the members.
type membership interface {
	Alive() []gossip.Member
	Contains(addr string) bool
	Join(ctx context.Context, addr string) bool
	SetSeeds(addrs []string)
}

// joinTimes are when a node that has started joins those of the list that it does not know, after
// its start: at once, once the others that started with it listen, and later for those that were
// cut off or slow. Whoever starts later finds this node in the list, so one read suffices for a
// node that has met another.
var joinTimes = []time.Duration{0, 350 * time.Millisecond, 1500 * time.Millisecond, 6 * time.Second, 15 * time.Second}

// Pauses of the search for peers.
const (
	// retryMin and retryMax bound the pause after a call that the store refused.
	retryMin = 250 * time.Millisecond
	retryMax = 2 * time.Second
	// aloneInterval is the mean time between reads of a node that knows no other.
	aloneInterval = 2 * time.Second
)

// discovery finds other nodes through the list of hosts.
type discovery struct {
	self    string
	hosts   Hosts
	members membership
	events  *events.Recorder

	known  []string
	listed bool
}

// Run adds this node to the list of hosts and joins those that it does not know, until ctx ends.
func (d *discovery) Run(ctx context.Context) error {
	start := time.Now()
	for pause := retryMin; ctx.Err() == nil && d.hosts.Put(ctx, placeOf(d.self), d.self) != nil; pause = min(2*pause, retryMax) {
		duration.Sleep(ctx, pause/2+rand.N(pause))
	}
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
	}
	return nil
}

func (d *discovery) alone() bool { return len(d.members.Alive()) <= 1 }

// list reads the list; it reports whether the store answered.
func (d *discovery) list(ctx context.Context) bool {
	addrs, err := d.hosts.List(ctx)
	if err != nil {
		return false
	}
	d.listed = true
	d.known = slices.DeleteFunc(addrs, func(a string) bool { return a == d.self })
	d.events.Emit(events.HostsListed, events.Fields{"known": len(d.known)})
	d.members.SetSeeds(slices.Clone(d.known))
	return true
}

// joinUnknown asks hosts that are not members for their list, the newest first: the older
// entries may be of hosts that are gone.
func (d *discovery) joinUnknown(ctx context.Context) {
	for _, addr := range slices.Backward(d.known) {
		if ctx.Err() == nil && !d.members.Contains(addr) {
			d.members.Join(ctx, addr)
		}
	}
}
