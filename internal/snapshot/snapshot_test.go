package snapshot

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"celerybank/internal/configlog"
	"celerybank/internal/mesh"
)

// stateAt returns the state after n records of an unknown kind.
func stateAt(t *testing.T, n int) *mesh.State {
	t.Helper()
	st := mesh.Empty()
	r := rand.New(rand.NewSource(int64(n)))
	for range n {
		rec := configlog.Record{ID: fmt.Sprintf("%016x", r.Uint64()), Kind: "unknown", Subject: "s"}
		data, err := json.Marshal(rec)
		if err != nil {
			t.Fatal(err)
		}
		if st, _, err = st.Apply(configlog.Entry{Offset: st.Version + 1, Data: data}); err != nil {
			t.Fatal(err)
		}
	}
	return st
}

func appendParts(t *testing.T, log configlog.Log, parts []Part) {
	t.Helper()
	for _, p := range parts {
		data, err := json.Marshal(p)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := log.Append(context.Background(), configlog.SnapshotStream, data); err != nil {
			t.Fatal(err)
		}
	}
}

// parts returns the snapshot of st in at least five parts.
func parts(t *testing.T, st *mesh.State) []Part {
	t.Helper()
	p, err := split(st, time.Unix(0, 0), 150)
	if err != nil || len(p) < 5 {
		t.Fatalf("split into %d parts with error %v, want at least 5", len(p), err)
	}
	return p
}

// Newest returns the newest snapshot that is complete and unaltered. Parts of several
// snapshots are interleaved, as concurrent writers may append them; the newest one has an
// altered part and the second newest lacks a part.
func TestNewestWholeSnapshotServes(t *testing.T) {
	for seed := range int64(20) {
		log := configlog.NewMemory()
		older, newer, altered := parts(t, stateAt(t, 60)), parts(t, stateAt(t, 70)), parts(t, stateAt(t, 80))
		r := rand.New(rand.NewSource(seed))
		gone := r.Intn(len(newer))
		newer = append(newer[:gone:gone], newer[gone+1:]...)
		altered[r.Intn(len(altered))].Data[7] ^= 1
		all := append(append(append([]Part(nil), older...), newer...), altered...)
		r.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		appendParts(t, log, all)
		got, err := Newest(context.Background(), log)
		if err != nil || got.State.Version != 60 {
			t.Fatalf("seed %d: error %v, state %+v, want version 60", seed, err, got.State)
		}
	}
}

// Newest returns the complete snapshot with the highest version, and ErrNotFound when the
// log has dropped the first parts of all.
func TestNewestOfSeveral(t *testing.T) {
	log := configlog.NewMemory()
	for _, n := range []int{60, 70, 75} {
		appendParts(t, log, parts(t, stateAt(t, n)))
	}
	if got, err := Newest(context.Background(), log); err != nil || got.State.Version != 75 {
		t.Fatalf("error %v, state %+v, want version 75", err, got.State)
	}
	log.SetFaults(configlog.Faults{Retain: 3})
	if _, err := Newest(context.Background(), log); err != ErrNotFound {
		t.Fatalf("got error %v for a snapshot without its first parts, want %v", err, ErrNotFound)
	}
}

// BenchmarkPack packs states that remember the record IDs of a mesh with frequent changes.
func BenchmarkPack(b *testing.B) {
	for _, n := range []int{64, 512, 4096} {
		b.Run(fmt.Sprintf("ids=%d", n), func(b *testing.B) {
			st := mesh.Empty()
			for range n {
				rec, _ := configlog.NewRecord("unknown", "s", 0, "test", nil)
				data, _ := json.Marshal(rec)
				st, _, _ = st.Apply(configlog.Entry{Offset: st.Version + 1, Data: data})
			}
			b.ReportAllocs()
			var packed []byte
			for b.Loop() {
				packed, _ = Pack(st)
			}
			b.ReportMetric(float64(len(packed)), "packed-bytes")
		})
	}
}
