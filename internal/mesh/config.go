package mesh

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"celerybank/internal/configlog"
	"celerybank/internal/inventory"
)

// KindConfig is a record that changes the inventory and the rules; its subject is SubjectConfig.
const KindConfig configlog.Kind = "config"

// SubjectConfig is the subject of every publication, so that all publications of one mesh are ordered.
const SubjectConfig = "config"

// Change is the body of a KindConfig record: the difference from the configuration
// that it supersedes, so that the size of a record depends on the services that
// changed and not on the size of the mesh.
type Change struct {
	Mesh  string           `json:"mesh"`
	Zones []inventory.Zone `json:"zones"`
	// Set holds the services that were added or changed, Removed the names of those that were removed.
	Set     []inventory.Service `json:"set,omitempty"`
	Removed []string            `json:"removed,omitempty"`
	// Rules holds the new rules, except that its Rollouts are only the rollouts that were added or
	// changed. RemovedRollouts names the services whose rollouts were removed from the rules.
	Rules           inventory.Rules `json:"rules"`
	RemovedRollouts []string        `json:"removed_moves,omitempty"`
	// Sum is the hash of the complete inventory and rules after the change.
	Sum uint64 `json:"sum,string"`
}

// Sum returns the hash of a configuration. It does not depend on the order of the
// services and of the rollouts: both are sorted by service name first.
func Sum(inv inventory.Inventory, rules inventory.Rules) uint64 {
	inv.Services = slices.SortedFunc(slices.Values(inv.Services), byName)
	rules.Rollouts = slices.SortedFunc(slices.Values(rules.Rollouts), byService)
	return sum(inv, rules, serviceSums(inv.Services))
}

// sum hashes inv and rules. Services and rollouts must be sorted; sums are the hashes of the services.
func sum(inv inventory.Inventory, rules inventory.Rules, sums []uint64) uint64 {
	d := xxhash.New()
	for _, h := range sums {
		var b [8]byte
		binary.BigEndian.PutUint64(b[:], h)
		_, _ = d.Write(b[:])
	}
	_, _ = d.Write(mustMarshal(struct {
		M string
		Z []inventory.Zone
		R inventory.Rules
	}{inv.Mesh, inv.Zones, rules}))
	return d.Sum64()
}

func serviceSums(services []inventory.Service) []uint64 {
	sums := make([]uint64, len(services))
	for i, svc := range services {
		sums[i] = xxhash.Sum64(mustMarshal(svc))
	}
	return sums
}

// mustMarshal encodes v as JSON. It panics on types that JSON cannot represent.
func mustMarshal(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return text
}

func byName(a, b inventory.Service) int { return cmp.Compare(a.Name, b.Name) }

func byService(a, b inventory.Rollout) int { return cmp.Compare(a.Service, b.Service) }

// Difference returns the change from the configuration of s to inv and rules.
func (s *State) Difference(inv inventory.Inventory, rules inventory.Rules) Change {
	c := Change{Mesh: inv.Mesh, Zones: inv.Zones, Rules: rules, Sum: Sum(inv, rules)}
	c.Set, c.Removed = difference(s.Inventory.Services, inv.Services, func(x inventory.Service) string { return x.Name })
	c.Rules.Rollouts, c.RemovedRollouts = difference(s.Rules.Rollouts, rules.Rollouts, func(x inventory.Rollout) string { return x.Service })
	return c
}

// difference returns the items of want that are missing from old or differ there, and the sorted keys that are only in old.
func difference[T any](old, want []T, key func(T) string) (set []T, removed []string) {
	remaining := map[string]T{}
	for _, x := range old {
		remaining[key(x)] = x
	}
	for _, x := range want {
		if previous, ok := remaining[key(x)]; !ok || !bytes.Equal(mustMarshal(previous), mustMarshal(x)) {
			set = append(set, x)
		}
		delete(remaining, key(x))
	}
	return set, slices.Sorted(maps.Keys(remaining))
}

