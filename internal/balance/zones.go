package balance

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// A zone counts as unreachable when minSilentHosts of its hosts have failed to respond within
// silenceWindow and none has responded since: it is most likely partitioned from this node. Its hosts
// get no requests until one of them acknowledges a heartbeat or unreachableLimit has passed. Requests of
// callers are not used to probe the partition.
const (
	silenceWindow  = 1500 * time.Millisecond
	minSilentHosts = 2
	// unreachableLimit ends the state even if no heartbeats are sent; a partition may last longer.
	unreachableLimit = 10 * time.Second
)

// zones tracks by zone which hosts do not respond.
type zones struct {
	mu    sync.Mutex
	state map[string]*zoneState
}

type zoneState struct {
	// silent has the time of the last missing response of each host.
	silent map[string]time.Time
	// unreachableUntil is zero while the zone counts as reachable.
	unreachableUntil time.Time
}

// recordNoResponse records that a host did not respond. It reports whether this makes its zone
// unreachable.
func (z *zones) recordNoResponse(zone, addr string, now time.Time) (unreachable bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.state == nil {
		z.state = map[string]*zoneState{}
	}
	s := z.state[zone]
	if s == nil {
		s = &zoneState{silent: map[string]time.Time{}}
		z.state[zone] = s
	}
	for host, at := range s.silent {
		if now.Sub(at) > silenceWindow {
			delete(s.silent, host)
		}
	}
	s.silent[addr] = now
	if len(s.silent) < minSilentHosts || now.Before(s.unreachableUntil) {
		return false
	}
	s.unreachableUntil = now.Add(unreachableLimit)
	return true
}

// recordResponse records that a host of a zone responded. It reports whether the zone was unreachable
// until now.
func (z *zones) recordResponse(zone string, now time.Time) (recovered bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	s := z.state[zone]
	delete(z.state, zone)
	return s != nil && now.Before(s.unreachableUntil)
}

// listUnreachable returns the unreachable zones.
func (z *zones) listUnreachable(now time.Time) (out []string) {
	z.mu.Lock()
	defer z.mu.Unlock()
	for zone, s := range z.state {
		if now.Before(s.unreachableUntil) {
			out = append(out, zone)
		}
	}
	return out
}

// randomOwner returns the address of a random owner in a zone, empty if there is none. It does not
// prefer the hosts that failed to respond: they may be gone for good while the rest of their zone is
// healthy.
func (b *Balancer) randomOwner(zone string) (addr string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	seen := 0
	for _, e := range b.byAddr {
		if e.Zone != zone {
			continue
		}
		if seen++; rand.IntN(seen) == 0 {
			addr = e.Addr
		}
	}
	return addr
}

// ProbeZones sends a heartbeat to one host of each unreachable zone by ping, independently of the
// requests of callers. A zone becomes reachable again when its heartbeat is acknowledged;
// ProbeZones returns these zones. Call it several times a second.
func (b *Balancer) ProbeZones(ctx context.Context, ping func(ctx context.Context, addr string) error) (recovered []string) {
	for _, zone := range b.zones.listUnreachable(time.Now()) {
		addr := b.randomOwner(zone)
		if addr != "" && ping(ctx, addr) == nil && b.zones.recordResponse(zone, time.Now()) {
			recovered = append(recovered, zone)
		}
	}
	return recovered
}
