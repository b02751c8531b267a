package gossip

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"celerybank/internal/configlog"
	"celerybank/internal/events"
)

// PeerClient performs RPCs to other nodes, and sends them messages without a reply.
type PeerClient interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
	Notify(ctx context.Context, addr, method string, args any) error
}

// Config configures Members.
type Config struct {
	Self Member
	// Seeds are peer addresses (IP:port) of nodes to join through.
	Seeds []string
	Peers PeerClient
	// Log has the hello stream; if nil, this node joins through seeds only.
	Log    configlog.Log
	Events *events.Recorder
	// BytesPerSecond is the budget for all control traffic of the node, of which gossip
	// uses pushShare and repairShare. 0 means no limit.
	BytesPerSecond int
}

// Members is the membership list of one node and the protocol that maintains it. It
// follows SWIM (Das, Gupta and Motivala 2002) with the suspicion and local health
// extensions of Lifeguard (Dadgar, Phillips and Currey 2017).
type Members struct {
	cfg     Config
	events  *events.Recorder
	metrics *counters
	push    *rate.Limiter
	repair  *rate.Limiter
	wake    chan struct{}
	// urgent has an element while an urgent update waits for the next round of pushes.
	urgent chan struct{}
	tasks  sync.WaitGroup

	list    atomic.Pointer[aliveList]
	pulling atomic.Bool
	// serving serializes Service.Pull, so that concurrent pulls do not pass the check of
	// the repair budget together.
	serving sync.Mutex

	mu         sync.Mutex
	self       Member
	all        map[string]*entry
	order      []*entry // by address
	changed    bool     // order has changed since list was built
	suspects   map[*entry]struct{}
	lastSweep  time.Time
	queue      *queue
	facts      factTable
	digest     digest
	zones      map[string]*zoneView
	prober     prober
	partners   partners
	gateways   gateways
	alive      atomic.Int64 // number of live members
	rng        *rand.Rand
	memberSubs []func(Member)
	changeSubs []func(old, new Member)
	factSubs   []func(Fact)
	left       bool
	synced     bool // the list counts as complete; see startupGrace

	// factsSynced is the channel of FactsSynced, and factsSince the time of FactsSince; both are set once.
	factsSynced chan struct{}
	factsSince  time.Time
}

// entry is a member together with this node's local state about it.
type entry struct {
	Member
	hash      uint64    // of the address
	since     time.Time // of the last change of Status
	knows     knowledge
	suspicion *suspicion
	verifying bool // queued in prober.unverified
}

// live reports whether the member counts as running, which a suspected one does until its
// suspicion times out.
func (e *entry) live() bool { return e.Status == Alive || e.Status == Suspect }

// New returns a list with cfg.Self as its only member.
func New(cfg Config) *Members {
	cfg.Self.Incarnation = uint64(time.Now().UnixMilli())
	cfg.Self.Status = Alive
	m := &Members{cfg: cfg, events: cfg.Events, metrics: newCounters(), self: cfg.Self, wake: make(chan struct{}, 1), urgent: make(chan struct{}, 1),
		all: map[string]*entry{}, suspects: map[*entry]struct{}{}, queue: newQueue(), facts: newFactTable(), factsSynced: make(chan struct{}), zones: map[string]*zoneView{},
		push: newLimiter(cfg.BytesPerSecond, pushShare), repair: newLimiter(cfg.BytesPerSecond, repairShare)}
	m.rng = rand.New(rand.NewPCG(xxhash.Sum64String(cfg.Self.Addr), cfg.Self.Incarnation))
	m.metrics.watch(m)
	m.put(m.self, classAlive)
	m.rebuild()
	return m
}

// Self returns this node's own entry.
func (m *Members) Self() Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// Subscribe registers f, which is called with each changed member, in order. f runs under
// the list's lock: it must be fast and must not call methods of Members. A Suspect member
// still counts as live.
func (m *Members) Subscribe(f func(Member)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.memberSubs = append(m.memberSubs, f)
}

// SubscribeChanges registers f, which is called with the entry before and after each
// change; old is zero for a new member. The rules of Subscribe apply.
func (m *Members) SubscribeChanges(f func(old, new Member)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.changeSubs = append(m.changeSubs, f)
}

