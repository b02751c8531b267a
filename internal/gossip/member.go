// Package gossip maintains each node's list of members with their status and upstreams,
// and spreads small facts that must not wait for the log.
package gossip

import "time"

// Status is the state of a member as another node sees it. The names follow SWIM (Das,
// Gupta and Motivala 2002).
type Status uint8

const (
	Alive Status = iota
	Suspect
	Dead
	Left
)

var statusNames = [...]string{"alive", "suspect", "dead", "left"}

func (s Status) String() string { return statusNames[s] }

// Member is one node and the upstream on its host. Only the node itself changes its
// entry and raises Incarnation; other nodes only change Status, each in its own list.
type Member struct {
	// Addr is the node's peer address (IP:port); it identifies the member.
	Addr   string `json:"addr" msgpack:"a"`
	Name   string `json:"name" msgpack:"n"`
	Zone   string `json:"zone" msgpack:"z"`
	Region string `json:"region,omitempty" msgpack:"r,omitempty"`
	// Admin and Callers are the addresses of the node's admin and caller listeners, for
	// operators' tools.
	Admin   string `json:"admin" msgpack:"m"`
	Callers string `json:"callers" msgpack:"c"`
	// Incarnation orders the updates about a member. It starts at the process's start time
	// in Unix milliseconds, so that entries of a restarted node supersede older ones.
	Incarnation uint64 `json:"incarnation" msgpack:"i"`
	Status      Status `json:"status" msgpack:"s"`
	// Draining is set while the node takes no new requests.
	Draining bool `json:"draining,omitempty" msgpack:"d,omitempty"`
	// Version is the node's configuration version. It is set for this node only and not
	// gossiped; operators' tools query each node.
	Version int64 `json:"version" msgpack:"v"`
	// Upstream is what the host's upstream announced; an empty Service means that there is
	// none.
	Upstream Upstream `json:"upstream" msgpack:"u"`
}

// Upstream describes the upstream on a member's host.
type Upstream struct {
	Service  string `json:"service,omitempty" msgpack:"s,omitempty"`
	Version  string `json:"version,omitempty" msgpack:"v,omitempty"`
	Instance string `json:"instance,omitempty" msgpack:"i,omitempty"`
	Slots    int    `json:"slots,omitempty" msgpack:"n,omitempty"`
	// Since is when the upstream's process started or last announced a change, in Unix
	// milliseconds. When it changes, other nodes treat the upstream as a new one.
	Since int64 `json:"since,omitempty" msgpack:"t,omitempty"`
}

// Fact is a small entry that spreads by gossip, without the log, such as a veto. Of two
// facts with the same kind and key, the one with the higher Seq is kept.
type Fact struct {
	Kind    string    `json:"kind" msgpack:"k"`
	Key     string    `json:"key" msgpack:"y"`
	Seq     int64     `json:"seq" msgpack:"q"`
	Body    []byte    `json:"body,omitempty" msgpack:"b,omitempty"`
	Expires time.Time `json:"expires" msgpack:"x"`
}
