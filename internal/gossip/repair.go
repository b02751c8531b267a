package gossip

import (
	"context"
	"time"
)

// Anti-entropy: members compare digests and pull the updates that pushes missed.
const (
	// pageBytes is the size before compression from which a page of members is complete;
	// its last bucket may exceed it. A page may overdraw the repair budget by its size.
	pageBytes   = 16 << 10
	pullTimeout = 2 * time.Second
	// settleTime is the time since the last update from which a differing digest starts a
	// repair: before that, updates in transit may explain the difference.
	settleTime = 2 * time.Second
	// mismatchesToRepair is the number of consecutive acks with a differing digest that
	// start a repair even while updates arrive.
	mismatchesToRepair = 3
	// referrals is how many other members a busy member names in its reply to a pull.
	referrals = 8
	// maxAliveQuery bounds the dead members in one AliveQuery.
	maxAliveQuery = 4096
)

// needsPull compares the digest of an ack with this node's and reports whether to pull
// from its sender. m.mu is held.
func (m *Members) needsPull(root uint64) bool {
	p := &m.prober
	if root == m.digest.root {
		p.mismatches = 0
		return false
	}
	p.mismatches++
	return p.mismatches >= mismatchesToRepair || time.Since(p.lastChange) > settleTime
}

// repairFrom starts a repair from addr, a member of zone: if zoneDiffers, it queries which
// of the zone's dead members are alive; else, if outdated, it pulls the differing buckets.
// Only one repair runs at a time.
func (m *Members) repairFrom(ctx context.Context, addr, zone string, zoneDiffers, outdated bool) {
	if !hasBudget(m.repair) || !m.pulling.CompareAndSwap(false, true) {
		return
	}
	m.tasks.Go(func() {
		defer m.pulling.Store(false)
		if zoneDiffers {
			m.queryAlive(ctx, addr, zone)
		} else if outdated {
			m.pull(ctx, addr)
		}
	})
}

// pull copies the differing buckets from addr, page by page. It reports whether the list
// is complete now; if addr is busy, others are members to pull from instead.
// What a gateway learns from another zone it passes on in its own.
func (m *Members) pull(ctx context.Context, addr string) (complete bool, others []string) {
	start, spread := 0, m.passesOn(addr)
	for {
		var reply PullReply
		if err := m.pullPage(ctx, addr, start, &reply); err != nil {
			return false, nil
		}
		m.mergePayload(reply.Updates, spread)
		m.mu.Lock()
		m.observe(fromWire(&reply.Self))
		m.mu.Unlock()
		if reply.Busy {
			return false, reply.Peers
		}
		if reply.Next <= start {
			if !reply.Partial {
				m.setFactsSynced(time.Now().Add(-time.Duration(reply.FactsMillis) * time.Millisecond))
			}
			return !reply.Partial, nil
		}
		start = reply.Next
	}
}

// passesOn reports whether this node spreads in its zone what it pulls from addr.
func (m *Members) passesOn(addr string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.all[addr]
	return m.synced && e != nil && e.Zone != m.self.Zone && m.isGateway()
}

func (m *Members) pullPage(ctx context.Context, addr string, start int, reply *PullReply) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	m.mu.Lock()
	args := &Pull{Self: toWire(m.self), Root: m.digest.root, Start: start}
	if len(m.all) > 1 {
		args.Digest = encodeHashes(m.digest.fold(digestWidth(len(m.order))))
		consume(m.repair, len(args.Digest))
	}
	m.mu.Unlock()
	return m.cfg.Peers.Call(ctx, addr, "Gossip.Pull", args, reply)
}

// page collects the content of the buckets from start on that differ from the digest peer,
// up to the size of a page; the buckets of facts come last. next is the bucket at which to
// continue, 0 at the end. m.mu is held.
func (m *Members) page(peer []byte, start int) (u updates, next int) {
	differ := m.digest.differingBuckets(peer, start)
	byBucket := map[int][]*entry{}
	for _, e := range m.order {
		if b := memberBucket(e.hash); differ[b] {
			byBucket[b] = append(byBucket[b], e)
		}
	}
	size, members := 0, 0
	for _, bucket := range byBucket {
		members += len(bucket)
	}
	u.Members = make([]memberWire, 0, min(members, pageBytes/memberSize))
	for b := max(start, 0); b < memberBuckets; b++ {
		if size > pageBytes {
			return u, b
		}
		for _, e := range byBucket[b] {
			u.Members = append(u.Members, toWire(e.Member))
			size += memberSize + len(e.Name) + len(e.Zone) + len(e.Upstream.Instance)
		}
	}
	next = m.factPage(&u, differ, max(start, memberBuckets), size)
	return u, next
}

// factPage adds the facts of the buckets from start on that differ to a page of the given size. next is the bucket at which
// to continue, 0 at the end. m.mu is held.
func (m *Members) factPage(u *updates, differ [buckets]bool, start, size int) (next int) {
	byBucket := map[int][]Fact{}
	for _, f := range m.facts.byKey {
		if b, _ := factHash(f); differ[b] && b >= start {
			byBucket[b] = append(byBucket[b], f)
		}
	}
	for b := start; b < buckets; b++ {
		if size > pageBytes && len(byBucket[b]) > 0 {
			return b
		}
		for _, f := range byBucket[b] {
			u.Facts = append(u.Facts, factToWire(f))
			size += factSize(f)
		}
	}
	return 0
}

// queryAlive asks addr, a member of zone, which of the zone's members that this node lists
// as dead are alive. After a partition this corrects a whole zone with one message per node;
// a refutation by each member would need a broadcast per member.
func (m *Members) queryAlive(ctx context.Context, addr, zone string) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var hashes []uint32
	dead := map[uint32]*entry{}
	m.mu.Lock()
	for _, e := range m.order {
		if e.Status == Dead && e.Zone == zone && len(hashes) < maxAliveQuery {
			hashes = append(hashes, uint32(e.hash))
			dead[uint32(e.hash)] = e
		}
	}
	m.mu.Unlock()
	var reply AliveReply
	if len(hashes) == 0 || m.cfg.Peers.Call(ctx, addr, "Gossip.QueryAlive", &AliveQuery{Dead: encodeHashes(hashes)}, &reply) != nil {
		return
	}
	m.metrics.repairSent.Add(hashSize*len(hashes) + messageOverhead)
	m.mu.Lock()
	defer m.mu.Unlock()
	revived := 0
	for _, h := range decodeHashes(reply.Alive) {
		if e := dead[h]; e != nil && e.Status == Dead {
			x := e.Member
			x.Status = Alive
			m.put(x, noSpread)
			revived++
		}
	}
	if revived >= alarmSuspects {
		m.alarm(zone) // the zone was cut off, and more may have changed in it
	}
}
