package orders

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A store that comes back from an older copy has lost its last records, and the operator writes the lost orders
// again. Until then a node keeps the orders that it knows. What it holds is compared with what the store has by
// the era in which a record was written, then by its offset. Of a record that was read in an era it is
// not known at first whether it was written in it or copied from an earlier one: only from the offset on at which the
// store is known to differ from what it was before.

// rewriteTimeout is the time after the restoration of the store from which orders that it lost and that have not been
// written again count as withdrawn.
const rewriteTimeout = 5 * time.Second

// EraStart says where the store's topic in one era begins to differ from what it was in an earlier one.
type EraStart struct {
	Era, Before int64
	// Offset is the first one whose record is known to differ.
	Offset int64
}

// transition is a pair of eras, the later one first.
type transition struct{ era, before int64 }

// eras is what a node knows of the eras of the store.
type eras struct {
	current int64
	// starts has the offsets at which an era begins to differ from an earlier one.
	starts map[transition]int64
	// began is when the current era became known to any node that this one has heard of.
	began time.Time
	// restored is set once the era has changed.
	restored bool
}

func newEras() eras { return eras{starts: map[transition]int64{}, began: time.Now()} }

// maxErasKept is the number of eras whose starts are remembered.
const maxErasKept = 8

// complete returns a batch of a node that names no era with the current one, unless the store was restored since this
// node knows it: then the offsets of such a batch have no known meaning.
func (e *eras) complete(batch Batch) Batch {
	if batch.Era != 0 || e.restored {
		return batch
	}
	batch.Era = e.current
	for i, rec := range batch.Records {
		if rec.Era == 0 {
			batch.Records[i].Era = e.current
		}
	}
	return batch
}

// learn takes the era of a batch as the current one if it is later, and what the batch knows of its start.
func (e *eras) learn(batch Batch) {
	if batch.Era > e.current {
		e.restored = e.restored || e.current > 0
		e.current, e.began = batch.Era, time.Now()
		maps.DeleteFunc(e.starts, func(t transition, _ int64) bool { return t.era <= batch.Era-maxErasKept })
	}
	for _, s := range batch.Starts {
		t := transition{s.Era, s.Before}
		if known, ok := e.starts[t]; t.before < t.era && (!ok || s.Offset < known) {
			e.starts[t] = s.Offset
		}
	}
	e.learnAge(batch)
}

// learnAge takes over for how long the current era has been known.
func (e *eras) learnAge(batch Batch) {
	began := time.Now().Add(-time.Duration(batch.EraAge) * time.Millisecond)
	if batch.Era == e.current && began.Before(e.began) {
		e.began = began
	}
}

// label returns an empty batch with the position of a view and what is known of the eras.
func (e *eras) label(view *View) Batch {
	batch := Batch{Era: view.Era, Next: view.Next, EraAge: time.Since(e.began).Milliseconds()}
	for t, offset := range e.starts {
		batch.Starts = append(batch.Starts, EraStart{t.era, t.before, offset})
	}
	return batch
}

// writtenAfter reports whether a record is known to be written later than all records of an earlier era. It may have been
// copied into the era in which it was read.
func (e *eras) writtenAfter(rec Record, era int64) bool {
	for t, start := range e.starts {
		if t.era != rec.Era || t.before < era {
			continue
		}
		copied := Record{Era: t.before, Offset: rec.Offset}
		if rec.Offset >= start || t.before > era && e.writtenAfter(copied, era) {
			return true
		}
	}
	return false
}

// newer reports whether x was written after y. Records of different eras are compared by their offsets unless one of them is
// known to be written after the era of the other.
func (e *eras) newer(x, y Record) bool {
	switch {
	case x.Era > y.Era && e.writtenAfter(x, y.Era):
		return true
	case x.Era < y.Era && e.writtenAfter(y, x.Era):
		return false
	}
	return x.Offset > y.Offset
}

// settled reports whether the operator has had the time to write lost orders again.
func (e *eras) settled() bool { return time.Since(e.began) >= rewriteTimeout }

