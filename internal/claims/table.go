package claims

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"celerybank/internal/mesh"
	"celerybank/internal/verdict"
)

// noted is one claim in memory; owner indexes the interned addresses.
type noted struct {
	claim   ID
	digest  uint64
	expires time.Duration // on the table's clock
	owner   uint32
	phase   Phase
}

// seat is a group in which this node holds a seat.
type seat struct {
	record int64
	since  int64
	// active seats grant; others lack the memory of what the seat granted before.
	active bool
	// taken is when this process took the seat, on the table's clock.
	taken time.Duration
	// others are the other holders; empty once the seat is active.
	others map[string]*other
	claims map[Key]noted
}

// shard guards a part of the groups.
type shard struct {
	mu    sync.Mutex
	seats map[int]*seat
}

// shards is a power of two, so that neighbouring groups have different locks.
const shards = 64

// table holds the claims of every seat of this node.
type table struct {
	start time.Time
	rules rules
	limit int64
	held  atomic.Int64
	// changes counts the seat records taken in.
	changes atomic.Int64
	parts   [shards]shard

	omu    sync.RWMutex
	index  map[string]uint32
	owners []string
}

func newTable(limit int64, r rules) *table {
	t := &table{start: time.Now(), rules: r, limit: limit, index: map[string]uint32{}}
	for i := range t.parts {
		t.parts[i].seats = map[int]*seat{}
	}
	return t
}

// now is the time on the table's monotonic clock.
func (t *table) now() time.Duration { return time.Since(t.start) }

func (t *table) part(group int) *shard { return &t.parts[group%shards] }

// owner returns the index of addr; addresses are kept for the life of the process.
func (t *table) owner(addr string) uint32 {
	t.omu.RLock()
	i, ok := t.index[addr]
	t.omu.RUnlock()
	if ok {
		return i
	}
	t.omu.Lock()
	defer t.omu.Unlock()
	if i, ok := t.index[addr]; ok {
		return i
	}
	i = uint32(len(t.owners))
	t.owners = append(t.owners, addr)
	t.index[addr] = i
	return i
}

func (t *table) ownerAddr(i uint32) string {
	t.omu.RLock()
	defer t.omu.RUnlock()
	return t.owners[i]
}

func (t *table) export(n noted) Noted {
	return Noted{Claim: n.claim, Digest: n.digest, Owner: t.ownerAddr(n.owner), Phase: n.phase}
}

// grant answers one claimant.
func (t *table) grant(g *Grant) GrantReply {
	p := t.part(g.Key.Group())
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.seats[g.Key.Group()]
	if s == nil {
		return GrantReply{Status: Behind}
	}
	if s.record != g.Record && !t.rules.noFence {
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
		return GrantReply{Status: Taken, Record: s.record, Other: t.export(old)}
	case !ok && t.held.Load() >= t.limit:
		return GrantReply{Status: Exhausted, Record: s.record}
	case !ok:
		t.held.Add(1)
	}
	s.claims[g.Key] = noted{claim: g.Claim, digest: g.Digest, expires: now + Lifetime, owner: t.owner(g.Owner)}
	return GrantReply{Status: Granted, Record: s.record}
}

// end notes what became of a claim. A later phase is never overwritten by a release.
func (t *table) end(e *End) {
	p := t.part(e.Key.Group())
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.seats[e.Key.Group()]
	if s == nil {
		return
	}
	old, ok := s.claims[e.Key]
	if !ok || old.claim != e.Claim || old.phase == Blocked {
		return
	}
	switch e.Verdict {
	case verdict.NotRun:
		delete(s.claims, e.Key)
		t.held.Add(-1)
		return
	case verdict.Ran:
		old.phase = Ended
	default:
		old.phase = Open
	}
	old.expires = t.now() + Lifetime
	s.claims[e.Key] = old
}

// sweep forgets expired claims.
func (t *table) sweep() {
	now := t.now()
	for i := range t.parts {
		p := &t.parts[i]
		p.mu.Lock()
		for _, s := range p.seats {
			for k, n := range s.claims {
				if n.expires <= now {
					delete(s.claims, k)
					t.held.Add(-1)
				}
			}
		}
		p.mu.Unlock()
	}
}

// sync takes in the groups that differ from old, the ones taken in before. self is
// this node's address; records up to known were in the log before the process
// started, or may have been.
func (t *table) sync(old, groups []mesh.Group, self string, known int64) {
	for g := range groups {
		group := &groups[g]
		if old != nil && old[g].Record == group.Record {
			continue
		}
		mine := slices.Index(group.Seats[:], self)
		if mine < 0 && (old == nil || !slices.Contains(old[g].Seats[:], self)) {
			continue
		}
		p := t.part(g)
		p.mu.Lock()
		t.syncSeat(p, g, group, mine, known)
		p.mu.Unlock()
	}
}

func (t *table) syncSeat(p *shard, g int, group *mesh.Group, mine int, known int64) {
	s := p.seats[g]
	if s != nil && (mine < 0 || s.since != group.Since[mine]) {
		t.held.Add(-int64(len(s.claims)))
		delete(p.seats, g)
		s = nil
	}
	if mine < 0 || (s != nil && s.record == group.Record) {
		return
	}
	if s == nil {
		s = &seat{since: group.Since[mine], taken: t.now(), claims: map[Key]noted{}}
		// A founding holder that runs since before the group's first record has granted
		// nothing, so its empty memory is whole.
		s.active = t.rules.noAbstain || (s.since == group.Created && s.since > known)
		p.seats[g] = s
	}
	t.changes.Add(1)
	s.record, s.others = group.Record, nil
	if s.active {
		return
	}
	s.others = map[string]*other{}
	for i, addr := range group.Seats {
		if i != mine && addr != "" {
			s.others[addr] = &other{}
		}
	}
}
