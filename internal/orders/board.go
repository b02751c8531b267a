package orders

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"celerybank/internal/events"
	"celerybank/internal/routes"
)

// View is the operator's orders in force, derived from the newest records. It is immutable.
type View struct {
	// Next is the position in the operator's topic up to which all records are applied.
	Next int64
	// Table is the routing table of the configuration in force; nil while no configuration is known.
	Table *routes.Table
	// Rollouts maps a service name to its newest rollout order.
	Rollouts map[string]Rollout
	// ZonesOut are the availability zones whose upstreams get no requests.
	ZonesOut map[string]bool
}

// Board holds the newest record of each key and the view derived from them. The view is read
// without a lock.
type Board struct {
	decoder Decoder
	events  *events.Recorder
	view    atomic.Pointer[View]

	mu      sync.Mutex
	records map[string]Record
	// inForce maps a key to its order in force.
	inForce map[string]Order
	// fullAt is the position of the last full batch. Withdrawals before it may be missing from records.
	fullAt int64
	// changed is closed and replaced at each change.
	changed chan struct{}
	subs    []func(old, new *View)
}

// NewBoard returns a Board without records.
func NewBoard(decoder Decoder, ev *events.Recorder) *Board {
	b := &Board{decoder: decoder, events: ev, records: map[string]Record{}, inForce: map[string]Order{}, changed: make(chan struct{})}
	b.view.Store(&View{Rollouts: map[string]Rollout{}, ZonesOut: map[string]bool{}})
	return b
}

// View returns the orders in force.
func (b *Board) View() *View { return b.view.Load() }

// Subscribe registers f to be called with each change, in order. f runs under the lock of the
// board: it must return quickly and must not call the board, except View.
func (b *Board) Subscribe(f func(old, new *View)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.subs = append(b.subs, f)
}

// Changed returns a channel that is closed at the next change.
func (b *Board) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// Batch is a set of records that one node sends to another: those from a position on. A full
// batch has the records of all keys; an order whose key it lacks is withdrawn. Next is the
// position after the batch.
type Batch struct {
	Full    bool     `msgpack:"w,omitempty"`
	Next    int64    `msgpack:"n"`
	Records []Record `msgpack:"r,omitempty"`
}

// Apply merges a batch and reports whether the position advanced. A batch that does not reach
// beyond the position is ignored. source is the origin of the batch for events.
func (b *Board) Apply(batch Batch, source string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.view.Load()
	if batch.Next <= old.Next {
		return false
	}
	view := *old
	view.Next = batch.Next
	view.Rollouts, view.ZonesOut = maps.Clone(old.Rollouts), maps.Clone(old.ZonesOut)
	if batch.Full {
		b.withdrawMissing(&view, batch)
		b.fullAt = batch.Next
	}
	for _, r := range batch.Records {
		if known, ok := b.records[r.Key]; ok && known.Offset >= r.Offset {
			continue
		}
		b.records[r.Key] = r
		b.applyRecord(&view, r, source)
	}
	b.view.Store(&view)
	for _, f := range b.subs {
		f(old, &view)
	}
	close(b.changed)
	b.changed = make(chan struct{})
	return true
}

// withdrawMissing withdraws the orders whose keys a full batch lacks.
func (b *Board) withdrawMissing(view *View, batch Batch) {
	has := make(map[string]bool, len(batch.Records))
	for _, r := range batch.Records {
		has[r.Key] = true
	}
	for key, r := range b.records {
		if !has[key] && len(r.Value) > 0 && r.Offset < batch.Next {
			b.records[key] = Record{Key: key, Offset: r.Offset}
			b.withdraw(view, key)
			b.events.Emit(events.OrderWithdrawn, events.Fields{"key": key, "source": "whole copy"})
		}
	}
}

// withdraw removes the order of a key from the view. A configuration stays in force until another replaces it.
func (b *Board) withdraw(view *View, key string) {
	order := b.inForce[key]
	delete(b.inForce, key)
	delete(view.ZonesOut, order.ZoneOut)
	if order.Rollout != nil {
		delete(view.Rollouts, order.Rollout.Service)
	}
}

// applyRecord applies one record to the view. A record that cannot be decoded or is outdated leaves the view unchanged.
func (b *Board) applyRecord(view *View, r Record, source string) {
	if len(r.Value) == 0 {
		b.withdraw(view, r.Key)
		b.events.Emit(events.OrderWithdrawn, events.Fields{"key": r.Key, "offset": r.Offset, "source": source})
		return
	}
	decompressed, err := r.decompress()
	var order Order
	if err == nil {
		order, err = b.decoder.Decode(decompressed)
	}
	if err != nil {
		b.events.Emit(events.OrderRefused, events.Fields{"key": r.Key, "offset": r.Offset, "reason": err.Error(), "source": source})
		return
	}
	fields := events.Fields{"key": r.Key, "offset": r.Offset, "source": source}
	switch {
	case order.Config != nil:
		if view.Table != nil && order.Config.Version <= view.Table.Version {
			b.events.Emit(events.OrderRefused, events.Fields{"key": r.Key, "offset": r.Offset, "source": source,
				"reason": "older than the configuration in force", "version": order.Config.Version})
			return
		}
		view.Table = routes.NewTable(order.Config)
		fields["version"], fields["routes"] = order.Config.Version, len(order.Config.Routes)
	case order.Rollout != nil:
		view.Rollouts[order.Rollout.Service] = *order.Rollout
		fields["version"] = order.Rollout.Version
	case order.ZoneOut != "":
		view.ZonesOut[order.ZoneOut] = true
	}
	b.inForce[r.Key] = order
	b.events.Emit(events.OrderApplied, fields)
}

// After returns the records from a position on. The batch is full if withdrawals after that
// position may be unknown here.
func (b *Board) After(next int64) Batch {
	b.mu.Lock()
	defer b.mu.Unlock()
	batch := Batch{Next: b.view.Load().Next, Full: next < b.fullAt}
	for _, r := range b.records {
		if batch.Full && len(r.Value) == 0 {
			continue
		}
		if batch.Full || r.Offset >= next {
			batch.Records = append(batch.Records, r)
		}
	}
	slices.SortFunc(batch.Records, func(x, y Record) int { return int(x.Offset - y.Offset) })
	return batch
}