// adoptEra gives the records that peers sent without an era that of the store, if the offsets of both agree.
func (r *Replica) adoptEra(old *View, batch Batch) {
	if old.Era != 0 || batch.Next < old.Next {
		return
	}
	for key, rec := range r.records {
		rec.Era = batch.Era
		r.records[key] = rec
	}
}

// sum returns a hash of the key and the value, which two nodes may have compressed differently.
func (r Record) sum() uint64 {
	value := r.Value
	if plain, err := r.decompress(); err == nil {
		value = plain.Value
	}
	return hashOrder(r.Key, xxhash.Sum64(value))
}

// hashOrder returns a hash of an order's key and the hash of its value.
func hashOrder(key string, value uint64) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(key), value))
}

// Digest returns a hash of the orders in force, the same on all nodes on which the same are in force.
func (r *Replica) Digest() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.digest
}

// updateDigest computes the digest. r.mu is held.
func (r *Replica) updateDigest() {
	r.digest = 0
	for key, value := range r.sums {
		r.digest += hashOrder(key, value)
	}
}

// Reconciles reports whether nodes with the same position may have different orders in force, since the store
// was restored a short time ago.
func (r *Replica) Reconciles() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.eras.settled()
}

// EraAge returns for how long the current era has been known, in milliseconds.
func (r *Replica) EraAge() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.eras.began).Milliseconds()
}

// HasLostOrders reports whether an order is in force that the store lost and that was not written again in time.
func (r *Replica) HasLostOrders() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	era := r.view.Load().Era
	if !r.eras.settled() {
		return false
	}
	for _, rec := range r.records {
		if rec.Era < era && len(rec.Value) > 0 && r.inForce[rec.Key].Config == nil {
			return true
		}
	}
	return false
}

// maxHistory is the number of offsets of an era whose records are remembered, more than the operator writes in the
// seconds that a restored copy lacks.
const maxHistory = 256

// history maps the offsets of recent records of one era to hashes of these. It may have gaps.
type history map[int64]uint64

func (h history) add(rec Record) {
	h[rec.Offset] = rec.sum()
	if len(h) > maxHistory {
		delete(h, h.oldest())
	}
}

// oldest returns the lowest offset of a history that is not empty.
func (h history) oldest() int64 { return slices.Min(slices.Collect(maps.Keys(h))) }

// firstDifferent returns the offset of the first of the records that is known to be another than before; end if there is none.
func (h history) firstDifferent(records []Record, end int64) int64 {
	for _, rec := range records {
		if sum, known := h[rec.Offset]; known && sum != rec.sum() {
			return rec.Offset
		}
	}
	return end
}

// histories has the history of each era that this node has read from the store.
type histories map[int64]history

// add remembers the records of a batch from the store.
func (h histories) add(batch Batch) {
	if h[batch.Era] == nil {
		h[batch.Era] = history{}
	}
	for _, rec := range batch.Records {
		h[batch.Era].add(rec)
	}
}

// oldestBefore returns the lowest remembered offset of the eras before one.
func (h histories) oldestBefore(era int64) (offset int64, ok bool) {
	for e, seen := range h {
		if e >= era || len(seen) == 0 {
			continue
		}
		if oldest := seen.oldest(); !ok || oldest < offset {
			offset, ok = oldest, true
		}
	}
	return offset, ok
}

// startsOf returns where the log of an era, of which records is the part up to end, begins to differ from what was read in
// earlier ones. Without records it is taken to differ from its end on only.
func (h histories) startsOf(era int64, records []Record, end int64) (starts []EraStart) {
	for e, seen := range h {
		if e < era {
			starts = append(starts, EraStart{era, e, seen.firstDifferent(records, end)})
		}
	}
	return starts
}

// forgetBefore removes the eras before one.
func (h histories) forgetBefore(era int64) {
	maps.DeleteFunc(h, func(e int64, _ history) bool { return e < era })
}
