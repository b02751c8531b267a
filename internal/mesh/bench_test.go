package mesh

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"celerybank/internal/configlog"
	"celerybank/internal/inventory"
)

// sizes are the numbers of services of a small mesh, of one of the planned size and of one three times as large.
var sizes = []int{80, 800, 2400}

// largeInventory returns an inventory of n services with two routes each; each service depends on the next.
func largeInventory(n int) inventory.Inventory {
	inv := inventory.Inventory{Mesh: "bench"}
	for z := range 9 {
		inv.Zones = append(inv.Zones, inventory.Zone{Name: fmt.Sprintf("zone-%d", z), Region: fmt.Sprintf("region-%d", z/3)})
	}
	for i := range n {
		svc := inventory.Service{Name: fmt.Sprintf("service-%04d", i), InitialVersion: "v1", SlowStart: inventory.Duration(10 * time.Second),
			Routes: []inventory.Route{
				{Name: "show", Method: "GET", Path: "/items", Idempotent: true, Timeout: inventory.Duration(time.Second)},
				{Name: "place", Method: "POST", Path: "/items", Timeout: inventory.Duration(2 * time.Second)},
			}}
		if i+1 < n {
			svc.DependsOn = []string{fmt.Sprintf("service-%04d", i+1)}
		}
		inv.Services = append(inv.Services, svc)
	}
	return inv
}

// publication returns the log entry that publishes inv and rules on top of s.
func publication(t testing.TB, s *State, inv inventory.Inventory, rules inventory.Rules) configlog.Entry {
	t.Helper()
	rec, err := s.PublishRecord(inv, rules, "test", time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return entry(t, s.Version+1, rec)
}

func entry(t testing.TB, offset int64, rec configlog.Record) configlog.Entry {
	t.Helper()
	data, err := json.Marshal(rec)
	if err != nil {
		t.Fatal(err)
	}
	return configlog.Entry{Offset: offset, Data: data}
}

func apply(t testing.TB, s *State, e configlog.Entry) *State {
	t.Helper()
	next, res, err := s.Apply(e)
	if err != nil || res.Outcome != Applied {
		t.Fatalf("offset %d: error %v, outcome %v with reason %q, want the outcome applied", e.Offset, err, res.Outcome, res.Reason)
	}
	return next
}

// BenchmarkFold measures applying a change of one service when rememberedOffsets ids are retained.
func BenchmarkFold(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("services=%d", n), func(b *testing.B) {
			inv := largeInventory(n)
			s := apply(b, Empty(), publication(b, Empty(), inv, inventory.Rules{}))
			for s.Version < 9000 {
				rec, _ := configlog.NewRecord(KindZone, ZoneSubject("zone-1"), s.Current[ZoneSubject("zone-1")], "bench", ZoneOrder{Zone: "zone-1", Order: s.Version})
				s = apply(b, s, entry(b, s.Version+1, rec))
			}
			inv.Services[n/2].SlowStart++
			e := publication(b, s, inv, inventory.Rules{})
			b.SetBytes(int64(len(e.Data)))
			b.ReportAllocs()
			for b.Loop() {
				if _, res, _ := s.Apply(e); res.Outcome != Applied {
					b.Fatal(res)
				}
			}
			snapshot, _ := s.Encode()
			b.ReportMetric(float64(len(e.Data)), "record-bytes")
			b.ReportMetric(float64(len(snapshot)), "state-bytes")
		})
	}
}

// BenchmarkStateSize measures the time to decode a state, and reports its size in memory and
// as a compressed snapshot.
func BenchmarkStateSize(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("services=%d", n), func(b *testing.B) {
			s := apply(b, Empty(), publication(b, Empty(), largeInventory(n), inventory.Rules{}))
			for s.Version < rememberedOffsets {
				rec, _ := configlog.NewRecord(KindZone, ZoneSubject("zone-1"), s.Current[ZoneSubject("zone-1")], "bench", ZoneOrder{Zone: "zone-1", Order: s.Version})
				s = apply(b, s, entry(b, s.Version+1, rec))
			}
			text, err := s.Encode()
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if _, err := Decode(text); err != nil {
					b.Fatal(err)
				}
			}
			const copies = 20
			kept := make([]*State, copies)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			for i := range kept {
				kept[i], _ = Decode(text)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/copies, "heap-bytes")
			b.ReportMetric(float64(len(configlog.Pack(text))), "packed-bytes")
			runtime.KeepAlive(kept)
		})
	}
}
