package ingress

import (
	"bufio"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"celerybank/internal/routes"
)

// uncountedBytes is the memory that a request, and a response, needs without taking it from the budget. Most need less.
const uncountedBytes = 8 << 10

// headCopies is the number of copies of a head that a running request has: in the parsed request, in the message to the owner,
// and in the one to the upstream or in the frame between nodes.
const headCopies = 3

// takeHead takes the memory of the head of a request.
func (c *conn) takeHead(x *exchange) error {
	x.headBytes = len(x.req.Header.RawHeaders()) + len(x.req.Header.RequestURI())
	if x.request.Take(int64(headCopies*x.headBytes)) != nil {
		return errBodyMemory
	}
	return nil
}

// readBody reads the body of a request. The memory of one with a length is taken before it is read, that of one in chunks
// as it grows.
func (c *conn) readBody(r *bufio.Reader, x *exchange, limits routes.Limits) error {
	n := x.req.Header.ContentLength()
	if n > limits.BodyBytes {
		return fasthttp.ErrBodyTooLarge
	}
	if x.request.Take(int64(n)) != nil {
		return errBodyMemory
	}
	if x.req.MayContinue() && c.idle() {
		if _, err := c.raw.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return err
		}
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
	if x.request.Evicted() {
		return errBodyMemory // an earlier deadline of interruptRead was overwritten
	}
	if err := c.readContent(r, x, n, limits.BodyBytes); err != nil && !x.request.Evicted() {
		return err
	}
	if x.request.Pin() != nil {
		return errBodyMemory
	}
	return nil
}

// readContent reads a body with n bytes, or in chunks if n is negative.
func (c *conn) readContent(r *bufio.Reader, x *exchange, n, limit int) error {
	const chunked = -1 // the length by which the library denotes a body in chunks
	switch {
	case n > uncountedBytes:
		b := body{conn: c, exchange: x, size: n, taken: true}
		return b.read(io.LimitReader(r, int64(n)))
	case n == chunked:
		if err := x.req.ContinueReadBodyStream(r, limit, false); err != nil {
			return err
		}
		b := body{conn: c, exchange: x, size: -1, limit: limit}
		return b.read(x.req.BodyStream())
	default:
		return x.req.ContinueReadBody(r, limit, false)
	}
}

// body is a body that is being read. Its buffer grows with what has arrived: an announced size alone, of the body or of a chunk,
// must not allocate memory.
type body struct {
	conn     *conn
	exchange *exchange
	// size is the length of the body, or negative if it is in chunks and has at most limit bytes.
	size, limit int
	// taken is set if the memory of the whole body is taken already.
	taken bool
	b     []byte
}

// Sizes of the buffer of a body in bytes: that of the first one, and the largest part that is read at once.
const (
	firstBodyBuffer = 4 << 10
	maxBodyRead     = 64 << 10
)

// read reads the body from src and sets it as that of the request.
func (b *body) read(src io.Reader) error {
	for {
		if err := b.grow(); err != nil {
			return err
		}
		n, err := src.Read(b.b[len(b.b):min(cap(b.b), len(b.b)+maxBodyRead)])
		b.b = b.b[:len(b.b)+n]
		switch {
		case b.size < 0 && len(b.b) > b.limit:
			return fasthttp.ErrBodyTooLarge
		case len(b.b) == b.size, err == io.EOF && b.size < 0:
			b.exchange.req.SetBodyRaw(b.b)
			return nil
		case err == io.EOF:
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
		if n >= firstBodyBuffer {
			b.conn.progress.Store(time.Now().UnixNano())
			b.exchange.request.Progress()
		}
	}
}

// grow makes room for more bytes, and takes their memory unless that was done.
func (b *body) grow() error {
	if len(b.b) < cap(b.b) {
		return nil
	}
	size := max(firstBodyBuffer, 2*cap(b.b))
	if b.size >= 0 {
		size = min(size, b.size)
	}
	if !b.taken && b.exchange.request.Take(int64(size-cap(b.b))) != nil {
		return errBodyMemory
	}
	next := make([]byte, len(b.b), size)
	copy(next, b.b)
	b.b = next
	return nil
}

// interruptRead ends the reading of a request that has to give way to others.
func (c *conn) interruptRead() { _ = c.raw.SetReadDeadline(time.Unix(1, 0)) }
