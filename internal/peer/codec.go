package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"celerybank/internal/events"
	"celerybank/internal/membudget"
)

// MaxFrame is the maximum size of one frame in bytes, without its length prefix, in both directions.
const MaxFrame = 16 << 20

// frameHeaderSize is the length prefix of a frame: a big-endian uint32.
const frameHeaderSize = 4

// ErrTooLarge reports a message larger than MaxFrame. It is detected before any byte is sent.
var ErrTooLarge = errors.New("frame over the size limit")

// header is the MessagePack form of both rpc.Request and rpc.Response.
type header struct {
	_msgpack struct{} `msgpack:",as_array"` //lint:ignore U1000 the codec reads the tag

	Method string `msgpack:"m"`
	Seq    uint64 `msgpack:"s"`
	Error  string `msgpack:"e"`
	// Stamp is the sender's hybrid logical clock, which orders causes before effects in the merged
	// timelines of all nodes. Heartbeats have none.
	Stamp int64 `msgpack:"t"`
}

// writeTimeout bounds the write of one frame. A peer that reads nothing for this long counts as
// unresponsive; writes to one connection are serialized, so this also bounds how long calls wait for
// each other.
const writeTimeout = 400 * time.Millisecond

// codec frames net/rpc messages as length-prefixed MessagePack: header, then body.
// A frame is read completely before it is decoded, so a truncated frame is never used.
type codec struct {
	conn net.Conn
	wmu  sync.Mutex
	// onBytes observes each frame; n is its size in bytes with the length prefix.
	onBytes func(method string, in bool, n int)
	clock   *events.Clock
	// meter counts the frames written; nil counts none.
	meter *connMeter
	// written is the dictionary of the frames written, and dict that of the frames read.
	written writeDictionary
	dict    []string

	// Used only by the reader: net/rpc reads a connection from one goroutine.
	in     *bufio.Reader
	buf    []byte // reused for each frame
	body   bytes.Reader
	decode *msgpack.Decoder
	// held is the memory of the frame in buf.
	held *membudget.Holder
	// incomplete is set if the rest of the frame was dropped for lack of memory.
	incomplete bool
	// memory bounds the frames that are read and the large ones that are written.
	memory *membudget.Budget
}

// readBufferSize is the size of each connection's read buffer in bytes. It is small because a node
// holds many connections.
const readBufferSize = 2 << 10

func newCodec(conn net.Conn, clock *events.Clock, memory *membudget.Budget, onBytes func(string, bool, int)) *codec {
	if onBytes == nil {
		onBytes = func(string, bool, int) {}
	}
	return &codec{conn: conn, clock: clock, in: bufio.NewReaderSize(conn, readBufferSize), onBytes: onBytes,
		decode: msgpack.NewDecoder(nil), dict: readDictionary(), memory: memory, held: holdFrame(memory, conn)}
}

// errEncode reports a message that cannot be encoded; none of its bytes were sent.
var errEncode = errors.New("message cannot be encoded")

// write sends one frame. A failed write closes the connection, since the peer cannot find the start
// of the next frame after a partial one.
func (c *codec) write(h header, body any) error {
	if h.Method != pingMethod {
		h.Stamp = c.clock.Now()
	}
	if m, ok := body.(sizedMessage); ok && m.FrameSize() > largeFrame {
		return c.writeLarge(&h, m)
	}
	buf := frameBuffers.Get().(*frameBuffer)
	defer buf.release()
	if err := buf.encode(&h, body, c.dictionary(body)); err != nil {
		return err
	}
	c.wmu.Lock()
	defer c.wmu.Unlock()
	return c.writeFrame(&h, buf)
}

// writeFrame sends the frame in buf. c.wmu is held.
func (c *codec) writeFrame(h *header, buf *frameBuffer) error {
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	c.meter.sent(h, len(buf.b)) // before the peer can react, so that its reply proves that the frame is counted
	n, err := c.conn.Write(buf.b)
	if err != nil {
		_ = c.conn.Close()
		if n < len(buf.b) {
			return errors.Wrap(errPartialWrite, err.Error())
		}
		return err
	}
	c.onBytes(h.Method, false, n)
	return nil
}

// errPartialWrite reports a partially written frame, which the peer never decodes.
var errPartialWrite = errors.New("frame only partially written")

// readHeader reads the next frame completely and decodes its header. It applies definitions of strings before it.
func (c *codec) readHeader() (h header, err error) {
	for {
		if h, err = c.readFrameHeader(); err != nil || h.Method != defineMethod {
			return h, err
		}
		var m Define
		if err = c.readBody(&m); err == nil {
			c.dict, err = applyDefine(c.dict, &m)
		}
		if err != nil {
			return h, err
		}
	}
}

// readFrameHeader reads one frame completely and decodes its header.
func (c *codec) readFrameHeader() (h header, err error) {
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
		c.releaseFrame()
		return h, errors.Wrap(err, "truncated frame")
	}
	c.body.Reset(c.buf)
	c.decode.ResetDict(&c.body, c.dict)
	if err = c.decode.Decode(&h); err != nil {
		c.releaseFrame()
		return h, errors.Errorf("frame header: %v", err)
	}
	c.clock.Observe(h.Stamp)
	c.onBytes(h.Method, true, int(n)+frameHeaderSize)
	return h, nil
}

