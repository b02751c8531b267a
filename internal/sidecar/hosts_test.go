package sidecar

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"celerybank/internal/gossip"
)

// hostList is the list in the store, and counts its calls.
type hostList struct {
	mu     sync.Mutex
	places map[string]string
	order  []string // places, the one written last at the end
	calls  int
	away   bool
}

func (l *hostList) Put(_ context.Context, place, addr string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if l.away {
		return errors.New("away")
	}
	if l.places == nil {
		l.places = map[string]string{}
	}
	l.places[place] = addr
	l.order = append(slices.DeleteFunc(l.order, func(p string) bool { return p == place }), place)
	return nil
}

func (l *hostList) List(context.Context) (addrs []string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if l.away {
		return nil, errors.New("away")
	}
	for _, p := range l.order {
		addrs = append(addrs, l.places[p])
	}
	return addrs, nil
}

// crowd is nodes of which two that join have the members of both.
type crowd struct {
	mu    sync.Mutex
	group map[string]map[string]bool
}

type crowdMember struct {
	c    *crowd
	self string
}

func (m crowdMember) Alive() (out []gossip.Member) {
	m.c.mu.Lock()
	defer m.c.mu.Unlock()
	for addr := range m.c.group[m.self] {
		out = append(out, gossip.Member{Addr: addr})
	}
	return out
}

func (m crowdMember) Contains(addr string) bool {
	m.c.mu.Lock()
	defer m.c.mu.Unlock()
	return m.c.group[m.self][addr]
}

func (m crowdMember) Join(_ context.Context, addr string) bool {
	m.c.mu.Lock()
	defer m.c.mu.Unlock()
	mine, theirs := m.c.group[m.self], m.c.group[addr]
	for a := range theirs {
		mine[a] = true
	}
	for a := range mine {
		m.c.group[a] = mine
	}
	return true
}

func (crowdMember) SetSeeds([]string) {}

// Pattern: all hosts start within 0.3 s, as after a loss of power. Each meets all others, with
// about one entry and one read each: calls to the store are priced, and a fleet makes many.
func TestHerdThatStartsReadsTheListOnce(t *testing.T) {
	for name, away := range map[string]time.Duration{"calm": 0, "the store is away at first": 5 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const hosts = 70
				ctx, stop := context.WithCancel(context.Background())
				list, c := &hostList{away: away > 0}, &crowd{group: map[string]map[string]bool{}}
				for i := range hosts {
					addr := fmt.Sprintf("10.0.0.%d:7000", i)
					c.group[addr] = map[string]bool{addr: true}
				}
				for addr := range c.group {
					go func() {
						time.Sleep(time.Duration(len(addr)) * 10 * time.Millisecond)
						_ = (&discovery{self: addr, hosts: list, members: crowdMember{c, addr}}).Run(ctx)
					}()
				}
				time.Sleep(away)
				list.mu.Lock()
				list.away, list.calls = false, 0
				list.mu.Unlock()
				time.Sleep(30 * time.Second)
				c.mu.Lock()
				for addr, group := range c.group {
					if len(group) != hosts {
						t.Errorf("%s knows %d of %d", addr, len(group), hosts)
						break
					}
				}
				c.mu.Unlock()
				list.mu.Lock()
				if list.calls > 2*hosts+hosts/10 {
					t.Errorf("%d calls of %d hosts", list.calls, hosts)
				}
				list.mu.Unlock()
				stop()
				synctest.Wait()
			})
		})
	}
}
