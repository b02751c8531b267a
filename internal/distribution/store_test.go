package distribution

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"celerybank/internal/configlog"
	"celerybank/internal/events"
	"celerybank/internal/inventory"
	"celerybank/internal/mesh"
	"celerybank/internal/snapshot"
)

// publishedEntries returns n entries of a log in which every record publishes the same
// inventory. Record IDs and times differ, so each call returns a different history.
func publishedEntries(t *testing.T, n int) []configlog.Entry {
	t.Helper()
	inv := inventory.Inventory{Mesh: "test", Zones: []inventory.Zone{{Name: "z"}}}
	st := mesh.Empty()
	var out []configlog.Entry
	for len(out) < n {
		rec, err := configlog.NewRecord(mesh.KindConfig, mesh.SubjectConfig, st.Current[mesh.SubjectConfig], fmt.Sprint(len(out)), st.Difference(inv, inventory.Rules{}))
		if err != nil {
			t.Fatal(err)
		}
		data, err := json.Marshal(rec)
		if err != nil {
			t.Fatal(err)
		}
		e := configlog.Entry{Offset: st.Version + 1, Data: data}
		if st, _, err = st.Apply(e); err != nil {
			t.Fatal(err)
		}
		out = append(out, e)
	}
	return out
}

func storeAt(entries []configlog.Entry) (*Store, *events.Recorder) {
	ev := events.New("n", "z", nil)
	s := NewStore(ev)
	s.ApplyEntries(entries)
	return s, ev
}

func batchAfter(t *testing.T, s *Store, version int64) *Batch {
	t.Helper()
	entries, before, after, ok := s.After(version, readLimit, batchBytes)
	b, err := newBatch(before, after, entries)
	if !ok || err != nil {
		t.Fatalf("batch after version %d: entries retained %v, error %v", version, ok, err)
	}
	return b
}

// A batch that was altered, truncated or forged, or that belongs to another history, is
// discarded as a whole with an event.
func TestCorruptNewsIsDiscarded(t *testing.T) {
	log, other := publishedEntries(t, 6), publishedEntries(t, 6)
	peer, _ := storeAt(log)
	diverged, _ := storeAt(other)
	altered := batchAfter(t, peer, 3)
	altered.Packed = bytes.Clone(altered.Packed)
	altered.Packed[len(altered.Packed)/2] ^= 1
	truncated := batchAfter(t, peer, 3)
	truncated.Packed = truncated.Packed[:len(truncated.Packed)/2]
	swapped := batchAfter(t, peer, 3)
	var entries []configlog.Entry
	content, err := msgpack.Marshal(append(append(entries, log[3:5]...), configlog.Entry{Offset: 6, Data: log[0].Data}))
	if err != nil {
		t.Fatal(err)
	}
	swapped.Packed = compress(content)
	forged := batchAfter(t, diverged, 3)
	own, _ := storeAt(log[:3])
	forged.Before = own.State().Chain
	for name, b := range map[string]*Batch{"altered": altered, "truncated": truncated, "other records": swapped,
		"other history": batchAfter(t, diverged, 3), "overlapping other history": batchAfter(t, diverged, 1), "forged": forged} {
		s, ev := storeAt(log[:3])
		if n := s.ApplyBatch("peer", b); n != 0 || s.State().Version != 3 || count(ev, events.UpdatesDiscarded) != 1 {
			t.Errorf("%s: applied %d entries, version %d, %d news-discarded events; want 0, 3, 1", name, n, s.State().Version, count(ev, events.UpdatesDiscarded))
		}
	}
	s, ev := storeAt(log[:3])
	if n := s.ApplyBatch("peer", batchAfter(t, peer, 1)); n != 3 || s.State().Chain != peer.State().Chain || count(ev, events.UpdatesDiscarded) != 0 {
		t.Errorf("valid batch: applied %d entries, %d news-discarded events; want 3, 0 and the peer's chain hash", n, count(ev, events.UpdatesDiscarded))
	}
}

// A packed snapshot that is altered, truncated or empty is discarded with an event, and an
// older snapshot does not replace the state.
func TestCorruptSnapshotIsDiscarded(t *testing.T) {
	peer, _ := storeAt(publishedEntries(t, 6))
	good, err := snapshot.Pack(peer.State())
	if err != nil {
		t.Fatal(err)
	}
	altered := bytes.Clone(good)
	altered[len(altered)/2] ^= 1
	older, _ := storeAt(publishedEntries(t, 5))
	other, err := snapshot.Pack(older.State())
	if err != nil {
		t.Fatal(err)
	}
	mixed := append(bytes.Clone(good[:8]), other[8:]...)
	for name, packedState := range map[string][]byte{"content of another snapshot": mixed, "altered": altered, "truncated": good[:len(good)-9], "empty": {}} {
		s, ev := storeAt(nil)
		if s.InstallPacked("peer", packedState, snapshot.Unpack) || s.State().Version != 0 || count(ev, events.UpdatesDiscarded) != 1 {
			t.Errorf("%s: version %d, %d news-discarded events; want 0, 1", name, s.State().Version, count(ev, events.UpdatesDiscarded))
		}
	}
	s, _ := storeAt(nil)
	if !s.InstallPacked("peer", good, snapshot.Unpack) || s.State().Chain != peer.State().Chain {
		t.Error("a valid snapshot was not installed")
	}
	if s.Install(mesh.Empty(), "peer") || s.State().Version != 6 {
		t.Error("an older snapshot was installed")
	}
}

func count(ev *events.Recorder, code events.Code) int {
	n := 0
	for _, e := range ev.Since(0) {
		if e.Code == code {
			n++
		}
	}
	return n
}
