package orders

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"

	"celerybank/internal/duration"
	"celerybank/internal/events"
	"celerybank/internal/gossip"
)

// Timing and sizes of the distribution. An order has to be in force on every node within 2 s.
const (
	// readersPerZone is the number of nodes of a zone that read the topic: two, so that one may
	// fail. A zone of singleReaderZoneSize nodes or more has one reader: together its nodes exchange
	// with other zones at least four times a second, which compensates for a failed reader as
	// quickly as a second one would.
	readersPerZone       = 2
	singleReaderZoneSize = 12
	// longPollTimeout is the time that a read waits for new records, and callTimeout how long it may take
	// in addition, several times what a slow store needs. A read that gets no response
	// blocks a reader for both. Together they must stay below the time that a store has to be available
	// for before orders have to be in force in time again, 3 s.
	longPollTimeout = 1500 * time.Millisecond
	callTimeout     = time.Second
	// minReadInterval is the minimum pause after a read that returned records, so that a burst of
	// changes is read in batches. It is a fifth of the time within which an order has to be in force.
	minReadInterval = 400 * time.Millisecond
	// retryDelay is the mean time from the start of the first failed call to the start of the next; it
	// doubles with each further one up to maxRetryDelay. The maximum limits both the rate of failing calls
	// and the delay until a store that is available again is noticed.
	retryDelay    = 200 * time.Millisecond
	maxRetryDelay = time.Second
	// roleCheckInterval is the mean time between checks whether this node is a reader.
	roleCheckInterval = 300 * time.Millisecond
	// readerTimeout is the time without any sign of a working reader after which every node reads the
	// topic itself. It exceeds usual outages of the store, as all nodes together load it heavily.
	readerTimeout = 10 * time.Second
	// readerCandidates is the number of nodes of a zone, by rank, that take the place of a reader as
	// soon as it does not respond to them. The others wait for the failure detector.
	readerCandidates = 12
	// repairInterval is the mean time between exchanges with peers: a quarter of the time within which
	// an order has to be in force.
	repairInterval = 500 * time.Millisecond
	// crossZonePeriod is the number of exchanges of which one goes to another zone. It bounds the time
	// for which the nodes of a zone miss an order when their readers fail.
	crossZonePeriod = 2
	// storeDownRepairInterval is the mean time between exchanges of a node that cannot read the
	// store: it pulls from other zones instead, since its zone has to have an order in force within 2 s.
	storeDownRepairInterval = 300 * time.Millisecond
	// exchangeTimeout limits one call to a peer.
	exchangeTimeout = 500 * time.Millisecond
	// pushFanout is the number of nodes of the zone to which each node advertises new records.
	pushFanout = 6
	// maxInlineBytes is the maximum size of records that an update carries. Larger ones are only
	// advertised and each node pulls them once: six copies of a configuration of 800 routes would
	// saturate a link of 10 Mbit/s.
	maxInlineBytes = 2 << 10
)

// PeerClient performs RPCs to other nodes.
type PeerClient interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// Membership returns this node and the alive nodes.
type Membership interface {
	Self() gossip.Member
	Alive() []gossip.Member
}

// Follower keeps a replica up to date: it reads the topic if this node is a reader, and exchanges
// records with peers.
type Follower struct {
	replica *Replica
	source  Source
	peers   PeerClient
	members Membership
	events  *events.Recorder
	ready   chan struct{}
	// readerSeen is when a reader was last known to be working, in Unix milliseconds.
	readerSeen atomic.Int64
	// outage describes the calls to the store that failed since the last one that succeeded.
	outage storeOutage
	// differs is set when a node with the same position has other orders in force.
	differs atomic.Bool
	// seen has the recent records that this node read from the store. Only the task that reads uses it.
	seen histories
	// storeCalls counts the calls to the store.
	storeCalls atomic.Int64
	// synced is set once the newest records of all keys were read; further reads continue at a position.
	synced atomic.Bool
	// fetching is set while this node pulls advertised records from a peer.
	fetching atomic.Bool
	// contacts are the peers that did not respond to the last exchange.
	contacts contacts
	// confirmed is when the position of this node was last confirmed; confirmWithin is 0 if nothing depends on it.
	confirmed     confirmation
	confirmWithin time.Duration
}

// NewFollower returns a follower that keeps replica up to date while Run runs.
func NewFollower(replica *Replica, source Source, peers PeerClient, members Membership, ev *events.Recorder) *Follower {
	f := &Follower{replica: replica, source: source, peers: peers, members: members, events: ev, ready: make(chan struct{}),
		contacts: newContacts(), seen: histories{}}
	f.observeReader(0)
	f.confirmed.init(time.Now())
	return f
}

// Ready returns a channel that is closed once a configuration is known.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// StoreCalls returns the number of calls to the store so far.
func (f *Follower) StoreCalls() int64 { return f.storeCalls.Load() }

