package mesh

import (
	"bytes"
	"encoding/json"
	"math/rand"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"celerybank/internal/configlog"
	"celerybank/internal/inventory"
)

// foldSeed makes every run check the properties with the same logs.
const foldSeed = 20260801

// history is a log with the outcome and the state at each offset.
type history struct {
	entries  []configlog.Entry
	outcomes []Outcome
	states   []*State // states[i] is the state before entries[i]
}

func (h *history) add(data []byte) Outcome {
	e := configlog.Entry{Offset: int64(len(h.entries)) + 1, Data: data}
	s := h.states[len(h.states)-1]
	next, res, err := s.Apply(e)
	if err != nil {
		panic(err)
	}
	h.entries, h.outcomes, h.states = append(h.entries, e), append(h.outcomes, res.Outcome), append(h.states, next)
	return res.Outcome
}

func (h *history) last() *State { return h.states[len(h.states)-1] }

// randomHistory returns a log of n records: those of operators, and faulty ones (concurrent
// writers, duplicates, refused, unknown and malformed records).
func randomHistory(seed int64, n int) *history {
	r := rand.New(rand.NewSource(seed))
	h := &history{states: []*State{Empty()}}
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for len(h.entries) < n {
		base := h.states[max(0, len(h.states)-1-r.Intn(2)*r.Intn(4))] // sometimes a writer whose state is outdated
		h.add(randomRecord(r, h, base, start))
	}
	return h
}

func randomRecord(r *rand.Rand, h *history, base *State, start time.Time) []byte {
	switch roll := r.Intn(10); {
	case roll == 0 && len(h.entries) > 0:
		return h.entries[r.Intn(len(h.entries))].Data
	case roll == 1:
		return []byte(`{"id":"cut off`)
	case roll == 2:
		return recordOf(r, "unknown-kind", SubjectConfig, base, struct{}{})
	case roll == 3:
		bad := largeInventory(2 + r.Intn(3))
		bad.Services[0].DependsOn = []string{"missing"}
		return recordOf(r, KindConfig, SubjectConfig, base, base.Difference(bad, base.Rules))
	case roll < 6 && len(base.Inventory.Zones) > 0:
		subject := ZoneSubject("zone-1")
		return recordOf(r, KindZone, subject, base, ZoneOrder{Zone: "zone-1", Out: r.Intn(2) == 0, Order: base.ZonesOut["zone-1"].Order + 1})
	default:
		inv := largeInventory(1 + r.Intn(6))
		inv.Services[r.Intn(len(inv.Services))].SlowStart = inventory.Duration(r.Intn(5))
		var rules inventory.Rules
		if r.Intn(2) == 0 {
			rules.Rollouts = []inventory.Rollout{{Service: inv.Services[0].Name, To: "v2", By: start.Add(time.Hour)}}
		}
		return recordOf(r, KindConfig, SubjectConfig, base, base.Difference(inv, rules))
	}
}

func recordOf(r *rand.Rand, kind configlog.Kind, subject string, base *State, body any) []byte {
	rec, err := configlog.NewRecord(kind, subject, base.Current[subject], "test", body)
	if err != nil {
		panic(err)
	}
	var id [8]byte
	_, _ = r.Read(id[:])
	rec.ID, rec.Time = string(mustMarshal(id)), time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	return mustMarshal(rec)
}

// applyPages applies entries to s in pages of the given size, as a reader that polls the log does.
func applyPages(s *State, entries []configlog.Entry, size int) *State {
	for len(entries) > 0 {
		page := entries[:min(size, len(entries))]
		for _, e := range page {
			next, _, err := s.Apply(e)
			if err != nil {
				panic(err)
			}
			s = next
		}
		entries = entries[len(page):]
	}
	return s
}

func equalStates(a, b *State) bool {
	x, _ := a.Encode()
	y, _ := b.Encode()
	return bytes.Equal(x, y)
}

// effect encodes s without the fields that every entry changes.
func effect(s *State) []byte {
	c := *s
	c.Version, c.Chain, c.IDs = 0, 0, IDs{}
	return mustMarshal(&c)
}

