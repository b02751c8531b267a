package claims

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc/pool"

	"celerybank/internal/configlog"
	"celerybank/internal/events"
	"celerybank/internal/gossip"
	"celerybank/internal/mesh"
)

// Timing and bounds of the seat coordinator.
const (
	roundInterval = 500 * time.Millisecond
	// replaceAfter is how long a holder must be absent before it is replaced: longer than a
	// restart.
	replaceAfter = 30 * time.Second
	// settleTime is how long the number of members must be stable before the first seats
	// are assigned.
	settleTime = 2 * time.Second
	// maxSettleTime bounds the wait for stable members.
	maxSettleTime = 15 * time.Second
	// appendTimeout bounds one append and the wait until this node has applied it.
	appendTimeout = 3 * time.Second
	// maxConcurrentQueries bounds the nodes queried in parallel.
	maxConcurrentQueries = 32
	// maxQueriesPerRound bounds the nodes queried in one round.
	maxQueriesPerRound = 256
)

// Membership provides the alive members.
type Membership interface {
	Self() gossip.Member
	Alive() []gossip.Member
}

// Coordinator assigns seats to nodes by appending seat records. The node that ranks first
// coordinates all groups, so that one record covers many of them; more coordinators would
// only duplicate the work.
type Coordinator struct {
	log     configlog.Log
	source  StateSource
	peers   PeerClient
	members Membership
	events  *events.Recorder

	lastSeen       map[string]time.Time
	ready          map[string]bool
	aliveCount     int
	membersChanged time.Time
	started        time.Time
	stuck          int
	moveCursor     int
}

// NewCoordinator returns the coordinator of one node.
func NewCoordinator(log configlog.Log, source StateSource, peers PeerClient, members Membership, ev *events.Recorder) *Coordinator {
	return &Coordinator{log: log, source: source, peers: peers, members: members, events: ev}
}

// Run coordinates while this node ranks first, until ctx ends.
func (c *Coordinator) Run(ctx context.Context, synced <-chan struct{}) error {
	select {
	case <-synced:
	case <-ctx.Done():
		return nil
	}
	runEvery(ctx, roundInterval, func() {
		if !c.ranksFirst() {
			c.lastSeen = nil
			return
		}
		for c.round(ctx) && ctx.Err() == nil {
		}
	})
	return nil
}

// ranksFirst reports whether this node has the highest rendezvous hash (Thaler and
// Ravishankar 1998) of the alive members.
func (c *Coordinator) ranksFirst() bool {
	self := c.members.Self().Addr
	mine := coordinatorRank(self)
	for _, m := range c.members.Alive() {
		if m.Addr != self && coordinatorRank(m.Addr) > mine {
			return false
		}
	}
	return true
}

func coordinatorRank(addr string) uint64 { return xxhash.Sum64String("claims-judge/" + addr) }

// round appends at most one record. It reports whether the record was full, in which case
// more changes may be due.
func (c *Coordinator) round(ctx context.Context) bool {
	st := c.source.State()
	v := c.observe(st)
	p := newPlanner(v)
	c.reportStuck(p.countStuck())
	c.recordActive(ctx, p)
	if st.Groups == nil || !allCreated(st) {
		c.createGroups(ctx, p)
	}
	if st.Groups != nil && len(p.change.Items) == 0 {
		p.replaceHolders()
		if len(p.change.Items) == 0 {
			c.moveCursor = p.moveSeats(c.moveCursor)
		}
	}
	return len(p.change.Items) > 0 && c.appendRecord(ctx, p.change) && p.full()
}

func allCreated(st *mesh.State) bool {
	for i := range st.Groups {
		if st.Groups[i].Record == 0 {
			return false
		}
	}
	return true
}

// observe updates when each member and holder was last seen and returns the input of the
// planner.
func (c *Coordinator) observe(st *mesh.State) view {
	now := time.Now()
	if c.lastSeen == nil {
		c.lastSeen, c.ready, c.started, c.membersChanged = map[string]time.Time{}, map[string]bool{}, now, now
	}
	alive := c.members.Alive()
	v := view{groups: st.Groups, nodes: make(map[string]candidate, len(alive))}
	for _, m := range alive {
		cand := candidate{m.Addr, m.Zone, m.Region, !m.Draining && !st.IsOut(m.Zone)}
		v.nodes[m.Addr], v.candidates = cand, append(v.candidates, cand)
		c.lastSeen[m.Addr] = now
	}
	if len(alive) != c.aliveCount {
		c.aliveCount, c.membersChanged = len(alive), now
	}
	for i := range st.Groups {
		for _, addr := range st.Groups[i].Holders() {
			if _, ok := c.lastSeen[addr]; !ok {
				c.lastSeen[addr] = now // a new coordinator also waits replaceAfter
			}
		}
	}
	v.dead = func(addr string) bool { return now.Sub(c.lastSeen[addr]) >= replaceAfter }
	return v
}

