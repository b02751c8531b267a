// Package departure keeps which processes of the upstream on this host have said that they leave. A node confirms that to
// the upstream, and the confirmation binds the next process of the node too, however this one ends: other nodes hold the
// departures and hand them to the successor.
package departure

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"celerybank/internal/events"
	"celerybank/internal/gossip"
)

// Stage is how far a process has left.
type Stage uint8

const (
	// None is the stage of a process that has not said that it leaves.
	None Stage = iota
	// Draining processes finish their requests and accept no new ones.
	Draining
	// Ended processes have announced their end; they finish their requests.
	Ended
)

// Notice says that a process leaves.
type Notice struct {
	// Instance names the process; a restarted process may keep the name.
	Instance string `msgpack:"i"`
	// Born is when the process started, in Unix milliseconds; the notice holds for earlier processes of the name too. It is
	// 0 if processes do not announce it.
	Born  int64 `msgpack:"b,omitempty"`
	Stage Stage `msgpack:"s"`
}

// sequence orders the notices about processes of one name.
func (n Notice) sequence() int64 { return n.Born<<2 | int64(n.Stage) }

// factKind is the kind of the gossip facts with notices. Their key is the peer address of the node and the name of the
// process.
const factKind = "departure"

// Limits of what is kept.
const (
	// retention is how long other nodes hold a notice. Upstreams serve for some seconds after their departure is
	// confirmed, and an announcement may be seconds late.
	retention = time.Minute
	// maxNotices bounds the notices about processes of one host; the oldest are dropped first.
	maxNotices = 64
	// clockTolerance is the largest expected difference between the time of day of an upstream and that of its node.
	clockTolerance = 5 * time.Second
)

// Members spreads facts to the other nodes, which hold them.
type Members interface {
	// PublishFact stores and spreads a fact. It returns when the fact is written to connections to other nodes.
	PublishFact(f gossip.Fact)
	SubscribeFacts(f func(gossip.Fact))
	// FactsSynced returns a channel that is closed once this node has the facts that other nodes held when it started.
	FactsSynced() <-chan struct{}
	// FactsSince returns the time from which on this node has all facts that were published; ok is false before FactsSynced is closed.
	FactsSince() (since time.Time, ok bool)
}

// Tracker keeps the departures of one host's upstream processes.
type Tracker struct {
	host    string
	members Members
	events  *events.Recorder
	started time.Time
	// arrived has a value when inherited is not empty.
	arrived chan struct{}

	mu      sync.Mutex
	notices map[string]Notice
	names   []string // keys of notices, the oldest first
	// inherited are notices from other nodes that Run has not passed on yet.
	inherited []Notice
}

// New returns a tracker for the upstream of the node whose peer address is host.
func New(host string, members Members, ev *events.Recorder) *Tracker {
	t := &Tracker{host: host, members: members, events: ev, started: time.Now(), arrived: make(chan struct{}, 1), notices: map[string]Notice{}}
	members.SubscribeFacts(t.observe)
	return t
}

// Stage returns how far the process named instance, started at born, has left.
func (t *Tracker) Stage(instance string, born int64) Stage {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n, ok := t.notices[instance]; ok && born <= n.Born {
		return n.Stage
	}
	return None
}

// Covers reports whether this process knows if a process of the upstream has left. The process started at born, in Unix milliseconds
// (0 if unknown), and its announcement was received at the given time. Other nodes may have started at the same time as this one, and
// hold no departures from before. So either the process has to be younger than what they hold, or the announcement would be
// older than they hold any departure.
func (t *Tracker) Covers(born int64, received time.Time) bool {
	since := t.started
	if facts, ok := t.members.FactsSince(); ok && facts.Before(since) {
		since = facts
	}
	return received.Sub(since) >= retention || time.UnixMilli(born).Sub(since) > clockTolerance
}

// Record keeps a notice and hands it to other nodes. It is to be called before the departure is confirmed: a process that
// is killed after the confirmation leaves the notice with them. It does not wait for their replies.
func (t *Tracker) Record(n Notice) {
	t.mu.Lock()
	news := t.add(n)
	t.mu.Unlock()
	if !news {
		return
	}
	body, err := msgpack.Marshal(&n)
	if err != nil {
		t.events.Emit(events.TaskFailed, events.Fields{"reason": err.Error()})
		return
	}
	t.members.PublishFact(gossip.Fact{Kind: factKind, Key: t.host + "/" + n.Instance, Seq: n.sequence(), Body: body,
		Expires: time.Now().Add(retention)})
}

// add keeps a notice and reports whether it is news. t.mu is held.
func (t *Tracker) add(n Notice) bool {
	old, known := t.notices[n.Instance]
	if known && old.sequence() >= n.sequence() {
		return false
	}
	t.notices[n.Instance] = n
	if !known {
		t.names = append(t.names, n.Instance)
	}
	if len(t.names) > maxNotices {
		delete(t.notices, t.names[0])
		t.names = t.names[1:]
	}
	return true
}

// observe keeps the notice of a fact about this host.
func (t *Tracker) observe(f gossip.Fact) {
	if f.Kind != factKind || !strings.HasPrefix(f.Key, t.host+"/") {
		return
	}
	var n Notice
	if err := msgpack.Unmarshal(f.Body, &n); err != nil || n.Stage == None {
		return // of a build with another format; PublishFact of this one writes none
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.add(n) {
		return
	}
	t.inherited = append(t.inherited, n)
	select {
	case t.arrived <- struct{}{}:
	default:
	}
}

// Run passes on the departures that other nodes hold, and calls known once when it has passed on all of them, until ctx ends.
func (t *Tracker) Run(ctx context.Context, departed func(Notice), known func()) error {
	synced := t.members.FactsSynced()
	for ctx.Err() == nil {
		nowKnown := false
		select {
		case <-ctx.Done():
		case <-t.arrived:
		case <-synced:
			synced, nowKnown = nil, true
		}
		for _, n := range t.takeInherited() {
			t.events.Emit(events.DepartureInherited, events.Fields{"instance": n.Instance, "born": n.Born, "ended": n.Stage == Ended})
			departed(n)
		}
		if nowKnown {
			since, _ := t.members.FactsSince()
			t.events.Emit(events.DeparturesKnown, events.Fields{"after_ms": time.Since(t.started).Milliseconds(), "since_ms": time.Since(since).Milliseconds()})
			known()
		}
	}
	return nil
}

func (t *Tracker) takeInherited() []Notice {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.inherited
	t.inherited = nil
	return out
}
