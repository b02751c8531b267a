package gossip

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"celerybank/internal/events"
)

// Limits on the facts that a node stores.
const (
	maxFacts     = 4096
	maxFactBytes = 1 << 20
	// maxFactBody is the largest accepted body of a fact, in bytes.
	maxFactBody = 4 << 10
)

type factKey struct{ kind, key string }

type factTable struct {
	byKey map[factKey]Fact
	bytes int
}

func newFactTable() factTable { return factTable{byKey: map[factKey]Fact{}} }

func factSize(f Fact) int { return len(f.Kind) + len(f.Key) + len(f.Body) + 24 }

func factHash(f Fact) (bucket int, hash uint64) {
	key := xxhash.Sum64String(f.Kind + "\x00" + f.Key)
	return factBucket(key), key ^ (uint64(f.Seq)*0x9E3779B97F4A7C15 + 1)
}

// SubscribeFacts registers f, which is called with each new fact. The rules of
// Subscribe apply.
func (m *Members) SubscribeFacts(f func(Fact)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.factSubs = append(m.factSubs, f)
}

// SetFact stores f on this node and gossips it. It has no effect if the node holds a fact
// with the same kind and key whose Seq is equal or higher.
func (m *Members) SetFact(f Fact) {
	f.Expires = time.UnixMilli(f.Expires.UnixMilli())
	m.mu.Lock()
	m.mergeFact(f)
	if i := m.queue.current[itemKey{fact: factKey{f.Kind, f.Key}}]; i != nil {
		i.far = true
	}
	m.mu.Unlock()
	m.wakePush()
}

// publishFanout is the number of members to which PublishFact sends a fact itself: two in the own zone and two elsewhere,
// so that the fact survives the loss of a zone.
const (
	publishFanout = 4
	publishNear   = 2
)

// publishTimeout bounds the wait of PublishFact for connections that are not open.
const publishTimeout = 10 * time.Millisecond

// PublishFact is SetFact for a fact that must survive the end of this process. It returns when the fact is written to the
// connections to publishFanout members or after publishTimeout, and does not wait for replies.
func (m *Members) PublishFact(f Fact) {
	m.SetFact(f)
	peers := m.nextPartners(publishFanout, publishNear)
	payload := (&updates{Facts: []factWire{factToWire(f)}}).encode()
	if len(peers) == 0 || payload == nil {
		return
	}
	bytes := len(peers) * (len(payload) + messageOverhead)
	charge(m.push, bytes)
	m.metrics.pushSent.Add(bytes)
	written := make(chan struct{})
	go func() {
		defer close(written)
		m.pushTo(context.Background(), peers, payload)
	}()
	timeout := time.NewTimer(publishTimeout)
	defer timeout.Stop()
	select {
	case <-written:
	case <-timeout.C:
	}
}

// FactsSynced returns a channel that is closed once a member that was in the mesh before this node has delivered its
// facts, or none was found within startupGrace: every node of the mesh has then just started, and facts that were published
// before may be lost. FactsSince tells.
func (m *Members) FactsSynced() <-chan struct{} { return m.factsSynced }

// FactsSince returns the time from which on all facts that members published have reached this node, unless they have expired.
// It is when the facts of the member from which this node copied them began to be complete, and so may be long before the start of this
// process. If all members started at the same time, it is the end of startupGrace. ok is false before FactsSynced is closed.
func (m *Members) FactsSince() (since time.Time, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.factsSince, !m.factsSince.IsZero()
}

// setFactsSynced closes the channel of FactsSynced on its first call; since is the time of FactsSince.
func (m *Members) setFactsSynced(since time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.factsSince.IsZero() {
		m.factsSince = since
		close(m.factsSynced)
	}
}

// mergeFact stores f and queues it for other members, unless it is outdated, expired or
// too large. m.mu is held.
func (m *Members) mergeFact(f Fact) {
	k := factKey{f.Kind, f.Key}
	old, known := m.facts.byKey[k]
	if (known && old.Seq >= f.Seq) || time.Now().After(f.Expires) || len(f.Body) > maxFactBody {
		return
	}
	if known {
		m.dropFact(k)
	}
	m.facts.byKey[k] = f
	m.facts.bytes += factSize(f)
	m.digest.flip(factHash(f))
	m.signalUrgent()
	m.queue.add(&item{fact: k, class: classUrgent, size: factSize(f), far: m.relays(classUrgent)})
	for _, sub := range m.factSubs {
		sub(f)
	}
	for len(m.facts.byKey) > maxFacts || m.facts.bytes > maxFactBytes {
		m.evictFact()
	}
}

func (m *Members) dropFact(k factKey) {
	f := m.facts.byKey[k]
	m.facts.bytes -= factSize(f)
	m.digest.flip(factHash(f))
	delete(m.facts.byKey, k)
	m.queue.remove(itemKey{fact: k})
}

// evictFact drops the fact that expires first. Ties are broken by kind and key, so that
// nodes with the same facts evict the same one.
func (m *Members) evictFact() {
	var victim factKey
	var first Fact
	for k, f := range m.facts.byKey {
		if first.Kind == "" || f.Expires.Before(first.Expires) || (f.Expires.Equal(first.Expires) && k.kind+k.key < victim.kind+victim.key) {
			victim, first = k, f
		}
	}
	m.dropFact(victim)
	m.metrics.evicted.Inc()
	m.events.Emit(events.FactEvicted, events.Fields{"kind": victim.kind, "key": victim.key})
}

func (m *Members) expireFacts(now time.Time) {
	for k, f := range m.facts.byKey {
		if now.After(f.Expires) {
			m.dropFact(k)
		}
	}
}
