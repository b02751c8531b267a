package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"celerybank/internal/events"
)

// MaxFrame bounds one message between nodes, in bytes, both ways.
const MaxFrame = 16 << 20

// frameHeaderSize is the length prefix of a frame: a big-endian uint32.
const frameHeaderSize = 4

// ErrTooLarge reports a message over MaxFrame. The sender of one has sent no byte of it.
var ErrTooLarge = errors.New("frame over the size limit")

// header is the msgpack form of rpc.Request and rpc.Response.
type header struct {
	_msgpack struct{} `msgpack:",as_array"` //lint:ignore U1000 the codec reads the tag

	Method string `msgpack:"m"`
	Seq    uint64 `msgpack:"s"`
	Error  string `msgpack:"e"`
	// Stamp is the sender's clock, so that time lines show causes before effects; heartbeats have none.
	Stamp int64 `msgpack:"t"`
}

// writeTimeout bounds the write of one frame. A peer that takes nothing for so long
// counts as silent, and its callers wait no longer than this for each other. It is shorter
// than pingAfter, so that no heartbeat waits behind it.
const writeTimeout = 400 * time.Millisecond

// codec frames net/rpc messages as length-prefixed MessagePack: header, then body.
// A frame is read whole before it is decoded, so a truncated one is never used.
type codec struct {
	conn net.Conn
	wmu  sync.Mutex
	// onBytes counts traffic: direction in, bytes.
	onBytes func(method string, in bool, n int)
	clock   *events.Clock

	// The reader's own: net/rpc reads a connection from one goroutine.
	in     *bufio.Reader
	buf    []byte // reused for every frame
	body   bytes.Reader
	decode *msgpack.Decoder
}

// readBuffer is what each connection reads ahead, in bytes; nodes hold many connections.
const readBuffer = 4 << 10

func newCodec(conn net.Conn, clock *events.Clock, onBytes func(string, bool, int)) *codec {
	if onBytes == nil {
		onBytes = func(string, bool, int) {}
	}
	return &codec{conn: conn, clock: clock, in: bufio.NewReaderSize(conn, readBuffer), onBytes: onBytes, decode: msgpack.NewDecoder(nil)}
}

// errEncode reports a message that cannot be encoded; no byte of it was sent.
var errEncode = errors.New("message cannot be encoded")

// write sends one frame. A failed write closes the connection, since the peer can
// make nothing of what follows half a frame.
func (c *codec) write(h header, body any) error {
	if h.Method != pingMethod {
		h.Stamp = c.clock.Now()
	}
	buf := frameBuffers.Get().(*frameBuffer)
	defer buf.release()
	if err := buf.encode(&h, body); err != nil {
		return err
	}
	c.wmu.Lock()
	defer c.wmu.Unlock()
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := c.conn.Write(buf.b)
	if err != nil {
		_ = c.conn.Close()
		if n < len(buf.b) {
			return errors.Wrap(errPartial, err.Error())
		}
		return err
	}
	c.onBytes(h.Method, false, n)
	return nil
}

// errPartial reports a frame that was not written whole, so that the peer never uses it.
var errPartial = errors.New("frame not sent whole")

// frameBuffer is an io.Writer over a reusable slice.
type frameBuffer struct{ b []byte }

func (f *frameBuffer) Write(p []byte) (int, error) { f.b = append(f.b, p...); return len(p), nil }

