// Package ingress serves callers over HTTP/1.1: persistent connections, pipelined requests, and bodies
// with a content length or in chunks. A caller that disconnects cancels its requests at once. Each
// connection has one goroutine that reads requests and one that writes the responses in order.
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

// Handler serves the requests of callers.
type Handler interface {
	// Serve writes the response to req into resp; ctx ends when the caller disconnects.
	Serve(ctx context.Context, from Caller, req *fasthttp.Request, resp *fasthttp.Response)
}

// Caller describes a caller as seen on its connection.
type Caller struct {
	// Pipelines is set once the caller has sent a request before the response to an earlier one.
	// Responses are written in order, so later ones may wait for this one.
	Pipelines bool
}

// Config configures a Server.
type Config struct {
	Handler Handler
	// Limits returns the limits of the configuration in force.
	Limits func() routes.Limits
	// BodyBytes is the maximum size of one request body in bytes, also if Limits allows more.
	BodyBytes int
	// TotalBodyBytes is the maximum sum of the sizes of all bodies, from their reading to the end of the response.
	TotalBodyBytes int64
}

// Server accepts connections of callers.
type Server struct {
	cfg      Config
	draining atomic.Bool
	inflight atomic.Int64
	bodies   *membudget.Budget

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// New returns a server without connections.
func New(cfg Config) *Server {
	return &Server{cfg: cfg, bodies: membudget.New(cfg.TotalBodyBytes), conns: map[*conn]struct{}{}}
}

// Defaults for limits that the configuration does not set, or while there is none. They are the values
// of the platform's examples.
const (
	defaultHeaderBytes   = 16 << 10
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	defaultBodyBytes     = 1 << 20
)

// maxPipelined is the capacity of a connection's queue of admitted requests. The reader blocks when it is
// full, which bounds the requests that one connection runs concurrently.
const maxPipelined = 32

// writeTimeout bounds the write of one response: a caller that reads nothing for this long counts as
// disconnected.
const writeTimeout = 10 * time.Second

// lingerTimeout bounds the wait for the caller to close the connection after the last response. Closing
// it at once could reset the connection before the caller has read the response.
const lingerTimeout = 500 * time.Millisecond

// Inflight returns the number of admitted requests whose responses are not written yet.
func (s *Server) Inflight() int64 { return s.inflight.Load() }

// Drain stops admitting requests: it closes idle and new connections at once, and the others after the
// responses to the requests in flight. When it returns, Inflight counts every request admitted before.
func (s *Server) Drain() {
	s.draining.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.drain()
	}
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		raw, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(acceptRetryDelay) // out of file descriptors, or the connection was reset already
			continue
		}
		if s.draining.Load() {
			_ = raw.Close()
			continue
		}
		c := s.newConn(raw)
		go c.read()
		go c.write()
	}
}

// acceptRetryDelay is the delay after a failed accept.
const acceptRetryDelay = 5 * time.Millisecond

// Close closes every connection.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.raw.Close()
	}
}

// limits returns the limits in force, with defaults filled in.
func (s *Server) limits() routes.Limits {
	l := s.cfg.Limits()
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = defaultHeaderBytes
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = defaultBodyBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	l.BodyBytes = min(l.BodyBytes, s.cfg.BodyBytes)
	return l
}

// conn is one connection of a caller.
type conn struct {
	server *Server
	raw    net.Conn
	ctx    context.Context
	cancel context.CancelFunc
	// chunks counts the bytes of a body in chunks while it is being read.
	chunks chunkReader
	// queue has the requests in the order of their arrival, which is that of their responses.
	queue chan *exchange

	mu sync.Mutex
	// pipelines is set once a request arrived before the response to an earlier one was written.
	pipelines bool
	// unanswered counts admitted requests whose response is not being written yet.
	unanswered int
	// pending counts admitted requests whose response is not completely written.
	pending int
	// closing is set once it is decided after which response the connection closes. Requests that
	// arrive later are not admitted.
	closing bool
}

