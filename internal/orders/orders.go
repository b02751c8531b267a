// Package orders distributes the operator's orders to every node: the configuration,
// rollouts and availability zones that are taken out. The newest record of each key is in
// force; all records are ordered by their offset in the operator's topic. One or two nodes of
// each zone read the topic and push new records to other nodes. Lost pushes are repaired by
// periodic exchanges (anti-entropy), in which two nodes compare their positions. After the store came back from an
// older copy, nodes keep the orders that it lost until they are written again (see restore.go).
package orders

import (
	"cmp"
	"context"
	"time"

	"celerybank/internal/routes"
)

// Position is a place in the operator's topic. A store that comes back from an older copy assigns the offsets of the
// records that it lost again, so that an offset means something only together with the era.
type Position struct {
	// Era counts the restorations of the store; 0 if it is not known.
	Era    int64
	Offset int64
}

// Compare returns -1, 0 or 1 if p is before, at or after q.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Offset, q.Offset))
}

// Record is one record of the operator's topic. A record without a value withdraws the order of its key.
type Record struct {
	Key   string `msgpack:"k"`
	Value []byte `msgpack:"v,omitempty"`
	// Era is the era of the store in which the record was read. Era and Offset are its place in the topic.
	Era    int64 `msgpack:"e,omitempty"`
	Offset int64 `msgpack:"o"`
	// Compressed is set if Value is compressed with DEFLATE (RFC 1951).
	Compressed bool `msgpack:"p,omitempty"`
}

// Source reads the operator's topic in the store.
type Source interface {
	// Newest returns the newest record of each key, as a full batch.
	Newest(ctx context.Context) (Batch, error)
	// Read returns the records from an offset on. It waits up to wait for the first record. truncated
	// means that the store doesn't have some of the records; the batch then tells the era only.
	Read(ctx context.Context, from int64, wait time.Duration) (batch Batch, truncated bool, err error)
}

// Order is the decoded content of one record. At most one field is set; none is set for a key that
// nodes do not use.
type Order struct {
	Config  *routes.Config
	Rollout *Rollout
	// ZoneOut is the name of an availability zone whose upstreams get no requests.
	ZoneOut string
}

// Decoder decodes uncompressed records. Of a record without a value, which withdraws an order, it decodes what the key says.
type Decoder interface {
	Decode(Record) (Order, error)
}

// Rollout is the order to shift the traffic of a service to one version within Duration.
type Rollout struct {
	Service, Version string
	Duration         time.Duration
	// Accepted is the offset of the order. It distinguishes two rollouts of the same version.
	Accepted int64
	// Era is the era of the store in which the order was read.
	Era int64
}

// Outcome is the progress of a rollout.
type Outcome uint8

const (
	// Unknown means that no outcome is recorded.
	Unknown Outcome = iota
	Running
	Completed
	RolledBack
)

var outcomeNames = [...]string{"unknown", "running", "completed", "rolled-back"}

func (o Outcome) String() string { return outcomeNames[o] }

// Final reports whether the rollout has ended.
func (o Outcome) Final() bool { return o == Completed || o == RolledBack }
