// Package membudget bounds the memory that a node holds for others: messages that it reads, forwards and writes. A sender may
// send without end, and a receiver may read nothing, on many connections at the same time; what all messages hold together stays
// within the budget. When it is exhausted, the message that holds most and progresses least gives way, so that small ones and
// those that progress are still served.
package membudget

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// ErrExhausted reports a message that was given up because the messages exceed their memory.
var ErrExhausted = errors.New("messages exceed their memory")

// Budget is the memory that messages share. A nil *Budget sets no limit.
type Budget struct {
	name  string
	limit int64
	// whole is the budget that this one is a part of, or the budget itself.
	whole *Budget
	// yielded counts the messages of this budget, its parts included, that had to give way.
	yielded atomic.Int64
	// onYield is called for each of them, set in the whole only.
	onYield func(part string, bytes int64)

	mu sync.Mutex // of the whole budget only
	// Guarded by whole.mu.
	used int64
	// evictable has the holders that hold bytes of the whole budget and may be evicted; in the whole only.
	evictable map[*Holder]struct{}
	// lingering is the memory of evicted messages whose users have not released them yet, in the whole only. released is closed
	// when it falls to what a Take does not wait for.
	lingering int64
	released  chan struct{}
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget {
	b := &Budget{limit: limit, evictable: map[*Holder]struct{}{}}
	b.whole = b
	return b
}

// Part returns a budget for one kind of messages. They take the memory of b, and together at most limit bytes of it.
func (b *Budget) Part(name string, limit int64) *Budget {
	if b == nil {
		return nil
	}
	return &Budget{name: name, limit: min(limit, b.limit), whole: b.whole}
}

// OnYield sets a function that is called for each message that has to give way, with the name of its part and its size. It must
// not block. Call OnYield before the first message.
func (b *Budget) OnYield(f func(part string, bytes int64)) {
	if b != nil {
		b.whole.onYield = f
	}
}

// Limit returns the size of the budget in bytes, 0 if it sets no limit.
func (b *Budget) Limit() int64 {
	if b == nil {
		return 0
	}
	return b.limit
}

// Used returns the number of bytes that are taken.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	b.whole.mu.Lock()
	defer b.whole.mu.Unlock()
	return b.used
}

// Yielded returns the number of messages of this budget, its parts included, that had to give way.
func (b *Budget) Yielded() int64 {
	if b == nil {
		return 0
	}
	return b.yielded.Load()
}

func (b *Budget) countYielded() {
	b.yielded.Add(1)
	if b.whole != b {
		b.whole.yielded.Add(1)
	}
}

// add changes the number of bytes that are taken. whole.mu is held.
func (b *Budget) add(n int64) {
	b.used += n
	if b.whole != b {
		b.whole.used += n
	}
}

// fits reports whether n more bytes are left. whole.mu is held.
func (b *Budget) fits(n int64) bool {
	return b.used+n <= b.limit && b.whole.used+n <= b.whole.limit
}

// yield evicts messages until n more bytes are left for h. It returns false if h had to give way. whole.mu is held.
func (b *Budget) yield(h *Holder, n int64) bool {
	now := time.Now()
	for !h.evicted && !b.fits(n) {
		victim := b.leastProgressing(h, n, now)
		victim.budget.countYielded()
		size := victim.bytes
		if victim == h {
			size += n
		}
		if b.whole.onYield != nil {
			b.whole.onYield(victim.budget.name, size)
		}
		victim.evicted = true
		delete(b.whole.evictable, victim)
		if victim == h {
			break
		}
		victim.budget.add(-victim.bytes)
		victim.lingering, victim.bytes = victim.bytes, 0
		b.whole.lingering += victim.lingering
		if victim.interrupt != nil {
			close(victim.interrupt)
			victim.interrupt = nil
		}
		victim.evict()
	}
	return !h.evicted
}

// leastProgressing returns the message that has to give way so that n more bytes are left for h: the one with the highest
// product of its size and the time for which it has not progressed. whole.mu is held.
func (b *Budget) leastProgressing(h *Holder, n int64, now time.Time) *Holder {
	victim, worst := h, float64(h.bytes+n)*stall(now, now)
	for other := range b.whole.evictable {
		if b.used+n > b.limit && other.budget != b {
			continue // it would not help
		}
		if w := float64(other.bytes) * stall(other.progressed(), now); w > worst {
			victim, worst = other, w
		}
	}
	return victim
}

// progressGrain is added to the time without progress: among messages that all progress, the size decides. Messages that are
// read or written at an ordinary pace progress more often.
const progressGrain = 250 * time.Millisecond

// stall returns the weight of a message that progressed last at the given time.
func stall(progressed, now time.Time) float64 {
	return (max(0, now.Sub(progressed)) + progressGrain).Seconds()
}

const (
	// lingeringFraction is the fraction of a budget that evicted messages may occupy beside it until their users have released
	// them; beyond that a Take waits.
	lingeringFraction = 0.125
	// smallTakes is the number of the smallest Takes that fill a budget; smaller ones do not wait. Messages whose memory is taken a few KB
	// at a time are read too slowly otherwise.
	smallTakes = 128
	// releaseTimeout bounds that wait. Users release an evicted message as soon as they are scheduled.
	releaseTimeout = 100 * time.Millisecond
)

func (b *Budget) maxLingering() int64 { return int64(lingeringFraction * float64(b.limit)) }

// awaitRelease waits until the users of evicted messages have released most of their memory. It returns at once when h itself has
// to give way: others may wait for its release.
func (h *Holder) awaitRelease() {
	whole := h.budget.whole
	whole.mu.Lock()
	if h.evicted || whole.lingering <= whole.maxLingering() {
		whole.mu.Unlock()
		return
	}
	if whole.released == nil {
		whole.released = make(chan struct{})
	}
	released, evicted := whole.released, make(chan struct{})
	h.interrupt = evicted
	whole.mu.Unlock()
	timeout := time.NewTimer(releaseTimeout)
	defer timeout.Stop()
	timedOut := false
	select {
	case <-released:
	case <-evicted:
	case <-timeout.C:
		timedOut = true
	}
	whole.mu.Lock()
	defer whole.mu.Unlock()
	h.interrupt = nil
	if timedOut {
		whole.lingering = 0 // of users that do not release it: they must not delay all others again
	}
}

// endLingering records that the user of an evicted message has released n bytes. whole.mu is held.
func (b *Budget) endLingering(n int64) {
	whole := b.whole
	whole.lingering = max(0, whole.lingering-n)
	if whole.released != nil && whole.lingering <= whole.maxLingering() {
		close(whole.released)
		whole.released = nil
	}
}
