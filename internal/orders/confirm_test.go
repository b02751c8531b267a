package orders

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// confirmLimit is the time for which the hosts of a fleet may serve without a confirmation.
const confirmLimit = 5 * time.Second

// unconfirmed returns the hosts of the zones that have no confirmation within confirmLimit.
func (f *fleet) unconfirmed(zones ...string) (addrs []string) {
	for _, m := range f.members {
		if slices.Contains(zones, m.Zone) && !f.followers[m.Addr].ConfirmedWithin(confirmLimit) {
			addrs = append(addrs, m.Addr)
		}
	}
	return addrs
}

// separate lets the store refuse the hosts of a zone, and partitions the zone from others if that is wanted too.
func (f *fleet) separate(store *testStore, zone string, fromStore, fromZones bool) {
	store.mu.Lock()
	f.mu.Lock()
	for _, m := range f.members {
		if m.Zone == zone {
			store.refused[m.Addr] = fromStore
		}
	}
	f.partitioned[zone] = fromZones
	f.mu.Unlock()
	store.mu.Unlock()
}

// Guards against nodes that refuse although they follow the store, and against ones that go on serving removed keys without it.
func TestConfirmationFollowsTheStore(t *testing.T) {
	for _, hosts := range []int{3, 40} {
		t.Run(fmt.Sprint(hosts, " hosts in a zone"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testConfirmation(t, hosts) })
		})
	}
}

func testConfirmation(t *testing.T, hosts int) {
	ctx, stop := context.WithCancel(context.Background())
	defer func() { stop(); synctest.Wait() }()
	store := newTestStore()
	store.order("config", "1\nworkspaces")
	f := startFleet(ctx, store, 3, hosts)
	all := []string{"zone-0", "zone-1", "zone-2"}
	// watch checks for a time that hosts of the zones stay confirmed; changes makes the operator write all the time.
	watch := func(what string, changes bool, zones ...string) {
		t.Helper()
		for i := range 300 {
			if changes {
				store.order("out/zone-9", fmt.Sprint(i))
			}
			time.Sleep(100 * time.Millisecond)
			if n := f.unconfirmed(zones...); len(n) > 0 {
				t.Errorf("%s, after %d00 ms: %d hosts without a confirmation, want none: %v", what, i, len(n), n[0])
				return
			}
		}
	}
	time.Sleep(confirmLimit)
	watch("nothing changes", false, all...)
	watch("something changes all the time", true, all...)
	f.separate(store, "zone-2", true, false)
	time.Sleep(time.Second)
	watch("a zone without the store", false, all...)
	f.separate(store, "zone-2", true, true)
	store.order("config", "2\nworkspaces")
	time.Sleep(confirmLimit)
	if n := f.unconfirmed("zone-2"); len(n) != hosts {
		t.Errorf("%d hosts have no confirmation, want all %d: the zone has been separated from the store for as long", len(n), hosts)
	}
	watch("the other zones", false, "zone-0", "zone-1")
	f.separate(store, "zone-2", false, false)
	time.Sleep(inForceWithin)
	if n := f.unconfirmed(all...); len(n) > 0 || f.countAt(2) != 3*hosts {
		t.Errorf("after the separation: %d hosts without a confirmation, want none", len(n))
	}
}

// A suspended process must not take the confirmation of a call that began before, as its clock has missed the time in between.
func TestConfirmationOfACallBeforeASuspensionIsIgnored(t *testing.T) {
	var c confirmation
	c.init(time.Now())
	before := time.Now()
	c.record(before, before)
	if _, known := c.age(); !known {
		t.Error("confirmation not recorded")
	}
	time.Sleep(time.Millisecond)
	c.forget()
	c.record(before, before)
	if _, known := c.age(); known {
		t.Error("confirmation of before the suspension is valid")
	}
	c.record(time.Now(), before)
	if _, known := c.age(); !known {
		t.Error("confirmation of after the suspension is ignored")
	}
}
