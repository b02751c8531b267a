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

// Timing of the distribution. An order has to be in force everywhere within 2 s.
const (
	// readersPerZone nodes of each zone read the topic; two, so that one may fail. In a zone of
	// singleFrom nodes or more one suffices: together they ask other zones four times a second or
	// more, which makes up for a reader that fails as soon as another reader would.
	readersPerZone = 2
	singleFrom     = 12
	// readWait is how long a read waits for news; a connection that went silent is noticed after it.
	readWait = 8 * time.Second
	// readGap is the least time between two reads that brought news, so that a storm of changes is
	// read a few at a time; it is a fifth of the time in which an order has to be in force.
	readGap = 400 * time.Millisecond
	// retryDelay is the mean pause after the first failed read; it doubles up to retryMax, which
	// bounds what refused calls cost and how long a store that is back goes unnoticed.
	retryDelay = 200 * time.Millisecond
	retryMax   = 1500 * time.Millisecond
	// roleInterval is the time between checks whether this node is a reader.
	roleInterval = 300 * time.Millisecond
	// silenceLimit is the time without news of any reader after which a node reads for itself:
	// longer than a read that waits and its retry.
	silenceLimit = readWait + 2*time.Second
	// repairInterval is the mean time between exchanges of positions with a peer: four nodes of a
	// zone together ask other zones more than twice a second.
	repairInterval = 500 * time.Millisecond
	// farShare is the part of the exchanges that leave the zone, whose bytes are dear.
	farShare = 0.33
	// standInInterval is the mean time between exchanges of a reader that the store turns away: it
	// asks other zones in the store's place. Its zone has to have an order in force within 2 s.
	standInInterval = 300 * time.Millisecond
	// exchangeTimeout bounds one exchange with a peer.
	exchangeTimeout = 500 * time.Millisecond
	// newsFanout peers of the zone hear of news from each node that learns it.
	newsFanout = 6
	// eagerBytes is up to which size news is sent unasked. Larger news is announced and each node
	// takes it once: six copies of a configuration of 800 routes would fill a link of 10 Mbit/s.
	eagerBytes = 2 << 10
)

// Caller performs calls to peers.
type Caller interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// Membership names the nodes to exchange with.
type Membership interface {
	Self() gossip.Member
	Alive() []gossip.Member
}

// Follower keeps a board current.
type Follower struct {
	board   *Board
	source  Source
	peers   Caller
	members Membership
	events  *events.Recorder
	ready   chan struct{}
	// heard is when a reader was last known to be at work, in unix milliseconds.
	heard atomic.Int64
	down  atomic.Bool
	calls atomic.Int64
	// whole is set once the newest records were read; from then on reads go on at a position.
	whole atomic.Bool
	// fetching is set while this node takes announced news from a peer.
	fetching atomic.Bool
}

// NewFollower returns a follower that keeps board current.
func NewFollower(board *Board, source Source, peers Caller, members Membership, ev *events.Recorder) *Follower {
	f := &Follower{board: board, source: source, peers: peers, members: members, events: ev, ready: make(chan struct{})}
	f.hear(0)
	return f
}

// Ready is closed once a configuration is known.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// Calls returns how many calls to the store were made.
func (f *Follower) Calls() int64 { return f.calls.Load() }

// Run follows, pushes and repairs until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	var wg conc.WaitGroup
	wg.Go(func() { f.start(ctx); f.follow(ctx) })
	wg.Go(func() { f.push(ctx) })
	wg.Go(func() { f.repair(ctx) })
	wg.Go(func() { f.awaitConfig(ctx) })
	wg.Wait()
	return nil
}

