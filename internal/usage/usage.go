// Package usage counts the requests that upstreams begin to run, by workspace, and reports the counts of each window of time to
// the platform's API. Every owner counts; collectors pull the counts of a group of hosts; one node, the holder of the duty, sums
// them up and reports. A record in the store, written before each report, names the holder and what it may have sent.
package usage

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"celerybank/internal/events"
	"celerybank/internal/gossip"
	"celerybank/internal/orders"
)

// Report has the number of requests of each workspace that upstreams began to run in a window. Window k begins k times the
// length of a window after the start of 1970.
type Report struct {
	Window int64            `msgpack:"w"`
	Counts map[string]int64 `msgpack:"c"`
}

// RecordStore keeps one record.
type RecordStore interface {
	// Read returns the record, empty if there is none, and the position that Write expects.
	Read(ctx context.Context) (record []byte, end orders.Position, err error)
	// Write replaces the record and returns the new position. It fails with ErrConflict if anything was written after position at, or
	// in a later era. After another error the record may have been written.
	Write(ctx context.Context, record []byte, at orders.Position) (end orders.Position, err error)
}

// ErrConflict means that the record is not the one that the writer knows.
var ErrConflict = errors.New("the record has changed")

// ErrAnswered wraps the error of a call that the API answered, but did not accept.
var ErrAnswered = errors.New("the API did not accept the report")

// API takes the reports.
type API interface {
	// Report sends a report under a generation. After an error the API may have accepted it. ctx.Err tells whether the lease still
	// holds; it must be checked right before the report is written.
	Report(ctx context.Context, generation uint64, r Report) error
}

// Members are the nodes of the mesh.
type Members interface {
	// Alive returns the live members, this node included. The slice must not be changed.
	Alive() []gossip.Member
	SetFact(f gossip.Fact)
}

// Peers calls other nodes.
type Peers interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// Clock is the time of a process. The wall clock is read once, as it may jump later.
type Clock struct {
	// Boot returns the time since the start of the process, suspended time included.
	Boot func() time.Duration
	// Wall is the wall clock at the start of the process.
	Wall time.Time
}

// Config has the dependencies and settings of a node's part in the usage report.
type Config struct {
	// Addr is the peer address of this node.
	Addr    string
	Members Members
	Peers   Peers
	Store   RecordStore
	API     API
	Clock   Clock
	Events  *events.Recorder
	// Window is the length of a window, Delay the time after its end at which its report is due.
	Window, Delay time.Duration
	// Lease is the time within which no two holders may act in turn.
	Lease time.Duration
	// CallInterval is the shortest interval between two calls to the API.
	CallInterval time.Duration
	// MaxRecordBytes is the largest record that the store accepts; 0 means no limit.
	MaxRecordBytes int
}

// margin is the part of the lease that is kept free at both ends, for clocks that run at slightly different rates.
func (c *Config) margin() time.Duration { return max(c.Lease/10, 50*time.Millisecond) }

// rankOf returns the number of nodes that rank before one; a node that accept refuses, or that is draining, ranks last.
func rankOf(salt, addr string, members []gossip.Member, accept func(*gossip.Member) bool) int {
	own := xxhash.Sum64String(salt + addr)
	before, listed, all := 0, false, 0
	for i := range members {
		m := &members[i]
		switch {
		case m.Draining || !accept(m):
			continue
		case m.Addr == addr:
			listed = true
		case xxhash.Sum64String(salt+m.Addr) > own:
			before++
		}
		all++
	}
	if !listed {
		return all
	}
	return before
}

// ranked returns the addresses of those members that accept allows and that are not draining, the highest rank first, by rendezvous
// hash. All nodes must use the same salt.
func ranked(salt string, members []gossip.Member, accept func(*gossip.Member) bool) []string {
	type node struct {
		rank uint64
		addr string
	}
	var nodes []node
	for i := range members {
		if m := &members[i]; !m.Draining && accept(m) {
			nodes = append(nodes, node{xxhash.Sum64String(salt + m.Addr), m.Addr})
		}
	}
	slices.SortFunc(nodes, func(a, b node) int {
		switch {
		case a.rank > b.rank:
			return -1
		case a.rank < b.rank:
			return 1
		}
		return 0
	})
	out := make([]string, len(nodes))
	for i, n := range nodes {
		out[i] = n.addr
	}
	return out
}
