package gossip

import (
	"slices"
	"time"
)

// A node pushes updates to a fixed number of partners instead of to random members, so that its connections do
// not grow with the mesh. Partners are chosen by rendezvous hashing over the pair of nodes (Thaler and Ravishankar
// 1998): the graph over all nodes is as good as a random one, and changes little when members come and go.
const (
	// zonePartners is the number of partners in the node's own zone, farPartners that in other zones. More
	// reach more members with the first pushes, and cost a connection each.
	zonePartners = 16
	farPartners  = 8
	// partnersInterval is the time for which a full set of partners is kept while members change.
	partnersInterval = time.Second
)

// partners are the members that this node pushes updates to, guarded by Members.mu.
type partners struct {
	zone, far rotation
	// root is the digest for which the partners were chosen, at chosen.
	root   uint64
	chosen time.Time
}

// rotation hands out addresses in random order, each once in a cycle.
type rotation struct {
	addrs []string
	next  int
}

// take appends up to n addresses to out that it does not contain yet.
func (r *rotation) take(out []string, n int, shuffle func(n int, swap func(i, j int))) []string {
	for tries := 2 * len(r.addrs); n > 0 && tries > 0; tries-- {
		if r.next >= len(r.addrs) {
			shuffle(len(r.addrs), func(i, j int) { r.addrs[i], r.addrs[j] = r.addrs[j], r.addrs[i] })
			r.next = 0
		}
		addr := r.addrs[r.next]
		r.next++
		if !slices.Contains(out, addr) {
			out, n = append(out, addr), n-1
		}
	}
	return out
}

// nextPartners returns up to n partners for one round of pushes: near of them in the own zone and the others elsewhere, as
// far as there are as many.
func (m *Members) nextPartners(n, near int) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := &m.partners
	few := len(p.zone.addrs) < zonePartners || len(p.far.addrs) < farPartners
	if now := time.Now(); p.root != m.digest.root && (few || now.Sub(p.chosen) >= partnersInterval) {
		p.root, p.chosen = m.digest.root, now
		p.zone, p.far = rotation{addrs: m.ranked(zonePartners, true)}, rotation{addrs: m.ranked(farPartners, false)}
	}
	out := p.zone.take(make([]string, 0, n), min(n, near), m.rng.Shuffle)
	out = p.far.take(out, n-len(out), m.rng.Shuffle)
	return p.zone.take(out, n-len(out), m.rng.Shuffle)
}

// ranked returns the n live members of this node's zone, or of the other zones, with the highest rank, in random
// order. m.mu is held.
func (m *Members) ranked(n int, sameZone bool) []string {
	type candidate struct {
		rank uint64
		addr string
	}
	self := m.all[m.self.Addr].hash
	best := make([]candidate, 0, n+1)
	for _, e := range m.order {
		if !e.live() || e.Addr == m.self.Addr || (e.Zone == m.self.Zone) != sameZone {
			continue
		}
		rank := pairRank(self, e.hash)
		if len(best) == n && rank <= best[n-1].rank {
			continue
		}
		i, _ := slices.BinarySearchFunc(best, rank, func(c candidate, r uint64) int {
			if c.rank > r {
				return -1
			}
			return 1
		})
		best = slices.Insert(best, i, candidate{rank, e.Addr})
		best = best[:min(len(best), n)]
	}
	out := make([]string, len(best))
	for i, c := range best {
		out[i] = c.addr
	}
	m.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// pairRank returns the rank of a member with hash b as a partner of a node with hash a (the finalizer of
// MurmurHash3 over both).
func pairRank(a, b uint64) uint64 {
	h := a ^ (b * 0x9e3779b97f4a7c15)
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
