package gossip

import (
	"cmp"
	"context"
	"slices"
	"time"

	"celerybank/internal/duration"
)

// Timing of joining the mesh.
const (
	joinInterval = 250 * time.Millisecond
	// seedInterval is the mean time between the first attempts to reach the seeds. It
	// doubles up to maxSeedInterval, since in a mass restart many nodes contact few seeds.
	seedInterval    = time.Second
	maxSeedInterval = 16 * time.Second
	// referralsTried bounds how many of the members named by a busy one are pulled from.
	referralsTried = 2
	// startupGrace is the time after the first contact from which this node's list counts
	// as complete even if no member has provided a complete one: every node of the mesh has
	// then just started.
	startupGrace = 10 * time.Second
)

// join copies the member list from another member, found through the seeds, an incoming
// probe or the hello stream. It starts again whenever no other member is live.
func (m *Members) join(ctx context.Context) {
	var firstContact, nextPull, nextSeeds, nextHello time.Time
	wait, seedPause := joinInterval, seedInterval
	for {
		now := time.Now()
		switch {
		case !m.alone():
			if firstContact.IsZero() {
				firstContact, nextHello, seedPause = now, time.Time{}, seedInterval
			}
			if !m.isSynced() && now.After(nextPull) && hasBudget(m.repair) {
				m.setSynced(m.pullFromAny(ctx, m.oldestOf(joinCandidates)) || now.Sub(firstContact) > startupGrace)
				if m.isSynced() {
					m.setFactsSynced(time.Now())
				}
				wait = min(2*wait, seedInterval)
				nextPull = time.Now().Add(wait)
			}
		case nextHello.IsZero():
			m.setSynced(false)
			firstContact, nextHello = time.Time{}, now.Add(m.helloDelay())
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

// jitter returns a random duration between d/2 and 3d/2.
func (m *Members) jitter(d time.Duration) time.Duration { return d/2 + time.Duration(m.random(int(d))) }

// joinCandidates is the number of random members of which the oldest is pulled from first: after a mass restart few
// members were in the mesh before.
const joinCandidates = 8

// oldestOf returns, of n random live members, the one that started first.
func (m *Members) oldestOf(n int) []string {
	candidates := m.sample(n)
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(candidates) == 0 {
		return nil
	}
	return []string{slices.MinFunc(candidates, func(a, b string) int {
		return cmp.Compare(m.belief(a).Incarnation, m.belief(b).Incarnation)
	})}
}

// alone reports whether no other member is live.
func (m *Members) alone() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	live := 0
	for _, z := range m.zones {
		live += z.alive
	}
	return live <= 1
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

// pullFromAny pulls from addrs, and from members that a busy one names, until a complete
// list has arrived; it reports whether one did.
func (m *Members) pullFromAny(ctx context.Context, addrs []string) bool {
	for _, addr := range addrs {
		complete, others := m.pull(ctx, addr)
		if complete {
			return true
		}
		for _, other := range others[:min(len(others), referralsTried)] {
			if complete, _ := m.pull(ctx, other); complete {
				return true
			}
		}
	}
	return false
}

// Join copies the list of the member at addr, which need not be in this node's list. It
// reports whether a complete list arrived.
func (m *Members) Join(ctx context.Context, addr string) bool {
	return m.pullFromAny(ctx, []string{addr})
}

// Contains reports whether the member at addr is in the list, live or not.
func (m *Members) Contains(addr string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.all[addr] != nil
}

// SetSeeds replaces the seeds, the addresses used to join while no other member is live.
func (m *Members) SetSeeds(addrs []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cfg.Seeds = addrs
}
