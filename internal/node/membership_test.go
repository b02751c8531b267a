package node_test

import (
	"testing"
	"testing/synctest"
	"time"

	"celerybank/internal/gossip"
	"celerybank/internal/inventory"
	standin "celerybank/internal/standin/upstream"
	"celerybank/internal/testmesh"
	"celerybank/internal/verdict"
)

const (
	testZones        = 3
	testHostsPerZone = 4
)

// runMesh calls f with a mesh that has an upstream on every host and whose nodes all see each other.
func runMesh(t *testing.T, f func(m *testmesh.Mesh)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		m := testmesh.New(t)
		defer m.Stop()
		for z := 1; z <= testZones; z++ {
			for h := 1; h <= testHostsPerZone; h++ {
				m.Start(z, h).StartUpstream(standin.Config{Service: "orders", Version: "v1", Slots: 10, Work: time.Millisecond})
			}
		}
		m.WaitForVersion(10*time.Second, m.Publish(testmesh.OrdersInventory(testZones), inventory.Rules{}))
		m.Eventually(10*time.Second, "every node sees all members", func() bool { return membershipComplete(m, nil) })
		f(m)
	})
}

// membershipComplete reports whether every node except the dead sees exactly the nodes that are not dead.
func membershipComplete(m *testmesh.Mesh, dead map[string]bool) bool {
	for ip, h := range m.Hosts {
		if !dead[ip] && len(h.Node.Members().Alive()) != len(m.Hosts)-len(dead) {
			return false
		}
	}
	return true
}

// seenBy returns the member at ip in the membership list of h, and whether it is alive there.
func seenBy(h *testmesh.Host, ip string) (gossip.Member, bool) {
	for _, x := range h.Node.Members().Alive() {
		if x.Addr == ip+":7000" {
			return x, true
		}
	}
	return gossip.Member{}, false
}

func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	runMesh(t, func(m *testmesh.Mesh) {
		leaving := m.Hosts[testmesh.IP(2, 3)]
		leaving.Node.StartUpstreamDrain(leaving.IP + "/1")
		m.Eventually(time.Second, "no node lists the upstream", func() bool {
			for _, h := range m.Hosts {
				if x, ok := seenBy(h, leaving.IP); !ok || x.Upstream.Service != "" {
					return false
				}
			}
			return true
		})
		before := leaving.Report().Total
		for range 20 {
			for ip, h := range m.Hosts {
				if res := h.Get("orders", "/orders/1", time.Second); res.Verdict != verdict.Ran || res.Status != 200 {
					t.Errorf("%s: got verdict %v, status %d, reason %s; want %v and 200", ip, res.Verdict, res.Status, res.Reason, verdict.Ran)
				}
			}
		}
		if n := leaving.Report().Total - before; n > 0 {
			t.Errorf("%d requests reached the upstream after it left, want 0", n)
		}
	})
}

// The membership must recover, over the mesh's connections, from a killed node, from a zone that is partitioned for
// two minutes and from the replacement of all seeds.
func TestMembershipFollowsFaults(t *testing.T) {
	runMesh(t, func(m *testmesh.Mesh) {
		victim := testmesh.IP(3, 2)
		m.Hosts[victim].Kill()
		dead := map[string]bool{victim: true}
		m.Eventually(20*time.Second, "the killed node is dead on all others, and no other node is", func() bool { return membershipComplete(m, dead) })
		m.Start(3, 2)
		m.Eventually(10*time.Second, "every node sees the restarted node", func() bool { return membershipComplete(m, nil) })

		m.Net.Partition(testmesh.PartitionZone(2))
		time.Sleep(2 * time.Minute)
		if n := len(m.Hosts[testmesh.IP(2, 1)].Node.Members().Alive()); n != testHostsPerZone {
			t.Errorf("a node of the partitioned zone sees %d members, want %d", n, testHostsPerZone)
		}
		m.Net.Partition(nil)
		m.Eventually(10*time.Second, "every node sees the zone again", func() bool { return membershipComplete(m, nil) })

		for _, seed := range []string{testmesh.IP(1, 1), testmesh.IP(2, 1)} {
			m.Hosts[seed].Kill()
			delete(m.Hosts, seed)
		}
		m.Start(1, 9)
		m.Start(2, 9)
		m.Eventually(40*time.Second, "the new seeds have joined by hello", func() bool { return membershipComplete(m, nil) })
	})
}

// A node whose process is suspended becomes dead for the others and must rejoin by itself once it is resumed.
func TestSuspendedNodeRejoins(t *testing.T) {
	runMesh(t, func(m *testmesh.Mesh) {
		suspended := testmesh.IP(1, 3)
		m.Net.Freeze(suspended, true)
		m.Eventually(20*time.Second, "the suspended node is dead on all others", func() bool {
			for ip, h := range m.Hosts {
				if _, ok := seenBy(h, suspended); ok && ip != suspended {
					return false
				}
			}
			return true
		})
		time.Sleep(30 * time.Second)
		m.Net.Freeze(suspended, false)
		m.Eventually(10*time.Second, "every node sees all members again", func() bool { return membershipComplete(m, nil) })
	})
}
