package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"celerybank/internal/configlog"
	"celerybank/internal/inventory"
	"celerybank/internal/mesh"
)

func testInventory(names ...string) inventory.Inventory {
	inv := inventory.Inventory{Mesh: "iblee", Zones: []inventory.Zone{{Name: "ragusa"}, {Name: "comiso"}}}
	for _, name := range names {
		inv.Services = append(inv.Services, inventory.Service{Name: name, InitialVersion: "v1",
			Routes: []inventory.Route{{Name: "show", Method: "GET", Path: "/"}}})
	}
	return inv
}

// populatedLog returns a log with several publications, a running rollout and a zone that is out.
func populatedLog(t *testing.T) (*configlog.Memory, *LogClient) {
	t.Helper()
	log := configlog.NewMemory()
	c := NewLogClient(log, "first")
	ctx := context.Background()
	rules := inventory.Rules{Rollouts: []inventory.Rollout{{Service: "stock", To: "v2", By: time.Now().Add(time.Hour)}}}
	for _, names := range [][]string{{"stock"}, {"stock", "orders"}, {"stock", "orders", "cutting"}} {
		if _, err := c.Publish(ctx, testInventory(names...), rules); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := c.OrderZone(ctx, "comiso", true); err != nil {
		t.Fatal(err)
	}
	return log, c
}

// stateText returns st as JSON without the versions, which depend on the log. It sets them to 0 in st.
func stateText(t *testing.T, st *mesh.State) string {
	t.Helper()
	for key, m := range st.Rollouts {
		m.Accepted, m.Changed = 0, 0
		st.Rollouts[key] = m
	}
	for zone, z := range st.ZonesOut {
		z.Version = 0
		st.ZonesOut[zone] = z
	}
	text, err := json.Marshal([]any{st.Inventory, st.Rules, st.Services, st.Rollouts, st.ZonesOut})
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// The state and the history survive two successive exports and imports in which replies of the log
// are lost. A repeated import has no effect, and records may be appended after an import.
func TestMeshPassesToANewOperator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		log, first := populatedLog(t)
		log.SetFaults(configlog.Faults{Retain: 4})
		want, err := first.State(ctx)
		if err != nil {
			t.Fatal(err)
		}
		text, err := first.Export(ctx)
		if err != nil {
			t.Fatal(err)
		}
		for range 2 {
			next := configlog.NewMemory()
			next.SetFaults(configlog.Faults{LoseReplyEvery: 2})
			c := NewLogClient(next, "next")
			v, err := c.Import(ctx, text)
			if err != nil || v != 1 {
				t.Fatal(v, err)
			}
			if again, err := c.Import(ctx, text); err != nil || again != v {
				t.Errorf("repeated import: got version %d, error %v, want the version of the first import", again, err)
			}
			if _, err := c.OrderZone(ctx, "ragusa", false); err != nil {
				t.Errorf("zone order after the import: got error %v", err)
			}
			if text, err = c.Export(ctx); err != nil {
				t.Fatal(err)
			}
		}
		x, _, err := ParseExport(text)
		if err != nil {
			t.Fatal(err)
		}
		for subject, version := range x.State.Current {
			if version > x.Version {
				t.Errorf("current record of %s: got version %d, want at most the version of the log, %d", subject, version, x.Version)
			}
		}
		for i, retained := range x.History {
			for j := 1; j < len(retained.Entries); j++ {
				if retained.Entries[j].Offset <= retained.Entries[j-1].Offset {
					t.Errorf("log %d: got offset %d after %d, want ascending offsets", i, retained.Entries[j].Offset, retained.Entries[j-1].Offset)
				}
			}
		}
		delete(x.State.ZonesOut, "ragusa")
		if got := stateText(t, x.State); got != stateText(t, want) {
			t.Errorf("got state\n%s\nwant\n%s", got, stateText(t, want))
		}
		if len(x.History) != 3 || len(x.History[0].Entries) != 4 || x.State.Current[mesh.SubjectConfig] != 1 {
			t.Errorf("got %d logs, %d records in the first, configuration of version %d, want 3, 4 and 1", len(x.History), len(x.History[0].Entries), x.State.Current[mesh.SubjectConfig])
		}
	})
}

// An import into a log that is not empty is refused, also when a publication is appended between the
// check of the log and the append of the import. An altered, truncated or empty file is refused.
func TestImportIsRefusedWhole(t *testing.T) {
	ctx := context.Background()
	_, first := populatedLog(t)
	text, err := first.Export(ctx)
	if err != nil {
		t.Fatal(err)
	}
	other, second := populatedLog(t)
	before, _ := second.State(ctx)
	if _, err := second.Import(ctx, text); !errors.Is(err, ErrLogNotEmpty) {
		t.Errorf("import into a log in use: got error %v, want ErrLogNotEmpty", err)
	}
	x, _, _ := ParseExport(text)
	state, _ := x.State.Encode()
	for name, prev := range map[string]int64{"late": 0, "with prev": before.Current[mesh.SubjectConfig]} {
		rec, _ := configlog.NewRecord(mesh.KindImport, mesh.SubjectConfig, prev, "racing", mesh.Import{State: configlog.Pack(state), Version: x.Version})
		if _, err := second.AppendAndConfirm(ctx, before, rec); err == nil {
			t.Errorf("%s: the import took effect, want it refused", name)
		}
	}
	after, _ := NewLogClient(other, "x").State(ctx)
	if stateText(t, after) != stateText(t, before) {
		t.Error("state changed by a refused import")
	}
	altered := bytes.Replace(text, []byte(`"stock"`), []byte(`"stack"`), 1)
	for name, bad := range map[string][]byte{"altered": altered, "truncated": text[:len(text)/2], "empty": nil} {
		if _, err := NewLogClient(configlog.NewMemory(), "x").Import(ctx, bad); !errors.Is(err, ErrInvalidExport) {
			t.Errorf("%s file: got error %v, want ErrInvalidExport", name, err)
		}
	}
}
