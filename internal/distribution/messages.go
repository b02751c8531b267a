package distribution

import (
	"github.com/go-faster/errors"
	"github.com/klauspost/compress/s2"
	"github.com/vmihailenco/msgpack/v5"

	"celerybank/internal/configlog"
	"celerybank/internal/mesh"
)

// Digest describes the version that a node has applied. Every update and pull carries one.
type Digest struct {
	// From is the sender's peer address.
	From    string `msgpack:"f"`
	Version int64  `msgpack:"v"`
	// Chain is the chain hash over the records up to Version.
	Chain uint64 `msgpack:"c"`
	// ReaderAge is the time, in milliseconds, since a log reader was last known to the
	// sender to be reading.
	ReaderAge int64 `msgpack:"r"`
}

// Batch contains consecutive records.
type Batch struct {
	// Before and After are the chain hashes before the first and after the last record.
	Before uint64 `msgpack:"b"`
	After  uint64 `msgpack:"a"`
	// Packed is the MessagePack encoding of the entries, compressed with S2.
	Packed []byte `msgpack:"p"`
}

// UpdateReply is the empty reply to an Update.
type UpdateReply struct{}

// Update notifies a peer of a version, in the method News; Batch has the records when
// they are small enough to be included.
type Update struct {
	Digest Digest `msgpack:"d"`
	Batch  *Batch `msgpack:"b,omitempty"`
}

// PullReply has the records after the version of the digest in the arguments, or a whole
// snapshot when these records are no longer retained. Busy means that the bandwidth
// budget is exhausted and that nothing was sent.
type PullReply struct {
	Digest   Digest `msgpack:"d"`
	Batch    *Batch `msgpack:"b,omitempty"`
	Snapshot []byte `msgpack:"s,omitempty"`
	Busy     bool   `msgpack:"y,omitempty"`
}

// HeadArgs are the empty arguments of the method Head.
type HeadArgs struct{}

// HeadReply has the version of the log's newest record. Down means that the log could not
// be read. NotReader means that the called node is no log reader; Readers are then the
// addresses of the nodes that it considers to be the log readers of its zone.
type HeadReply struct {
	Head      int64    `msgpack:"h"`
	Down      bool     `msgpack:"d,omitempty"`
	NotReader bool     `msgpack:"n,omitempty"`
	Readers   []string `msgpack:"r,omitempty"`
}

// ReportArgs notifies a witness of the version that the node at Addr has applied.
type ReportArgs struct {
	Addr    string `msgpack:"a"`
	Version int64  `msgpack:"v"`
}

// ReportReply is the empty reply to a report.
type ReportReply struct{}

// RecallArgs asks a witness for the highest version that the node at Addr has reported.
type RecallArgs struct {
	Addr string `msgpack:"a"`
}

// RecallReply has the recalled version. Known is false when the witness has no report,
// for example because it has restarted since.
type RecallReply struct {
	Known   bool  `msgpack:"k"`
	Version int64 `msgpack:"v"`
}

// maxUnpackedBatchBytes limits the decompressed size of a received batch.
const maxUnpackedBatchBytes = 32 << 20

// errChainMismatch reports a batch whose records do not give the chain hash that it states.
var errChainMismatch = errors.New("records do not match the chain hash of their batch")

func newBatch(before, after uint64, entries []configlog.Entry) (*Batch, error) {
	content, err := msgpack.Marshal(entries)
	if err != nil {
		return nil, err
	}
	return &Batch{Before: before, After: after, Packed: compress(content)}, nil
}

func compress(content []byte) []byte { return s2.EncodeBetter(nil, content) }

// entries decodes the entries and verifies them against the chain hashes. Errors wrap
// configlog.ErrCorrupt or are errChainMismatch.
func (b *Batch) entries() ([]configlog.Entry, error) {
	size, err := s2.DecodedLen(b.Packed)
	if err != nil || size > maxUnpackedBatchBytes {
		return nil, errors.Wrap(configlog.ErrCorrupt, "decompressed size of the batch is invalid or too large")
	}
	content, err := s2.Decode(nil, b.Packed)
	if err != nil {
		return nil, errors.Wrap(configlog.ErrCorrupt, err.Error())
	}
	var entries []configlog.Entry
	if err := msgpack.Unmarshal(content, &entries); err != nil {
		return nil, errors.Wrap(configlog.ErrCorrupt, err.Error())
	}
	h := b.Before
	for _, e := range entries {
		h = mesh.Chain(h, e.Data)
	}
	if h != b.After {
		return nil, errChainMismatch
	}
	return entries, nil
}