// Update applies change to this node's own entry. If the entry is another one then, Update raises its incarnation
// and gossips it.
func (m *Members) Update(change func(*Member)) {
	m.mu.Lock()
	old := m.self
	change(&m.self)
	if m.self == old {
		m.mu.Unlock()
		return
	}
	m.self.Incarnation++
	m.put(m.self, updateClass(old, m.self))
	m.mu.Unlock()
	m.wakePush()
}

// SetVersion sets the configuration version in this node's own entry, which is not
// gossiped.
func (m *Members) SetVersion(v int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.Version = v
	m.all[m.self.Addr].Version = v
	m.changed = true
}

// updateClass returns the queue class of the change from old to x. Changes after which a
// node receives no more requests are urgent.
func updateClass(old, x Member) int {
	if x.Status == Left || x.Draining || (old.Upstream.Service != "" && x.Upstream.Service == "") {
		return classUrgent
	}
	return classAlive
}

// put stores x, notifies subscribers and, unless class is noSpread, queues x for other
// members. m.mu is held.
func (m *Members) put(x Member, class int) {
	e := m.all[x.Addr]
	var old Member
	if e == nil {
		e = &entry{hash: xxhash.Sum64String(x.Addr)}
		m.all[x.Addr] = e
		m.insert(x.Addr, e)
	} else {
		old = e.Member
		m.removeFromTotals(e)
	}
	if old.Status != x.Status || old.Addr == "" {
		e.since = time.Now()
	}
	if x.Status == Suspect {
		m.suspects[e] = struct{}{}
	} else {
		e.suspicion = nil
		delete(m.suspects, e)
	}
	e.Member = x
	m.addToTotals(e)
	m.changed = true
	if class != noSpread {
		m.enqueue(x, class)
	}
	m.notify(old, x)
}

// noSpread is the class of updates that are not sent to other members.
const noSpread = -1

func (m *Members) notify(old, x Member) {
	for _, f := range m.memberSubs {
		f(x)
	}
	for _, f := range m.changeSubs {
		f(old, x)
	}
	if old.Addr != "" && old.Status == x.Status {
		return
	}
	m.report(old, x)
}

// Merge applies updates about members and facts as if another member had sent them.
func (m *Members) Merge(members []Member, facts []Fact) {
	m.mu.Lock()
	for _, x := range members {
		m.mergeMember(x, true)
	}
	for _, f := range facts {
		m.mergeFact(f)
	}
	m.mu.Unlock()
	m.wakePush()
}

// mergeMember applies another node's entry x; if spread is set, a newer entry is queued
// for other members. m.mu is held.
func (m *Members) mergeMember(x Member, spread bool) {
	if x.Addr == m.self.Addr {
		m.refute(Belief{Incarnation: x.Incarnation, Status: x.Status})
		return
	}
	e := m.all[x.Addr]
	switch {
	case x.Incarnation >= maxIncarnation:
		return
	case e == nil && (x.Status == Dead || x.Status == Left):
		return
	case e == nil || x.Incarnation > e.Incarnation:
		m.adopt(e, x, spread)
	case x.Incarnation == e.Incarnation && x.Status == Left && e.Status != Left:
		m.adopt(e, x, spread)
	case x.Incarnation == e.Incarnation && x.Status == Dead && e.live():
		m.verify(e)
	}
}

// adopt stores the newer entry x. A status of Left is accepted, since only the member
// itself sets it. Suspect and Dead are the opinion of another node: x is stored as Alive
// and probed by this node.
func (m *Members) adopt(e *entry, x Member, spread bool) {
	unverified := x.Status == Dead || x.Status == Suspect
	if unverified {
		x.Status = Alive
	}
	class := noSpread
	if spread {
		var old Member
		if e != nil {
			old = e.Member
		}
		class = updateClass(old, x)
	}
	m.put(x, class)
	if unverified {
		m.verify(m.all[x.Addr])
	}
}

// observe applies the entry that a member sent about itself, which proves that the member
// is alive. m.mu is held.
func (m *Members) observe(x Member) {
	if x.Addr == m.self.Addr {
		return
	}
	e := m.all[x.Addr]
	if e == nil || x.Incarnation > e.Incarnation {
		m.mergeMember(x, true)
		return
	}
	if x.Incarnation == e.Incarnation && x.Status == Alive && (e.Status == Suspect || e.Status == Dead) {
		x.Status = Alive
		m.put(x, noSpread)
	}
}

