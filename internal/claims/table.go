package claims

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"celerybank/internal/mesh"
	"celerybank/internal/verdict"
)

// tableEntry is one stored claim; owner indexes the interned addresses.
type tableEntry struct {
	claim   ID
	digest  uint64
	expires time.Duration // on the table's clock
	owner   uint32
	phase   Phase
}

// seat is this node's seat in one group.
type seat struct {
	record int64
	since  int64
	// active seats grant; inactive ones have not recovered the claims that the seat granted
	// before.
	active bool
	// acquired is when this process acquired the seat, on the table's clock.
	acquired time.Duration
	// others are the other holders by address; nil once the seat is active.
	others map[string]*otherHolder
	claims map[Key]tableEntry
}

// shard holds the seats of some of the groups under one lock.
type shard struct {
	mu    sync.Mutex
	seats map[int]*seat
}

// shardCount is a power of two. Adjacent groups fall into different shards, so they do not
// share a lock.
const shardCount = 64

// table holds the claims of all seats of this node.
type table struct {
	start    time.Time
	disabled disabledRules
	limit    int64
	held     atomic.Int64
	// seatChanges counts the applied seat records.
	seatChanges atomic.Int64
	shards      [shardCount]shard

	ownersMu   sync.RWMutex
	ownerIndex map[string]uint32
	owners     []string
}

func newTable(limit int64, disabled disabledRules) *table {
	t := &table{start: time.Now(), disabled: disabled, limit: limit, ownerIndex: map[string]uint32{}}
	for i := range t.shards {
		t.shards[i].seats = map[int]*seat{}
	}
	return t
}

// now returns the time on the table's monotonic clock.
func (t *table) now() time.Duration { return time.Since(t.start) }

func (t *table) shard(group int) *shard { return &t.shards[group%shardCount] }

// internOwner returns the index of addr; addresses are kept until the process ends.
func (t *table) internOwner(addr string) uint32 {
	t.ownersMu.RLock()
	i, ok := t.ownerIndex[addr]
	t.ownersMu.RUnlock()
	if ok {
		return i
	}
	t.ownersMu.Lock()
	defer t.ownersMu.Unlock()
	if i, ok := t.ownerIndex[addr]; ok {
		return i
	}
	i = uint32(len(t.owners))
	t.owners = append(t.owners, addr)
	t.ownerIndex[addr] = i
	return i
}

func (t *table) ownerAddr(i uint32) string {
	t.ownersMu.RLock()
	defer t.ownersMu.RUnlock()
	return t.owners[i]
}

func (t *table) export(e tableEntry) StoredClaim {
	return StoredClaim{Claim: e.claim, Digest: e.digest, Owner: t.ownerAddr(e.owner), Phase: e.phase}
}

// grant grants the key of g if this node's seat is active under the claimant's record and
// the key is free. Otherwise the status of the reply gives the reason.
func (t *table) grant(g *GrantRequest) GrantReply {
	sh := t.shard(g.Key.Group())
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s := sh.seats[g.Key.Group()]
	if s == nil {
		return GrantReply{Status: Behind}
	}
	if s.record != g.Record && !t.disabled.fence {
		if s.record > g.Record {
			return GrantReply{Status: Stale, Record: s.record}
		}
		return GrantReply{Status: Behind, Record: s.record}
	}
	if !s.active {
		return GrantReply{Status: Abstaining, Record: s.record}
	}
	now := t.now()
	old, ok := s.claims[g.Key]
	switch {
	case ok && old.expires > now && (old.claim != g.Claim || old.phase != Held):
		return GrantReply{Status: Taken, Record: s.record, Conflict: t.export(old)}
	case !ok && t.held.Load() >= t.limit:
		return GrantReply{Status: Exhausted, Record: s.record}
	case !ok:
		t.held.Add(1)
	}
	s.claims[g.Key] = tableEntry{claim: g.Claim, digest: g.Digest, expires: now + Lifetime, owner: t.internOwner(g.Owner)}
	return GrantReply{Status: Granted, Record: s.record}
}

// end records the verdict on a claim: a claim that did not run is removed, any other is
// kept for another Lifetime. A blocked key stays blocked.
func (t *table) end(n *EndNotice) {
	sh := t.shard(n.Key.Group())
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s := sh.seats[n.Key.Group()]
	if s == nil {
		return
	}
	old, ok := s.claims[n.Key]
	if !ok || old.claim != n.Claim || old.phase == Blocked {
		return
	}
	switch n.Verdict {
	case verdict.NotRun:
		delete(s.claims, n.Key)
		t.held.Add(-1)
		return
	case verdict.Ran:
		old.phase = Ended
	default:
		old.phase = Open
	}
	old.expires = t.now() + Lifetime
	s.claims[n.Key] = old
}

// sweep removes expired claims.
func (t *table) sweep() {
	now := t.now()
	for i := range t.shards {
		sh := &t.shards[i]
		sh.mu.Lock()
		for _, s := range sh.seats {
			for k, e := range s.claims {
				if e.expires <= now {
					delete(s.claims, k)
					t.held.Add(-1)
				}
			}
		}
		sh.mu.Unlock()
	}
}

// sync applies the groups that differ from old, the groups applied before. self is this
// node's address. Records up to version initialVersion were in the log before the process
// started, or may have been.
func (t *table) sync(old, groups []mesh.Group, self string, initialVersion int64) {
	for g := range groups {
		group := &groups[g]
		if old != nil && old[g].Record == group.Record {
			continue
		}
		ownSeat := slices.Index(group.Seats[:], self)
		if ownSeat < 0 && (old == nil || !slices.Contains(old[g].Seats[:], self)) {
			continue
		}
		sh := t.shard(g)
		sh.mu.Lock()
		t.syncSeat(sh, g, group, ownSeat, initialVersion)
		sh.mu.Unlock()
	}
}

func (t *table) syncSeat(sh *shard, g int, group *mesh.Group, ownSeat int, initialVersion int64) {
	s := sh.seats[g]
	if s != nil && (ownSeat < 0 || s.since != group.Since[ownSeat]) {
		t.held.Add(-int64(len(s.claims)))
		delete(sh.seats, g)
		s = nil
	}
	if ownSeat < 0 || (s != nil && s.record == group.Record) {
		return
	}
	if s == nil {
		s = &seat{since: group.Since[ownSeat], acquired: t.now(), claims: map[Key]tableEntry{}}
		// A holder that has run since before the group's first record has granted nothing,
		// so its empty set of claims is complete.
		s.active = t.disabled.abstain || (s.since == group.Created && s.since > initialVersion)
		sh.seats[g] = s
	}
	t.seatChanges.Add(1)
	s.record, s.others = group.Record, nil
	if s.active {
		return
	}
	s.others = map[string]*otherHolder{}
	for i, addr := range group.Seats {
		if i != ownSeat && addr != "" {
			s.others[addr] = &otherHolder{}
		}
	}
}
