package orders

import (
	"bytes"
	"io"

	"github.com/go-faster/errors"
	"github.com/klauspost/compress/flate"
)

// packFrom is the size from which a value is packed, in bytes: below it a message costs more than its content.
const packFrom = 2 << 10

// maxValue bounds an unpacked value, in bytes: four times the largest record that the platform takes.
const maxValue = 1 << 20

// pack compresses the value of a large record, once, where it comes from the store: a configuration
// of many routes has to reach every host of a zone over links that callers use as well.
func (r Record) pack() (Record, error) {
	if r.Packed || len(r.Value) < packFrom {
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
	r.Value, r.Packed = b.Bytes(), true
	return r, nil
}

// unpack returns the record as the operator wrote it.
func (r Record) unpack() (Record, error) {
	if !r.Packed {
		return r, nil
	}
	f := flate.NewReader(bytes.NewReader(r.Value))
	value, err := io.ReadAll(io.LimitReader(f, maxValue+1))
	if err != nil {
		return r, errors.Wrap(err, "unpack")
	}
	if len(value) > maxValue {
		return r, errors.Errorf("unpack: more than %d bytes", maxValue)
	}
	r.Value, r.Packed = value, false
	return r, nil
}

// bytes is what the records of a batch take in a message, about.
func (b Batch) bytes() (n int) {
	for _, r := range b.Records {
		n += len(r.Key) + len(r.Value)
	}
	return n
}
