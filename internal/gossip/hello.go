package gossip

import (
	"context"
	"encoding/json"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"celerybank/internal/configlog"
	"celerybank/internal/duration"
	"celerybank/internal/events"
)

// Limits and timing of the hello stream.
const (
	// helloReadLimit is how many of the newest entries are read.
	helloReadLimit = 64
	// helloMaxAge is the age beyond which an entry is ignored.
	helloMaxAge = 15 * time.Minute
	// hellosPerZone is how many recent entries of a zone are enough; it is also the number
	// of nodes of a zone that maintain its entries.
	hellosPerZone = 3
	// helloCheckInterval is the mean time between checks by the zone's writers. For that
	// long after their start they check at intervals of helloDelay.
	helloCheckInterval = 2 * time.Minute
	// A node that knows no other member waits between helloWaitMin and helloWaitMax before
	// it reads the stream: after a mass restart the probes of running members usually
	// arrive first and make the read unnecessary.
	helloWaitMin = 2 * time.Second
	helloWaitMax = 10 * time.Second
	// appendSpread is the jitter of appends by nodes that start at the same time.
	appendSpread   = 2 * time.Second
	helloIOTimeout = 5 * time.Second
)

// Hello is an entry of the hello stream: the address of a node through which others can
// join.
type Hello struct {
	Addr string    `json:"addr"`
	Zone string    `json:"zone"`
	Time time.Time `json:"time"`
}

func (m *Members) helloDelay() time.Duration {
	return helloWaitMin + time.Duration(m.random(int(helloWaitMax-helloWaitMin)))
}

// readHellos returns the newest entry of each address that is at most helloMaxAge old,
// newest first.
func (m *Members) readHellos(ctx context.Context) ([]Hello, error) {
	ctx, cancel := context.WithTimeout(ctx, helloIOTimeout)
	defer cancel()
	m.metrics.helloRead.Inc()
	head, err := m.cfg.Log.Read(ctx, configlog.HelloStream, math.MaxInt64, 1, 0)
	if err != nil {
		return nil, err
	}
	page, err := m.cfg.Log.Read(ctx, configlog.HelloStream, max(1, head.Next-helloReadLimit), helloReadLimit, 0)
	if err != nil {
		return nil, err
	}
	return recentHellos(page.Entries, time.Now()), nil
}

func recentHellos(entries []configlog.Entry, now time.Time) []Hello {
	var out []Hello
	seen := map[string]bool{}
	for _, e := range slices.Backward(entries) {
		var h Hello
		if json.Unmarshal(e.Data, &h) != nil || seen[h.Addr] || now.Sub(h.Time) > helloMaxAge {
			continue
		}
		seen[h.Addr] = true
		out = append(out, h)
	}
	return out
}

// joinByHello pulls the member list from the nodes in the hello stream, those of this
// zone first. If none provides it, this node appends its own entry. It reports whether a
// complete list arrived.
func (m *Members) joinByHello(ctx context.Context) bool {
	if m.cfg.Log == nil {
		return false
	}
	start := time.Now()
	hellos, err := m.readHellos(ctx)
	if err != nil {
		return false // join tries again after helloDelay
	}
	readTime := time.Since(start)
	slices.SortStableFunc(hellos, func(a, b Hello) int { return zoneDistance(a, m.cfg.Self) - zoneDistance(b, m.cfg.Self) })
	tried := map[string]bool{m.cfg.Self.Addr: true}
	for _, h := range hellos {
		if tried[h.Addr] {
			continue
		}
		tried[h.Addr] = true
		if m.pullFromAny(ctx, []string{h.Addr}) {
			m.events.Emit(events.JoinedByHello, events.Fields{"addr": h.Addr, "member_zone": h.Zone})
			return true
		}
	}
	m.appendIfAlone(ctx, tried, readTime)
	return false
}

func zoneDistance(h Hello, self Member) int {
	if h.Zone == self.Zone {
		return 0
	}
	return 1
}

// appendIfAlone appends this node's entry unless, after a random wait, it has met
// another member or enough new nodes of its zone are listed. The wait grows with
// readTime, the duration of a read, so that a slow log does not cause more appends.
func (m *Members) appendIfAlone(ctx context.Context, tried map[string]bool, readTime time.Duration) {
	if !duration.Sleep(ctx, time.Duration(m.random(int(appendSpread+10*readTime)))) || !m.alone() {
		return
	}
	hellos, err := m.readHellos(ctx)
	if err != nil {
		return
	}
	recent := 0
	for _, h := range hellos {
		if h.Addr == m.cfg.Self.Addr {
			return
		}
		if !tried[h.Addr] && h.Zone == m.cfg.Self.Zone {
			recent++
		}
	}
	if recent < hellosPerZone {
		m.appendHello(ctx)
	}
}

func (m *Members) appendHello(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, helloIOTimeout)
	defer cancel()
	data, err := json.Marshal(Hello{Addr: m.cfg.Self.Addr, Zone: m.cfg.Self.Zone, Time: time.Now().UTC()})
	if err != nil {
		return
	}
	if _, err := m.cfg.Log.Append(ctx, configlog.HelloStream, data); err != nil {
		return // the next check reads whether the append took effect
	}
	m.metrics.helloAppended.Inc()
	m.events.Emit(events.HelloAppended, events.Fields{"addr": m.cfg.Self.Addr})
}

// helloLoop keeps enough recent entries of this node's zone in the stream. Only the
// hellosPerZone nodes of the zone with the highest rendezvous hash read and write it.
func (m *Members) helloLoop(ctx context.Context) {
	if m.cfg.Log == nil {
		return
	}
	start := time.Now()
	wait := m.helloDelay()
	for duration.Sleep(ctx, wait) {
		if wait = m.helloDelay(); time.Since(start) > helloCheckInterval {
			wait = helloCheckInterval/2 + time.Duration(m.random(int(helloCheckInterval)))
		}
		if !m.alone() && m.isHelloWriter() {
			m.renewHello(ctx)
		}
	}
}

func (m *Members) isHelloWriter() bool {
	self := m.cfg.Self
	mine, ahead := helloRank(self.Addr), 0
	for _, x := range m.Alive() {
		if x.Zone == self.Zone && x.Addr != self.Addr && helloRank(x.Addr) > mine {
			ahead++
		}
	}
	return ahead < hellosPerZone
}

func helloRank(addr string) uint64 { return xxhash.Sum64String("hello/" + addr) }

// renewHello appends this node's entry unless the stream has it or enough live nodes of
// its zone. It also pulls from the listed nodes that it does not know, which merges
// meshes that started separately.
func (m *Members) renewHello(ctx context.Context) {
	hellos, err := m.readHellos(ctx)
	if err != nil {
		return
	}
	recent := 0
	var unknown []string
	m.mu.Lock()
	for _, h := range hellos {
		e := m.all[h.Addr]
		switch {
		case e == nil:
			unknown = append(unknown, h.Addr)
		case h.Zone == m.self.Zone && e.live():
			recent++
		}
	}
	left := m.left
	m.mu.Unlock()
	for _, addr := range unknown {
		m.pull(ctx, addr)
	}
	own := slices.ContainsFunc(hellos, func(h Hello) bool { return h.Addr == m.cfg.Self.Addr })
	if recent < hellosPerZone && !own && !left {
		m.appendHello(ctx)
	}
}
