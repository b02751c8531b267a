package orders

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"celerybank/internal/events"
	"celerybank/internal/routes"
)

// View is the operator's orders in force, derived from the newest records. It is immutable.
type View struct {
	// Era and Next are the position in the operator's topic up to which all records are applied.
	Era, Next int64
	// Table is the routing table of the configuration in force; nil while no configuration is known.
	Table *routes.Table
	// Rollouts maps a service name to its newest rollout order.
	Rollouts map[string]Rollout
	// ZonesOut are the availability zones whose upstreams get no requests.
	ZonesOut map[string]bool
	// ZonesIn are the positions of the newest orders that put an availability zone in again. They are kept also if this node
	// never knew that the zone was out.
	ZonesIn map[string]Position
}

// position returns the position up to which all records are applied.
func (v *View) position() Position { return Position{v.Era, v.Next} }

// Restored reports whether the store came back from a copy between two views.
func Restored(old, now *View) bool { return old.Era > 0 && now.Era > old.Era }

// Replica holds this node's copy of the newest record of each key and the view derived from them. The
// view is read without a lock.
type Replica struct {
	decoder Decoder
	events  *events.Recorder
	view    atomic.Pointer[View]

	mu      sync.Mutex
	records map[string]Record
	// inForce maps a key to its order in force, sums to the hash of the order's content. digest is the hash of all of these.
	inForce map[string]Order
	sums    map[string]uint64
	digest  uint64
	// fullAt is the position of the last full batch. Withdrawals before it may be missing from records.
	fullAt int64
	eras   eras
	// changed is closed and replaced at each change.
	changed chan struct{}
	subs    []func(old, new *View)
}

// NewReplica returns a Replica without records.
func NewReplica(decoder Decoder, ev *events.Recorder) *Replica {
	r := &Replica{decoder: decoder, events: ev, records: map[string]Record{}, inForce: map[string]Order{}, sums: map[string]uint64{},
		eras: newEras(), changed: make(chan struct{})}
	r.view.Store(&View{Rollouts: map[string]Rollout{}, ZonesOut: map[string]bool{}, ZonesIn: map[string]Position{}})
	return r
}

// View returns the operator's orders in force.
func (r *Replica) View() *View { return r.view.Load() }

// Subscribe registers f to be called with each change, in order. f runs under the lock of the
// replica: it must return quickly and must not call the replica, except View.
func (r *Replica) Subscribe(f func(old, new *View)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subs = append(r.subs, f)
}

// Changed returns a channel that is closed at the next change.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Batch is a set of records that one node sends to another: those from a position on. A full
// batch has the records of all keys; an order whose key it lacks is withdrawn.
type Batch struct {
	Full bool `msgpack:"w,omitempty"`
	// Merge is set for records that the receiver may lack although it has the same position.
	Merge bool `msgpack:"m,omitempty"`
	// Era and Next are the position after the batch.
	Era  int64 `msgpack:"e,omitempty"`
	Next int64 `msgpack:"n"`
	// End is the end of the topic in the store that the batch was read from, which may be beyond Next. It is not sent, and 0 if
	// the batch has all records.
	End int64 `msgpack:"-"`
	// Starts says where the topic in this era and those before begins to differ from what it was before: records before
	// that may have been copied from an earlier era.
	Starts []EraStart `msgpack:"s,omitempty"`
	// EraAge is the time for which the era has been known, in milliseconds.
	EraAge  int64    `msgpack:"a,omitempty"`
	Records []Record `msgpack:"r,omitempty"`
}

// Apply merges a batch and reports whether anything was taken from it. A batch of an earlier era, or one that does not reach
// beyond the position, is ignored. source is the origin of the batch for events.
func (r *Replica) Apply(batch Batch, source string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.view.Load()
	batch = r.eras.complete(batch)
	newEra := batch.Era > old.Era
	ahead := newEra || batch.Next > old.Next
	if batch.Era < old.Era || !ahead && !batch.Merge {
		r.eras.learnAge(batch)
		return false
	}
	view := *old
	view.Rollouts, view.ZonesOut, view.ZonesIn = maps.Clone(old.Rollouts), maps.Clone(old.ZonesOut), maps.Clone(old.ZonesIn)
	if ahead {
		view.Era, view.Next = batch.Era, batch.Next
	}
	r.eras.learn(batch)
	if newEra {
		r.adoptEra(old, batch)
		r.fullAt = batch.Next
	}
	if batch.Full && batch.Next >= view.Next {
		r.withdrawMissing(&view, batch)
		r.fullAt = batch.Next
	}
	decisive := batch.Full && batch.Merge && r.eras.settled()
	for _, rec := range batch.Records {
		r.merge(&view, rec, decisive, source)
	}
	r.updateDigest()
	r.view.Store(&view)
	for _, f := range r.subs {
		f(old, &view)
	}
	close(r.changed)
	r.changed = make(chan struct{})
	return true
}

// merge applies a record if it is newer than the known one of its key. A decisive one, of the store once lost orders had the time
// to be written again, also replaces one of an earlier era.
func (r *Replica) merge(view *View, rec Record, decisive bool, source string) {
	known, ok := r.records[rec.Key]
	if ok && !r.eras.newer(rec, known) && !(decisive && rec.Era > known.Era) {
		switch same := rec.Offset == known.Offset; {
		case same && rec.Era > known.Era && rec.sum() == known.sum():
			r.confirm(view, rec)
			return
		case same && len(rec.Value) == 0 && len(known.Value) > 0 && !r.eras.newer(known, rec): // withdrawn by a full batch
		default:
			return
		}
	}
	if ok && rec.Era > known.Era && rec.sum() == known.sum() && r.inForce[rec.Key].Rollout == nil {
		r.records[rec.Key] = rec // written again
		return
	}
	if r.applyRecord(view, rec, source) || !ok {
		r.records[rec.Key] = rec
	}
}

