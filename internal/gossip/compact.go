package gossip

// knowledge is what a member is known to know of this node.
type knowledge struct {
	// incarnation is that of this node's entry which the member had as alive when it last replied.
	incarnation uint64
	// by is the incarnation of the member that replied, and reads whether its build reads a KnownEntry.
	by    uint64
	reads bool
}

// introduce sets the sender of a ping to addr: only a KnownEntry if that is enough. m.mu is held.
func (m *Members) introduce(args *Ping, addr string) {
	e := m.all[addr]
	if e != nil && e.knows.reads && e.knows.by == e.Incarnation && e.knows.incarnation == m.self.Incarnation && m.self.Status == Alive {
		args.Known = &KnownEntry{Addr: m.self.Addr, Incarnation: m.self.Incarnation}
		return
	}
	args.Self = toWire(m.self)
}

// expandPing applies the sender's entry in a ping and returns its address and zone. m.mu is held.
func (m *Members) expandPing(args *Ping) (addr, zone string) {
	if args.Known != nil {
		return args.Known.Addr, m.observeKnown(args.Known.Addr, args.Known.Incarnation)
	}
	if args.Self.valid() {
		m.observe(fromWire(&args.Self))
	}
	return args.Self.Addr, args.Self.Zone
}

// introduceReply sets the sender of an ack. m.mu is held.
func (m *Members) introduceReply(args *Ping, reply *Ack) {
	if args.Compact && args.Belief == (Belief{Incarnation: m.self.Incarnation, Status: Alive}) && m.self.Status == Alive {
		reply.Same = true
		return
	}
	reply.Self = toWire(m.self)
}

// expandAck sets the entry of the sender of an ack from addr, and records what the sender knows of this node.
func (m *Members) expandAck(args *Ping, addr string, ack *Ack) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.all[addr]
	if ack.Same && e != nil && e.Incarnation >= args.Belief.Incarnation {
		x := e.Member
		x.Incarnation, x.Status = args.Belief.Incarnation, Alive
		ack.Self = toWire(x)
	}
	if e == nil {
		return
	}
	e.knows = knowledge{by: ack.Self.Incarnation, reads: ack.Compact}
	if ack.Belief.Status == Alive {
		e.knows.incarnation = ack.Belief.Incarnation
	}
}

// observeKnown applies that the member at addr is alive with an incarnation, and returns its zone, if it is known.
// m.mu is held.
func (m *Members) observeKnown(addr string, incarnation uint64) (zone string) {
	e := m.all[addr]
	if e == nil {
		return ""
	}
	if e.Incarnation == incarnation {
		x := e.Member
		x.Status = Alive
		m.observe(x)
	}
	return e.Zone
}
