// Package distribution delivers every record of the mesh stream to every node. Two nodes
// of each availability zone read the log, updates are pushed from node to node, and a
// periodic exchange of versions with random peers (anti-entropy) repairs lost updates.
package distribution

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"celerybank/internal/configlog"
	"celerybank/internal/events"
	"celerybank/internal/mesh"
)

// Limits of the recently applied entries that a node retains for peers. A peer that is
// further behind receives a snapshot of the whole state.
const (
	maxTailEntries = 4096
	maxTailBytes   = 2 << 20
)

// errDiverged reports a peer whose records differ from this node's.
var errDiverged = errors.New("chain hash differs from this node's at the same version")

// Store holds the agreed state of this node. State is lock-free.
type Store struct {
	events      *events.Recorder
	state       atomic.Pointer[mesh.State]
	lastApplied atomic.Int64 // Unix milliseconds of the newest record that took effect
	// observeDelay, if set, is called with the time from the creation of a record to its
	// effect on this node.
	observeDelay func(time.Duration)

	mu          sync.Mutex
	tail        []appliedEntry // the newest entries, without gaps up to the state's version
	tailBase    uint64         // chain hash before the tail's first entry
	bytes       int            // data in the tail
	changed     chan struct{}
	subscribers []func(*mesh.State)
}

// appliedEntry is an entry with the chain hash up to and including it.
type appliedEntry struct {
	entry configlog.Entry
	chain uint64
}

// NewStore returns a store at version 0.
func NewStore(ev *events.Recorder) *Store {
	s := &Store{events: ev, changed: make(chan struct{})}
	s.state.Store(mesh.Empty())
	return s
}

// State returns the current state, which is immutable.
func (s *Store) State() *mesh.State { return s.state.Load() }

// LastApplied returns when a record last took effect on this node.
func (s *Store) LastApplied() time.Time { return time.UnixMilli(s.lastApplied.Load()) }

// Changed returns a channel that is closed at the next change of the state.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Subscribe registers f, which is called with each later state in order. f is called
// with the store locked: it must be fast and must not call the store except for State.
func (s *Store) Subscribe(f func(*mesh.State)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, f)
}

// ApplyEntries applies the entries of the log that follow the state and returns their
// number. Entries that were applied before are skipped; application stops at a gap.
func (s *Store) ApplyEntries(entries []configlog.Entry) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.applyLocked(entries)
}

// ApplyBatch applies a batch from a peer and returns the number of applied entries. A
// batch that does not match its hashes or this node's chain is discarded as a whole.
func (s *Store) ApplyBatch(from string, b *Batch) int {
	entries, err := b.entries()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil && !s.sameHistory(b.Before, entries) {
		err = errDiverged
	}
	if err != nil {
		s.reportDiscarded(from, err)
		return 0
	}
	return s.applyLocked(entries)
}

// sameHistory reports whether the chain hashes over entries, starting from before, equal
// this node's at every version at which the store knows its own.
func (s *Store) sameHistory(before uint64, entries []configlog.Entry) bool {
	if len(entries) == 0 {
		return true
	}
	h := before
	if own, ok := s.chainAt(entries[0].Offset - 1); ok && own != h {
		return false
	}
	for _, e := range entries {
		h = mesh.Chain(h, e.Data)
		if own, ok := s.chainAt(e.Offset); ok && own != h {
			return false
		}
	}
	return true
}

// chainAt returns the chain hash at version, if the store still has it.
func (s *Store) chainAt(version int64) (uint64, bool) {
	st := s.state.Load()
	if version == st.Version {
		return st.Chain, true
	}
	if len(s.tail) == 0 || version < s.tail[0].entry.Offset || version > st.Version {
		return 0, false
	}
	return s.tail[version-s.tail[0].entry.Offset].chain, true
}

func (s *Store) reportDiscarded(from string, err error) {
	s.events.Emit(events.UpdatesDiscarded, events.Fields{"peer": from, "version": s.state.Load().Version, "reason": err.Error()})
}

// CheckChain emits UpdatesDiscarded if the chain hash in a peer's digest differs from this
// node's at the same version.
func (s *Store) CheckChain(d Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if own, ok := s.chainAt(d.Version); ok && own != d.Chain {
		s.reportDiscarded(d.From, errDiverged)
	}
}

