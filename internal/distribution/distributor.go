package distribution

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"celerybank/internal/configlog"
	"celerybank/internal/events"
	"celerybank/internal/gossip"
	"celerybank/internal/snapshot"
)

const (
	// repairInterval is the mean time between version exchanges with a random peer.
	repairInterval = time.Second
	// exchangeTimeout is the timeout of one call to a peer.
	exchangeTimeout = time.Second
)

// PeerClient calls RPC methods of other nodes.
type PeerClient interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// Membership returns the local node and the members that are alive.
type Membership interface {
	Self() gossip.Member
	Alive() []gossip.Member
}

// Distributor keeps a Store up to date from the log and from peers.
type Distributor struct {
	store          *Store
	log            configlog.Log
	peers          PeerClient
	members        Membership
	events         *events.Recorder
	budget         *budget
	headReader     *headReader
	snapshotWriter *snapshot.Writer
	peerVersions   peerVersions
	fanout         int // peers that receive each update
	inline         int // largest content that an update includes, in bytes; 0 sends versions only

	ready          chan struct{}
	synced         chan struct{}
	admitting      atomic.Bool
	logDown        atomic.Bool
	logBehind      atomic.Bool
	readerSeen     atomic.Int64 // Unix milliseconds at which a log reader was last known to be reading
	nextDirectRead atomic.Int64 // Unix milliseconds before which a node without log readers does not read the log
	reads          atomic.Int64 // reads of the log, for the metrics
	hints          chan hint
	inflight       chan struct{}

	// restoredEra is the last era of the log that began while this node read it, and restoredAt when
	// this node noticed. Used by follow only.
	restoredEra int64
	restoredAt  time.Time

	packMu        sync.Mutex
	packedVersion int64
	packedBytes   []byte
}

// New returns a distributor that updates store. bytesPerSecond is the node's limit of
// control traffic, of which the distributor uses budgetPercent.
func New(store *Store, log configlog.Log, peers PeerClient, members Membership, bytesPerSecond int, ev *events.Recorder) *Distributor {
	d := &Distributor{store: store, log: log, peers: peers, members: members, events: ev, budget: newBudget(bytesPerSecond),
		headReader: newHeadReader(log), peerVersions: peerVersions{byAddr: map[string]int64{}}, fanout: updateFanout, inline: maxInlineBytes, ready: make(chan struct{}), synced: make(chan struct{}),
		hints: make(chan hint, hintQueueSize), inflight: make(chan struct{}, maxUpdatesInFlight)}
	d.snapshotWriter = snapshot.NewWriter(log, store, d.IsLogReader, ev)
	d.observeReader(time.Now())
	return d
}

// Ready returns a channel that is closed once the node's version has reached either the
// log's head as read after the start, or the version that the previous process at this
// address held. Before that the node may have an older configuration than it had before
// its restart.
func (d *Distributor) Ready() <-chan struct{} { return d.ready }

// Synced returns a channel that is closed once the node's version has reached the log's
// head as read after the start. Every later record was appended while this process ran.
func (d *Distributor) Synced() <-chan struct{} { return d.synced }

// LogDown reports whether the last read of the log failed.
func (d *Distributor) LogDown() bool { return d.logDown.Load() }

// Run reads the log, exchanges updates with peers and writes snapshots until ctx ends.
func (d *Distributor) Run(ctx context.Context) error {
	var wg conc.WaitGroup
	for _, f := range []func(context.Context){d.start, d.follow, d.headReader.run, d.pushUpdates, d.repair, d.reportVersions} {
		wg.Go(func() { f(ctx) })
	}
	for range pullWorkers {
		wg.Go(func() { d.followHints(ctx) })
	}
	wg.Go(func() { _ = d.snapshotWriter.Run(ctx) })
	wg.Wait()
	return nil
}

// call calls one method of a peer's Service with exchangeTimeout.
func (d *Distributor) call(ctx context.Context, addr, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	return d.peers.Call(ctx, addr, "Distribution."+method, args, reply)
}

func (d *Distributor) digest() Digest {
	st := d.store.State()
	return Digest{From: d.members.Self().Addr, Version: st.Version, Chain: st.Chain, ReaderAge: time.Now().UnixMilli() - d.readerSeen.Load()}
}

// observeReader records that some log reader was reading at t; older times are ignored.
func (d *Distributor) observeReader(t time.Time) {
	for ms := t.UnixMilli(); ; {
		old := d.readerSeen.Load()
		if ms <= old || d.readerSeen.CompareAndSwap(old, ms) {
			return
		}
	}
}
