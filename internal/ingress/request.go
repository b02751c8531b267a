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

// Errors of a request that is refused with a response; the caller sees these texts.
var (
	errFraming    = errors.New("both a length and a transfer coding, or an unknown coding")
	errBodyMemory = errors.New("bodies of other requests fill the memory")
	errBusy       = errors.New("requests of other callers fill the memory")
)

// readRequest reads one request with its body.
func (c *conn) readRequest(r *bufio.Reader, x *exchange, limits routes.Limits) error {
	now := time.Now()
	c.progress.Store(now.UnixNano())
	_ = c.raw.SetReadDeadline(now.Add(limits.HeaderTimeout))
	if err := x.req.Header.Read(r); err != nil {
		return err
	}
	if err := checkFraming(&x.req.Header); err != nil {
		return err
	}
	if err := c.takeHead(x); err != nil {
		return err
	}
	return c.readBody(r, x, limits)
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
	case errors.As(err, &bufferErr), errors.Is(err, fasthttp.ErrBodyTooLarge), errors.Is(err, errFraming), isShortage(err):
		return true
	case errors.As(err, &netErr):
		return netErr.Timeout()
	default:
		return !isConnectionEnd(err)
	}
}

// isShortage reports whether a request is refused for lack of memory; it has not run then.
func isShortage(err error) bool { return errors.Is(err, errBodyMemory) || errors.Is(err, errBusy) }

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
	case isShortage(err):
		code = fasthttp.StatusServiceUnavailable
		x.resp.Header.Set(fasthttp.HeaderRetryAfter, bodyMemoryRetry)
	case errors.As(err, &netErr):
		code = fasthttp.StatusRequestTimeout
	}
	x.req.ResetBody()
	x.request.Release()
	x.resp.SetStatusCode(code)
	x.resp.SetBodyString(err.Error() + "\n")
	x.closeAfter = true
}

// isConnectionEnd reports whether a read failed because the connection has ended.
func isConnectionEnd(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
