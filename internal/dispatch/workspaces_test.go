package dispatch

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"celerybank/internal/orders"
	"celerybank/internal/proxy"
	"celerybank/internal/routes"
	"celerybank/internal/verdict"
)

// newWorkspaceDispatcher returns a dispatcher with the closed route /get/, the public route /open/ and the given workspaces.
func newWorkspaceDispatcher(f *fakeOwners, workspaces []routes.Workspace) *Dispatcher {
	d := newDispatcher(f)
	target := []routes.Target{{Service: "stock", Weight: 1}}
	c := &routes.Config{Version: 2, Services: []routes.Service{{Name: "stock"}}, Workspaces: workspaces, Routes: []routes.Route{
		{Name: "get", Host: "h", Prefix: "/get/", Targets: target, Timeout: time.Second, LatencyTarget: time.Second, Attempts: 2, Priority: 2},
		{Name: "open", Host: "h", Prefix: "/open/", Targets: target, Timeout: time.Second, LatencyTarget: time.Second, Attempts: 2, Priority: 3, Public: true},
	}}
	view := &orders.View{Table: routes.NewTable(c), ZonesOut: map[string]bool{}}
	d.View = func() *orders.View { return view }
	return d
}

func newFakeOwner() *fakeOwners {
	return &fakeOwners{parents: map[string]bool{"parent": false}, responses: map[string]func(*proxy.Request) (*proxy.Response, error){"one": ok}}
}

// Which requests need a key, and what the owner and the upstream get of it.
func TestRequestsNeedTheKeyOfAWorkspace(t *testing.T) {
	urgent := -3
	workspaces := []routes.Workspace{{Name: "pulo780", Keys: []string{"k1", "k2"}, Priority: &urgent}, {Name: "kabo51", Keys: []string{"k3"}}}
	for _, c := range []struct {
		name, id, path string
		keys           []string
		unauthorized   bool
		workspace      string
		rank           int
	}{
		{"first key", "r1", "/get/1", []string{"k1"}, false, "pulo780", urgent},
		{"second key", "r1", "/get/1", []string{"k2"}, false, "pulo780", urgent},
		{"workspace without a priority", "r1", "/get/1", []string{"k3"}, false, "kabo51", 2},
		{"unknown key", "r1", "/get/1", []string{"k4"}, true, "", 0},
		{"empty key", "r1", "/get/1", []string{""}, true, "", 0},
		{"no key", "r1", "/get/1", nil, true, "", 0},
		{"key repeated", "r1", "/get/1", []string{"k1", "k1"}, true, "", 0},
		{"two keys", "r1", "/get/1", []string{"k4", "k1"}, true, "", 0},
		{"no key, no route", "r1", "/none/1", nil, true, "", 0},
		{"public route", "r1", "/open/1", nil, false, "", 3},
		{"public route with a key", "r1", "/open/1", []string{"k1"}, false, "", 3},
		{"public route with an unknown key", "r1", "/open/1", []string{"k4"}, false, "", 3},
		{"child of a running request", "parent.1", "/get/1", nil, false, "", childRank},
		{"child with a key", "parent.1", "/get/1", []string{"k1"}, false, "", childRank},
		{"child of a request that was given up", "abandoned.1", "/get/1", nil, false, "", 2},
		{"child of no running request", "other.1", "/get/1", nil, true, "", 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newFakeOwner()
			from := Caller{KeyCount: len(c.keys)}
			for i, k := range c.keys {
				from.Key = k
				from.Withheld = append(from.Withheld, WithheldField{Index: i, Field: proxy.Field{Name: "X", Value: k}})
			}
			res := newWorkspaceDispatcher(f, workspaces).Dispatch(t.Context(), request(c.id), c.path, from)
			if c.unauthorized {
				if res.Reason != proxy.ReasonUnauthorized || res.Verdict != verdict.NotRun || res.RetryAfter != 0 || len(f.called) != 0 {
					t.Errorf("%s: got %+v after calls of %v, want unauthorized without a call or a Retry-After", c.name, res, f.called)
				}
				return
			}
			if res.Status != 200 || f.last.Workspace != c.workspace || f.last.Rank != c.rank || len(f.last.Header) != 0 {
				t.Errorf("%s: got status %d, workspace %q, rank %d, header %v; want 200, %q, %d and no header", c.name, res.Status, f.last.Workspace, f.last.Rank, f.last.Header, c.workspace, c.rank)
			}
		})
	}
}

// Deployments without workspaces forward the withheld fields in their places, and their requests need no key.
func TestWithoutWorkspacesHeadersPassThrough(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, req := newFakeOwner(), request("r1")
		field := func(name string) proxy.Field { return proxy.Field{Name: name, Value: "v"} }
		req.Header = []proxy.Field{field("b"), field("d")}
		from := Caller{Key: "v", KeyCount: 2, Withheld: []WithheldField{{0, field("a")}, {2, field("c")}, {4, field("e")}, {5, field("f")}}}
		res := newWorkspaceDispatcher(f, nil).Dispatch(t.Context(), req, "/get/1", from)
		want := []proxy.Field{field("a"), field("b"), field("c"), field("d"), field("e"), field("f")}
		if res.Status != 200 || !slices.Equal(f.last.Header, want) || f.last.Workspace != "" {
			t.Errorf("got status %d, header %v, workspace %q; want 200, %v and none", res.Status, f.last.Header, f.last.Workspace, want)
		}
	})
}

// A node without a configuration must not tell callers that their keys are invalid.
func TestNoConfigurationIsNotUnauthorized(t *testing.T) {
	f := newFakeOwner()
	d := newWorkspaceDispatcher(f, []routes.Workspace{})
	d.View = func() *orders.View { return &orders.View{} }
	if res := d.Dispatch(t.Context(), request("r1"), "/get/1", Caller{}); res.Reason != proxy.ReasonNotReady || res.RetryAfter == 0 {
		t.Errorf("got %+v, want not ready", res)
	}
}

// A node that may have missed the removal of a key refuses requests that need one, whatever the key, and no others.
func TestUnconfirmedKeysAreNotTrusted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeOwner()
		d := newWorkspaceDispatcher(f, []routes.Workspace{{Name: "pulo780", Keys: []string{"k1"}}})
		d.KeysConfirmed = func() bool { return false }
		for _, key := range []string{"k1", "k2"} {
			if res := d.Dispatch(t.Context(), request("r1"), "/get/1", Caller{Key: key, KeyCount: 1}); res.Reason != proxy.ReasonUnconfirmed || res.Verdict != verdict.NotRun || res.RetryAfter == 0 {
				t.Errorf("key %s: got %+v, want a refusal with a Retry-After", key, res)
			}
		}
		for id, path := range map[string]string{"r2": "/open/1", "parent.1": "/get/1"} {
			if res := d.Dispatch(t.Context(), request(id), path, Caller{}); res.Status != 200 {
				t.Errorf("request %s to %s: got %+v, want that it is served", id, path, res)
			}
		}
	})
}
