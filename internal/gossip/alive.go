package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The list that Alive returns is rebuilt at most every baseAliveLag plus aliveLagPerMember
// for each member, since a rebuild takes time proportional to the number of members.
const (
	baseAliveLag      = 2 * time.Millisecond
	aliveLagPerMember = time.Microsecond
)

type aliveList struct {
	members []Member
	built   time.Time
}

// Alive returns the live members, including suspected ones and this node, sorted by
// address. The slice is shared; callers must not modify it. A change becomes visible
// within AliveLag.
func (m *Members) Alive() []Member {
	l := m.list.Load()
	if time.Since(l.built) < maxAliveLag(len(l.members)) {
		return l.members
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.changed && time.Since(m.list.Load().built) >= maxAliveLag(len(l.members)) {
		m.rebuild()
	}
	return m.list.Load().members
}

// AliveCount returns the number of live members, including suspected ones and this node.
func (m *Members) AliveCount() int { return int(m.alive.Load()) }

// AliveLag returns the longest time after which Alive reflects a change.
func (m *Members) AliveLag() time.Duration { return maxAliveLag(len(m.list.Load().members)) }

func maxAliveLag(n int) time.Duration { return baseAliveLag + time.Duration(n)*aliveLagPerMember }

func (m *Members) rebuild() {
	out := make([]Member, 0, len(m.list.Load().get())+1)
	for _, e := range m.order {
		if e.live() {
			out = append(out, e.Member)
		}
	}
	m.changed = false
	m.list.Store(&aliveList{members: out, built: time.Now()})
}

func (l *aliveList) get() []Member {
	if l == nil {
		return nil
	}
	return l.members
}

// insert adds e to m.order, which stays sorted by address.
func (m *Members) insert(addr string, e *entry) {
	i, _ := slices.BinarySearchFunc(m.order, addr, func(x *entry, a string) int { return cmp.Compare(x.Addr, a) })
	e.Addr = addr
	m.order = slices.Insert(m.order, i, e)
}

// zoneView summarizes the members of one zone as this node sees them.
type zoneView struct {
	alive, dead int
	// digest is the exclusive or of the address hashes of the live members.
	digest uint64
	// alarmUntil is until when this node probes the members of the zone, if it is another one; see alarmSuspects.
	alarmUntil time.Time
}

func (m *Members) zone(name string) *zoneView {
	z := m.zones[name]
	if z == nil {
		z = &zoneView{}
		m.zones[name] = z
	}
	return z
}

// addToTotals and removeFromTotals keep the counts and digests current: an entry is
// removed before it changes and added again after.
func (m *Members) addToTotals(e *entry)      { m.updateTotals(e, 1) }
func (m *Members) removeFromTotals(e *entry) { m.updateTotals(e, -1) }

func (m *Members) updateTotals(e *entry, n int) {
	z := m.zone(e.Zone)
	switch {
	case e.live():
		z.alive += n
		m.alive.Add(int64(n))
		z.digest ^= e.hash
		m.digest.flip(memberBucket(e.hash), memberHash(e))
	case e.Status == Dead:
		z.dead += n
	}
}

func memberHash(e *entry) uint64 {
	var b [16]byte
	for i := range 8 {
		b[i], b[8+i] = byte(e.hash>>(8*i)), byte(e.Incarnation>>(8*i))
	}
	return xxhash.Sum64(b[:])
}

// sampleTries bounds the random draws for a member that meets a condition.
const sampleTries = 24

// randomMember returns the address of a random live member other than this node that
// accept allows, or "" if sampleTries draws find none. m.mu is held.
func (m *Members) randomMember(accept func(*Member) bool) string {
	for range sampleTries {
		e := m.order[m.rng.IntN(len(m.order))]
		if e.live() && e.Addr != m.self.Addr && accept(&e.Member) {
			return e.Addr
		}
	}
	return ""
}

func (m *Members) random(n int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rng.IntN(n)
}

// sample returns up to n distinct addresses of random other members. Every third one,
// starting with the first, is in this node's zone if one is found there.
func (m *Members) sample(n int) []string {
	out := make([]string, 0, n)
	m.mu.Lock()
	defer m.mu.Unlock()
	unsampled := func(x *Member) bool { return !slices.Contains(out, x.Addr) }
	sameZone := func(x *Member) bool { return x.Zone == m.cfg.Self.Zone && unsampled(x) }
	for len(out) < n {
		accept := unsampled
		if len(out)%3 == 0 {
			accept = sameZone
		}
		addr := m.randomMember(accept)
		if addr == "" {
			addr = m.randomMember(unsampled)
		}
		if addr == "" {
			break
		}
		out = append(out, addr)
	}
	return out
}
