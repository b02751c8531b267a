package gossip

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// Service handles the RPCs of other members.
type Service struct{ members *Members }

// NewService returns the RPC service of m.
func NewService(m *Members) *Service { return &Service{m} }

// Ping applies the sender's entry and updates and replies with this node's.
func (s *Service) Ping(args *Ping, reply *Ack) error {
	m := s.members
	m.mergePayload(args.Updates, true)
	m.mu.Lock()
	defer m.mu.Unlock()
	addr, zone := m.expandPing(args)
	m.handleBelief(args.Belief, zone)
	reply.Belief, reply.Compact = m.belief(addr), true
	m.introduceReply(args, reply)
	reply.Root, reply.ZoneAlive = m.digest.root, m.zone(m.self.Zone).digest
	reply.Updates = m.piggyback()
	m.wakePush()
	return nil
}

// PingFor probes a member on behalf of the sender.
func (s *Service) PingFor(args *IndirectPing, reply *IndirectAck) error {
	m := s.members
	timeout := min(time.Duration(args.TimeoutMillis)*time.Millisecond, (1+maxHealth)*pingTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	m.mu.Lock()
	ping := &Ping{Self: toWire(m.self), Belief: args.Belief}
	m.mu.Unlock()
	var ack Ack
	if err := m.cfg.Peers.Call(ctx, args.Target, "Gossip.Ping", ping, &ack); err != nil {
		return nil // Reached stays false
	}
	reply.Reached, reply.Self = true, ack.Self
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observe(fromWire(&ack.Self))
	return nil
}

// PushMethod is the method of a push, which is sent as a notification. Nodes of earlier builds, and a node that leaves,
// perform it as an RPC.
const PushMethod = "Gossip.Push"

// Pushed applies the sender's updates; decode reads a Push.
func (s *Service) Pushed(decode func(any) error) error {
	var p Push
	err := decode(&p)
	if err == nil {
		s.members.mergePayload(p.Updates, true)
	}
	return err
}

// Push applies the sender's updates.
func (s *Service) Push(args *Push, _ *Empty) error {
	s.members.mergePayload(args.Updates, true)
	charge(s.members.push, replySize)
	return nil
}

// errOverBudget rejects a pull when the repair budget is overdrawn so far that not even a
// reply with the names of other members is sent.
var errOverBudget = errors.New("gossip: repair budget overdrawn by more than one burst; pull rejected")

// Pull replies with one page of the buckets in which the sender's digest differs, within
// the repair budget.
func (s *Service) Pull(args *Pull, reply *PullReply) error {
	m := s.members
	m.serving.Lock()
	defer m.serving.Unlock()
	if overdrawn(m.repair) {
		return errOverBudget
	}
	busy := !hasBudget(m.repair)
	if busy {
		reply.Peers = m.sample(referrals)
	}
	m.mu.Lock()
	if args.Self.valid() {
		m.observe(fromWire(&args.Self))
	}
	reply.Self, reply.Partial = toWire(m.self), !m.synced
	if !m.factsSince.IsZero() {
		reply.FactsMillis = time.Since(m.factsSince).Milliseconds()
	}
	reply.Busy = busy && args.Root != m.digest.root
	var u updates
	if !busy && args.Root != m.digest.root {
		u, reply.Next = m.page(args.Digest, args.Start)
	}
	m.mu.Unlock()
	m.wakePush()
	reply.Updates = u.encode()
	size := len(reply.Updates) + probeSize + len(reply.Peers)*addrSize
	consume(m.repair, size)
	m.metrics.repairSent.Add(size)
	return nil
}

// QueryAlive replies which of the given members are alive in this node's zone.
func (s *Service) QueryAlive(args *AliveQuery, reply *AliveReply) error {
	m := s.members
	queried := map[uint32]struct{}{}
	for _, h := range decodeHashes(args.Dead) {
		queried[h] = struct{}{}
	}
	var alive []uint32
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range m.order {
		if _, ok := queried[uint32(e.hash)]; ok && e.Status == Alive && e.Zone == m.self.Zone {
			alive = append(alive, uint32(e.hash))
		}
	}
	reply.Alive = encodeHashes(alive)
	return nil
}
