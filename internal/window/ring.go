// Package window counts events in a sliding window of time.
package window

import (
	"sync/atomic"
	"time"
)

// Ring counts events in a ring buffer of time buckets. Its memory does not grow with the number of
// events, and a sum is exact except for the rounding to whole buckets ("Rate limiting with Redis",
// C. O'Hara 2011). Each bucket has the epoch of its interval, so that outdated buckets are
// recognized without being cleared in advance.
// All methods are safe for concurrent use and take no lock.
type Ring struct {
	interval time.Duration
	cells    int
	base     time.Time
	epochs   []atomic.Int64
	counts   []atomic.Uint32
}

// clearing is the epoch of a bucket whose counters are being reset.
const clearing = -1

// NewRing returns a ring of n buckets of length interval, with cells counters per bucket.
// Buckets are aligned to multiples of interval of the wall clock, so that the rings of different
// hosts have the same boundaries.
func NewRing(n int, interval time.Duration, cells int) *Ring {
	now := time.Now()
	return &Ring{interval: interval, cells: cells, base: now.Add(-now.Sub(now.Truncate(interval))),
		epochs: make([]atomic.Int64, n), counts: make([]atomic.Uint32, n*cells)}
}

// Span returns the longest window that the ring can sum: one interval less than its length, because
// the newest bucket is incomplete.
func (r *Ring) Span() time.Duration { return time.Duration(len(r.epochs)-1) * r.interval }

// epoch returns the number of the interval that contains now, counted from 1. The epoch 0 is of an
// unused bucket.
func (r *Ring) epoch(now time.Time) int64 { return int64(now.Sub(r.base)/r.interval) + 1 }

// Bucket is the set of counters of one interval.
type Bucket struct{ cells []atomic.Uint32 }

// Add adds n to the counter with index cell.
func (b Bucket) Add(cell int, n uint32) { b.cells[cell].Add(n) }

// At returns the bucket of the interval that contains now. It resets the bucket's counters on the
// first use in a new interval.
func (r *Ring) At(now time.Time) Bucket {
	epoch := r.epoch(now)
	i := int(epoch % int64(len(r.epochs)))
	cells := r.counts[i*r.cells : (i+1)*r.cells]
	for {
		old := r.epochs[i].Load()
		if old >= epoch {
			return Bucket{cells}
		}
		if old == clearing || !r.epochs[i].CompareAndSwap(old, clearing) {
			continue
		}
		for c := range cells {
			cells[c].Store(0)
		}
		r.epochs[i].Store(epoch)
	}
}

// Sum adds the counters of the last span to out, which has one element per counter. The oldest
// bucket is counted in full if the span covers a part of it. A span is limited to Span.
func (r *Ring) Sum(now time.Time, span time.Duration, out []uint64) {
	newest := r.epoch(now)
	oldest := max(1, r.epoch(now.Add(-min(span, r.Span()))))
	for epoch := oldest; epoch <= newest; epoch++ {
		i := int(epoch % int64(len(r.epochs)))
		if r.epochs[i].Load() != epoch {
			continue
		}
		for c := range out {
			out[c] += uint64(r.counts[i*r.cells+c].Load())
		}
	}
}
