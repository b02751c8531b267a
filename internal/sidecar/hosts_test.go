package sidecar

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"celerybank/internal/gossip"
)

// hostList is an in-memory list of hosts that counts the calls to it and can simulate an outage.
type hostList struct {
	mu      sync.Mutex
	entries map[string]string
	order   []string // keys, the most recently written last
	calls   int
	outage  bool
}

func (l *hostList) Put(_ context.Context, key, addr string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if l.outage {
		return errors.New("store unavailable")
	}
	if l.entries == nil {
		l.entries = map[string]string{}
	}
	l.entries[key] = addr
	l.order = append(slices.DeleteFunc(l.order, func(k string) bool { return k == key }), key)
	return nil
}

func (l *hostList) List(context.Context) (addrs []string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if l.outage {
		return nil, errors.New("store unavailable")
	}
	for _, key := range l.order {
		addrs = append(addrs, l.entries[key])
	}
	return addrs, nil
}

// fakeMesh holds the members that each node knows; a join merges the members of both sides.
type fakeMesh struct {
	mu    sync.Mutex
	group map[string]map[string]bool
}

type fakeMembership struct {
	mesh *fakeMesh
	self string
}

func (m fakeMembership) AliveCount() int { return len(m.Alive()) }

func (m fakeMembership) Alive() (out []gossip.Member) {
	m.mesh.mu.Lock()
	defer m.mesh.mu.Unlock()
	for addr := range m.mesh.group[m.self] {
		out = append(out, gossip.Member{Addr: addr})
	}
	return out
}

func (m fakeMembership) Contains(addr string) bool {
	m.mesh.mu.Lock()
	defer m.mesh.mu.Unlock()
	return m.mesh.group[m.self][addr]
}

func (m fakeMembership) Join(_ context.Context, addr string) bool {
	m.mesh.mu.Lock()
	defer m.mesh.mu.Unlock()
	mine, theirs := m.mesh.group[m.self], m.mesh.group[addr]
	for a := range theirs {
		mine[a] = true
	}
	for a := range mine {
		m.mesh.group[a] = mine
	}
	return true
}

func (fakeMembership) SetSeeds([]string) {}

// All hosts start at nearly the same time, as after a power failure. Each node finds all others with about one read, and
// few write: calls to the store are billed, and a fleet makes many.
func TestSimultaneousStartReadsListOnce(t *testing.T) {
	for name, outage := range map[string]time.Duration{"store available": 0, "store unavailable at first": 5 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const hosts = 70
				ctx, stop := context.WithCancel(context.Background())
				list, mesh := &hostList{outage: outage > 0}, &fakeMesh{group: map[string]map[string]bool{}}
				for i := range hosts {
					addr := fmt.Sprintf("10.0.0.%d:7000", i)
					mesh.group[addr] = map[string]bool{addr: true}
				}
				for addr := range mesh.group {
					go func() {
						time.Sleep(time.Duration(len(addr)) * 10 * time.Millisecond)
						_ = (&discovery{self: addr, hosts: list, members: fakeMembership{mesh, addr}}).Run(ctx)
					}()
				}
				time.Sleep(outage)
				list.mu.Lock()
				list.outage, list.calls = false, 0
				list.mu.Unlock()
				time.Sleep(30 * time.Second)
				mesh.mu.Lock()
				for addr, group := range mesh.group {
					if len(group) != hosts {
						t.Errorf("%s knows %d nodes, want %d", addr, len(group), hosts)
						break
					}
				}
				mesh.mu.Unlock()
				list.mu.Lock()
				if list.calls > hosts+hosts/2 {
					t.Errorf("%d calls to the store by %d hosts, want at most 1.5 per host", list.calls, hosts)
				}
				list.mu.Unlock()
				stop()
				synctest.Wait()
			})
		})
	}
}

