package sidecar

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"celerybank/internal/events"
	"celerybank/internal/gossip"
	"celerybank/internal/registry"
)

// handoverKind is the kind of the gossip fact with which a node that stops gracefully hands its upstream
// over to its successor on the host. Without it the upstream is unreachable until its next announcement.
// A killed process hands nothing over; which upstreams have left is known from the departures either way.
const handoverKind = "handover"

// handoverLifetime is the age after which a successor ignores a handover; a process restarts within one or two seconds.
const handoverLifetime = 8 * time.Second

// handoverBody is the body of a handover fact.
type handoverBody struct {
	Instance string `msgpack:"i"`
	Service  string `msgpack:"s"`
	Address  string `msgpack:"a"`
	Zone     string `msgpack:"z"`
	Version  string `msgpack:"v"`
	Slots    int    `msgpack:"n"`
	Sequence int64  `msgpack:"q"`
	// Born is when the upstream started, in Unix milliseconds.
	Born int64 `msgpack:"b"`
}

func (h *handoverBody) announcement() registry.Announcement {
	return registry.Announcement{Instance: h.Instance, Service: h.Service, Address: h.Address, Zone: h.Zone, Version: h.Version,
		Slots: h.Slots, Sequence: h.Sequence, Born: h.Born, State: registry.Ready}
}

// handoverFact returns the fact for the successor of the node at addr; an empty body withdraws an earlier handover.
func handoverFact(addr string, body []byte) gossip.Fact {
	now := time.Now()
	return gossip.Fact{Kind: handoverKind, Key: addr, Seq: now.UnixMilli(), Body: body, Expires: now.Add(handoverLifetime)}
}

// handOver stops managing the upstream and returns the fact for the successor, or nil if there is nothing to hand over.
func (n *Node) handOver() []gossip.Fact {
	u, ok := n.registry.HandOver()
	if !ok {
		return nil
	}
	body, err := msgpack.Marshal(&handoverBody{Instance: u.Instance, Service: u.Service, Address: u.Address, Zone: u.Zone,
		Version: u.Version, Slots: u.Slots, Sequence: u.Sequence, Born: u.Born})
	if err != nil {
		n.events.Emit(events.TaskFailed, events.Fields{"reason": err.Error()})
		return nil
	}
	n.events.Emit(events.UpstreamHandedOver, events.Fields{"instance": u.Instance, "sequence": u.Sequence, "age_ms": time.Since(u.LastAnnounced).Milliseconds()})
	return []gossip.Fact{handoverFact(n.settings.Peers, body)}
}

// handoverInbox holds the handover of a predecessor until this node processes it.
type handoverInbox struct{ facts chan gossip.Fact }

func newHandoverInbox() handoverInbox { return handoverInbox{make(chan gossip.Fact, 1)} }

// observe stores f if it is a handover for the node at addr. It never blocks and keeps only the first handover.
func (h handoverInbox) observe(addr string, f gossip.Fact) {
	if f.Kind != handoverKind || f.Key != addr || len(f.Body) == 0 {
		return
	}
	select {
	case h.facts <- f:
	default:
	}
}

// acceptHandover adopts the upstream of a predecessor once the operator's orders are known. It withdraws
// the handover first, since everything this process finds out about the upstream later supersedes it.
func (n *Node) acceptHandover(ctx context.Context) error {
	var f gossip.Fact
	select {
	case f = <-n.handoverInbox.facts:
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
	var h handoverBody
	if err := msgpack.Unmarshal(f.Body, &h); err != nil {
		n.events.Emit(events.TaskFailed, events.Fields{"reason": err.Error()})
		return nil
	}
	adopted := time.Now().Before(f.Expires) && n.registry.Adopt(h.announcement())
	n.events.Emit(events.UpstreamInherited, events.Fields{"instance": h.Instance, "sequence": h.Sequence, "adopted": adopted})
	return nil
}