// Run distributes records until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	var wg conc.WaitGroup
	wg.Go(func() { f.readInitial(ctx); f.follow(ctx) })
	wg.Go(func() { f.push(ctx) })
	wg.Go(func() { f.repair(ctx) })
	wg.Go(func() { f.awaitConfig(ctx) })
	wg.Wait()
	return nil
}

// awaitConfig closes ready once a configuration is known.
func (f *Follower) awaitConfig(ctx context.Context) {
	for {
		changed := f.replica.Changed()
		if f.replica.View().Table != nil {
			close(f.ready)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// peersFirst is the time for which a starting node asks peers for the orders before it reads the store; jitter adds up to
// as much again, so that nodes that start at once learn from the first that has read it.
const peersFirst = 250 * time.Millisecond

// askPeers asks nodes for their orders, as soon as any is known, for at most limit.
func (f *Follower) askPeers(ctx context.Context, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	self := f.members.Self().Addr
	others := func(m *gossip.Member) bool { return m.Addr != self }
	for f.replica.View().Next == 0 {
		f.pullFromAny(ctx, f.members.Alive(), others)
		if !duration.Sleep(ctx, peersPause) {
			return
		}
	}
}

// peersPause is the pause between two attempts of askPeers.
const peersPause = 20 * time.Millisecond

// readInitial gets the newest records of all keys from peers, or else from the store. It retries until either has
// delivered records.
func (f *Follower) readInitial(ctx context.Context) {
	f.askPeers(ctx, peersFirst+rand.N(peersFirst))
	for delay := retryDelay; ctx.Err() == nil && f.replica.View().Next == 0; delay = min(2*delay, maxRetryDelay) {
		start := time.Now()
		if f.readAll(ctx) == nil {
			return
		}
		duration.Sleep(ctx, duration.RetryPause(delay, start))
	}
}

// readerRole says whether a node reads the topic, and why.
type readerRole string

const (
	notReading   readerRole = "other nodes read"
	zoneReader   readerRole = "reader of the zone"
	noReaderSeen readerRole = "no reader is known to be working"
)

// role returns this node's current role.
func (f *Follower) role() readerRole {
	switch {
	case f.IsReader():
		return zoneReader
	case f.readerAge() >= readerTimeout.Milliseconds():
		return noReaderSeen
	}
	return notReading
}

// follow reads the topic while this node is a reader or no reader is known to be working.
func (f *Follower) follow(ctx context.Context) {
	delay, role := retryDelay, notReading
	var open settlement
	for ctx.Err() == nil {
		if now := f.role(); now != role {
			role = now
			f.events.Emit(events.ReaderChanged, events.Fields{"reads": role != notReading, "reason": role, "age_ms": f.readerAge(), "position": f.replica.View().Next})
		}
		if open.due(f) {
			f.settle(ctx, &open)
		}
		if role == notReading {
			f.contacts.awaitChange(ctx, roleCheckInterval/2+rand.N(roleCheckInterval))
			continue
		}
		start := time.Now()
		gotRecords, err := f.read(ctx)
		switch {
		case err != nil:
			duration.Sleep(ctx, duration.RetryPause(delay, start))
			delay = min(2*delay, maxRetryDelay)
		case gotRecords:
			duration.Sleep(ctx, minReadInterval)
			fallthrough
		default:
			delay = retryDelay
		}
	}
}

// read applies the records after the position of the replica. It waits for records unless the last call to
// the store failed. gotRecords reports whether there were any.
func (f *Follower) read(ctx context.Context) (gotRecords bool, err error) {
	next := f.replica.View().Next
	if next == 0 && !f.synced.Load() || f.unverified(f.replica.View()) {
		return true, f.readAll(ctx)
	}
	f.storeCalls.Add(1)
	start, wait := time.Now(), f.pollTimeout()
	if f.outage.ongoing() {
		wait = 0
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	batch, truncated, err := f.source.Read(callCtx, next, wait)
	if f.recordStoreResult(ctx, start, err) != nil {
		return false, err
	}
	if truncated || batch.Era != f.replica.View().Era {
		return true, f.readAll(ctx)
	}
	f.applyStored(batch)
	f.confirmRead(batch, start, wait)
	return len(batch.Records) > 0, nil
}

// readAll applies the newest records of all keys.
func (f *Follower) readAll(ctx context.Context) error {
	f.storeCalls.Add(1)
	start := time.Now()
	batch, err := f.source.Newest(ctx)
	if f.recordStoreResult(ctx, start, err) != nil {
		return err
	}
	view := f.replica.View()
	if batch.Era > view.Era && view.Era > 0 {
		f.events.Emit(events.StoreRestored, events.Fields{"era": batch.Era, "before": view.Era, "next": batch.Next, "position": view.Next})
	}
	f.findStarts(ctx, &batch)
	batch.Merge = batch.Era == view.Era
	f.applyStored(batch)
	f.confirmed.record(start, start)
	f.synced.Store(true)
	return nil
}

// applyStored applies a batch that was read from the store.
func (f *Follower) applyStored(batch Batch) {
	f.seen.add(batch)
	batch.Records = f.compress(batch.Records)
	if f.replica.Apply(batch, "store") || len(batch.Records) == 0 {
		return
	}
	if view := f.replica.View(); view.position().Compare(Position{batch.Era, batch.Next}) > 0 { // else a peer was faster
		f.events.Emit(events.BatchIgnored, events.Fields{"era": batch.Era, "next": batch.Next, "position": view.Next, "records": len(batch.Records)})
	}
}

// compress compresses large records; one that cannot be compressed is distributed as it is.
func (f *Follower) compress(records []Record) []Record {
	for i, r := range records {
		compressed, err := r.compress()
		if err != nil {
			f.events.Emit(events.TaskFailed, events.Fields{"reason": err.Error(), "key": r.Key})
			continue
		}
		records[i] = compressed
	}
	return records
}

// recordStoreResult records whether a call to the store that began at start succeeded, and emits an event when
// the store becomes unavailable or available again. It returns err, or the error of ctx.
func (f *Follower) recordStoreResult(ctx context.Context, start time.Time, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err != nil {
		if f.outage.fail(start) {
			f.events.Emit(events.SourceUnavailable, events.Fields{"reason": err.Error(), "took_ms": time.Since(start).Milliseconds()})
		}
		return err
	}
	f.observeReader(0)
	if calls, since := f.outage.end(); calls > 0 {
		f.events.Emit(events.SourceAvailable, events.Fields{"position": f.replica.View().Next, "took_ms": time.Since(start).Milliseconds(),
			"failed_calls": calls, "down_ms": time.Since(since).Milliseconds()})
	}
	return nil
}

// observeReader records that a reader was working the given time ago.
func (f *Follower) observeReader(ago time.Duration) {
	at := time.Now().Add(-ago).UnixMilli()
	for {
		old := f.readerSeen.Load()
		if at <= old || f.readerSeen.CompareAndSwap(old, at) {
			return
		}
	}
}

// IsReader reports whether this node reads the topic for its zone. The readers are the highest ranked
// alive nodes of the zone by rendezvous hashing (Thaler and Ravishankar 1998), without those that did
// not respond to this node.
func (f *Follower) IsReader() bool {
	above, readers := f.rankedAbove(f.members.Alive())
	for _, addr := range above {
		if !f.contacts.failed(addr) {
			readers--
		}
	}
	return readers > 0
}

// rankedAbove returns those of the alive nodes that are of the own zone and rank above this node as
// readers, in no order, and the number of readers that the zone has.
func (f *Follower) rankedAbove(alive []gossip.Member) (above []string, readers int) {
	self := f.members.Self()
	mine, nodes := readerRank(self.Addr), 0
	for _, m := range alive {
		if m.Zone != self.Zone {
			continue
		}
		nodes++
		if m.Addr != self.Addr && readerRank(m.Addr) > mine {
			above = append(above, m.Addr)
		}
	}
	if nodes >= singleReaderZoneSize {
		return above, 1
	}
	return above, readersPerZone
}

// readersToCheck returns the nodes of the own zone on which the role of this node depends: those ranked
// above it, down to as many responding ones as the zone has readers. It is empty for nodes that are no
// candidates.
func (f *Follower) readersToCheck(alive []gossip.Member) []string {
	above, readers := f.rankedAbove(alive)
	if len(above) >= readerCandidates {
		return nil
	}
	slices.SortFunc(above, func(a, b string) int { return cmp.Compare(readerRank(b), readerRank(a)) })
	for i, addr := range above {
		if !f.contacts.failed(addr) {
			readers--
		}
		if readers == 0 {
			return above[:i+1]
		}
	}
	return above
}

// readerRank returns the rendezvous hash of a node. All nodes must use the same salt.
func readerRank(addr string) uint64 { return xxhash.Sum64String("reader/" + addr) }

// Coordinators returns the addresses of the nodes that may coordinate the rollout of a service,
// highest rank first: the members that are not draining, by rendezvous hash. All nodes must use
// the same salt.
func Coordinators(service string, members []gossip.Member) []string {
	var out []string
	for _, m := range members {
		if !m.Draining {
			out = append(out, m.Addr)
		}
	}
	rank := func(addr string) uint64 { return xxhash.Sum64String("judge/" + service + "/" + addr) }
	slices.SortFunc(out, func(a, b string) int { return cmp.Compare(rank(b), rank(a)) })
	return out
}
