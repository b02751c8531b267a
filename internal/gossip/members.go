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

// Caller performs calls to peers.
type Caller interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// Config has what a list of members needs.
type Config struct {
	Self Member
	// Seeds are peer addresses to join by.
	Seeds []string
	Peers Caller
	// Log has the hello stream; nil joins by seeds alone.
	Log    configlog.Log
	Events *events.Recorder
	// BytesPerSecond bounds all of the node's control traffic; membership takes its share of it. 0 means no bound.
	BytesPerSecond int
}

// Members is the list of nodes. It follows SWIM (Das, Gupta and Motivala 2002) with
// the suspicion and local health of Lifeguard (Dadgar, Phillips and Currey 2017).
type Members struct {
	cfg     Config
	events  *events.Recorder
	metrics *counters
	push    *rate.Limiter
	repair  *rate.Limiter
	wake    chan struct{}
	tasks   sync.WaitGroup

	list    atomic.Pointer[aliveList]
	pulling atomic.Bool
	// serving makes the check of the budget for repair and its use one step.
	serving sync.Mutex

	mu       sync.Mutex
	self     Member
	all      map[string]*entry
	order    []*entry // by address
	changed  bool     // order differs from list
	suspects map[*entry]struct{}
	swept    time.Time
	queue    *queue
	facts    factTable
	digest   digest
	zones    map[string]*zoneView
	prober   prober
	rng      *rand.Rand
	subs     []func(Member)
	changes  []func(old, new Member)
	fsubs    []func(Fact)
	left     bool
	synced   bool // holds a whole list, copied from another member
}

// entry is a member and what this node alone believes about it.
type entry struct {
	Member
	hash      uint64 // of the address
	since     time.Time
	suspicion *suspicion
	verifying bool
}

func (e *entry) living() bool { return e.Status == Alive || e.Status == Suspect }

