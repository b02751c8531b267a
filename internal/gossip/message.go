package gossip

// Belief is the status and incarnation that the sender of a message has stored for its
// receiver. The receiver refutes a wrong belief by raising its incarnation.
type Belief struct {
	Incarnation uint64
	Status      Status
}

// Ping probes a member.
type Ping struct {
	Self    memberWire `msgpack:"s"`
	Belief  Belief     `msgpack:"y"`
	Updates []byte     `msgpack:"n,omitempty"`
	// Known takes the place of Self if the receiver is known to have the sender's entry, and to be of a build that
	// reads it: an entry is most of a ping's bytes.
	Known *KnownEntry `msgpack:"k,omitempty"`
	// Compact says that the sender reads KnownEntry and Ack.Same.
	Compact bool `msgpack:"c,omitempty"`
}

// KnownEntry names the entry of an alive member that the receiver has.
type KnownEntry struct {
	Addr        string
	Incarnation uint64
}

// Ack is the reply to a Ping.
type Ack struct {
	Self   memberWire `msgpack:"s"`
	Belief Belief     `msgpack:"y"`
	// Root is the sender's digest over all live members and facts.
	Root uint64 `msgpack:"r,omitempty"`
	// ZoneAlive is the sender's digest over the addresses of the live members of its zone.
	ZoneAlive uint64 `msgpack:"z,omitempty"`
	Updates   []byte `msgpack:"n,omitempty"`
	// Same takes the place of Self: the sender's entry is the one that Ping.Belief names, and alive.
	Same bool `msgpack:"e,omitempty"`
	// Compact is as in Ping.
	Compact bool `msgpack:"c,omitempty"`
}

// IndirectPing asks a member to probe Target for the sender.
type IndirectPing struct {
	Target string `msgpack:"t,omitempty"`
	// Belief is what the sender believes about Target.
	Belief Belief `msgpack:"y"`
	// TimeoutMillis bounds the probe.
	TimeoutMillis int64 `msgpack:"u,omitempty"`
}

// IndirectAck is the reply to an IndirectPing. Reached says whether the target replied;
// Self is then the target's own entry.
type IndirectAck struct {
	Reached bool       `msgpack:"r,omitempty"`
	Self    memberWire `msgpack:"s"`
}

// Push sends updates to another member.
type Push struct {
	Updates []byte `msgpack:"n,omitempty"`
}

// Empty is a reply without content.
type Empty struct{}

// Pull requests the content of the buckets whose digest differs, from bucket Start on.
type Pull struct {
	Self memberWire `msgpack:"s"`
	// Root is the sender's digest over all live members and facts.
	Root uint64 `msgpack:"r,omitempty"`
	// Digest has hashSize bytes for each bucket. Empty means that the sender knows no other
	// member, so that all buckets differ.
	Digest []byte `msgpack:"d,omitempty"`
	Start  int    `msgpack:"t,omitempty"`
}

// PullReply is one page of the differing buckets.
type PullReply struct {
	Self memberWire `msgpack:"s"`
	// Next is the bucket at which the next page starts, 0 after the last page.
	Next int `msgpack:"n,omitempty"`
	// Partial says that the sender's own list is not complete yet.
	Partial bool `msgpack:"q,omitempty"`
	// FactsMillis is for how long the sender has had all facts that were published, in milliseconds; 0 if unknown.
	FactsMillis int64 `msgpack:"f,omitempty"`
	// Busy says that the sender's repair budget is used up; Peers are other members to pull
	// from.
	Busy    bool     `msgpack:"b,omitempty"`
	Peers   []string `msgpack:"p,omitempty"`
	Updates []byte   `msgpack:"o,omitempty"`
}

// AliveQuery asks a member which of the members of its zone that the sender lists as dead
// are alive.
type AliveQuery struct {
	// Dead has hashSize bytes of the hash of each address, as has AliveReply.Alive.
	Dead []byte `msgpack:"d,omitempty"`
}

// AliveReply lists those of AliveQuery.Dead that are alive.
type AliveReply struct {
	Alive []byte `msgpack:"a,omitempty"`
}