// Hosts that are listed restart one after the other, and new ones come: each reads the list once, and only those write that
// others depend on.
func TestRestartsAndNewHostsHardlyWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts = 70
		ctx, stop := context.WithCancel(context.Background())
		list, mesh := &hostList{}, &fakeMesh{group: map[string]map[string]bool{}}
		start := func(addr string) {
			mesh.mu.Lock()
			mesh.group[addr] = map[string]bool{addr: true}
			mesh.mu.Unlock()
			go func() { _ = (&discovery{self: addr, hosts: list, members: fakeMembership{mesh, addr}}).Run(ctx) }()
			time.Sleep(500 * time.Millisecond)
		}
		for i := range hosts {
			start(fmt.Sprintf("10.0.0.%d:7000", i))
		}
		list.mu.Lock()
		if list.calls > hosts+hosts/4 {
			t.Errorf("%d calls to the store by %d hosts that come one after the other, want at most 1.25 per host", list.calls, hosts)
		}
		list.calls = 0
		list.mu.Unlock()
		for i := range hosts {
			start(fmt.Sprintf("10.0.0.%d:7000", i))
		}
		list.mu.Lock()
		if list.calls > hosts+listedPerZone {
			t.Errorf("%d calls to the store by %d restarts, want at most one each, and one by each of the %d that others depend on", list.calls, hosts, listedPerZone)
		}
		list.mu.Unlock()
		stop()
		synctest.Wait()
	})
}

// The store comes back from a copy that lacks the entries of some hosts: each is written again once, and hosts whose entries are
// there, or whose place another living host has, only read. Nodes that start later find the others by these entries.
func TestLostEntriesOfHostsAreWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts = 70
		ctx, stop := context.WithCancel(context.Background())
		list, mesh := &hostList{}, &fakeMesh{group: map[string]map[string]bool{}}
		group, keys := map[string]bool{}, map[string]bool{}
		var fleet []*discovery
		for i := range hosts {
			addr := fmt.Sprintf("10.0.0.%d:7000", i)
			group[addr], keys[hostKey(addr)] = true, true
			mesh.group[addr] = group
			d := &discovery{self: addr, hosts: list, members: fakeMembership{mesh, addr}, restored: make(chan struct{}, 1)}
			_ = list.Put(ctx, hostKey(addr), addr)
			fleet = append(fleet, d)
			go func() { _ = d.rewriteLost(ctx) }()
		}
		list.mu.Lock()
		lost := list.order[len(list.order)-hosts/4:]
		list.order = list.order[:len(list.order)-hosts/4]
		for _, key := range lost {
			delete(list.entries, key)
		}
		list.calls, list.outage = 0, true
		list.mu.Unlock()
		for _, d := range fleet {
			d.restored <- struct{}{}
		}
		time.Sleep(time.Second)
		list.mu.Lock()
		list.calls, list.outage = 0, false
		list.mu.Unlock()
		time.Sleep(10 * time.Second)
		list.mu.Lock()
		defer list.mu.Unlock()
		if len(list.order) != len(keys) {
			t.Errorf("%d entries after the restoration, want %d", len(list.order), len(keys))
		}
		if most := hosts + 2*len(lost); list.calls > most {
			t.Errorf("%d calls of %d hosts of which %d lost their entries, want at most %d", list.calls, hosts, len(lost), most)
		}
		stop()
	})
}

// Another writer left odd entries in the list of hosts, such as a port out of range. They name no host, and the others hold.
func TestOddEntriesOfTheListOfHostsAreLeftOut(t *testing.T) {
	ctx, list := context.Background(), &hostList{}
	for key, entry := range map[string]string{"1": "10.0.0.1:70000", "2": "host.example:7000", "3": "10.0.0.2:7000", "4": strings.Repeat("[", 1<<16), "5": ""} {
		_ = list.Put(ctx, key, entry)
	}
	mesh := &fakeMesh{group: map[string]map[string]bool{"10.0.0.9:7000": {"10.0.0.9:7000": true}}}
	d := &discovery{self: "10.0.0.9:7000", hosts: list, members: fakeMembership{mesh, "10.0.0.9:7000"}}
	if !d.list(ctx) || !slices.Equal(d.known, []string{"10.0.0.2:7000"}) {
		t.Errorf("got hosts %q, want 10.0.0.2:7000 only", d.known)
	}
}
