package balance

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// A zone is in doubt when several of its hosts fell silent within silenceSpan and none has
// answered since: it is most likely cut off. Its hosts get no requests until one of them answers
// a heartbeat, or doubtLimit has passed: callers' requests are not what a cut is probed with.
const (
	silenceSpan = 1500 * time.Millisecond
	silentHosts = 2
	// doubtLimit bounds the doubt where nobody sends heartbeats; a cut may last longer.
	doubtLimit = 10 * time.Second
)

// zones follows the silence of hosts by zone.
type zones struct {
	mu    sync.Mutex
	state map[string]*zoneState
}

type zoneState struct {
	// silent has when each host fell silent.
	silent map[string]time.Time
	until  time.Time
}

// silent takes in that a host did not answer; it reports whether its zone is in doubt by that.
func (z *zones) silent(zone, addr string, now time.Time) (doubted bool) {
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
		if now.Sub(at) > silenceSpan {
			delete(s.silent, host)
		}
	}
	s.silent[addr] = now
	if len(s.silent) < silentHosts || now.Before(s.until) {
		return false
	}
	s.until = now.Add(doubtLimit)
	return true
}

// answered reports whether the zone was in doubt until now.
func (z *zones) answered(zone string, now time.Time) (cleared bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	s := z.state[zone]
	delete(z.state, zone)
	return s != nil && now.Before(s.until)
}

func (z *zones) doubted(zone string, now time.Time) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	s := z.state[zone]
	return s != nil && now.Before(s.until)
}

// inDoubt returns the zones in doubt.
func (z *zones) inDoubt(now time.Time) (out []string) {
	z.mu.Lock()
	defer z.mu.Unlock()
	for zone, s := range z.state {
		if now.Before(s.until) {
			out = append(out, zone)
		}
	}
	return out
}

// anyIn returns a random owner of a zone, empty without one: the silent ones may be gone for good
// while the rest of their zone is well.
func (b *Balancer) anyIn(zone string) (addr string) {
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

// Probe asks one host of each zone in doubt for a sign of life, by a call that no caller waits
// for, and ends the doubt where one comes. It returns the zones that are reached again. Call it
// several times a second.
func (b *Balancer) Probe(ctx context.Context, ping func(ctx context.Context, addr string) error) (back []string) {
	for _, zone := range b.zones.inDoubt(time.Now()) {
		addr := b.anyIn(zone)
		if addr != "" && ping(ctx, addr) == nil && b.zones.answered(zone, time.Now()) {
			back = append(back, zone)
		}
	}
	return back
}
