package usage

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"celerybank/internal/duration"
	"celerybank/internal/events"
	"celerybank/internal/orders"
)

// Timing of a Reporter.
const (
	// tickInterval is the time between two looks at what is due. A look costs no message.
	tickInterval = 100 * time.Millisecond
	// standbyInterval is that of a node that neither holds the duty nor tries to.
	standbyInterval = 250 * time.Millisecond
	// storeTimeout bounds a call to the store.
	storeTimeout = 1500 * time.Millisecond
	// minBackoff and maxBackoff bound the delay after a failed call to the store.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 5 * time.Second
	// holderBackoff is the longest delay of the holder in a short outage, so that a store that fails some of its calls makes no report
	// late.
	holderBackoff = 1200 * time.Millisecond
	shortOutage   = 20 * time.Second
)

// Reporter does the duty while this node holds it, and takes it over when nobody does it.
type Reporter struct {
	Config
	zone      string
	process   uint64
	collector *Collector
	// synced is closed once this node knows the facts of the mesh.
	synced <-chan struct{}
	// stopping is set when the node stops: it gives the duty up and takes it no more.
	stopping atomic.Bool
	stopped  chan struct{}
	counts   reporterCounts
	rng      *rand.Rand

	mu sync.Mutex
	// known is the newest state of the duty, heard when this node heard of it.
	known state
	heard time.Duration

	// The fields below belong to the goroutine of Run.

	// vacant is since when this node believes that nobody does the duty; 0 if somebody does.
	vacant time.Duration
	// candidate is set while this node waits whether the record changes; seen is when it read it.
	candidate bool
	seen      time.Duration
	// written is when this node saw that the holder had written the record since it read it before, 0 if it did not.
	written time.Duration

	holding bool
	// rec is the record in the store as of end. Without endKnown it may be another one.
	rec      record
	end      orders.Position
	endKnown bool
	// lease is the time until which the API may be called.
	lease time.Duration
	// unwritten are the reports that are not in the store yet, unsent those that are, and that the API has not accepted.
	unwritten, unsent []Report
	time              trueTime
	// next is the next window to collect, retryCollect the time before which it is not collected again.
	next         int64
	retryCollect time.Duration

	published   uint64
	publishedAt time.Duration
	// storeRetry is the time before which the store is not called, storeFailed since when calls to it fail, 0 if they do not.
	storeRetry   time.Duration
	storeBackoff time.Duration
	storeFailed  time.Duration
	api          apiState
}

// NewReporter returns the reporter of a process in a zone. synced is closed once the facts of the mesh are known.
func NewReporter(c Config, zone string, process uint64, collector *Collector, synced <-chan struct{}) *Reporter {
	return &Reporter{Config: c, zone: zone, process: process, collector: collector, synced: synced, stopped: make(chan struct{}), storeBackoff: minBackoff,
		rng: rand.New(rand.NewPCG(process, 1)), api: apiState{backoff: apiMinBackoff}}
}

// Run does the duty or waits to take it over, until ctx ends or Stop is called.
func (r *Reporter) Run(ctx context.Context) error {
	defer close(r.stopped)
	// Where all nodes start together there is no fact to wait for, and the membership says so only after 10 s.
	unsynced := time.NewTimer(startDelay)
	defer unsynced.Stop()
	select {
	case <-r.synced:
	case <-unsynced.C:
	case <-ctx.Done():
		return nil
	}
	for duration.Sleep(ctx, r.interval()) {
		if r.stopping.Load() {
			r.release(ctx)
			return nil
		}
		if r.holding {
			r.hold(ctx)
		} else {
			r.standBy(ctx)
		}
	}
	return nil
}

// jitter returns a random part of a duration.
func (r *Reporter) jitter(d time.Duration) time.Duration {
	return time.Duration(r.rng.Int64N(int64(d)))
}

// interval returns the time until the next look at what is due.
func (r *Reporter) interval() time.Duration {
	if r.holding || r.candidate {
		return tickInterval
	}
	return standbyInterval
}

// Stop gives the duty up and returns when that is done or ctx has ended.
func (r *Reporter) Stop(ctx context.Context) {
	r.stopping.Store(true)
	select {
	case <-r.stopped:
	case <-ctx.Done():
	}
}

// hold does what is due of the duty.
func (r *Reporter) hold(ctx context.Context) {
	if s, _ := r.knownState(); s.Generation > r.rec.Generation {
		r.lose("another node has a higher generation", s)
		return
	}
	r.collectDue(ctx)
	r.dropOld()
	if len(r.unwritten) > 0 {
		r.write(ctx)
	}
	if r.holding {
		r.send(ctx)
	}
	if r.holding && r.api.unreachable >= r.yieldAfter() && len(r.Members.Alive()) > 1 {
		r.rec.Yields++
		r.release(ctx)
		return
	}
	if r.holding && r.Clock.Boot()-r.publishedAt >= r.Window {
		r.publish()
	}
}

