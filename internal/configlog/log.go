// Package configlog defines the interface of the append-only log in which celerybank
// stores its agreed state, and the records in it. It has an implementation in memory.
package configlog

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
)

// Streams of the log.
const (
	// MeshStream has every record that changes the agreed state.
	MeshStream = "mesh"
	// SnapshotStream has snapshots of the state that results from MeshStream.
	SnapshotStream = "snapshot"
	// HistoryStream has the records that an import retains from the logs of earlier operators.
	HistoryStream = "history"
	// HelloStream has addresses of nodes, for nodes whose settings name no peer that is alive.
	HelloStream = "hello"
)

// Entry is one record with its offset in the stream. Offsets start at 1. Between nodes and in the
// fold, Offset is the version.
type Entry struct {
	Offset int64  `json:"offset" msgpack:"o"`
	Data   []byte `json:"data" msgpack:"d"`
}

// Page is the result of a read.
type Page struct {
	// Era counts the restorations of the log from an older copy, after which it assigns offsets
	// again; 0 if the log does not tell.
	Era int64 `json:"era,omitempty"`
	// First is the offset of the oldest record that the log retains. A read from a lower
	// offset misses the records before First.
	First int64 `json:"first"`
	// Next is the offset of the next append.
	Next    int64   `json:"next"`
	Entries []Entry `json:"entries"`
}

// Log is an append-only log with several streams.
type Log interface {
	// Append appends data as one record and returns its offset. After an error, the record
	// may have been appended nevertheless.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns up to limit entries from offset from onwards. If there are none, it waits
	// up to wait for the first.
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Page, error)
}

// Kind is the type of a record, which determines its body.
type Kind string

// Record is the envelope of everything in MeshStream.
type Record struct {
	// ID is unique. A record whose ID was applied before is ignored, so an append may be
	// retried.
	ID   string `json:"id"`
	Kind Kind   `json:"kind"`
	// Subject is what the record changes, such as "config" or "zone/ragusa".
	Subject string `json:"subject"`
	// Prev is the version of the record of the same subject that this one supersedes, 0 for
	// none. Every reader ignores a record whose Prev is no longer current; it compares offsets,
	// since a record keeps its offset when the log is restored.
	Prev   int64           `json:"prev"`
	Author string          `json:"author"`
	Time   time.Time       `json:"time"`
	Body   json.RawMessage `json:"body"`
}

// ErrMalformed reports an entry whose data is no valid Record.
var ErrMalformed = errors.New("malformed record")

// NewID returns a random record ID.
func NewID() string {
	var b [12]byte
	_, _ = rand.Read(b[:]) // documented never to fail
	return hex.EncodeToString(b[:])
}

// NewRecord returns a record with a new ID, the current time and body encoded as JSON.
func NewRecord(kind Kind, subject string, prev int64, author string, body any) (Record, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return Record{}, err
	}
	return Record{ID: NewID(), Kind: kind, Subject: subject, Prev: prev, Author: author, Time: time.Now().UTC(), Body: raw}, nil
}

// ParseRecord decodes the data of an entry. Errors wrap ErrMalformed.
func ParseRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return r, errors.Wrap(ErrMalformed, err.Error())
	}
	if r.ID == "" || r.Kind == "" || r.Subject == "" {
		return r, errors.Wrap(ErrMalformed, "id, kind or subject is missing")
	}
	return r, nil
}