func (f *frameBuffer) encode(h *header, body any) error {
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	f.b = append(f.b[:0], 0, 0, 0, 0)
	enc.Reset(f)
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

// release gives the buffer back, unless a large message has grown it.
func (f *frameBuffer) release() {
	if cap(f.b) > keptBuffer {
		f.b = nil
	}
	frameBuffers.Put(f)
}

var frameBuffers = sync.Pool{New: func() any { return new(frameBuffer) }}

// readHeader reads the next frame whole and decodes its header.
func (c *codec) readHeader() (h header, err error) {
	var size [frameHeaderSize]byte
	if _, err = io.ReadFull(c.in, size[:]); err != nil {
		return h, err
	}
	n := binary.BigEndian.Uint32(size[:])
	if n > MaxFrame {
		return h, ErrTooLarge
	}
	if err = c.readFrame(int(n)); errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return h, errors.Wrap(err, "truncated frame")
	}
	c.body.Reset(c.buf)
	c.decode.Reset(&c.body)
	if err = c.decode.Decode(&h); err != nil {
		return h, errors.Errorf("frame header: %v", err)
	}
	c.clock.Witness(h.Stamp)
	c.onBytes(h.Method, true, int(n)+frameHeaderSize)
	return h, nil
}

// readChunk bounds what is allocated before the bytes have arrived, so that a
// forged length costs its sender as much as it costs the reader.
const readChunk = 64 << 10

// keptBuffer bounds the buffer that is kept for the next frame, in bytes: most messages are
// smaller, and a node has two connections with each of its peers.
const keptBuffer = 8 << 10

func (c *codec) readFrame(n int) error {
	if cap(c.buf) > keptBuffer {
		c.buf = nil
	}
	c.buf = slices.Grow(c.buf[:0], min(n, readChunk))
	for len(c.buf) < n {
		start := len(c.buf)
		step := min(n-start, readChunk)
		c.buf = slices.Grow(c.buf, step)[:start+step]
		if _, err := io.ReadFull(c.in, c.buf[start:]); err != nil {
			return err
		}
	}
	return nil
}

// readBody decodes the body of the frame whose header was read last.
func (c *codec) readBody(v any) error {
	if v == nil {
		return nil
	}
	return c.decode.Decode(v)
}

func (c *codec) Close() error { return c.conn.Close() }

// reply takes the answer to one call. A body that cannot be decoded is that call's
// alone: net/rpc would end the connection, and every other call on it, for an error.
type reply struct {
	value any
	err   error
}

// clientCodec implements rpc.ClientCodec.
type clientCodec struct {
	*codec
	onMalformed func(error)
}

func (c clientCodec) WriteRequest(r *rpc.Request, body any) error {
	return c.write(header{Method: r.ServiceMethod, Seq: r.Seq}, body)
}

func (c clientCodec) ReadResponseHeader(r *rpc.Response) error {
	h, err := c.readHeader()
	if malformed(err) {
		c.onMalformed(err)
		_ = c.conn.Close()
	}
	r.ServiceMethod, r.Seq, r.Error = h.Method, h.Seq, h.Error
	return err
}

func (c clientCodec) ReadResponseBody(v any) error {
	if to, ok := v.(*reply); ok {
		to.err = c.readBody(to.value)
	}
	return nil
}

// malformed reports whether a read failed for what the peer sent, not for the end of the connection.
func malformed(err error) bool {
	var broken net.Error
	return err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) && !errors.As(err, &broken)
}

// serverCodec implements rpc.ServerCodec.
type serverCodec struct {
	*codec
	onMalformed func(error)
	// work counts the requests under way.
	work *work
}

func (c serverCodec) ReadRequestHeader(r *rpc.Request) error {
	h, err := c.readHeader()
	if malformed(err) {
		c.onMalformed(err)
	}
	if err != nil {
		return err
	}
	r.ServiceMethod, r.Seq = h.Method, h.Seq
	c.work.began(h.Method)
	return nil
}

func (c serverCodec) ReadRequestBody(v any) error { return c.readBody(v) }

// WriteResponse answers one request; an answer that cannot be sent as it is becomes an error.
func (c serverCodec) WriteResponse(r *rpc.Response, body any) error {
	defer c.work.ended(r.ServiceMethod)
	err := c.write(header{Method: r.ServiceMethod, Seq: r.Seq, Error: r.Error}, body)
	if errors.Is(err, ErrTooLarge) || errors.Is(err, errEncode) {
		err = c.write(header{Method: r.ServiceMethod, Seq: r.Seq, Error: err.Error()}, struct{}{})
	}
	return err
}
