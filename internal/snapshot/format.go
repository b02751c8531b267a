// Package snapshot keeps snapshots of the agreed state in a stream of the log, so
// that a reader can start after the log has dropped old records.
package snapshot

import (
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"celerybank/internal/configlog"
	"celerybank/internal/mesh"
)

const (
	// maxPartBytes limits the packed bytes in one part, and so the size of a log record.
	maxPartBytes = 128 << 10
	// maxParts limits the parts of one snapshot, for writers and readers.
	maxParts = 256
)

// Part is one record of the snapshot stream: a section of a packed snapshot.
type Part struct {
	// Version is the version of the state. Sum is the hash of the packed bytes. Together
	// they identify the snapshot, so that parts of different snapshots are never mixed.
	Version int64  `json:"version"`
	Sum     uint64 `json:"sum,string"`
	Index   int    `json:"index"`
	Count   int    `json:"count"`
	// Time is when the snapshot was created.
	Time time.Time `json:"time"`
	Data []byte    `json:"data"`
}

// Pack returns st compressed and with its content hash.
func Pack(st *mesh.State) ([]byte, error) {
	text, err := st.Encode()
	if err != nil {
		return nil, err
	}
	return configlog.Pack(text), nil
}

// Unpack returns the state that Pack packed. For altered or truncated bytes, the error
// wraps configlog.ErrCorrupt.
func Unpack(packed []byte) (*mesh.State, error) {
	text, err := configlog.Unpack(packed)
	if err != nil {
		return nil, err
	}
	return mesh.Decode(text)
}

// split packs st and splits the result into parts of up to size bytes. More than maxParts
// parts are an error.
func split(st *mesh.State, now time.Time, size int) ([]Part, error) {
	packed, err := Pack(st)
	if err != nil {
		return nil, err
	}
	count := (len(packed) + size - 1) / size
	if count > maxParts {
		return nil, errors.Errorf("snapshot of %d bytes needs %d parts, limit %d", len(packed), count, maxParts)
	}
	parts := make([]Part, 0, count)
	sum := xxhash.Sum64(packed)
	for i := range count {
		data := packed[i*size : min((i+1)*size, len(packed))]
		parts = append(parts, Part{Version: st.Version, Sum: sum, Index: i, Count: count, Time: now, Data: data})
	}
	return parts, nil
}

// partKey identifies the snapshot to which a part belongs.
type partKey struct {
	version int64
	sum     uint64
	count   int
}

// assembler assembles snapshots from parts that arrive in any order.
type assembler struct{ groups map[partKey]map[int]Part }

func newAssembler() *assembler { return &assembler{map[partKey]map[int]Part{}} }

// add adds the part in one record of the stream. ok is true when the part completes a
// snapshot that matches its content hash; st is then its state. Malformed records are ignored.
func (c *assembler) add(data []byte) (st *mesh.State, createdAt time.Time, ok bool) {
	var p Part
	if err := json.Unmarshal(data, &p); err != nil || p.Count < 1 || p.Count > maxParts || p.Index < 0 || p.Index >= p.Count {
		return nil, createdAt, false
	}
	key := partKey{p.Version, p.Sum, p.Count}
	if c.groups[key] == nil {
		c.groups[key] = map[int]Part{}
	}
	c.groups[key][p.Index] = p
	if len(c.groups[key]) < p.Count {
		return nil, createdAt, false
	}
	var packed []byte
	for i := range p.Count {
		packed = append(packed, c.groups[key][i].Data...)
	}
	delete(c.groups, key)
	st, err := Unpack(packed)
	if err != nil || st.Version != p.Version {
		return nil, createdAt, false
	}
	return st, p.Time, true
}
