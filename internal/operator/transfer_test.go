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

func inventoryOf(names ...string) inventory.Inventory {
	inv := inventory.Inventory{Mesh: "iblee", Zones: []inventory.Zone{{Name: "ragusa"}, {Name: "comiso"}}}
	for _, name := range names {
		inv.Services = append(inv.Services, inventory.Service{Name: name, InitialVersion: "v1",
			Routes: []inventory.Route{{Name: "show", Method: "GET", Path: "/"}}})
	}
	return inv
}

// operated returns a log with publications, a running move and a zone that is out.
func operated(t *testing.T) (*configlog.Memory, *Console) {
	t.Helper()
	log := configlog.NewMemory()
	c := NewConsole(log, "first")
	ctx := context.Background()
	rules := inventory.Rules{Rollouts: []inventory.Rollout{{Service: "stock", To: "v2", By: time.Now().Add(time.Hour)}}}
	for _, names := range [][]string{{"stock"}, {"stock", "orders"}, {"stock", "orders", "cutting"}} {
		if _, err := c.Publish(ctx, inventoryOf(names...), rules); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := c.Zone(ctx, "comiso", true); err != nil {
		t.Fatal(err)
	}
	return log, c
}

// agreed is the state without its versions, which belong to one log.
func agreed(t *testing.T, st *mesh.State) string {
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

// A mesh passes through two operators, with answers lost on the way, and stays the same.
func TestMeshPassesToANewOperator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		log, first := operated(t)
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
			c := NewConsole(next, "next")
			v, err := c.Import(ctx, text)
			if err != nil || v != 1 {
				t.Fatal(v, err)
			}
			if again, err := c.Import(ctx, text); err != nil || again != v {
				t.Errorf("the import repeated: version %d, %v", again, err)
			}
			if _, err := c.Zone(ctx, "ragusa", false); err != nil {
				t.Errorf("an order after the import: %v", err)
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
				t.Errorf("the record of %s has version %d, the log is at %d", subject, version, x.Version)
			}
		}
		for i, era := range x.History {
			for j := 1; j < len(era.Entries); j++ {
				if era.Entries[j].Offset <= era.Entries[j-1].Offset {
					t.Errorf("era %d: offset %d after %d", i, era.Entries[j].Offset, era.Entries[j-1].Offset)
				}
			}
		}
		delete(x.State.ZonesOut, "ragusa")
		if got := agreed(t, x.State); got != agreed(t, want) {
			t.Errorf("the state is\n%s\nwant\n%s", got, agreed(t, want))
		}
		if len(x.History) != 3 || len(x.History[0].Entries) != 4 || x.State.Current[mesh.SubjectConfig] != 1 {
			t.Errorf("%d eras, %d records of the first, configuration of %d", len(x.History), len(x.History[0].Entries), x.State.Current[mesh.SubjectConfig])
		}
	})
}

// An import is refused by a log that is not empty, also when a publication comes
// between the look and the append, and a file that is not whole is refused.
func TestImportIsRefusedWhole(t *testing.T) {
	ctx := context.Background()
	_, first := operated(t)
	text, err := first.Export(ctx)
	if err != nil {
		t.Fatal(err)
	}
	other, second := operated(t)
	before, _ := second.State(ctx)
	if _, err := second.Import(ctx, text); !errors.Is(err, ErrNotEmpty) {
		t.Errorf("a log in use: %v", err)
	}
	x, _, _ := ParseExport(text)
	state, _ := x.State.Encode()
	for name, prev := range map[string]int64{"late": 0, "with prev": before.Current[mesh.SubjectConfig]} {
		rec, _ := configlog.NewRecord(mesh.KindImport, mesh.SubjectConfig, prev, "racing", mesh.Import{State: configlog.Pack(state), Version: x.Version})
		if _, err := second.Settle(ctx, before, rec); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	after, _ := NewConsole(other, "x").State(ctx)
	if agreed(t, after) != agreed(t, before) {
		t.Error("a refused import changed the state")
	}
	altered := bytes.Replace(text, []byte(`"stock"`), []byte(`"stack"`), 1)
	for name, bad := range map[string][]byte{"altered": altered, "truncated": text[:len(text)/2], "empty": nil} {
		if _, err := NewConsole(configlog.NewMemory(), "x").Import(ctx, bad); !errors.Is(err, ErrExportFile) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
