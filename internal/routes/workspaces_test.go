package routes

import (
	"strconv"
	"testing"
)

func TestWorkspaceOfKey(t *testing.T) {
	c := config("/a/")
	if NewTable(c).HasWorkspaces() {
		t.Error("configuration without workspaces has some")
	}
	c.Workspaces = []Workspace{}
	for i := range 100 {
		c.Workspaces = append(c.Workspaces, Workspace{Name: "w" + strconv.Itoa(i), Keys: []string{"k" + strconv.Itoa(i), "l" + strconv.Itoa(i)}})
	}
	table := NewTable(c)
	for i := range 100 {
		for _, key := range []string{"k" + strconv.Itoa(i), "l" + strconv.Itoa(i)} {
			if w := table.Workspace(key); w == nil || w.Name != "w"+strconv.Itoa(i) {
				t.Errorf("key %s: got %+v", key, w)
			}
		}
	}
	for _, key := range []string{"", "k", "k100", "K1", "k1 ", " k1", "w1"} {
		if w := table.Workspace(key); w != nil {
			t.Errorf("unknown key %q: got workspace %s", key, w.Name)
		}
	}
	c.Workspaces = []Workspace{}
	if empty := NewTable(c); !empty.HasWorkspaces() || empty.Workspace("k1") != nil {
		t.Error("empty list of workspaces: want that no key is valid")
	}
}
