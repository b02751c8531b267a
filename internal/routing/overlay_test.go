package routing

import (
	"testing"

	"celerybank/internal/gossip"
	"celerybank/internal/inventory"
	"celerybank/internal/mesh"
)

type noMembers struct{}

func (noMembers) Alive() []gossip.Member { return nil }

// routerWithRollout returns a router with two upstreams each of v1, of v2, which rollout delivers,
// and of v3, which no rollout delivers.
func routerWithRollout(rollout mesh.Rollout, stable, rollingOut string) *Router {
	r := NewRouter("self:1", "z1", "r", noMembers{})
	for i, version := range []string{"v1", "v2", "v3", "v1", "v2", "v3"} {
		addr := string(rune('a'+i)) + ":1"
		r.Update(gossip.Member{Addr: addr, Zone: "z1", Region: "r",
			Upstream: gossip.Upstream{Service: "s", Version: version, Instance: addr, Slots: 10}})
	}
	st := mesh.Empty()
	st.Inventory.Services = []inventory.Service{{Name: "s"}}
	st.Services["s"] = mesh.ServiceState{Stable: stable, RollingOut: rollingOut}
	st.Rollouts["s/v2"] = rollout
	r.SetState(st)
	return r
}

// picked returns how often each version is picked in 2000 picks.
func picked(r *Router, svc *Service) map[string]int {
	got := map[string]int{}
	for range 2000 {
		e := r.Pick(svc, nil)
		if e == nil {
			got["none"]++
			continue
		}
		got[e.Version]++
	}
	return got
}

// A vetoed version must never be picked, whether its rollout is running or completed. That includes
// requests that started before the veto and services without any other upstream. A version
// without a rollout must not be picked either.
func TestVetoedVersionIsNeverPicked(t *testing.T) {
	vetoes := map[Veto]bool{{Service: "s", Version: "v2", Accepted: 5}: true}
	running := mesh.Rollout{Service: "s", From: "v1", To: "v2", Status: mesh.RolloutRunning, Share: 500, Accepted: 5}
	done := running
	done.Status, done.Share = mesh.RolloutCompleted, mesh.FullShare
	for _, r := range []*Router{routerWithRollout(running, "v1", "s/v2"), routerWithRollout(done, "v2", "")} {
		before := r.Table().Service("s")
		if got := picked(r, before); got["v2"] < 800 || got["v3"] > 0 {
			t.Errorf("before the veto: got %v, want at least 800 of v2 and none of v3", got)
		}
		r.SetVetoes(vetoes)
		if got := picked(r, before); got["v1"] != 2000 {
			t.Errorf("after the veto: got %v, want 2000 of v1", got)
		}
		for _, addr := range []string{"a:1", "d:1"} {
			r.Update(gossip.Member{Addr: addr, Status: gossip.Dead})
		}
		if got := picked(r, before); got["none"] != 2000 {
			t.Errorf("without upstreams of the old version: got %v, want no pick", got)
		}
	}
}

// A veto must not apply to a later rollout of the same version.
func TestVetoAppliesToOneRollout(t *testing.T) {
	r := routerWithRollout(mesh.Rollout{Service: "s", From: "v1", To: "v2", Status: mesh.RolloutRunning, Share: 500, Accepted: 9}, "v1", "s/v2")
	r.SetVetoes(map[Veto]bool{{Service: "s", Version: "v2", Accepted: 5}: true})
	if got := picked(r, r.Table().Service("s")); got["v2"] < 800 {
		t.Errorf("got %v, want at least 800 of v2", got)
	}
}
