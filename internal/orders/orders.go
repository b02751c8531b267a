// Package orders brings what the operator ordered to every node: the configuration,
// rollouts and zones that are taken out. The newest record of each key holds; the
// offset in the operator's topic orders all records. A few nodes of each zone read the
// topic, news is pushed from node to node, and an exchange of positions repairs losses.
package orders

import (
	"context"
	"time"

	"celerybank/internal/routes"
)

// Record is the newest record of one key. One without a value takes the key away.
type Record struct {
	Key    string `msgpack:"k"`
	Value  []byte `msgpack:"v,omitempty"`
	Offset int64  `msgpack:"o"`
	// Packed says that Value is compressed (RFC 1951).
	Packed bool `msgpack:"p,omitempty"`
}

// Source is the operator's topic in the platform's store.
type Source interface {
	// Newest returns the newest record of each key and the position from which Read goes on.
	Newest(ctx context.Context) ([]Record, int64, error)
	// Read returns the records from a position on and the position after them, waiting up to
	// wait for the first. gone means that some of them are no longer kept.
	Read(ctx context.Context, from int64, wait time.Duration) (records []Record, next int64, gone bool, err error)
}

// Order is what one record says; at most one field is set, none for a key that means nothing here.
type Order struct {
	Config  *routes.Config
	Rollout *Rollout
	// ZoneOut names an availability zone whose upstreams get nothing.
	ZoneOut string
}

// Decoder reads records.
type Decoder interface {
	Decode(Record) (Order, error)
}

// Rollout asks that a service's traffic moves to one version within a time.
type Rollout struct {
	Service, Version string
	Duration         time.Duration
	// Accepted is the offset of the order, which tells two rollouts of one version apart.
	Accepted int64
}

// Outcome is how far a rollout is.
type Outcome uint8

const (
	// Unknown means that nothing is recorded.
	Unknown Outcome = iota
	Running
	Completed
	RolledBack
)

var outcomeNames = [...]string{"unknown", "running", "completed", "rolled-back"}

func (o Outcome) String() string { return outcomeNames[o] }

// Final reports whether the rollout has ended.
func (o Outcome) Final() bool { return o == Completed || o == RolledBack }
