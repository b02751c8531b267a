package orders

import (
	"context"
	"math/rand/v2"
	"time"
)

// Nodes that hold orders that the store lost and that were not written again read the store once more, spread over
// settleTime and settleTimePerNode for each node, so that a large fleet makes at most 500 such calls a second.
const (
	settleTime        = time.Second
	settleTimePerNode = 2 * time.Millisecond
)

// settlement is when a node reads the store once more to settle what a restoration left open.
type settlement struct {
	// at is the time of the next such read; zero if none is due.
	at time.Time
	// era and done are those of the last read.
	era  int64
	done time.Time
}

// minSettleInterval is the minimum time between two such reads of a node in one era.
const minSettleInterval = 30 * time.Second

// due reports whether the node should read now: it holds orders that the store lost and that were not written again, or
// others with the same position have other orders in force.
func (s *settlement) due(f *Follower) bool {
	recent := s.era == f.replica.View().Era && time.Since(s.done) < minSettleInterval
	if recent || !f.differs.Load() && !f.replica.HasLostOrders() {
		s.at = time.Time{}
		return false
	}
	if s.at.IsZero() {
		s.at = time.Now().Add(rand.N(settleTime + time.Duration(len(f.members.Alive()))*settleTimePerNode))
	}
	return !time.Now().Before(s.at)
}

// settle reads the store. A failure is logged, and the time of the next try drawn anew.
func (f *Follower) settle(ctx context.Context, s *settlement) {
	s.at = time.Time{}
	if f.readAll(ctx) == nil {
		f.differs.Store(false)
		s.era, s.done = f.replica.View().Era, time.Now()
	}
}

// unverified reports whether this node has read records in an earlier era that it has not compared with what the store has
// in the current one, which it knows from a peer.
func (f *Follower) unverified(view *View) bool {
	_, ok := f.seen.oldestBefore(view.Era)
	return ok
}

// findStarts completes the newest records of the store by where its log begins to differ from what this node has read in
// earlier eras, and by the withdrawals in that log. If the log cannot be read, all these records count as older than
// what the store lost.
func (f *Follower) findStarts(ctx context.Context, newest *Batch) {
	defer f.seen.forgetBefore(newest.Era)
	from, ok := f.seen.oldestBefore(newest.Era)
	if !ok || from >= newest.Next {
		newest.Starts = f.seen.startsOf(newest.Era, nil, newest.Next)
		return
	}
	f.storeCalls.Add(1)
	start := time.Now()
	log, truncated, err := f.source.Read(ctx, from, 0)
	if f.recordStoreResult(ctx, start, err) != nil || truncated || log.Era != newest.Era || log.Next < newest.Next {
		newest.Starts = f.seen.startsOf(newest.Era, nil, newest.Next)
		return
	}
	newest.Starts = f.seen.startsOf(newest.Era, log.Records, log.Next)
	newest.Next = log.Next
	newest.Records = append(newest.Records, log.Records...)
	sortRecords(newest.Records)
}
