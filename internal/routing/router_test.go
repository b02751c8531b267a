package routing

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"celerybank/internal/gossip"
	"celerybank/internal/inventory"
	"celerybank/internal/mesh"
)

type memberList []gossip.Member

func (l memberList) Alive() []gossip.Member { return l }

func member(i int, zone, service, version string) gossip.Member {
	return gossip.Member{Addr: fmt.Sprintf("10.%d.%d.%d:7000", i>>16, i>>8&255, i&255), Zone: zone, Region: "r",
		Upstream: gossip.Upstream{Service: service, Version: version, Instance: fmt.Sprint("i", i), Slots: 10}}
}

// state returns a state in which v1 is the stable version of each service and the zones in out are out.
func state(out []string, services ...string) *mesh.State {
	st := mesh.Empty()
	for _, name := range services {
		st.Inventory.Services = append(st.Inventory.Services, inventory.Service{Name: name})
		st.Services[name] = mesh.ServiceState{Stable: "v1"}
	}
	for _, z := range out {
		st.ZonesOut[z] = mesh.ZoneOrder{Zone: z, Out: true}
	}
	return st
}

func newTestRouter(self int, members memberList, st *mesh.State) *Router {
	r := NewRouter(member(self, "", "", "").Addr, "a", "r", members)
	r.SetState(st)
	r.Refresh()
	return r
}

// picks returns how often each endpoint of the service orders is picked in n picks.
func (r *Router) picks(n int) map[*Endpoint]int {
	seen := map[*Endpoint]int{}
	for range n {
		if e := r.Pick(r.Table().Service("orders"), nil); e != nil {
			seen[e]++
		}
	}
	return seen
}

func zonesOf(picks map[*Endpoint]int) map[string]int {
	zones := map[string]int{}
	for e, n := range picks {
		zones[e.Zone] += n
	}
	return zones
}

// fourPerZone returns four members of the service orders in each of the zones a, b and c.
func fourPerZone() memberList {
	var l memberList
	for i := range 12 {
		l = append(l, member(i, string("abc"[i%3]), "orders", "v1"))
	}
	return l
}

func TestOwnZoneIsPreferredUntilSaturated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRouter(99, fourPerZone(), state(nil, "orders"))
		if got := zonesOf(r.picks(1000)); got["a"] != 1000 {
			t.Fatalf("no load: got picks by zone %v, want 1000 in a", got)
		}
		for e := range r.picks(1000) {
			e.UpdateLoad(10, 10)
		}
		if got := zonesOf(r.picks(1000)); got["a"] != 0 {
			t.Errorf("own zone full: got picks by zone %v, want none in a", got)
		}
		time.Sleep(loadMaxAge)
		if got := zonesOf(r.picks(1000)); got["a"] != 1000 {
			t.Errorf("reported loads expired: got picks by zone %v, want 1000 in a", got)
		}
	})
}

func TestNoNewWorkWhereNoneIsTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members := fourPerZone()
		r := newTestRouter(99, members, state([]string{"a"}, "orders"))
		if got := zonesOf(r.picks(1000)); got["a"] != 0 || got["b"]+got["c"] != 1000 {
			t.Errorf("zone a out: got picks by zone %v, want 1000 in b and c", got)
		}
		r.SetState(state(nil, "orders"))
		members[0].Draining = true
		r.Update(members[0])
		for e := range r.picks(1000) {
			if e.Addr == members[0].Addr {
				t.Error("a draining member was picked")
			}
		}
		for e := range r.picks(1000) {
			e.SetDraining()
		}
		if got := zonesOf(r.picks(1000)); got["a"] != 0 {
			t.Errorf("own zone draining: got picks by zone %v, want none in a", got)
		}
	})
}

// Only versions and services in the table may be picked: a version without a rollout and a service
// that was removed get no requests.
func TestNothingIsPickedThatTheTableLacks(t *testing.T) {
	members := append(fourPerZone(), member(50, "a", "orders", "v2"), member(51, "a", "old", "v1"))
	r := newTestRouter(99, members, state(nil, "orders"))
	for e := range r.picks(2000) {
		if e.Version != "v1" || e.service != "orders" {
			t.Fatalf("picked service %s, version %s; want orders v1", e.service, e.Version)
		}
	}
	st := state(nil, "orders")
	st.Services["orders"] = mesh.ServiceState{Stable: "v1", RollingOut: "orders/v2"}
	st.Rollouts["orders/v2"] = mesh.Rollout{To: "v2", Share: 250}
	r.SetState(st)
	newVersionPicks := 0
	for e, n := range r.picks(10000) {
		if e.Version == "v2" {
			newVersionPicks += n
		}
	}
	if newVersionPicks < 2200 || newVersionPicks > 2800 {
		t.Errorf("%d of 10000 picks are of the version with a share of 250 thousandths, want 2200 to 2800", newVersionPicks)
	}
}

// In a large service each entry node uses a subset of the upstreams, the subsets together cover the
// service, and an entry node whose subset is full uses other upstreams.
func TestEntryNodeUsesSubsetOfLargeService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var members memberList
		for i := range 400 {
			members = append(members, member(i, "a", "orders", "v1"))
		}
		used := map[string]int{}
		for entry := range 200 {
			r := newTestRouter(1000+entry, members, state(nil, "orders"))
			picks := r.picks(500)
			if len(picks) > subsetSize {
				t.Fatalf("entry node %d uses %d upstreams, want at most %d", entry, len(picks), subsetSize)
			}
			for e := range picks {
				used[e.Addr]++
			}
			if entry > 0 {
				continue
			}
			for e := range picks {
				e.UpdateLoad(10, 10)
			}
			for e := range r.picks(100) {
				if _, ok := picks[e]; ok {
					t.Errorf("endpoint %s of the full subset was picked while others are idle", e.Addr)
				}
			}
		}
		if len(used) < 390 {
			t.Errorf("the subsets of 200 entry nodes cover %d of 400 upstreams, want at least 390", len(used))
		}
	})
}

func fleet(n, services int) memberList {
	members := make(memberList, n)
	for i := range members {
		members[i] = member(i, fmt.Sprint("z", i%9), fmt.Sprint("s", i%services), "v1")
	}
	return members
}

func BenchmarkUpdate(b *testing.B) {
	for _, n := range []int{1900, 19000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			members := fleet(n, 800)
			r := newTestRouter(99999, members, state(nil))
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				m := members[i%n]
				m.Upstream.Instance = fmt.Sprint("r", i)
				r.Update(m)
			}
		})
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{20, 200, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var members memberList
			for i := range n {
				members = append(members, member(i, string("abc"[i%3]), "orders", "v1"))
			}
			r := newTestRouter(99999, members, state([]string{"x"}, "orders"))
			svc := r.Table().Service("orders")
			b.ReportAllocs()
			for b.Loop() {
				r.Pick(svc, nil)
			}
		})
	}
}
