package sidecar

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"celerybank/internal/events"
	"celerybank/internal/gossip"
	"celerybank/internal/registry"
)

// handoverKind is the kind of the fact by which a node that stops as planned tells its successor on
// the host of the upstream, which would otherwise be out of reach until it announces itself again.
// A process that is killed hands nothing over: it may have acknowledged a leave that nobody knows of.
const handoverKind = "handover"

// handoverLifetime bounds the age of what a successor believes; a process is started again within a second or two.
const handoverLifetime = 8 * time.Second

// handedUpstream is the body of the fact.
type handedUpstream struct {
	Instance string `msgpack:"i"`
	Service  string `msgpack:"s"`
	Address  string `msgpack:"a"`
	Zone     string `msgpack:"z"`
	Version  string `msgpack:"v"`
	Slots    int    `msgpack:"n"`
	Sequence int64  `msgpack:"q"`
	// Born is in unix milliseconds.
	Born int64 `msgpack:"b"`
}

func (h *handedUpstream) announcement() registry.Announcement {
	return registry.Announcement{Instance: h.Instance, Service: h.Service, Address: h.Address, Zone: h.Zone, Version: h.Version,
		Slots: h.Slots, Sequence: h.Sequence, Born: h.Born, State: registry.Ready}
}

// handoverFact returns the fact for the successor of the node at addr; an empty body withdraws an earlier one.
func handoverFact(addr string, body []byte) gossip.Fact {
	now := time.Now()
	return gossip.Fact{Kind: handoverKind, Key: addr, Seq: now.UnixMilli(), Body: body, Expires: now.Add(handoverLifetime)}
}

// handOver ends the duty for the upstream; it returns the news for the successor, if there is any.
func (n *Node) handOver() []gossip.Fact {
	u, ok := n.registry.HandOver()
	if !ok {
		return nil
	}
	body, err := msgpack.Marshal(&handedUpstream{Instance: u.Instance, Service: u.Service, Address: u.Address, Zone: u.Zone,
		Version: u.Version, Slots: u.Slots, Sequence: u.Sequence, Born: u.Born})
	if err != nil {
		n.events.Emit(events.TaskFailed, events.Fields{"reason": err.Error()})
		return nil
	}
	n.events.Emit(events.UpstreamHandedOver, events.Fields{"instance": u.Instance, "sequence": u.Sequence, "age_ms": time.Since(u.LastAnnounced).Milliseconds()})
	return []gossip.Fact{handoverFact(n.settings.Peers, body)}
}

// heir waits for what a predecessor hands over.
type heir struct{ facts chan gossip.Fact }

func newHeir() heir { return heir{make(chan gossip.Fact, 1)} }

// learn takes in a fact; it never blocks, and only the first handover counts.
func (h heir) learn(addr string, f gossip.Fact) {
	if f.Kind != handoverKind || f.Key != addr || len(f.Body) == 0 {
		return
	}
	select {
	case h.facts <- f:
	default:
	}
}

// inherit takes over the upstream from a predecessor once the operator's orders are known. The
// handover is withdrawn first: what this process learns of the upstream later outranks it.
func (n *Node) inherit(ctx context.Context) error {
	var f gossip.Fact
	select {
	case f = <-n.heir.facts:
	case <-ctx.Done():
		return nil
	}
	withdrawn := handoverFact(n.settings.Peers, nil)
	withdrawn.Seq = max(withdrawn.Seq, f.Seq+1)
	n.members.SetFact(withdrawn)
	select {
	case <-n.follower.Ready():
	case <-ctx.Done():
		return nil
	}
	var h handedUpstream
	if err := msgpack.Unmarshal(f.Body, &h); err != nil {
		n.events.Emit(events.TaskFailed, events.Fields{"reason": err.Error()})
		return nil
	}
	adopted := time.Now().Before(f.Expires) && n.registry.Adopt(h.announcement())
	n.events.Emit(events.UpstreamInherited, events.Fields{"instance": h.Instance, "sequence": h.Sequence, "adopted": adopted})
	return nil
}