func (f *Follower) awaitConfig(ctx context.Context) {
	for {
		changed := f.board.Changed()
		if f.board.View().Table != nil {
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

// start reads all newest records once; peers may bring them first.
func (f *Follower) start(ctx context.Context) {
	for delay := retryDelay; ctx.Err() == nil && f.board.View().Next == 0; delay = min(2*delay, retryMax) {
		if f.readWhole(ctx) == nil {
			return
		}
		duration.Sleep(ctx, delay/2+rand.N(delay))
	}
}

// follow reads the topic while this node is a reader, or when no reader is heard of.
func (f *Follower) follow(ctx context.Context) {
	delay := retryDelay
	for ctx.Err() == nil {
		if !f.IsReader() && time.Now().UnixMilli()-f.heard.Load() < silenceLimit.Milliseconds() {
			duration.Sleep(ctx, roleInterval/2+rand.N(roleInterval))
			continue
		}
		news, err := f.read(ctx)
		switch {
		case err != nil:
			duration.Sleep(ctx, delay/2+rand.N(delay))
			delay = min(2*delay, retryMax)
		case news:
			duration.Sleep(ctx, readGap)
			fallthrough
		default:
			delay = retryDelay
		}
	}
}

// read takes in what follows the board's position; news says that there was something.
func (f *Follower) read(ctx context.Context) (news bool, err error) {
	next := f.board.View().Next
	if next == 0 && !f.whole.Load() {
		return true, f.readWhole(ctx)
	}
	f.calls.Add(1)
	records, end, gone, err := f.source.Read(ctx, next, readWait)
	if f.note(ctx, err) != nil {
		return false, err
	}
	if gone {
		return true, f.readWhole(ctx)
	}
	f.board.Apply(Batch{Next: end, Records: f.pack(records)}, "store")
	return len(records) > 0, nil
}

func (f *Follower) readWhole(ctx context.Context) error {
	f.calls.Add(1)
	records, next, err := f.source.Newest(ctx)
	if f.note(ctx, err) != nil {
		return err
	}
	f.board.Apply(Batch{Whole: true, Next: next, Records: f.pack(records)}, "store")
	f.whole.Store(true)
	return nil
}

// pack compresses what is large; a record that cannot be packed goes as it is.
func (f *Follower) pack(records []Record) []Record {
	for i, r := range records {
		packed, err := r.pack()
		if err != nil {
			f.events.Emit(events.TaskFailed, events.Fields{"reason": err.Error(), "key": r.Key})
			continue
		}
		records[i] = packed
	}
	return records
}

// note records whether the store answers and reports changes of that.
func (f *Follower) note(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err == nil {
		f.hear(0)
	}
	if f.down.Swap(err != nil) == (err != nil) {
		return err
	}
	if err != nil {
		f.events.Emit(events.SourceUnavailable, events.Fields{"reason": err.Error()})
	} else {
		f.events.Emit(events.SourceAvailable, events.Fields{"position": f.board.View().Next})
	}
	return err
}

// hear notes that a reader was at work some time ago.
func (f *Follower) hear(ago time.Duration) {
	at := time.Now().Add(-ago).UnixMilli()
	for {
		old := f.heard.Load()
		if at <= old || f.heard.CompareAndSwap(old, at) {
			return
		}
	}
}

// IsReader reports whether this node reads the topic for its zone: the first few of the
// zone's living nodes by rendezvous hash (Thaler and Ravishankar 1998).
func (f *Follower) IsReader() bool {
	self := f.members.Self()
	mine, ahead, nodes := readerRank(self.Addr), 0, 0
	for _, m := range f.members.Alive() {
		if m.Zone != self.Zone {
			continue
		}
		nodes++
		if m.Addr != self.Addr && readerRank(m.Addr) > mine {
			ahead++
		}
	}
	if nodes >= singleFrom {
		return ahead == 0
	}
	return ahead < readersPerZone
}

func readerRank(addr string) uint64 { return xxhash.Sum64String("reader/" + addr) }

// Judges returns the nodes that may decide on a service's rollout, best first: the living
// ones by rendezvous hash.
func Judges(service string, members []gossip.Member) []string {
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