// write writes the reports that are not in the store yet, and all that the API has not accepted, which renews the lease. It
// reports whether the lease was renewed.
func (r *Reporter) write(ctx context.Context) bool {
	if r.Clock.Boot() < r.storeRetry || !r.endKnown && !r.reread(ctx) {
		return false
	}
	next, taken, text, err := r.compose()
	if err != nil {
		r.storeFailure(err)
		return false
	}
	start := r.Clock.Boot()
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	r.counts.appends.Add(1)
	end, err := r.Store.Write(callCtx, text, r.end)
	if errors.Is(err, ErrConflict) {
		r.endKnown = false // the next attempt reads who wrote it: perhaps this node, in an attempt that was not confirmed
		return false
	}
	if err != nil {
		// The position decides between this attempt and the next one, whatever became of this one.
		r.storeFailure(err)
		return false
	}
	r.storeSuccess()
	r.rec, r.end, r.lease = next, end, start+r.Lease-r.margin()
	r.unsent = append(r.unsent, r.unwritten[:taken]...)
	r.unwritten = r.unwritten[taken:]
	r.publish()
	return true
}

// compose returns the next record with as many of the unwritten reports as fit.
func (r *Reporter) compose() (next record, taken int, text []byte, err error) {
	next = r.rec
	for taken = len(r.unwritten); ; taken-- {
		next.Reports = append(append([]Report(nil), r.unsent...), r.unwritten[:taken]...)
		next.Through = r.rec.Through
		if taken > 0 {
			next.Through = r.unwritten[taken-1].Window
		}
		text, err = next.encode()
		if err != nil || taken == 0 || r.MaxRecordBytes == 0 || len(text) <= r.MaxRecordBytes-recordOverhead {
			return next, taken, text, err
		}
	}
}

// recordOverhead is the room for the key that the store needs.
const recordOverhead = 64

// reread reads the record after a conflict. It reports whether this node still holds the duty.
func (r *Reporter) reread(ctx context.Context) bool {
	rec, end, err := r.read(ctx)
	switch {
	case err != nil:
		return false
	case rec.Generation == r.rec.Generation && rec.Holder == r.Addr && rec.Process == r.process && !rec.Released:
		r.accept(rec)
	case rec.Generation >= r.rec.Generation:
		r.lose("another node has written the record", state{Generation: rec.Generation, Holder: rec.Holder, Process: rec.Process, Through: rec.Through})
		return false
	}
	// An older record is that of a store that was restored from a copy: the next write replaces it.
	r.end, r.endKnown = end, true
	return true
}

// accept takes over the reports of a record of this holder whose write was not confirmed.
func (r *Reporter) accept(rec record) {
	if rec.Through <= r.rec.Through {
		return
	}
	for _, w := range rec.Reports {
		if w.Window > r.rec.Through {
			r.unsent = append(r.unsent, w)
		}
	}
	r.unwritten = after(r.unwritten, rec.Through)
	r.next = max(r.next, rec.Through+1)
	rec.Released, rec.Yields = r.rec.Released, r.rec.Yields
	r.rec = rec
}

// after returns the reports of later windows than a given one. Reports are in the order of their windows.
func after(reports []Report, window int64) []Report {
	for len(reports) > 0 && reports[0].Window <= window {
		reports = reports[1:]
	}
	return reports
}

// read reads the record in the store.
func (r *Reporter) read(ctx context.Context) (record, orders.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	r.counts.reads.Add(1)
	text, end, err := r.Store.Read(ctx)
	var rec record
	if err == nil {
		rec, err = decodeRecord(text)
	}
	if err != nil {
		r.storeFailure(err)
		return record{}, orders.Position{}, err
	}
	r.storeSuccess()
	return rec, end, nil
}

// storeFailure delays the next call to the store.
func (r *Reporter) storeFailure(err error) {
	now := r.Clock.Boot()
	if r.storeFailed == 0 {
		r.storeFailed = now
	}
	longest := maxBackoff
	if r.holding && now-r.storeFailed < shortOutage {
		longest = holderBackoff
	}
	backoff := min(r.storeBackoff, longest)
	r.storeRetry = now + backoff/2 + r.jitter(backoff)
	r.storeBackoff = min(2*r.storeBackoff, maxBackoff)
	r.Events.Emit(events.UsageStoreFailed, events.Fields{"reason": err.Error()})
}

func (r *Reporter) storeSuccess() {
	r.storeFailed, r.storeBackoff, r.storeRetry = 0, minBackoff, 0
}

// storeFailing reports whether the store has failed for so long that another node should try.
func (r *Reporter) storeFailing() bool {
	return r.storeFailed != 0 && r.Clock.Boot()-r.storeFailed > r.Window
}

// lose ends this node's time as the holder.
func (r *Reporter) lose(reason string, now state) {
	r.Events.Emit(events.UsageLost, events.Fields{"generation": r.rec.Generation, "holder": now.Holder, "reason": reason})
	r.stopHolding()
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Generation >= r.known.Generation {
		r.known, r.heard = now, r.Clock.Boot()
	}
}

func (r *Reporter) stopHolding() {
	r.holding, r.endKnown, r.candidate, r.lease, r.vacant = false, false, false, 0, 0
	r.unwritten, r.unsent = nil, nil
}

// release gives the duty up, so that another node need not wait for the lease.
func (r *Reporter) release(ctx context.Context) {
	if !r.holding {
		return
	}
	r.rec.Released, r.unwritten = true, nil
	r.storeRetry, r.lease = 0, 0
	released := r.write(ctx)
	r.Events.Emit(events.UsageReleased, events.Fields{"generation": r.rec.Generation, "unsent": len(r.unsent), "recorded": released})
	if !released {
		r.publish() // other nodes wait for the lease
	}
	r.stopHolding()
}
