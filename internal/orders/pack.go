package orders

import (
	"bytes"
	"io"

	"github.com/go-faster/errors"
	"github.com/klauspost/compress/flate"
)

// compressThreshold is the size in bytes from which a value is compressed. Below it the overhead of a
// message exceeds its content.
const compressThreshold = 2 << 10

// maxValueBytes is the maximum size of a decompressed value in bytes: four times the largest record
// that the store accepts.
const maxValueBytes = 1 << 20

// compress returns the record with its value compressed if the value is large. It is called once
// per record, by the node that reads it from the store: a configuration of many routes has to
// reach every host of a zone over links that also carry the traffic of callers.
func (r Record) compress() (Record, error) {
	if r.Compressed || len(r.Value) < compressThreshold {
		return r, nil
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.DefaultCompression)
	if err != nil {
		return r, errors.Wrap(err, "pack")
	}
	if _, err := w.Write(r.Value); err != nil {
		return r, errors.Wrap(err, "pack")
	}
	if err := w.Close(); err != nil {
		return r, errors.Wrap(err, "pack")
	}
	r.Value, r.Compressed = b.Bytes(), true
	return r, nil
}

// decompress returns the record with its value decompressed. It returns an error if the value is
// corrupt or larger than maxValueBytes.
func (r Record) decompress() (Record, error) {
	if !r.Compressed {
		return r, nil
	}
	f := flate.NewReader(bytes.NewReader(r.Value))
	value, err := io.ReadAll(io.LimitReader(f, maxValueBytes+1))
	if err != nil {
		return r, errors.Wrap(err, "unpack")
	}
	if len(value) > maxValueBytes {
		return r, errors.Errorf("unpack: more than %d bytes", maxValueBytes)
	}
	r.Value, r.Compressed = value, false
	return r, nil
}

// bytes returns the approximate size in bytes that the records of a batch take in a message.
func (b Batch) bytes() (n int) {
	for _, r := range b.Records {
		n += len(r.Key) + len(r.Value)
	}
	return n
}