// applyLocked is ApplyEntries for callers that hold s.mu.
func (s *Store) applyLocked(entries []configlog.Entry) int {
	st, n := s.state.Load(), 0
	for _, e := range entries {
		if e.Offset <= st.Version {
			continue
		}
		next, res, err := st.Apply(e)
		if err != nil {
			break
		}
		s.reportResult(next, res)
		st, n = next, n+1
		s.tail = append(s.tail, appliedEntry{e, next.Chain})
		s.bytes += len(e.Data)
	}
	if n > 0 {
		s.publish(st)
	}
	return n
}

// Install replaces the state by a snapshot if that is newer, and reports whether it did.
// from is the peer's address, or "log".
func (s *Store) Install(st *mesh.State, from string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st.Version <= s.state.Load().Version {
		return false
	}
	s.tail, s.tailBase, s.bytes = nil, st.Chain, 0
	s.events.Emit(events.ConfigApplied, events.Fields{"version": st.Version, "from": from})
	s.publish(st)
	return true
}

// InstallPacked installs a packed snapshot from a peer if it is newer than the state, and
// reports whether it did. A snapshot that unpack rejects is discarded with an event.
func (s *Store) InstallPacked(from string, packedState []byte, unpack func([]byte) (*mesh.State, error)) bool {
	st, err := unpack(packedState)
	if err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.reportDiscarded(from, err)
		return false
	}
	return s.Install(st, from)
}

// publish makes st the current state and notifies subscribers. The caller holds s.mu.
func (s *Store) publish(st *mesh.State) {
	s.trim()
	if st.ConfigVersion > s.state.Load().ConfigVersion {
		s.lastApplied.Store(time.Now().UnixMilli())
	}
	s.state.Store(st)
	for _, f := range s.subscribers {
		f(st)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// trim drops the oldest entries of a tail that exceeds its limits. It goes down to three
// quarters of them, so that the tail is not copied for every entry.
func (s *Store) trim() {
	if len(s.tail) <= maxTailEntries && s.bytes <= maxTailBytes {
		return
	}
	drop := 0
	for bytes := s.bytes; len(s.tail)-drop > maxTailEntries*3/4 || bytes > maxTailBytes*3/4; drop++ {
		bytes -= len(s.tail[drop].entry.Data)
	}
	for _, a := range s.tail[:drop] {
		s.bytes -= len(a.entry.Data)
	}
	s.tailBase = s.before(drop)
	s.tail = append([]appliedEntry(nil), s.tail[drop:]...)
}

// reportResult emits the event for the outcome of one record.
func (s *Store) reportResult(st *mesh.State, res mesh.Result) {
	fields := events.Fields{"version": st.Version, "kind": res.Record.Kind, "subject": res.Record.Subject, "author": res.Record.Author}
	switch res.Outcome {
	case mesh.Applied:
		if s.observeDelay != nil {
			s.observeDelay(time.Since(res.Record.Time))
		}
		s.events.Emit(events.ConfigApplied, fields)
	case mesh.Superseded:
		s.events.Emit(events.RecordSuperseded, fields)
	case mesh.Refused:
		fields["reason"] = res.Reason
		s.events.Emit(events.ConfigRefused, fields)
	case mesh.Malformed:
		s.events.Emit(events.RecordMalformed, events.Fields{"version": st.Version, "reason": res.Reason})
	}
}

// After returns retained entries after version, with the chain hashes before the first
// and after the last: at most limit entries and maxBytes of data, though one entry is
// returned whatever its size.
// ok is false when some of the entries after version are no longer retained.
func (s *Store) After(version int64, limit, maxBytes int) (entries []configlog.Entry, before, after uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version >= s.state.Load().Version {
		return nil, 0, 0, true
	}
	if len(s.tail) == 0 || s.tail[0].entry.Offset > version+1 {
		return nil, 0, 0, false
	}
	start := int(version + 1 - s.tail[0].entry.Offset)
	bytes := 0
	for _, a := range s.tail[start:min(len(s.tail), start+limit)] {
		if bytes += len(a.entry.Data); bytes > maxBytes && len(entries) > 0 {
			break
		}
		entries, after = append(entries, a.entry), a.chain
	}
	return entries, s.before(start), after, true
}

// before returns the chain hash before the i-th entry of the tail.
func (s *Store) before(i int) uint64 {
	if i > 0 {
		return s.tail[i-1].chain
	}
	return s.tailBase
}
