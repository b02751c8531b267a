package balance

import (
	"sync"
	"time"
)

// A zone is in doubt when several of its hosts fell silent within silenceSpan and none has
// answered since: it is most likely cut off, and its other hosts are not tried one by one.
const (
	silenceSpan  = 1500 * time.Millisecond
	silentHosts  = 2
	doubtForZone = time.Second
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

func (z *zones) silent(zone, addr string, now time.Time) {
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
	if len(s.silent) >= silentHosts {
		s.until = now.Add(doubtForZone)
	}
}

func (z *zones) answered(zone string) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if s := z.state[zone]; s != nil {
		delete(z.state, zone)
	}
}

func (z *zones) doubted(zone string, now time.Time) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	s := z.state[zone]
	return s != nil && now.Before(s.until)
}