// confirm takes the place of a known record from the copy that the store came back from.
func (r *Replica) confirm(view *View, rec Record) {
	r.records[rec.Key] = rec
	order := r.inForce[rec.Key]
	if order.Rollout == nil {
		return
	}
	order.Rollout.Era = rec.Era
	view.Rollouts[order.Rollout.Service] = *order.Rollout
}

// withdrawMissing withdraws the orders whose keys a full batch lacks, but for those that the store may have lost and
// that may be written again.
func (r *Replica) withdrawMissing(view *View, batch Batch) {
	has := make(map[string]bool, len(batch.Records))
	for _, rec := range batch.Records {
		has[rec.Key] = true
	}
	for key, rec := range r.records {
		lost := rec.Era < batch.Era
		if has[key] || len(rec.Value) == 0 || !lost && rec.Offset >= batch.Next || lost && !r.eras.settled() {
			continue
		}
		r.records[key] = Record{Key: key, Era: rec.Era, Offset: rec.Offset}
		r.withdraw(view, key)
		r.putZoneIn(view, Record{Key: key, Era: batch.Era, Offset: batch.Next})
		r.events.Emit(events.OrderWithdrawn, events.Fields{"key": key, "source": "full batch"})
	}
}

// withdraw removes the order of a key from the view. A configuration stays in force until another replaces it.
func (r *Replica) withdraw(view *View, key string) {
	order := r.inForce[key]
	delete(r.inForce, key)
	delete(r.sums, key)
	delete(view.ZonesOut, order.ZoneOut)
	if order.Rollout != nil {
		delete(view.Rollouts, order.Rollout.Service)
	}
}

// putZoneIn records that a withdrawal puts an availability zone in again, if it does.
func (r *Replica) putZoneIn(view *View, withdrawal Record) {
	if order, err := r.decoder.Decode(withdrawal); err == nil && order.ZoneOut != "" {
		view.ZonesIn[order.ZoneOut] = Position{withdrawal.Era, withdrawal.Offset}
	}
}

// applyRecord applies one record to the view and reports whether it took effect. A record that cannot be decoded or is
// outdated leaves the view unchanged.
func (r *Replica) applyRecord(view *View, rec Record, source string) bool {
	fields := events.Fields{"key": rec.Key, "era": rec.Era, "offset": rec.Offset, "source": source}
	if len(rec.Value) == 0 {
		r.withdraw(view, rec.Key)
		r.putZoneIn(view, rec)
		r.events.Emit(events.OrderWithdrawn, fields)
		return true
	}
	decompressed, err := rec.decompress()
	var order Order
	if err == nil {
		order, err = r.decoder.Decode(decompressed)
	}
	if err == nil && order.Config != nil && view.Table != nil && order.Config.Version <= view.Table.Version {
		err = errOlderVersion
		fields["version"] = order.Config.Version
	}
	if err != nil {
		fields["reason"] = err.Error()
		r.events.Emit(events.OrderRefused, fields)
		return false
	}
	switch {
	case order.Config != nil:
		view.Table = routes.NewTable(order.Config)
		fields["version"], fields["routes"] = order.Config.Version, len(order.Config.Routes)
	case order.Rollout != nil:
		view.Rollouts[order.Rollout.Service] = *order.Rollout
		fields["version"] = order.Rollout.Version
	case order.ZoneOut != "":
		view.ZonesOut[order.ZoneOut] = true
	}
	r.inForce[rec.Key], r.sums[rec.Key] = order, xxhash.Sum64(decompressed.Value)
	r.events.Emit(events.OrderApplied, fields)
	return true
}

// errOlderVersion is the reason for which a configuration is refused.
var errOlderVersion = errors.New("older than the configuration in force")

// After returns the records from an offset of the current era on. The batch is full if withdrawals after that
// offset may be unknown here.
func (r *Replica) After(next int64) Batch {
	r.mu.Lock()
	defer r.mu.Unlock()
	view := r.view.Load()
	if next < r.fullAt {
		return r.all(view)
	}
	batch := r.eras.label(view)
	for _, rec := range r.records {
		if rec.Era == view.Era && rec.Offset >= next {
			batch.Records = append(batch.Records, rec)
		}
	}
	sortRecords(batch.Records)
	return batch
}

// All returns the records of all keys as a full batch.
func (r *Replica) All() Batch {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.all(r.view.Load())
}

// all is All with r.mu held. As long as orders that the store lost may be written again, it has those too, and the
// withdrawals that the store may have lost. A configuration in force is always among them.
func (r *Replica) all(view *View) Batch {
	batch := r.eras.label(view)
	batch.Full = true
	settled := r.eras.settled()
	for _, rec := range r.records {
		gone := rec.Era < view.Era && r.inForce[rec.Key].Config == nil || len(rec.Value) == 0
		if settled && gone {
			continue
		}
		batch.Records = append(batch.Records, rec)
	}
	sortRecords(batch.Records)
	return batch
}

func sortRecords(records []Record) {
	slices.SortFunc(records, func(x, y Record) int {
		return Position{x.Era, x.Offset}.Compare(Position{y.Era, y.Offset})
	})
}