// maxIncarnation is the lowest incarnation that is rejected. No member could refute the
// highest value of the type, since it could not exceed it.
const maxIncarnation = 1 << 62

// smallZone is the number of live members up to which a node refutes its death to nodes
// of any zone. In a larger zone nodes of other zones correct themselves by
// Service.QueryAlive, which costs less than a refutation that every node receives.
const smallZone = 16

// refute raises this node's incarnation above that of b, unless b is consistent with the
// entry that this node itself issued.
func (m *Members) refute(b Belief) {
	if b.Incarnation >= maxIncarnation || b.Incarnation < m.self.Incarnation || (b.Incarnation == m.self.Incarnation && b.Status <= m.self.Status) {
		return
	}
	m.raiseIncarnation(b.Incarnation)
}

// raiseIncarnation sets this node's incarnation to above+1 and gossips its entry. Having to
// refute suggests that this node is slow, so its timeouts grow as well.
func (m *Members) raiseIncarnation(above uint64) {
	m.self.Incarnation = above + 1
	m.put(m.self, updateClass(m.self, m.self))
	m.metrics.refuted.Inc()
	m.prober.health.increase()
	m.events.Emit(events.MemberRefuted, events.Fields{"incarnation": m.self.Incarnation})
}

// handleBelief handles what a member in zone believes about this node. In a large zone it
// ignores that members of other zones list this node as dead; see smallZone.
func (m *Members) handleBelief(b Belief, zone string) {
	dead := b.Incarnation == m.self.Incarnation && b.Status == Dead
	if dead && zone != m.self.Zone && m.zone(m.self.Zone).alive > smallZone {
		return
	}
	m.refute(b)
}

// belief returns the status and incarnation that this node has stored for the member at
// addr, zero if there is none.
func (m *Members) belief(addr string) Belief {
	if e := m.all[addr]; e != nil {
		return Belief{Incarnation: e.Incarnation, Status: e.Status}
	}
	return Belief{}
}

// Run joins the mesh, probes members and exchanges updates until ctx ends.
func (m *Members) Run(ctx context.Context) error {
	for _, task := range []func(context.Context){m.join, m.probeLoop, m.gatewayLoop, m.recheckLoop, m.pushLoop, m.expireLoop, m.helloLoop} {
		m.tasks.Go(func() { task(ctx) })
	}
	<-ctx.Done()
	m.tasks.Wait()
	return nil
}

// Leave announces to leaveFanout members that this node leaves, together with its last
// facts; they spread both. It returns when they have replied or pushTimeout has passed.
func (m *Members) Leave(ctx context.Context, last ...Fact) {
	m.mu.Lock()
	m.left = true
	m.self.Status = Left
	m.self.Incarnation++
	m.put(m.self, classUrgent)
	u := updates{Members: []memberWire{toWire(m.self)}}
	for _, f := range last {
		u.Facts = append(u.Facts, factToWire(f))
	}
	payload := u.encode()
	m.mu.Unlock()
	m.send(ctx, m.leavePeers(), payload)
}

func (m *Members) report(old, x Member) {
	switch x.Status {
	case Alive:
		if old.Addr != "" && old.Status == Suspect {
			return
		}
		m.metrics.joined.Inc()
		m.emit(events.MemberJoined, x)
	case Dead:
		m.metrics.failed.Inc()
		m.emit(events.MemberFailed, x)
	case Left:
		m.metrics.left.Inc()
		m.emit(events.MemberLeft, x)
	case Suspect:
		m.metrics.suspected.Inc()
	}
}

// eventObservers is the mean number of nodes that record an event about a member. If all
// did, each restart would write one line per node, 19,000 in a large mesh.
const eventObservers = 16

func (m *Members) emit(code events.Code, x Member) {
	n := uint64(len(m.all))
	if n > eventObservers && xxhash.Sum64String(m.self.Addr+x.Addr)%n >= eventObservers {
		return
	}
	m.events.Emit(code, events.Fields{"member": x.Name, "member_zone": x.Zone, "addr": x.Addr})
}
