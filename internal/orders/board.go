package orders

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"celerybank/internal/events"
	"celerybank/internal/routes"
)

// View is everything the operator has ordered, derived from the newest records; immutable.
type View struct {
	// Next is the position in the operator's topic up to which the records are known.
	Next int64
	// Table routes requests; nil while no configuration is known.
	Table *routes.Table
	// Rollouts are the newest orders by service.
	Rollouts map[string]Rollout
	// ZonesOut are the availability zones whose upstreams get nothing.
	ZonesOut map[string]bool
}

// Board holds the newest record of each key and the view derived from them. Readers take
// the view without a lock.
type Board struct {
	decoder Decoder
	events  *events.Recorder
	view    atomic.Pointer[View]

	mu      sync.Mutex
	records map[string]Record
	// effects has what the records that are in force say, by key.
	effects map[string]Order
	// base is the position of the last whole copy: keys taken away before it are not known here.
	base    int64
	changed chan struct{}
	subs    []func(old, new *View)
}

// NewBoard returns an empty board.
func NewBoard(decoder Decoder, ev *events.Recorder) *Board {
	b := &Board{decoder: decoder, events: ev, records: map[string]Record{}, effects: map[string]Order{}, changed: make(chan struct{})}
	b.view.Store(&View{Rollouts: map[string]Rollout{}, ZonesOut: map[string]bool{}})
	return b
}

// View returns what holds now.
func (b *Board) View() *View { return b.view.Load() }

// Subscribe calls f with each change, in order; f must be short.
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

// Batch is what one node gives to another: the records from a position on. A whole one
// has all records, and the keys that it lacks are gone.
type Batch struct {
	Whole   bool     `msgpack:"w,omitempty"`
	Next    int64    `msgpack:"n"`
	Records []Record `msgpack:"r,omitempty"`
}

// Apply takes in records and reports whether the board's position moved. source names
// where they come from, for the log.
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
	if batch.Whole {
		b.dropMissing(&view, batch)
		b.base = batch.Next
	}
	for _, r := range batch.Records {
		if known, ok := b.records[r.Key]; ok && known.Offset >= r.Offset {
			continue
		}
		b.records[r.Key] = r
		b.take(&view, r, source)
	}
	b.view.Store(&view)
	for _, f := range b.subs {
		f(old, &view)
	}
	close(b.changed)
	b.changed = make(chan struct{})
	return true
}

// dropMissing takes the keys away that a whole batch lacks.
func (b *Board) dropMissing(view *View, batch Batch) {
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

// withdraw takes the effect of a key away. The configuration stays: there is always one.
func (b *Board) withdraw(view *View, key string) {
	order := b.effects[key]
	delete(b.effects, key)
	delete(view.ZonesOut, order.ZoneOut)
	if order.Rollout != nil {
		delete(view.Rollouts, order.Rollout.Service)
	}
}

// take gives one record its effect on the view. A record that cannot be used changes nothing.
func (b *Board) take(view *View, r Record, source string) {
	if len(r.Value) == 0 {
		b.withdraw(view, r.Key)
		b.events.Emit(events.OrderWithdrawn, events.Fields{"key": r.Key, "offset": r.Offset, "source": source})
		return
	}
	plain, err := r.unpack()
	var order Order
	if err == nil {
		order, err = b.decoder.Decode(plain)
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
	b.effects[r.Key] = order
	b.events.Emit(events.OrderApplied, fields)
}

// After returns the records from a position on, whole when keys taken away since are not known here.
func (b *Board) After(next int64) Batch {
	b.mu.Lock()
	defer b.mu.Unlock()
	batch := Batch{Next: b.view.Load().Next, Whole: next < b.base}
	for _, r := range b.records {
		if batch.Whole && len(r.Value) == 0 {
			continue
		}
		if batch.Whole || r.Offset >= next {
			batch.Records = append(batch.Records, r)
		}
	}
	slices.SortFunc(batch.Records, func(x, y Record) int { return int(x.Offset - y.Offset) })
	return batch
}
