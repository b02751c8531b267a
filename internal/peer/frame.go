package peer

import (
	"encoding/binary"
	"io"
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

// readChunkSize is the largest part of a frame that is read at once, in bytes. The buffer grows with what has arrived, so that a
// forged length prefix alone cannot make the reader allocate MaxFrame bytes.
const readChunkSize = 64 << 10

// maxRetainedBuffer is the maximum size in bytes of a buffer that is kept for the next frame. Most
// messages are smaller, and a node has two connections with each of its peers.
const maxRetainedBuffer = 8 << 10

// readFrame reads n bytes into c.buf.
func (c *codec) readFrame(n int) error {
	c.releaseFrame()
	step := min(n, uncountedFrame)
	for len(c.buf) < n {
		start := len(c.buf)
		if c.held.Take(int64(step)) != nil {
			return c.dropRest(n)
		}
		c.grow(start+step, n)
		c.buf = c.buf[:start+step]
		if _, err := io.ReadFull(c.in, c.buf[start:]); err != nil {
			return err
		}
		step = min(n-len(c.buf), readChunkSize)
	}
	if c.held.Pin() != nil {
		return c.dropRest(n) // complete, but its memory is that of another one
	}
	return nil
}

// grow makes room for need bytes of a frame of n.
func (c *codec) grow(need, n int) {
	if cap(c.buf) >= need {
		return
	}
	next := make([]byte, len(c.buf), min(n, max(need, 2*cap(c.buf))))
	copy(next, c.buf)
	c.buf = next
}

// dropRest reads the rest of a frame of n bytes without keeping it. The beginning has the header, so that only the call that
// the frame belongs to fails, and not all calls of the connection.
func (c *codec) dropRest(n int) error {
	c.incomplete = true
	rest := int64(n - len(c.buf))
	c.buf = append([]byte(nil), c.buf[:min(len(c.buf), uncountedFrame)]...)
	_, err := io.CopyN(io.Discard, c.in, rest)
	return err
}

// releaseFrame drops the frame that was read last, and its buffer if it is large.
func (c *codec) releaseFrame() {
	c.held.Release()
	c.incomplete = false
	c.buf = c.buf[:0]
	if cap(c.buf) > maxRetainedBuffer {
		c.buf = nil
		c.body.Reset(nil)
	}
}