func (c *Coordinator) reportStuck(n int) {
	if n > 0 && c.stuck == 0 {
		c.events.Emit(events.ClaimSeatsStuck, events.Fields{"groups": n})
	}
	c.stuck = n
}

// recordActive plans to record which of the holders assigned last have become active.
func (c *Coordinator) recordActive(ctx context.Context, p *planner) {
	queries := map[string][]GroupRecord{}
	for g := range p.groups {
		group := &p.groups[g]
		if group.Joining == 0 {
			continue
		}
		addr := group.Seats[group.Joining-1]
		if _, alive := p.nodes[addr]; alive && (len(queries) < maxQueriesPerRound || queries[addr] != nil) {
			queries[addr] = append(queries[addr], GroupRecord{g, group.Record})
		}
	}
	for _, reply := range c.queryActive(ctx, queries) {
		for _, g := range reply.Groups {
			if g >= 0 && g < len(p.groups) && !p.full() {
				p.change.Items = append(p.change.Items, mesh.SeatItem{Group: g, Prev: p.groups[g].Record, Op: mesh.SeatActive})
			}
		}
	}
}

// queryActive asks each address in which of the given groups it is active and returns the
// replies by address. Failed calls are left out.
func (c *Coordinator) queryActive(ctx context.Context, queries map[string][]GroupRecord) map[string]ActiveReply {
	type result struct {
		addr string
		ActiveReply
	}
	work := pool.NewWithResults[*result]().WithMaxGoroutines(maxConcurrentQueries)
	for addr, groups := range queries {
		work.Go(func() *result {
			ctx, cancel := context.WithTimeout(ctx, messageTimeout)
			defer cancel()
			var reply ActiveReply
			if err := c.peers.Call(ctx, addr, "Claims.Active", &ActiveQuery{groups}, &reply); err != nil {
				return nil
			}
			return &result{addr, reply}
		})
	}
	out := map[string]ActiveReply{}
	for _, r := range work.Wait() {
		if r != nil {
			out[r.addr] = r.ActiveReply
		}
	}
	return out
}

// createGroups assigns the first seats once the membership is stable. Only nodes that are
// ready are eligible: only they observe their seat from its first record on.
func (c *Coordinator) createGroups(ctx context.Context, p *planner) {
	now := time.Now()
	zones := map[string]bool{}
	for _, cand := range p.nodes {
		zones[cand.zone] = true
	}
	settled := now.Sub(c.membersChanged) >= settleTime && len(zones) >= mesh.SeatsPerGroup
	if !settled && now.Sub(c.started) < maxSettleTime {
		return
	}
	queries := map[string][]GroupRecord{}
	for addr := range p.nodes {
		if !c.ready[addr] && len(queries) < maxQueriesPerRound {
			queries[addr] = nil
		}
	}
	for addr, reply := range c.queryActive(ctx, queries) {
		c.ready[addr] = reply.Ready
	}
	for i := range p.candidates {
		p.candidates[i].eligible = p.candidates[i].eligible && c.ready[p.candidates[i].addr]
	}
	p.createGroups()
}

// appendRecord appends change and waits until this node has applied the record. If the
// reply to the append is lost, the append is not repeated: the next round plans from the
// state that results.
func (c *Coordinator) appendRecord(ctx context.Context, change mesh.SeatChange) bool {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	rec, err := configlog.NewRecord(mesh.KindSeats, mesh.SubjectSeats, 0, c.members.Self().Name, change)
	if err != nil {
		return false
	}
	data, err := json.Marshal(rec)
	if err != nil {
		return false
	}
	offset, err := c.log.Append(ctx, configlog.MeshStream, data)
	if err != nil {
		return false
	}
	version := configlog.VersionAt(configlog.EraOf(c.source.State().Version), offset)
	c.events.Emit(events.ClaimSeatsAppended, events.Fields{"groups": len(change.Items), "op": change.Items[0].Op, "version": version})
	for {
		changed := c.source.Changed()
		if c.source.State().Version >= version {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