// exchange is one request and its response.
type exchange struct {
	req  *fasthttp.Request
	resp *fasthttp.Response
	done chan struct{} // closed when resp is complete
	body *membudget.Holder
	// closeAfter closes the connection after this response.
	closeAfter bool
}

func (s *Server) newConn(raw net.Conn) *conn {
	c := &conn{server: s, raw: raw, chunks: chunkReader{conn: raw}, queue: make(chan *exchange, maxPipelined)}
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
	r := bufio.NewReaderSize(&c.chunks, c.server.limits().HeaderBytes)
	for {
		x := &exchange{req: fasthttp.AcquireRequest(), resp: fasthttp.AcquireResponse(), done: make(chan struct{}),
			body: c.server.bodies.Hold(uncountedBodyBytes, c.interruptRead)}
		limits := c.server.limits()
		if err := c.awaitRequest(r, limits); err != nil {
			c.abort(x)
			return
		}
		err := c.readRequest(r, x, limits)
		if err != nil && !isRefusable(err) {
			c.abort(x)
			return
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

// drain closes the connection if no request is pending.
func (c *conn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == 0 && !c.closing {
		c.closing = true
		_ = c.raw.Close()
	}
}

// serve runs the handler for one request.
func (c *conn) serve(x *exchange) {
	defer close(x.done)
	c.mu.Lock()
	from := Caller{Pipelines: c.pipelines}
	c.mu.Unlock()
	c.server.cfg.Handler.Serve(c.ctx, from, x.req, x.resp)
}

// write writes the responses in the order of the requests, and closes the connection.
func (c *conn) write() {
	defer c.unregister()
	w := bufio.NewWriterSize(c.raw, writeBufferSize)
	for x := range c.queue {
		<-x.done
		closeAfter := c.beginResponse(x)
		err := c.writeResponse(w, x, closeAfter)
		drained := c.endResponse()
		c.server.inflight.Add(-1)
		release(x)
		if err != nil {
			c.cancel()
			break
		}
		if closeAfter {
			c.linger()
			break
		}
		if drained {
			break
		}
	}
	_ = c.raw.Close()
	for x := range c.queue {
		<-x.done
		c.server.inflight.Add(-1)
		release(x)
	}
}

// writeBufferSize is the size of the buffer for responses, in bytes.
const writeBufferSize = 4 << 10

// beginResponse decides whether the connection closes after the response of x.
func (c *conn) beginResponse(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered--
	closeAfter := x.closeAfter || (c.server.draining.Load() && c.pending == 1)
	c.closing = c.closing || closeAfter
	return closeAfter
}

// endResponse records that a response was written; only then may the connection count as idle. It reports
// whether the connection is idle and the server is draining, so that the connection has to be closed.
func (c *conn) endResponse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	drained := c.pending == 0 && c.server.draining.Load()
	c.closing = c.closing || drained
	return drained
}

// writeResponse writes the response of x. It neither normalizes the header names nor adds a content type;
// with closeAfter it adds Connection: close.
func (c *conn) writeResponse(w *bufio.Writer, x *exchange, closeAfter bool) error {
	x.resp.Header.SetNoDefaultContentType(true)
	x.resp.Header.DisableNormalizing()
	x.resp.SkipBody = x.req.Header.IsHead()
	if closeAfter {
		x.resp.SetConnectionClose()
	}
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := x.resp.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// linger closes the sending side and waits up to lingerTimeout for the caller to close the connection.
func (c *conn) linger() {
	half, ok := c.raw.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	select {
	case <-c.ctx.Done():
	case <-time.After(lingerTimeout):
	}
}

// unregister cancels the requests that are still in flight and removes the connection from the server.
func (c *conn) unregister() {
	c.cancel()
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
}

// release returns the request and the response of x to their pools, and the memory of the body.
func release(x *exchange) {
	x.body.Release()
	fasthttp.ReleaseRequest(x.req)
	fasthttp.ReleaseResponse(x.resp)
}