// readBody decodes the body of the frame that readHeader read last, and drops the frame. A nil v discards the body.
func (c *codec) readBody(v any) error {
	defer c.releaseFrame()
	return c.decodeBody(v)
}

func (c *codec) decodeBody(v any) error {
	switch {
	case v == nil:
		return nil
	case c.incomplete:
		return ErrNoMemory
	}
	return c.decode.Decode(v)
}

func (c *codec) Close() error { return c.conn.Close() }

// pingSeqBase is the lowest sequence number of a heartbeat that net/rpc does not know of. It fits into four
// bytes, since heartbeats are frequent; net/rpc's own heartbeats (Pool.Ping) have lower numbers.
const pingSeqBase = 1 << 31

// notifySeq is the sequence number of all notifications, which get no reply.
const notifySeq = pingSeqBase - 1

// clientCodec implements rpc.ClientCodec.
type clientCodec struct {
	*codec
	onMalformed func(error)
	onPong      func(seq uint64, p Pong)
	onReply     func()
}

func (c clientCodec) WriteRequest(r *rpc.Request, body any) error {
	return c.write(header{Method: r.ServiceMethod, Seq: r.Seq}, body)
}

func (c clientCodec) ReadResponseHeader(r *rpc.Response) error {
	h, err := c.readHeader()
	for err == nil && h.Method == pingMethod && h.Seq >= pingSeqBase {
		var p Pong
		if c.readBody(&p) == nil {
			c.onPong(h.Seq, p)
		}
		h, err = c.readHeader()
	}
	if malformed(err) {
		c.onMalformed(err)
		_ = c.conn.Close()
	}
	c.onReply()
	r.ServiceMethod, r.Seq, r.Error = h.Method, h.Seq, h.Error
	return err
}

func (c clientCodec) ReadResponseBody(v any) error {
	to, ok := v.(*reply)
	if !ok {
		c.releaseFrame()
		return nil
	}
	c.readReply(to)
	return nil
}

// malformed reports whether a read failed because of the data that the peer sent, not because the
// connection ended.
func malformed(err error) bool {
	var netErr net.Error
	return err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) && !errors.As(err, &netErr)
}

// serverCodec implements rpc.ServerCodec.
type serverCodec struct {
	*codec
	onMalformed func(error)
	// calls tracks the calls in progress, and running the memory of their arguments.
	calls   *calls
	running *callMemory
	// process is in the reply to a heartbeat that asks for it.
	process uint64
	// notified has the handlers of notifications by method.
	notified map[string]func(decode func(any) error) error
}

func (c serverCodec) ReadRequestHeader(r *rpc.Request) error {
	h, err := c.readHeader()
	for err == nil {
		if h.Method == pingMethod {
			err = c.readPing(h.Seq)
		} else if handle := c.notified[h.Method]; h.Seq == notifySeq && handle != nil {
			err = handle(c.readBody)
		} else {
			break
		}
		if err == nil {
			h, err = c.readHeader()
		}
	}
	if malformed(err) {
		c.onMalformed(err)
	}
	if err != nil {
		return err
	}
	r.ServiceMethod, r.Seq = h.Method, h.Seq
	c.running.seq = h.Seq
	c.calls.started(h.Method)
	return nil
}

// readPing reads and answers a heartbeat.
func (c serverCodec) readPing(seq uint64) error {
	var p Ping
	err := c.readBody(&p)
	if err == nil {
		c.written.enable(p.Common)
		c.answerPing(seq, p)
	}
	return err
}

// answerPing answers a heartbeat without a goroutine of its own, unless another write is in progress.
func (c serverCodec) answerPing(seq uint64, p Ping) {
	pong := &Pong{}
	if p.Hello {
		pong.Process, pong.Common = c.process, len(commonStrings)
	}
	answer := func() { _ = c.write(header{Method: pingMethod, Seq: seq}, pong) }
	if c.wmu.TryLock() {
		c.wmu.Unlock()
		answer()
		return
	}
	go answer()
}

// ReadRequestBody decodes the arguments of a call. Their memory is held until the call ends.
func (c serverCodec) ReadRequestBody(v any) error {
	err := c.decodeBody(v)
	if v != nil && err == nil {
		c.running.add(c.held.Detach())
	}
	c.releaseFrame()
	return err
}

// WriteResponse sends the reply to one call. A reply that is too large or cannot be encoded is replaced
// by an error reply.
func (c serverCodec) WriteResponse(r *rpc.Response, body any) error {
	defer c.calls.finished(r.ServiceMethod)
	c.running.release(r.Seq)
	if m, ok := body.(memoryHolder); ok {
		defer m.ReleaseMemory()
	}
	err := c.write(header{Method: r.ServiceMethod, Seq: r.Seq, Error: r.Error}, body)
	if errors.Is(err, ErrNoMemory) {
		err = errReplyMemory // the call has run
	}
	if errors.Is(err, ErrTooLarge) || errors.Is(err, errEncode) || errors.Is(err, errReplyMemory) {
		err = c.write(header{Method: r.ServiceMethod, Seq: r.Seq, Error: err.Error()}, struct{}{})
	}
	return err
}
