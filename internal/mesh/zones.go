package mesh

import (
	"maps"
	"slices"

	"github.com/go-faster/errors"

	"celerybank/internal/configlog"
	"celerybank/internal/inventory"
)

// KindZone is a record that takes an availability zone out of service or back in; its subject is a ZoneSubject.
const KindZone configlog.Kind = "zone"

// ZoneOrder is the body of a KindZone record.
type ZoneOrder struct {
	Zone string `json:"zone"`
	Out  bool   `json:"out"`
	// Order is the sequence number of the order: of two orders about a zone the higher one takes precedence.
	Order int64 `json:"order"`
	// Version is the configuration version at which the order took effect. Apply sets it.
	Version int64 `json:"version,omitempty"`
}

// ZoneSubject returns the subject of the records about one availability zone.
func ZoneSubject(zone string) string { return "zone/" + zone }

func (s *State) applyZone(z ZoneOrder, _ configlog.Record, offset int64) error {
	if !slices.ContainsFunc(s.Inventory.Zones, func(x inventory.Zone) bool { return x.Name == z.Zone }) {
		return errors.Errorf("unknown availability zone %s", z.Zone)
	}
	if old, ok := s.ZonesOut[z.Zone]; ok && z.Order <= old.Order {
		return errors.Errorf("zone order %d is not higher than order %d in force", z.Order, old.Order)
	}
	z.Version = offset
	s.ZonesOut = maps.Clone(s.ZonesOut)
	s.ZonesOut[z.Zone] = z
	return nil
}

// applyRuleZones turns the difference between the zones_out of the old and of the new rules into
// zone orders, so that a publication with an unchanged zones_out keeps orders issued since the last one.
func (s *State) applyRuleZones(out []string, offset int64) {
	before := s.Rules.ZonesOut
	set := func(zone string, isOut bool) {
		s.ZonesOut = maps.Clone(s.ZonesOut)
		s.ZonesOut[zone] = ZoneOrder{Zone: zone, Out: isOut, Order: s.ZonesOut[zone].Order + 1, Version: offset}
	}
	for _, z := range out {
		if !slices.Contains(before, z) {
			set(z, true)
		}
	}
	for _, z := range before {
		if !slices.Contains(out, z) {
			set(z, false)
		}
	}
}

// IsOut reports whether an availability zone is out: its upstreams get no new requests.
func (s *State) IsOut(zone string) bool { return s.ZonesOut[zone].Out }
