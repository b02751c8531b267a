package ingress

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"celerybank/internal/membudget"
	"celerybank/internal/routes"
)

// conn is one connection of a caller.
type conn struct {
	server *Server
	raw    net.Conn
	ctx    context.Context
	cancel context.CancelFunc
	out    progressWriter
	// reading is set from the first byte of a request to its end, writing while a response is written. progress is when bytes
	// were last read or written meanwhile, in Unix nanoseconds.
	reading, writing atomic.Bool
	progress         atomic.Int64
	// queue has the requests in the order of their arrival, which is that of their responses.
	queue chan *exchange

	mu sync.Mutex
	// pipelines is set once a request arrived before the response to an earlier one was written.
	pipelines bool
	// unanswered counts admitted requests whose response is not being written yet.
	unanswered int
	// pending counts admitted requests whose response is not completely written.
	pending int
	// idleSince is when the last response was written, or the connection accepted.
	idleSince time.Time
	// closing is set once it is decided after which response the connection closes. Requests that
	// arrive later are not admitted.
	closing bool
}

// exchange is one request and its response.
type exchange struct {
	req  *fasthttp.Request
	resp *fasthttp.Response
	done chan struct{} // closed when resp is complete
	// request has the memory of the request, and response that of the response.
	request, response *membudget.Holder
	// headBytes is the size of the head of the request.
	headBytes int
	// closeAfter closes the connection after this response.
	closeAfter bool
}

func (s *Server) newConn(raw net.Conn) *conn {
	c := &conn{server: s, raw: raw, queue: make(chan *exchange, maxPipelined), idleSince: time.Now()}
	c.out.conn = c
	c.ctx, c.cancel = context.WithCancel(context.Background())
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	return c
}

// read admits and starts requests until the connection ends. The end of the connection cancels the
// requests in flight.
func (c *conn) read() {
	defer close(c.queue)
	r := bufio.NewReaderSize(c.raw, c.server.limits().HeaderBytes)
	for {
		x := &exchange{req: fasthttp.AcquireRequest(), resp: fasthttp.AcquireResponse(), done: make(chan struct{}),
			request: c.server.cfg.Requests.Hold(uncountedBytes, c.interruptRead)}
		limits := c.server.limits()
		if err := c.awaitRequest(r, limits); err != nil {
			c.abort(x)
			return
		}
		c.reading.Store(true)
		err := c.readRequest(r, x, limits)
		c.reading.Store(false)
		if err != nil && !isRefusable(err) {
			c.abort(x)
			return
		}
		if err == nil && c.busy() {
			err = errBusy
		}
		if !c.admit() {
			release(x)
			c.closeIfIdle()
			return
		}
		if err != nil {
			refuse(x, err)
			close(x.done)
			c.queue <- x
			return
		}
		x.closeAfter = x.req.Header.ConnectionClose()
		c.queue <- x
		go c.serve(x)
		if x.closeAfter {
			c.awaitDisconnect(r)
			return
		}
	}
}

// abort cancels the requests in flight, because the caller has disconnected, and releases x.
func (c *conn) abort(x *exchange) {
	release(x)
	c.cancel()
}

// awaitDisconnect cancels the requests in flight if the caller disconnects after its last request. It
// does not block.
func (c *conn) awaitDisconnect(r *bufio.Reader) {
	_ = c.raw.SetReadDeadline(time.Time{})
	go func() {
		if _, err := r.ReadByte(); err != nil {
			c.cancel()
		}
	}()
}

// closeIfIdle closes the connection if no request is pending; otherwise the writer closes it.
func (c *conn) closeIfIdle() {
	if c.idle() {
		_ = c.raw.Close()
	}
}

// awaitRequest waits for the first byte of a request. The idle timeout ends the wait only if no request
// is pending.
func (c *conn) awaitRequest(r *bufio.Reader, limits routes.Limits) error {
	for {
		_ = c.raw.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
		_, err := r.Peek(1)
		var timeout net.Error
		if err == nil || !errors.As(err, &timeout) || !timeout.Timeout() {
			return err
		}
		if c.idle() {
			return err
		}
	}
}

// idle reports whether no request is pending.
func (c *conn) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending == 0
}

// admit counts a request that was read as in flight. It returns false if the connection is closing or
// the server is draining: the request is then dropped as if it had not been read.
func (c *conn) admit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || c.server.draining.Load() {
		return false
	}
	c.pipelines = c.pipelines || c.unanswered > 0
	c.unanswered++
	c.pending++
	c.server.inflight.Add(1)
	return true
}

// drain closes the connection if no request is pending, and reports whether it did.
func (c *conn) drain() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending > 0 || c.closing {
		return false
	}
	c.closing = true
	_ = c.raw.Close()
	return true
}

// serve runs the handler for one request.
func (c *conn) serve(x *exchange) {
	defer close(x.done)
	c.mu.Lock()
	from := Caller{Pipelines: c.pipelines, exchange: x}
	c.mu.Unlock()
	c.server.cfg.Handler.Serve(c.ctx, from, x.req, x.resp)
	c.holdResponse(x)
}
