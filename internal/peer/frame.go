package peer

import (
	"encoding/binary"
	"sync"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// frameBuffer is an io.Writer that appends to a reusable slice.
type frameBuffer struct{ b []byte }

func (f *frameBuffer) Write(p []byte) (int, error) { f.b = append(f.b, p...); return len(p), nil }

// encode replaces the contents of the buffer by a frame. It returns errEncode or ErrTooLarge.
func (f *frameBuffer) encode(h *header, body any, dict map[string]int) error {
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	f.b = append(f.b[:0], 0, 0, 0, 0)
	enc.ResetDict(f, dict)
	enc.UseCompactInts(true)
	if err := enc.Encode(h); err != nil {
		return errors.Wrap(errEncode, err.Error())
	}
	if err := enc.Encode(body); err != nil {
		return errors.Wrap(errEncode, err.Error())
	}
	n := len(f.b) - frameHeaderSize
	if n > MaxFrame {
		f.b = nil
		return ErrTooLarge
	}
	binary.BigEndian.PutUint32(f.b, uint32(n))
	return nil
}

// release returns the buffer to the pool, without its memory if a large message has grown it.
func (f *frameBuffer) release() {
	if cap(f.b) > maxRetainedBuffer {
		f.b = nil
	}
	frameBuffers.Put(f)
}

var frameBuffers = sync.Pool{New: func() any { return new(frameBuffer) }}
