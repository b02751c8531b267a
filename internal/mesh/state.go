// Package mesh computes the state that all nodes agree on. Every node applies the records of
// the log in offset order by the same deterministic rules.
package mesh

import (
	"encoding/binary"
	"encoding/json"
	"maps"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"celerybank/internal/configlog"
	"celerybank/internal/inventory"
)

// State is the agreed state at one offset of the log. It is immutable: Apply returns a new State
// that shares the unchanged parts.
type State struct {
	// Version is the version of the newest entry applied (configlog.VersionAt). It is the
	// configuration version. All other versions in the state are of the same kind.
	Version int64 `json:"version"`
	// Chain is a hash over all entries up to Version; it is equal on all nodes at the same version.
	Chain uint64 `json:"chain"`
	// ConfigVersion is the version of the newest record that took effect.
	ConfigVersion int64 `json:"config_version"`
	// Current maps a subject to the version of its newest record that took effect.
	Current map[string]int64 `json:"current"`
	// IDs maps the ids of recent records to their versions.
	IDs IDs `json:"ids"`

	Inventory inventory.Inventory `json:"inventory"`
	Rules     inventory.Rules     `json:"rules"`
	// Services maps a service name to its stable version and running rollout.
	Services map[string]ServiceState `json:"services"`
	// Rollouts maps "service/version" to the newest rollout of that version.
	Rollouts map[string]Rollout `json:"moves"`
	// ZonesOut maps an availability zone to the newest order about it.
	ZonesOut map[string]ZoneOrder `json:"zones_out"`
	// Groups are the claim groups, indexed by group number; nil before the first KindSeats record.
	Groups []Group `json:"groups,omitempty"`

	// sums are the hashes of the services of Inventory, by the same index.
	sums []uint64
}

// ServiceState is which versions of a service get traffic.
type ServiceState struct {
	// Stable is the version that gets all traffic except the share of a running rollout.
	Stable string `json:"stable"`
	// RollingOut is the key in State.Rollouts of the running rollout, or empty.
	RollingOut string `json:"moving,omitempty"`
}

// Empty returns the state before the first record.
func Empty() *State {
	return &State{Current: map[string]int64{}, Services: map[string]ServiceState{},
		Rollouts: map[string]Rollout{}, ZonesOut: map[string]ZoneOrder{}}
}

// Outcome is the effect of a log entry.
type Outcome uint8

const (
	// Applied means that the record took effect.
	Applied Outcome = iota
	// Repeated means that a record with the same id was read before; it had no effect.
	Repeated
	// Superseded means that the record's Prev is not the current record of its subject; it had no effect.
	Superseded
	// Refused means that the content of the record is invalid in this state; it had no effect.
	Refused
	// Malformed means that the entry cannot be decoded as a record; it had no effect.
	Malformed
)

var outcomeNames = [...]string{"applied", "repeated", "superseded", "refused", "malformed"}

func (o Outcome) String() string { return outcomeNames[o] }

// ErrGap reports an entry whose version is not the next one after the version of the state.
var ErrGap = errors.New("entry does not follow the state")

// Result describes the effect of one entry. Reason is set for Refused and Malformed.
type Result struct {
	Outcome Outcome
	Record  configlog.Record
	Reason  string
}

// Apply returns the state after one entry. It returns ErrGap unless the entry is the next one.
// Every other fault is an Outcome and not an error, because all readers must skip the entry alike.
func (s *State) Apply(e configlog.Entry) (*State, Result, error) {
	if e.Offset != s.Version+1 {
		return s, Result{}, errors.Wrapf(ErrGap, "entry %d after version %d", e.Offset, s.Version)
	}
	next := *s
	next.Version = e.Offset
	next.Chain = Chain(s.Chain, e.Data)
	rec, err := configlog.ParseRecord(e.Data)
	if err != nil {
		return &next, Result{Outcome: Malformed, Reason: err.Error()}, nil
	}
	if _, ok := s.IDs.Offset(rec.ID); ok {
		return &next, Result{Outcome: Repeated, Record: rec}, nil
	}
	next.IDs = s.IDs.with(rec.ID, e.Offset)
	if rec.Kind != KindSeats && configlog.OffsetOf(rec.Prev) != configlog.OffsetOf(s.Current[rec.Subject]) {
		return &next, Result{Outcome: Superseded, Record: rec}, nil
	}
	effect := next
	if err := effect.applyRecord(rec, e.Offset); errors.Is(err, errSuperseded) {
		return &next, Result{Outcome: Superseded, Record: rec}, nil
	} else if err != nil {
		return &next, Result{Outcome: Refused, Record: rec, Reason: err.Error()}, nil
	}
	if rec.Kind != KindSeats { // each claim group orders its own changes
		effect.Current = maps.Clone(effect.Current)
		effect.Current[rec.Subject] = e.Offset
	}
	effect.ConfigVersion = e.Offset
	return &effect, Result{Outcome: Applied, Record: rec}, nil
}

// applyRecord applies one record to s, a private copy. It replaces maps and never modifies them,
// since other states share them.
func (s *State) applyRecord(rec configlog.Record, offset int64) error {
	switch rec.Kind {
	case KindConfig:
		return decodeAnd(rec, func(c Change) error { return s.applyConfig(c, rec, offset) })
	case KindImport:
		return decodeAnd(rec, func(in Import) error { return s.applyImport(in, offset) })
	case KindZone:
		return decodeAnd(rec, func(z ZoneOrder) error { return s.applyZone(z, rec, offset) })
	case KindRolloutStep:
		return decodeAnd(rec, func(step RolloutStep) error { return s.applyRolloutStep(step, rec, offset) })
	case KindSeats:
		return decodeAnd(rec, func(c SeatChange) error { return s.applySeats(c, offset) })
	default:
		return errors.Errorf("unknown kind %q", rec.Kind)
	}
}

// decodeAnd decodes the body of rec and calls apply with it.
func decodeAnd[T any](rec configlog.Record, apply func(T) error) error {
	var body T
	if err := json.Unmarshal(rec.Body, &body); err != nil {
		return errors.Wrap(err, "body")
	}
	return apply(body)
}

// Chain returns the hash over all entries up to and including the one with data. prev is the hash up to the entry before it.
func Chain(prev uint64, data []byte) uint64 {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], prev)
	d := xxhash.New()
	_, _ = d.Write(b[:])
	_, _ = d.Write(data)
	return d.Sum64()
}

// Encode returns s as a snapshot, which Decode reads.
func (s *State) Encode() ([]byte, error) { return json.Marshal(s) }

// Decode reads a snapshot. Maps that are missing in it are empty in the result.
func Decode(text []byte) (*State, error) {
	s := Empty()
	if err := json.Unmarshal(text, s); err != nil {
		return nil, errors.Wrap(err, "snapshot")
	}
	s.sums = serviceSums(s.Inventory.Services)
	return s, nil
}