func TestFoldProperties(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(foldSeed)
	params.MinSuccessfulTests = 60
	p := gopter.NewProperties(params)
	const records = 60
	logs := gen.Int64().Map(func(seed int64) *history { return randomHistory(seed, records) })

	p.Property("readers with different page sizes agree", prop.ForAll(func(h *history, size int) bool {
		return equalStates(applyPages(Empty(), h.entries, size), h.last())
	}, logs, gen.IntRange(1, records)))

	p.Property("a snapshot and the entries after it give the same state as the whole log", prop.ForAll(func(h *history, at int) bool {
		text, err := h.states[at].Encode()
		if err != nil {
			return false
		}
		s, err := Decode(text)
		return err == nil && equalStates(s, h.states[at]) && equalStates(applyPages(s, h.entries[at:], 7), h.last())
	}, logs, gen.IntRange(0, records)))

	p.Property("only an applied record has an effect, and it has it once", prop.ForAll(func(h *history) bool {
		for i, o := range h.outcomes {
			if o != Applied && !bytes.Equal(effect(h.states[i]), effect(h.states[i+1])) {
				return false
			}
		}
		before := h.last()
		for _, e := range h.entries[:records] {
			if h.add(e.Data) == Applied {
				return false
			}
		}
		return bytes.Equal(effect(before), effect(h.last()))
	}, logs))

	p.Property("of concurrent records with the same prev exactly the first is applied", prop.ForAll(func(h *history, racers int) bool {
		base, won := h.last(), 0
		r := rand.New(rand.NewSource(int64(racers)))
		for i := range racers {
			inv := largeInventory(2 + i)
			if h.add(recordOf(r, KindConfig, SubjectConfig, base, base.Difference(inv, inventory.Rules{}))) == Applied {
				if won++; i != 0 {
					return false
				}
			}
		}
		return won == 1 && len(h.last().Inventory.Services) == 2
	}, gen.Int64().Map(func(seed int64) *history { return randomHistoryWithoutRollouts(seed) }), gen.IntRange(2, 6)))
	p.TestingRun(t)
}

// randomHistoryWithoutRollouts returns a log after which any configuration is accepted: with a running
// rollout some would be refused.
func randomHistoryWithoutRollouts(seed int64) *history {
	h := &history{states: []*State{Empty()}}
	r := rand.New(rand.NewSource(seed))
	for range 1 + r.Intn(5) {
		base := h.last()
		h.add(recordOf(r, KindConfig, SubjectConfig, base, base.Difference(largeInventory(1+r.Intn(4)), inventory.Rules{})))
	}
	return h
}

// Which ids are retained must depend on offsets alone, also after decoding a snapshot. Otherwise
// nodes would disagree on whether a record is a duplicate.
func TestIDRetentionDependsOnOffsets(t *testing.T) {
	var s IDs
	const n = 3 * rememberedOffsets
	id := func(offset int64) string { return string(mustMarshal(offset)) }
	for o := int64(1); o <= n; o++ {
		if s = s.with(id(o), o); o%1000 == 0 {
			text := mustMarshal(s)
			var again IDs
			if err := json.Unmarshal(text, &again); err != nil || !bytes.Equal(mustMarshal(again), text) {
				t.Fatalf("offset %d: decoded ids differ from the encoded ones, err %v", o, err)
			}
			s = again
		}
	}
	for o := int64(1); o <= n; o++ {
		if got, ok := s.Offset(id(o)); ok != (o > n-rememberedOffsets) || (ok && got != o) {
			t.Fatalf("id of offset %d: got offset %d, retained %v", o, got, ok)
		}
	}
}

// A refused record must stay refused when its append is retried, even if the state would accept it by then.
func TestRefusedRecordStaysRefused(t *testing.T) {
	h := &history{states: []*State{Empty()}}
	rec, err := configlog.NewRecord(KindZone, ZoneSubject("zone-1"), 0, "test", ZoneOrder{Zone: "zone-1", Out: true})
	if err != nil {
		t.Fatal(err)
	}
	early := h.add(mustMarshal(rec))
	h.add(publication(t, h.last(), largeInventory(1), inventory.Rules{}).Data)
	if again := h.add(mustMarshal(rec)); early != Refused || again != Repeated || h.last().IsOut("zone-1") {
		t.Fatalf("got %v, then %v, zone out %v; want %v, then %v, false", early, again, h.last().IsOut("zone-1"), Refused, Repeated)
	}
}
