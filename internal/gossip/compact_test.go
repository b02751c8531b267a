package gossip

import "testing"

// TestShortEntriesOnlyForPeersThatReadThem guards against entries that a peer of an earlier build, or one that has
// restarted, would miss or store without their upstream.
func TestShortEntriesOnlyForPeersThatReadThem(t *testing.T) {
	m := New(Config{Self: Member{Addr: address(1, 1), Zone: "zone-1"}, Peers: discardClient{}})
	peer := benchMember(1)
	m.mergeMember(peer, false)
	s, self := NewService(m), Belief{Incarnation: m.self.Incarnation}

	var ack Ack
	if _ = s.Ping(&Ping{Self: toWire(peer), Belief: self}, &ack); ack.Same || ack.Self.Addr != m.self.Addr {
		t.Errorf("a peer of an earlier build got the ack %+v, want the whole entry", ack)
	}
	ack = Ack{}
	if _ = s.Ping(&Ping{Self: toWire(peer), Belief: Belief{Incarnation: self.Incarnation, Status: Suspect}, Compact: true}, &ack); ack.Same {
		t.Error("a peer that suspects this node got an ack without its entry")
	}
	self.Incarnation = m.self.Incarnation // raised by the refutation
	ack = Ack{}
	if _ = s.Ping(&Ping{Known: &KnownEntry{Addr: peer.Addr, Incarnation: peer.Incarnation}, Belief: self, Compact: true}, &ack); !ack.Same ||
		ack.Belief.Incarnation != peer.Incarnation || m.all[peer.Addr].Upstream.Service == "" {
		t.Errorf("ack %+v to a known peer, which is stored as %+v", ack, m.all[peer.Addr].Member)
	}
	ack = Ack{}
	if _ = s.Ping(&Ping{Known: &KnownEntry{Addr: address(2, 9), Incarnation: 5}, Compact: true}, &ack); ack.Belief.Incarnation != 0 || m.all[address(2, 9)] != nil {
		t.Error("a peer that is not known was stored without its entry, or not told so")
	}

	var args Ping
	if m.introduce(&args, peer.Addr); args.Known != nil {
		t.Error("a peer of which nothing is known got a short entry")
	}
	args = Ping{Belief: m.belief(peer.Addr)}
	m.expandAck(&args, peer.Addr, &Ack{Same: true, Compact: true, Belief: self})
	if m.introduce(&args, peer.Addr); args.Known == nil {
		t.Error("a peer that reads short entries and has this node's got the whole one")
	}
	peer.Incarnation++ // restarted, perhaps with an earlier build
	m.mergeMember(peer, false)
	args = Ping{}
	if m.introduce(&args, peer.Addr); args.Known != nil {
		t.Error("a peer that has restarted got a short entry")
	}
}
