package usage

import (
	"bytes"
	"compress/flate"
	"io"
	"slices"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// record is the state of the duty in the store.
type record struct {
	// Generation grows with each change of the holder.
	Generation uint64 `msgpack:"g"`
	// Holder is the peer address of the holder, Process its process.
	Holder  string `msgpack:"h"`
	Process uint64 `msgpack:"p"`
	// Released is set when the holder has given the duty up and calls the API no more.
	Released bool `msgpack:"r,omitempty"`
	// Former are the latest earlier holders. One of them may not follow a released record at once: the order A, B, A would be
	// possible within the lease.
	Former []string `msgpack:"f,omitempty"`
	// Through is the last window of which a report was written. Reports has those that the API may not have accepted yet; all other
	// windows up to Through are closed.
	Through int64    `msgpack:"t"`
	Reports []Report `msgpack:"c,omitempty"`
	// Yields counts the holders in a row that gave up because they could not reach the API.
	Yields int `msgpack:"y,omitempty"`
	// Hosts is the number of live hosts at the last collection, 0 if the next holder is to accept any number.
	Hosts int `msgpack:"n,omitempty"`
}

// maxFormer is the number of earlier holders that a record names.
const maxFormer = 8

// Formats of an encoded record, in its first byte.
const (
	formatPlain      = 1
	formatCompressed = 2
	// compressAbove is the size in bytes from which a record is compressed.
	compressAbove = 4 << 10
	// maxPlainBytes bounds a record after decompression.
	maxPlainBytes = 16 << 20
)

var errRecord = errors.New("usage: record of an unknown format")

func (r *record) encode() ([]byte, error) {
	plain, err := msgpack.Marshal(r)
	if err != nil || len(plain) < compressAbove {
		return append([]byte{formatPlain}, plain...), err
	}
	out := bytes.NewBuffer([]byte{formatCompressed})
	w, err := flate.NewWriter(out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(plain); err != nil {
		return nil, err
	}
	return out.Bytes(), w.Close()
}

// decodeRecord decodes a record; an empty text is the zero record.
func decodeRecord(text []byte) (r record, err error) {
	if len(text) == 0 {
		return record{}, nil
	}
	plain := text[1:]
	switch text[0] {
	case formatPlain:
	case formatCompressed:
		if plain, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(plain)), maxPlainBytes)); err != nil {
			return record{}, errors.Wrap(err, "usage: record")
		}
	default:
		return record{}, errRecord
	}
	if err := msgpack.Unmarshal(plain, &r); err != nil {
		return record{}, errors.Wrap(err, "usage: record")
	}
	return r, nil
}

// successor returns the record with which a process takes the duty over. The era of the store is part of the generation: a store
// that was restored from a copy may have lost generations that were in use.
func (r record) successor(addr string, process uint64, known state, era int64) record {
	if r.Holder != "" {
		r.Former = append(slices.DeleteFunc(slices.Clone(r.Former), func(a string) bool { return a == r.Holder }), r.Holder)
		r.Former = r.Former[max(0, len(r.Former)-maxFormer):]
	}
	r.Generation = max(r.Generation, known.Generation, uint64(max(era, 0))<<eraShift) + 1
	r.Through = max(r.Through, known.Through)
	r.Holder, r.Process, r.Released = addr, process, false
	return r
}

// eraShift places the era above the number of changes of the holder within one era.
const eraShift = 20

// mayFollow reports whether a node may take a released duty over without waiting for the lease.
func (r record) mayFollow(addr string) bool {
	return r.Holder == "" || r.Released && r.Holder != addr && !slices.Contains(r.Former, addr)
}
