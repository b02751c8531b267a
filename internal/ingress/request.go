package ingress

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"celerybank/internal/membudget"
	"celerybank/internal/routes"
)

// Errors of a request that is refused with a response; the caller sees these texts.
var (
	errFraming    = errors.New("both a length and a transfer coding, or an unknown coding")
	errBodyMemory = errors.New("bodies of other requests fill the memory")
)

// readRequest reads one request with its body.
func (c *conn) readRequest(r *bufio.Reader, x *exchange, limits routes.Limits) error {
	_ = c.raw.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	if err := x.req.Header.Read(r); err != nil {
		return err
	}
	if err := checkFraming(&x.req.Header); err != nil {
		return err
	}
	if err := c.takeBodyMemory(x, limits); err != nil {
		return err
	}
	defer c.chunks.count(nil)
	if x.req.MayContinue() && c.idle() {
		if _, err := c.raw.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return err
		}
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
	if x.body.Evicted() {
		return errBodyMemory // an earlier deadline of interruptRead was overwritten
	}
	if err := x.req.ContinueReadBody(r, limits.BodyBytes, false); err != nil && !x.body.Evicted() {
		return err
	}
	if x.body.Pin() != nil {
		return errBodyMemory
	}
	return nil
}

// uncountedBodyBytes is the size up to which a body needs no memory of the budget.
const uncountedBodyBytes = 4 << 10

// takeBodyMemory takes the memory of a body with a length. That of a body in chunks is taken as they arrive.
func (c *conn) takeBodyMemory(x *exchange, limits routes.Limits) error {
	n := x.req.Header.ContentLength()
	switch {
	case n > limits.BodyBytes:
		return fasthttp.ErrBodyTooLarge
	case n < 0:
		c.chunks.count(x.body)
	case x.body.Take(int64(n)) != nil:
		return errBodyMemory
	}
	return nil
}

// interruptRead ends the reading of a body that has to give way to others.
func (c *conn) interruptRead() { _ = c.raw.SetReadDeadline(time.Unix(1, 0)) }

// chunkReader reads from a connection and takes memory for the body in chunks that is being read.
type chunkReader struct {
	conn net.Conn
	body *membudget.Holder
}

// count takes the memory for what is read from now on from body; nil ends that.
func (r *chunkReader) count(body *membudget.Holder) { r.body = body }

func (r *chunkReader) Read(b []byte) (int, error) {
	n, err := r.conn.Read(b)
	if n > 0 && r.body.Take(int64(n)) != nil {
		return 0, errBodyMemory
	}
	return n, err
}

// checkFraming rejects requests whose length is ambiguous: two parsers may disagree about where they end,
// which allows request smuggling (RFC 9112, section 6.3).
func checkFraming(h *fasthttp.RequestHeader) error {
	coding := h.Peek(fasthttp.HeaderTransferEncoding)
	if len(h.PeekAll(fasthttp.HeaderTransferEncoding)) > 1 || (len(coding) > 0 && string(coding) != "chunked") {
		return errFraming
	}
	// fasthttp drops a content length beside a transfer coding, so the raw headers are searched.
	if len(coding) > 0 && bytes.Contains(bytes.ToLower(h.RawHeaders()), []byte("content-length:")) {
		return errFraming
	}
	return nil
}

// isRefusable reports whether a request whose reading failed with err gets a response: it does unless the
// connection has ended.
func isRefusable(err error) bool {
	var netErr net.Error
	var bufferErr *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &bufferErr), errors.Is(err, fasthttp.ErrBodyTooLarge), errors.Is(err, errFraming), errors.Is(err, errBodyMemory):
		return true
	case errors.As(err, &netErr):
		return netErr.Timeout()
	default:
		return !isConnectionEnd(err)
	}
}

// bodyMemoryRetry is the Retry-After of a request whose body does not fit into the memory, in seconds: the shortest that RFC
// 9110 can express, as bodies are released with each response.
const bodyMemoryRetry = "1"

// refuse sets the response to a request that could not be read.
func refuse(x *exchange, err error) {
	var bufferErr *fasthttp.ErrSmallBuffer
	var netErr net.Error
	code := fasthttp.StatusBadRequest
	switch {
	case errors.As(err, &bufferErr):
		code = fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		code = fasthttp.StatusRequestEntityTooLarge
	case errors.Is(err, errBodyMemory):
		code = fasthttp.StatusServiceUnavailable
		x.resp.Header.Set(fasthttp.HeaderRetryAfter, bodyMemoryRetry)
	case errors.As(err, &netErr):
		code = fasthttp.StatusRequestTimeout
	}
	x.resp.SetStatusCode(code)
	x.resp.SetBodyString(err.Error() + "\n")
	x.closeAfter = true
}

// isConnectionEnd reports whether a read failed because the connection has ended.
func isConnectionEnd(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
