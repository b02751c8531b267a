package routes

import (
	"hash/maphash"
	"slices"

	"github.com/go-faster/errors"
)

// Workspace is a group of callers that share API keys. A request belongs to the workspace of its key.
type Workspace struct {
	Name string
	// Keys are the API keys in force. They must not appear in errors, events or metrics.
	Keys []string
	// Priority takes precedence over the priority of the route; nil leaves that in force.
	Priority *int
}

// checkWorkspaces returns an error if names or keys are ambiguous or unusable. No error contains a key.
func checkWorkspaces(workspaces []Workspace) error {
	names := make(map[string]bool, len(workspaces))
	owners := make(map[string]string, len(workspaces))
	for i := range workspaces {
		w := &workspaces[i]
		if !validName(w.Name) {
			return errors.Errorf("workspace %d: name is empty or cannot be sent in a header", i)
		}
		if names[w.Name] {
			return errors.Errorf("workspace %s: the name is used twice", w.Name)
		}
		names[w.Name] = true
		for _, key := range w.Keys {
			if key == "" {
				return errors.Errorf("workspace %s: a key is empty", w.Name)
			}
			if other, ok := owners[key]; ok && other != w.Name {
				return errors.Errorf("workspaces %s and %s have a key in common", other, w.Name)
			}
			owners[key] = w.Name
		}
	}
	return nil
}

// validName reports whether a name can be sent as a header value: it is not empty and has no control characters.
func validName(name string) bool {
	for i := range len(name) {
		if name[i] < ' ' || name[i] == 0x7f {
			return false
		}
	}
	return name != ""
}

// keyIndex finds the workspace of an API key. It is indexed by a seeded hash of the key, because the lookup in a map of
// strings compares keys byte by byte where the map is small, so that its time would tell how much of a guess is right.
type keyIndex struct {
	seed   maphash.Seed
	byHash map[uint64]*Workspace
}

// newKeyIndex returns the index of workspaces, which it keeps references into.
func newKeyIndex(workspaces []Workspace) keyIndex {
	keys := 0
	for i := range workspaces {
		keys += len(workspaces[i].Keys)
	}
	for {
		index := keyIndex{seed: maphash.MakeSeed(), byHash: make(map[uint64]*Workspace, keys)}
		if index.add(workspaces) {
			return index
		}
	}
}

// add adds all keys. It returns false if keys of two workspaces have the same hash; another seed is needed then.
func (x *keyIndex) add(workspaces []Workspace) bool {
	for i := range workspaces {
		w := &workspaces[i]
		for _, key := range w.Keys {
			h := maphash.String(x.seed, key)
			if other := x.byHash[h]; other != nil && other != w {
				return false
			}
			x.byHash[h] = w
		}
	}
	return true
}

// find returns the workspace of key, or nil. A wrong key is compared with others only if its hash is that of a key.
func (x *keyIndex) find(key string) *Workspace {
	w := x.byHash[maphash.String(x.seed, key)]
	if w == nil || !slices.Contains(w.Keys, key) {
		return nil
	}
	return w
}

// HasWorkspaces reports whether the configuration has workspaces, so that requests need a key. A configuration whose list of
// workspaces is empty has them too: no key is valid then.
func (t *Table) HasWorkspaces() bool { return t.workspaces != nil }

// Workspaces returns the workspaces in the order of the configuration; the caller must not change them.
func (t *Table) Workspaces() []Workspace { return t.workspaces }

// Workspace returns the workspace that key belongs to, or nil.
func (t *Table) Workspace(key string) *Workspace { return t.keys.find(key) }
