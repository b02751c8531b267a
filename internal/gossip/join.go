package gossip

import (
	"context"
	"time"

	"celerybank/internal/duration"
)

// Timing of the joining of the mesh.
const (
	joinInterval = 250 * time.Millisecond
	// seedInterval is the mean time between the first attempts to reach the seeds; it
	// doubles up to maxSeedInterval, since a herd that restarts has few seeds.
	seedInterval    = time.Second
	maxSeedInterval = 16 * time.Second
	// referralsTried bounds how many of the members that a busy one names are asked.
	referralsTried = 2
	// youngMesh is the time after which a list that no member calls whole counts as whole:
	// all of the mesh has just started.
	youngMesh = 10 * time.Second
)

// join copies the list from a member, found by the settings, by a probe that came in,
// or by the hello stream; it starts again whenever this node is alone.
func (m *Members) join(ctx context.Context) {
	var met, nextPull, nextSeeds, nextHello time.Time
	wait, seedPause := joinInterval, seedInterval
	for {
		now := time.Now()
		switch {
		case !m.alone():
			if met.IsZero() {
				met, nextHello, seedPause = now, time.Time{}, seedInterval
			}
			if !m.isSynced() && now.After(nextPull) && canSpend(m.repair) {
				m.setSynced(m.pullFromAny(ctx, m.sample(1)) || now.Sub(met) > youngMesh)
				wait = min(2*wait, seedInterval)
				nextPull = time.Now().Add(wait)
			}
		case nextHello.IsZero():
			m.setSynced(false)
			met, nextHello = time.Time{}, now.Add(m.helloDelay())
			fallthrough
		case now.After(nextSeeds):
			m.setSynced(m.pullFromAny(ctx, m.shuffledSeeds()))
			nextSeeds = now.Add(m.jitter(seedPause))
			seedPause = min(2*seedPause, maxSeedInterval)
		case now.After(nextHello):
			m.setSynced(m.joinByHello(ctx))
			nextHello = time.Now().Add(m.helloDelay())
		}
		pause := joinInterval
		if m.isSynced() {
			pause = seedInterval
		}
		if !duration.Sleep(ctx, m.jitter(pause)) {
			return
		}
	}
}

func (m *Members) isSynced() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.synced
}

func (m *Members) setSynced(v bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.synced = v
}

// jitter returns a random time with mean d.
func (m *Members) jitter(d time.Duration) time.Duration { return d/2 + time.Duration(m.random(int(d))) }

// alone reports whether no other member lives.
func (m *Members) alone() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	living := 0
	for _, z := range m.zones {
		living += z.alive
	}
	return living <= 1
}

func (m *Members) shuffledSeeds() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for _, s := range m.cfg.Seeds {
		if s != m.self.Addr {
			out = append(out, s)
		}
	}
	m.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// pullFromAny pulls from the first of addrs that answers, and from whom a busy one
// names; it reports whether a whole list arrived.
func (m *Members) pullFromAny(ctx context.Context, addrs []string) bool {
	for _, addr := range addrs {
		whole, others := m.pull(ctx, addr)
		if whole {
			return true
		}
		for _, other := range others[:min(len(others), referralsTried)] {
			if whole, _ := m.pull(ctx, other); whole {
				return true
			}
		}
	}
	return false
}

// Join copies the list of the member at addr, which need not be known yet; it reports
// whether a whole list arrived.
func (m *Members) Join(ctx context.Context, addr string) bool {
	return m.pullFromAny(ctx, []string{addr})
}

// Knows reports whether the member at addr is in the list, living or not.
func (m *Members) Knows(addr string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.all[addr] != nil
}

// SetSeeds replaces the addresses that a node which is alone joins by.
func (m *Members) SetSeeds(addrs []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cfg.Seeds = addrs
}