// New returns a list that holds self alone.
func New(cfg Config) *Members {
	cfg.Self.Incarnation = uint64(time.Now().UnixMilli())
	cfg.Self.Status = Alive
	m := &Members{cfg: cfg, events: cfg.Events, metrics: newCounters(), self: cfg.Self, wake: make(chan struct{}, 1),
		all: map[string]*entry{}, suspects: map[*entry]struct{}{}, queue: newQueue(), facts: newFactTable(), zones: map[string]*zoneView{},
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

// Subscribe calls f with each changed member, in order; f must be short and must not
// call back. A Suspect member still counts as living.
func (m *Members) Subscribe(f func(Member)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.subs = append(m.subs, f)
}

// SubscribeChanges calls f with each change: the entry before, zero for a new member,
// and after. The rules of Subscribe hold.
func (m *Members) SubscribeChanges(f func(old, new Member)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.changes = append(m.changes, f)
}

// Update changes this node's own entry, raises its incarnation and spreads it.
func (m *Members) Update(change func(*Member)) {
	m.mu.Lock()
	old := m.self
	change(&m.self)
	m.self.Incarnation++
	m.put(m.self, urgency(old, m.self))
	m.mu.Unlock()
	m.wakePush()
}

// SetVersion notes the configuration version of this node; it is not spread.
func (m *Members) SetVersion(v int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.Version = v
	m.all[m.self.Addr].Version = v
	m.changed = true
}

// urgency is the class of news: whatever takes work away goes first.
func urgency(old, x Member) int {
	if x.Status == Left || x.Draining || (old.Upstream.Service != "" && x.Upstream.Service == "") {
		return classUrgent
	}
	return classAlive
}

// put stores x, tells subscribers and, unless class is noSpread, queues it.
func (m *Members) put(x Member, class int) {
	e := m.all[x.Addr]
	var old Member
	if e == nil {
		e = &entry{hash: xxhash.Sum64String(x.Addr)}
		m.all[x.Addr] = e
		m.insert(x.Addr, e)
	} else {
		old = e.Member
		m.discount(e)
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
	m.count(e)
	m.changed = true
	if class != noSpread {
		m.enqueue(x, class)
	}
	m.notify(old, x)
}

// noSpread marks news that is not handed on.
const noSpread = -1

func (m *Members) notify(old, x Member) {
	for _, f := range m.subs {
		f(x)
	}
	for _, f := range m.changes {
		f(old, x)
	}
	if old.Addr != "" && old.Status == x.Status {
		return
	}
	m.report(old, x)
}

// Merge takes in news about members and facts, as if a peer had sent it.
func (m *Members) Merge(members []Member, facts []Fact) {
	m.mu.Lock()
	for _, x := range members {
		m.learn(x, true)
	}
	for _, f := range facts {
		m.learnFact(f)
	}
	m.mu.Unlock()
	m.wakePush()
}

// learn takes in what another node says about x. spread hands on what is new.
func (m *Members) learn(x Member, spread bool) {
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
	case x.Incarnation == e.Incarnation && x.Status == Dead && e.living():
		m.verify(e)
	}
}

// adopt stores newer content. Only the member itself says that it leaves; that it is
// dead is checked here before it is believed.
func (m *Members) adopt(e *entry, x Member, spread bool) {
	unsure := x.Status == Dead || x.Status == Suspect
	if unsure {
		x.Status = Alive
	}
	class := noSpread
	if spread {
		var old Member
		if e != nil {
			old = e.Member
		}
		class = urgency(old, x)
	}
	m.put(x, class)
	if unsure {
		m.verify(m.all[x.Addr])
	}
}

// heard takes in the entry that a member sent about itself: proof that it lives.
func (m *Members) heard(x Member) {
	if x.Addr == m.self.Addr {
		return
	}
	e := m.all[x.Addr]
	if e == nil || x.Incarnation > e.Incarnation {
		m.learn(x, true)
		return
	}
	if x.Incarnation == e.Incarnation && x.Status == Alive && (e.Status == Suspect || e.Status == Dead) {
		x.Status = Alive
		m.put(x, noSpread)
	}
}

// maxIncarnation bounds what is believed; above it no node could refute any more.
const maxIncarnation = 1 << 62

// smallZone is the number of living members up to which a node refutes its death
// when any node believes it; in a larger zone its neighbours answer for it.
const smallZone = 16

// refute outranks a belief about this node that it did not issue itself. A belief in
// its death at the right incarnation needs that only when its neighbours may share it.
func (m *Members) refute(b Belief) {
	if b.Incarnation >= maxIncarnation || b.Incarnation < m.self.Incarnation || (b.Incarnation == m.self.Incarnation && b.Status <= m.self.Status) {
		return
	}
	m.raise(b.Incarnation)
}

func (m *Members) raise(above uint64) {
	m.self.Incarnation = above + 1
	m.put(m.self, urgency(m.self, m.self))
	m.metrics.refuted.Inc()
	m.prober.health.worse()
	m.events.Emit(events.MemberRefuted, events.Fields{"incarnation": m.self.Incarnation})
}

// believed handles what the member in zone believes about this node.
func (m *Members) believed(b Belief, zone string) {
	dead := b.Incarnation == m.self.Incarnation && b.Status == Dead
	if dead && zone != m.self.Zone && m.zone(m.self.Zone).alive > smallZone {
		return
	}
	m.refute(b)
}

// belief is what this node holds about x.
func (m *Members) belief(addr string) Belief {
	if e := m.all[addr]; e != nil {
		return Belief{Incarnation: e.Incarnation, Status: e.Status}
	}
	return Belief{}
}

// Run probes, spreads and repairs until ctx ends.
func (m *Members) Run(ctx context.Context) error {
	for _, task := range []func(context.Context){m.join, m.probeLoop, m.recheckLoop, m.pushLoop, m.expireLoop, m.helloLoop} {
		m.tasks.Go(func() { task(ctx) })
	}
	<-ctx.Done()
	m.tasks.Wait()
	return nil
}

// leaveFanout is how many members are told at once that this node leaves.
const leaveFanout = 8

// Leave tells a few members that this node goes, and its last facts; they hand both on.
func (m *Members) Leave(ctx context.Context, last ...Fact) {
	m.mu.Lock()
	m.left = true
	m.self.Status = Left
	m.self.Incarnation++
	m.put(m.self, classUrgent)
	n := news{Members: []memberWire{toWire(m.self)}}
	for _, f := range last {
		n.Facts = append(n.Facts, factToWire(f))
	}
	pack := n.encode()
	m.mu.Unlock()
	m.send(ctx, m.sample(leaveFanout), pack)
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

// observers is how many nodes, in the mean, record an event about one member: all of
// them would write 19,000 lines for each restart.
const observers = 16

func (m *Members) emit(code events.Code, x Member) {
	n := uint64(len(m.all))
	if n > observers && xxhash.Sum64String(m.self.Addr+x.Addr)%n >= observers {
		return
	}
	m.events.Emit(code, events.Fields{"member": x.Name, "member_zone": x.Zone, "addr": x.Addr})
}
