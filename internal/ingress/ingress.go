// Package ingress takes requests of callers over HTTP/1.1: kept, new and pipelined
// connections, bodies with a length or in chunks. A caller that leaves cancels its
// requests at once. One task reads a connection, one writes its answers in order.
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

	"celerybank/internal/routes"
)

// Handler answers one request; ctx ends when its caller leaves.
type Handler interface {
	Serve(ctx context.Context, from Caller, req *fasthttp.Request, resp *fasthttp.Response)
}

// Caller is what its connection tells of a caller.
type Caller struct {
	// Pipelines is set once the caller has sent a request before the answer to an earlier one: answers
	// go out in order, so others may wait for this one.
	Pipelines bool
}

// Config has what a server needs.
type Config struct {
	Handler Handler
	// Limits returns what the configuration in force bounds.
	Limits func() routes.Limits
	// BodyBytes bounds one body whatever the configuration says; AllBodies bounds those that are
	// being read at one time.
	BodyBytes int
	AllBodies int64
}

// Server serves callers.
type Server struct {
	cfg      Config
	draining atomic.Bool
	inflight atomic.Int64
	bodies   atomic.Int64

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// New returns a server.
func New(cfg Config) *Server { return &Server{cfg: cfg, conns: map[*conn]struct{}{}} }

// Defaults until a configuration is known; those of the platform's examples.
const (
	defaultHeaderBytes   = 16 << 10
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	defaultBodyBytes     = 1 << 20
)

// maxPipelined bounds the requests of one connection that are answered at once.
const maxPipelined = 32

// writeTimeout bounds the write of one answer: a caller that reads nothing for so long is gone.
const writeTimeout = 10 * time.Second

// lingerTimeout bounds the wait for the caller's close after the last answer, so that the
// answer is not lost to a reset.
const lingerTimeout = 500 * time.Millisecond

// Inflight returns the requests that were taken and whose answers are not written.
func (s *Server) Inflight() int64 { return s.inflight.Load() }

// Drain takes no more requests: it closes idle connections and new ones now, and others after
// their current answers. Every request that was taken before counts in Inflight when it returns.
func (s *Server) Drain() {
	s.draining.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIdle()
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
			time.Sleep(acceptPause) // out of descriptors, or a connection that was reset before
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

// acceptPause is the wait after a failed accept.
const acceptPause = 5 * time.Millisecond

// Close ends every connection.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.raw.Close()
	}
}

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
	leave  context.CancelFunc
	// queue has the requests in order; the writer takes their answers when done.
	queue chan *exchange

	mu sync.Mutex
	// pipelines is set once a request came while another was pending.
	pipelines bool
	// unanswered counts requests whose answer has not begun to go out.
	unanswered int
	// pending counts requests that were read and whose answer is not written.
	pending int
	// closing is set once an answer that closes the connection is chosen: nothing that comes
	// after it counts as read.
	closing bool
}

// exchange is one request and its answer.
type exchange struct {
	req  *fasthttp.Request
	resp *fasthttp.Response
	done chan struct{}
	// last closes the connection after this answer.
	last bool
}

func (s *Server) newConn(raw net.Conn) *conn {
	c := &conn{server: s, raw: raw, queue: make(chan *exchange, maxPipelined)}
	c.ctx, c.leave = context.WithCancel(context.Background())
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	return c
}

// read takes requests until the connection ends. Its end cancels what is under way.
func (c *conn) read() {
	defer close(c.queue)
	r := bufio.NewReaderSize(c.raw, c.server.limits().HeaderBytes)
	for {
		x := &exchange{req: fasthttp.AcquireRequest(), resp: fasthttp.AcquireResponse(), done: make(chan struct{})}
		limits := c.server.limits()
		if err := c.await(r, limits); err != nil {
			c.gone(x)
			return
		}
		err := c.receive(r, x, limits)
		if err != nil && !answerable(err) {
			c.gone(x)
			return
		}
		if !c.admit() {
			release(x)
			c.hangUp()
			return
		}
		if err != nil {
			refuse(x, err)
			close(x.done)
			c.queue <- x
			return
		}
		x.last = x.req.Header.ConnectionClose()
		c.queue <- x
		go c.serve(x)
		if x.last {
			c.watch(r)
			return
		}
	}
}

// gone ends what is under way: the caller has left.
func (c *conn) gone(x *exchange) {
	release(x)
	c.leave()
}

// watch waits for the caller to leave after its last request.
func (c *conn) watch(r *bufio.Reader) {
	_ = c.raw.SetReadDeadline(time.Time{})
	go func() {
		if _, err := r.ReadByte(); err != nil {
			c.leave()
		}
	}()
}

// hangUp closes a connection on which nothing is under way.
func (c *conn) hangUp() {
	if c.idle() {
		_ = c.raw.Close()
	}
}

// await waits for the first byte of a request.
func (c *conn) await(r *bufio.Reader, limits routes.Limits) error {
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

func (c *conn) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending == 0
}

// admit takes a request that was read, unless the connection is closing: then it counts as not read.
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

// closeIdle closes a connection that waits for a request.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == 0 && !c.closing {
		c.closing = true
		_ = c.raw.Close()
	}
}

func (c *conn) serve(x *exchange) {
	defer close(x.done)
	c.mu.Lock()
	from := Caller{Pipelines: c.pipelines}
	c.mu.Unlock()
	c.server.cfg.Handler.Serve(c.ctx, from, x.req, x.resp)
}

// write sends the answers in the order of the requests.
func (c *conn) write() {
	defer c.end()
	w := bufio.NewWriterSize(c.raw, writeBuffer)
	for x := range c.queue {
		<-x.done
		last := c.finish(x)
		err := c.send(w, x, last)
		left := c.sent()
		c.server.inflight.Add(-1)
		release(x)
		if err != nil {
			c.leave()
			break
		}
		if last {
			c.linger()
			break
		}
		if left {
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

// writeBuffer is the buffer for answers, in bytes.
const writeBuffer = 4 << 10

// finish decides whether the connection closes after x.
func (c *conn) finish(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered--
	last := x.last || (c.server.draining.Load() && c.pending == 1)
	c.closing = c.closing || last
	return last
}

// sent takes in that an answer was written: not before that does the connection count as idle. It
// reports whether the connection is idle in a drain that began meanwhile.
func (c *conn) sent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	left := c.pending == 0 && c.server.draining.Load()
	c.closing = c.closing || left
	return left
}

func (c *conn) send(w *bufio.Writer, x *exchange, last bool) error {
	x.resp.Header.SetNoDefaultContentType(true)
	x.resp.Header.DisableNormalizing()
	x.resp.SkipBody = x.req.Header.IsHead()
	if last {
		x.resp.SetConnectionClose()
	}
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := x.resp.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// linger closes the sending side and waits a moment for the caller to close.
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

func (c *conn) end() {
	c.leave()
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
}

func release(x *exchange) {
	fasthttp.ReleaseRequest(x.req)
	fasthttp.ReleaseResponse(x.resp)
}
