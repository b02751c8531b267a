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

	"celerybank/internal/routes"
)

// Faults of a request that get an answer.
var (
	errFraming  = errors.New("both a length and a transfer coding, or an unknown coding")
	errOverload = errors.New("bodies of other requests fill the memory")
)

// receive reads one request whole.
func (c *conn) receive(r *bufio.Reader, x *exchange, limits routes.Limits) error {
	_ = c.raw.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	if err := x.req.Header.Read(r); err != nil {
		return err
	}
	if err := checkFraming(&x.req.Header); err != nil {
		return err
	}
	if n := x.req.Header.ContentLength(); n > 0 {
		if c.server.bodies.Add(int64(n)) > c.server.cfg.AllBodies {
			c.server.bodies.Add(-int64(n))
			return errOverload
		}
		defer c.server.bodies.Add(-int64(n))
	}
	if x.req.MayContinue() && c.idle() {
		if _, err := c.raw.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return err
		}
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
	return x.req.ContinueReadBody(r, limits.BodyBytes, false)
}

// checkFraming refuses requests whose end two parsers may see at two places (RFC 9112, section 6.3).
func checkFraming(h *fasthttp.RequestHeader) error {
	coding := h.Peek(fasthttp.HeaderTransferEncoding)
	if len(h.PeekAll(fasthttp.HeaderTransferEncoding)) > 1 || (len(coding) > 0 && string(coding) != "chunked") {
		return errFraming
	}
	// The library drops a length beside a coding, so the bytes as they came tell.
	if len(coding) > 0 && bytes.Contains(bytes.ToLower(h.RawHeaders()), []byte("content-length:")) {
		return errFraming
	}
	return nil
}

// answerable reports whether a request that could not be read gets an answer.
func answerable(err error) bool {
	var broken net.Error
	var header *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &header), errors.Is(err, fasthttp.ErrBodyTooLarge), errors.Is(err, errFraming), errors.Is(err, errOverload):
		return true
	case errors.As(err, &broken):
		return broken.Timeout()
	default:
		return !isEnd(err)
	}
}

// refuse writes the answer to a request that could not be read.
func refuse(x *exchange, err error) {
	var header *fasthttp.ErrSmallBuffer
	var broken net.Error
	code := fasthttp.StatusBadRequest
	switch {
	case errors.As(err, &header):
		code = fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		code = fasthttp.StatusRequestEntityTooLarge
	case errors.Is(err, errOverload):
		code = fasthttp.StatusServiceUnavailable
	case errors.As(err, &broken):
		code = fasthttp.StatusRequestTimeout
	}
	x.resp.SetStatusCode(code)
	x.resp.SetBodyString(err.Error() + "\n")
	x.last = true
}

// isEnd reports whether a read failed because the connection has ended.
func isEnd(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
