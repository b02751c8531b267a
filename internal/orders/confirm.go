package orders

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"celerybank/internal/gossip"
)

// confirmation is the latest time at which this node is known to have had all records that the store had accepted until then.
// It is measured by the monotonic clock, as the time of day may jump.
type confirmation struct {
	base time.Time
	// at is the time in nanoseconds after base; never if there was none.
	at atomic.Int64
	// floor is the time after base before which calls that confirm something must not have begun.
	floor atomic.Int64
}

// never is the time of a confirmation that there was not.
const never = math.MinInt64

func (c *confirmation) init(now time.Time) {
	c.base = now
	c.at.Store(never)
}

// record records the confirmation of a time by a call that began at start. One that is older than the known one changes nothing.
func (c *confirmation) record(start, at time.Time) {
	if int64(start.Sub(c.base)) < c.floor.Load() {
		return
	}
	for now := int64(at.Sub(c.base)); ; {
		old := c.at.Load()
		if now <= old || c.at.CompareAndSwap(old, now) {
			return
		}
	}
}

// forget makes invalid what was recorded and what calls in progress confirm, as the monotonic clock has missed some time.
func (c *confirmation) forget() {
	c.floor.Store(int64(time.Since(c.base)))
	c.at.Store(never)
}

// age returns the time since the confirmation; known is false if there was none.
func (c *confirmation) age() (age time.Duration, known bool) {
	at := c.at.Load()
	return time.Since(c.base) - time.Duration(at), at != never
}

// KeepConfirmed makes the follower seek a confirmation of its position at least every limit, while a configuration with
// workspaces is in force. Call it before Run.
func (f *Follower) KeepConfirmed(limit time.Duration) { f.confirmWithin = limit }

// ConfirmedWithin reports whether the position of this node was confirmed within limit: all records that the store had accepted
// at some time in it are applied here.
func (f *Follower) ConfirmedWithin(limit time.Duration) bool {
	age, known := f.confirmed.age()
	return known && age < limit
}

// ConfirmationAge returns the time since the position of this node was last confirmed; known is false if it never was.
func (f *Follower) ConfirmationAge() (age time.Duration, known bool) { return f.confirmed.age() }

// ForgetConfirmation makes the position count as not confirmed, after the process was suspended.
func (f *Follower) ForgetConfirmation() { f.confirmed.forget() }

// keepsConfirmed reports whether this node needs confirmations.
func (f *Follower) keepsConfirmed() bool {
	t := f.replica.View().Table
	return f.confirmWithin > 0 && t != nil && t.HasWorkspaces()
}

// pollTimeout returns the time that a read waits for new records. A confirmation, which ends the wait, has to reach all nodes
// long before the previous one is too old.
func (f *Follower) pollTimeout() time.Duration {
	if f.keepsConfirmed() {
		return min(longPollTimeout, f.confirmWithin/3)
	}
	return longPollTimeout
}

// confirmRead records what a read of the store confirms that began at start and was to wait for wait: a store that sends nothing
// had no records after the wait, otherwise the batch has those from before the call.
func (f *Follower) confirmRead(batch Batch, start time.Time, wait time.Duration) {
	if batch.Next < batch.End {
		return // the store has more records than it sent
	}
	at := start
	if len(batch.Records) == 0 && time.Since(start) >= wait {
		at = start.Add(wait)
	}
	f.confirmed.record(start, at)
}

// confirmationFor returns the age of this node's confirmation for a reply, in milliseconds and at least 1; 0 if there is none or
// the peer doesn't ask. Call it before the records are taken: they may be newer than the confirmation, but not older.
func (f *Follower) confirmationFor(a *PullRequest) int64 {
	age, known := f.confirmed.age()
	if !a.Confirm || !known {
		return 0
	}
	return age.Milliseconds() + 1
}

// confirmPull takes over the confirmation of a peer whose reply was applied. The call began at start. A push confirms nothing, as
// it may have been on its way for any time.
func (f *Follower) confirmPull(reply *PullReply, start time.Time) {
	view := f.replica.View()
	if reply.Confirmed == 0 || reply.Differs || reply.Batch.Era != view.Era || reply.Batch.Next > view.Next {
		return
	}
	f.confirmed.record(start, start.Add(-time.Duration(reply.Confirmed)*time.Millisecond))
}

// needsConfirmation reports whether the confirmation is so old that this node has to ask for one.
func (f *Follower) needsConfirmation() bool {
	return f.keepsConfirmed() && !f.ConfirmedWithin(f.confirmWithin/2)
}

// pullConfirmation exchanges with a node that is likely to have a recent confirmation: one of those that watch the readers of
// this node's zone or, every other turn, of another zone. They are several, so that the readers need not reply to all nodes.
func (f *Follower) pullConfirmation(ctx context.Context, alive []gossip.Member, turn int) {
	self := f.members.Self()
	zones := map[string][]gossip.Member{}
	for _, m := range alive {
		if m.Addr != self.Addr && (m.Zone == self.Zone) == (turn%2 == 0) {
			zones[m.Zone] = append(zones[m.Zone], m)
		}
	}
	skip := rand.IntN(max(len(zones), 1))
	for _, nodes := range zones {
		if skip--; skip >= 0 {
			continue
		}
		slices.SortFunc(nodes, func(a, b gossip.Member) int { return cmp.Compare(readerRank(b.Addr), readerRank(a.Addr)) })
		nodes = nodes[:min(len(nodes), readerCandidates)]
		f.pullFromAny(ctx, nodes, func(*gossip.Member) bool { return true })
		return
	}
}
