package gossip

import (
	"fmt"
	"testing"
)

// A node that has just started knows nobody at first: news about its upstream waits until partners are chosen again.
func TestNewNodePushesToItsFirstPeerAtOnce(t *testing.T) {
	m := New(Config{Self: Member{Addr: "10.0.1.1:7000", Zone: "a"}})
	if got := m.nextPartners(pushFanout, publishNear); len(got) != 0 {
		t.Fatalf("partners of a node that knows nobody: %v", got)
	}
	m.Merge([]Member{{Addr: "10.0.2.1:7000", Zone: "b", Incarnation: 1}}, nil)
	if got := m.nextPartners(pushFanout, publishNear); len(got) != 1 {
		t.Errorf("partners of a node that knows one other: %v", got)
	}
}

// Updates reach a member only through those that have it as a partner: with few of them it depends on repair, and with
// partners beyond the limits a node has connections to all.
func TestEachMemberIsPartnerOfSeveralOthers(t *testing.T) {
	const zones, perZone = 6, 50
	var all []Member
	for z := range zones {
		for h := range perZone {
			all = append(all, Member{Addr: fmt.Sprintf("10.0.%d.%d:7000", z, h), Zone: fmt.Sprint(z), Incarnation: 1})
		}
	}
	partnerOf := map[string]int{}
	for _, self := range all {
		m := New(Config{Self: self})
		m.Merge(all, nil)
		distinct := map[string]bool{}
		for range 100 {
			for _, addr := range m.nextPartners(pushFanout, publishNear) {
				distinct[addr] = true
			}
		}
		if len(distinct) != zonePartners+farPartners {
			t.Fatalf("%s pushes to %d members, want %d", self.Addr, len(distinct), zonePartners+farPartners)
		}
		for addr := range distinct {
			partnerOf[addr]++
		}
	}
	for _, x := range all {
		if partnerOf[x.Addr] < 8 {
			t.Errorf("%s is partner of %d members, want at least 8", x.Addr, partnerOf[x.Addr])
		}
	}
}

// A partner that has left keeps its share of the pushes of a node that has few others.
func TestDeadPartnerIsReplaced(t *testing.T) {
	m := New(Config{Self: Member{Addr: "10.0.1.1:7000", Zone: "a"}})
	peers := []Member{{Addr: "10.0.1.2:7000", Zone: "a", Incarnation: 1}, {Addr: "10.0.1.3:7000", Zone: "a", Incarnation: 1}}
	m.Merge(peers, nil)
	m.nextPartners(pushFanout, publishNear)
	m.Merge([]Member{{Addr: peers[0].Addr, Zone: "a", Incarnation: 2, Status: Left}}, nil)
	for range 4 {
		if got := m.nextPartners(pushFanout, publishNear); len(got) != 1 || got[0] != peers[1].Addr {
			t.Errorf("partners after one has left: %v, want %s", got, peers[1].Addr)
		}
	}
}