// patch returns a copy of old, which is sorted by key, with the items of set added or replaced and the keys in removed deleted.
func patch[T any](old, set []T, removed []string, key func(T) string) []T {
	out := slices.Clone(old)
	find := func(k string) (int, bool) {
		return slices.BinarySearchFunc(out, k, func(x T, k string) int { return cmp.Compare(key(x), k) })
	}
	for _, k := range removed {
		if i, ok := find(k); ok {
			out = slices.Delete(out, i, i+1)
		}
	}
	if len(out) == 0 {
		out = slices.Clone(set)
		slices.SortStableFunc(out, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
		return out
	}
	for _, x := range set {
		if i, ok := find(key(x)); ok {
			out[i] = x
		} else {
			out = slices.Insert(out, i, x)
		}
	}
	return out
}

// hashedService is a service with the hash of its JSON encoding.
type hashedService struct {
	service inventory.Service
	sum     uint64
}

// merge returns the inventory, the rules and the hashes of the services that result from applying c.
func (s *State) merge(c Change) (inventory.Inventory, inventory.Rules, []uint64) {
	old := make([]hashedService, len(s.Inventory.Services))
	for i, svc := range s.Inventory.Services {
		old[i] = hashedService{svc, s.sums[i]}
	}
	set := make([]hashedService, len(c.Set))
	for i, h := range serviceSums(c.Set) {
		set[i] = hashedService{c.Set[i], h}
	}
	merged := patch(old, set, c.Removed, func(x hashedService) string { return x.service.Name })
	inv := inventory.Inventory{Mesh: c.Mesh, Zones: c.Zones, Services: make([]inventory.Service, len(merged))}
	sums := make([]uint64, len(merged))
	for i, x := range merged {
		inv.Services[i], sums[i] = x.service, x.sum
	}
	rules := c.Rules
	rules.Rollouts = patch(s.Rules.Rollouts, c.Rules.Rollouts, c.RemovedRollouts, func(x inventory.Rollout) string { return x.Service })
	return inv, rules, sums
}

// CheckConfig returns an error if s would refuse inv and rules. The result does not depend on the
// clock, so that every node decides alike.
func (s *State) CheckConfig(inv inventory.Inventory, rules inventory.Rules) error {
	if s.Inventory.Mesh != "" && inv.Mesh != s.Inventory.Mesh {
		return errors.Errorf("mesh: the log belongs to mesh %s", s.Inventory.Mesh)
	}
	if faults := inv.Check(); faults != nil {
		return faults
	}
	if faults := inv.CheckReferences(rules); faults != nil {
		return faults
	}
	for i, r := range rules.Rollouts {
		running := s.Services[r.Service].RollingOut
		if running != "" && running != rolloutKey(r.Service, r.To) {
			return errors.Errorf("moves[%d]: service %s has the running rollout %s", i, r.Service, running)
		}
	}
	return nil
}

func (s *State) applyConfig(c Change, rec configlog.Record, offset int64) error {
	inv, rules, sums := s.merge(c)
	if got := sum(inv, rules, sums); got != c.Sum {
		return errors.Errorf("content hash %x, want %x", got, c.Sum)
	}
	if err := s.CheckConfig(inv, rules); err != nil {
		return err
	}
	s.applyRuleZones(rules.ZonesOut, offset)
	s.Inventory, s.Rules, s.sums = inv, rules, sums
	s.removeServices(c.Removed)
	s.removeRolloutsOf(c.Removed)
	s.rollBackRemoved(rules.Rollouts, rec.Time, offset)
	s.addServices(c.Set)
	for _, r := range rules.Rollouts {
		s.startRollout(r, rec.Time, offset)
	}
	return nil
}

// addServices adds the services of set that are not known yet, each with its initial version as the stable one.
func (s *State) addServices(set []inventory.Service) {
	cloned := false
	for _, svc := range set {
		if _, known := s.Services[svc.Name]; known {
			continue
		}
		if !cloned {
			s.Services, cloned = maps.Clone(s.Services), true
		}
		s.Services[svc.Name] = ServiceState{Stable: svc.InitialVersion}
	}
}

func (s *State) removeServices(names []string) {
	if len(names) == 0 {
		return
	}
	s.Services = maps.Clone(s.Services)
	for _, name := range names {
		delete(s.Services, name)
	}
}

// PublishRecord checks inv and rules against s and returns the record to append.
// A rollout whose deadline is before now is refused, unless it was accepted earlier.
func (s *State) PublishRecord(inv inventory.Inventory, rules inventory.Rules, author string, now time.Time) (configlog.Record, error) {
	unaccepted := rules
	unaccepted.Rollouts = nil
	for _, r := range rules.Rollouts {
		if old, ok := s.Rollouts[rolloutKey(r.Service, r.To)]; !ok || !old.By.Equal(r.By) {
			unaccepted.Rollouts = append(unaccepted.Rollouts, r)
		}
	}
	if faults := inv.CheckRules(unaccepted, now); faults != nil {
		return configlog.Record{}, faults
	}
	if err := s.CheckConfig(inv, rules); err != nil {
		return configlog.Record{}, err
	}
	return configlog.NewRecord(KindConfig, SubjectConfig, s.Current[SubjectConfig], author, s.Difference(inv, rules))
}

// rolloutKey returns the key of a rollout in State.Rollouts.
func rolloutKey(service, version string) string { return fmt.Sprintf("%s/%s", service, version) }
