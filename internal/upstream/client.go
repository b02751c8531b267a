package upstream

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"celerybank/internal/verdict"
)

// Dialer opens connections to the upstream.
type Dialer interface {
	Dial(ctx context.Context, addr string) (net.Conn, error)
}

// Headers of the exchange with upstreams.
const (
	// TimeoutHeader tells the upstream how long the caller waits, in milliseconds.
	TimeoutHeader = "X-Request-Timeout-Ms"
	// NotExecutedHeader on an answer says that the upstream refused the request unexecuted.
	NotExecutedHeader = "X-Not-Executed"
)

// Dialect says how the upstream marks its answers.
type Dialect struct {
	// NotExecuted reports whether an answer says that the request was not run.
	NotExecuted func(*fasthttp.Response) bool
	// Answers reports whether an answer belongs to the request; nil takes every answer. One that
	// does not is late from an earlier exchange and is dropped.
	Answers func(*fasthttp.Request, *fasthttp.Response) bool
}

// ownDialect is the product's own interface.
var ownDialect = Dialect{NotExecuted: func(resp *fasthttp.Response) bool { return len(resp.Header.Peek(NotExecutedHeader)) > 0 }}

// maxForeign bounds the late answers of earlier exchanges that are dropped before one that belongs.
const maxForeign = 2

// ErrForeign reports a connection that delivers answers to other requests.
var ErrForeign = errors.New("answer to another request")

// ErrTooLarge reports an answer over the size limit, in its head or in its body.
var ErrTooLarge = errors.New("answer over the size limit")

// dialTimeout bounds the opening of a connection on the own host.
const dialTimeout = 500 * time.Millisecond

// FreshIdle bounds the idle time of a connection for a request that must not meet one that
// the upstream has forgotten: a request that may run once only is lost to it.
const FreshIdle = 2 * time.Second

// freshOnly marks a context whose request takes recently used connections only.
type freshOnly struct{}

// WithFresh returns a context whose request takes only connections idle for less than FreshIdle.
func WithFresh(ctx context.Context) context.Context { return context.WithValue(ctx, freshOnly{}, true) }

// maxIdle bounds how long a kept connection may have been idle, so that a request
// rarely meets one that the upstream is about to close, or that has gone silent.
const maxIdle = 8 * time.Second

// Buffers of a connection, in bytes; the head of an answer must fit into readBuffer.
const (
	readBuffer  = 16 << 10
	writeBuffer = 4 << 10
)

// Client sends requests to one upstream process over a bounded number of
// connections. The verdict of every request is set here, where its bytes leave.
type Client struct {
	addr    string
	dialer  Dialer
	maxBody int
	slots   chan struct{}
	dialect Dialect
	// beforeSend delays a request whose bytes are about to leave; nil lets all go.
	beforeSend func(context.Context) error
	// onRestart is called when the upstream closed all its connections at once.
	onRestart func()

	mu     sync.Mutex
	idle   []*clientConn
	open   int
	losses losses
}

type clientConn struct {
	net.Conn
	r *bufio.Reader
	w *bufio.Writer
	// since is when the connection was last taken into use or kept.
	since time.Time
}

// NewClient returns a client of the upstream at addr with at most maxConns connections
// and answers of at most maxBody bytes. onRestart may be nil.
func NewClient(addr string, dialer Dialer, maxConns, maxBody int, onRestart func()) *Client {
	if onRestart == nil {
		onRestart = func() {}
	}
	return &Client{addr: addr, dialer: dialer, maxBody: maxBody, slots: make(chan struct{}, maxConns), dialect: ownDialect, onRestart: onRestart}
}

// Speak sets how the upstream marks its answers, and returns the client. Call it before the first Do.
func (c *Client) Speak(d Dialect) *Client {
	c.dialect = d
	return c
}

// Pace lets beforeSend delay each request when its bytes are about to leave, and returns the client.
// Call it before the first Do.
func (c *Client) Pace(beforeSend func(context.Context) error) *Client {
	c.beforeSend = beforeSend
	return c
}

// Do sends req once and reads the whole answer into resp. It waits while all
// connections are in use. A cancelled ctx closes the connection, which is how
// upstreams learn of it. A connection whose exchange did not end whole is closed
// and never used again.
func (c *Client) Do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) (verdict.Verdict, error) {
	select {
	case c.slots <- struct{}{}:
		defer func() { <-c.slots }()
	case <-ctx.Done():
		return verdict.NotRun, ctx.Err()
	}
	conn, err := c.take(ctx)
	if err != nil {
		return verdict.NotRun, err
	}
	if c.beforeSend != nil {
		if err := c.beforeSend(ctx); err != nil {
			c.putBack(conn)
			return verdict.NotRun, err
		}
	}
	began := time.Now()
	conn.since = began
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	v, err := c.exchange(ctx, conn, req, resp)
	inTime := stop()
	switch {
	case inTime && err == nil && !resp.ConnectionClose() && conn.r.Buffered() == 0:
		c.keep(conn)
	case inTime && err != nil && !errors.Is(err, ErrTooLarge):
		c.lose(conn)
	default:
		c.discard(conn)
	}
	if err != nil && ctx.Err() != nil {
		err = ctx.Err()
		c.dropIdleBefore(began)
	}
	return v, err
}

func (c *Client) exchange(ctx context.Context, conn *clientConn, req *fasthttp.Request, resp *fasthttp.Response) (verdict.Verdict, error) {
	if err := ctx.Err(); err != nil {
		return verdict.NotRun, err
	}
	// A process that was paused may get here before the timer of ctx has run.
	if d, ok := ctx.Deadline(); ok && !time.Now().Before(d) {
		return verdict.NotRun, context.DeadlineExceeded
	}
	if err := req.Write(conn.w); err != nil {
		return verdict.MayHaveRun, err
	}
	if err := conn.w.Flush(); err != nil {
		return verdict.MayHaveRun, err
	}
	for range 1 + maxForeign {
		if v, err := c.readAnswer(conn, req, resp); err != nil {
			return v, err
		}
		if c.dialect.Answers == nil || c.dialect.Answers(req, resp) {
			if c.dialect.NotExecuted(resp) {
				return verdict.NotRun, nil
			}
			return verdict.Ran, nil
		}
		resp.Reset()
	}
	return verdict.MayHaveRun, ErrForeign
}

// readAnswer reads one answer whole.
func (c *Client) readAnswer(conn *clientConn, req *fasthttp.Request, resp *fasthttp.Response) (verdict.Verdict, error) {
	resp.SkipBody = req.Header.IsHead()
	err := resp.ReadLimitBody(conn.r, c.maxBody)
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge) || errors.As(err, &small):
		return verdict.Ran, ErrTooLarge
	case err != nil:
		return verdict.MayHaveRun, err
	}
	return verdict.Ran, nil
}

// take returns an idle connection that is still open, else a new one.
func (c *Client) take(ctx context.Context) (*clientConn, error) {
	limit := maxIdle
	if ctx.Value(freshOnly{}) != nil {
		limit = FreshIdle
	}
	for conn := c.pop(); conn != nil; conn = c.pop() {
		idle := time.Since(conn.since)
		switch {
		case idle >= limit && limit < maxIdle && idle < maxIdle:
			c.putBack(conn) // the newest one is too old for this request, and so are all others
			return c.connect(ctx)
		case idle >= maxIdle:
			c.discard(conn)
		case !isOpen(conn):
			c.lose(conn)
		default:
			return conn, nil
		}
	}
	return c.connect(ctx)
}

// putBack returns an idle connection as it was.
func (c *Client) putBack(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, conn)
}

// connect opens a new connection.
func (c *Client) connect(ctx context.Context) (*clientConn, error) {
	raw, err := c.dial(ctx)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.open++
	c.mu.Unlock()
	return &clientConn{Conn: raw, r: bufio.NewReaderSize(raw, readBuffer), w: bufio.NewWriterSize(raw, writeBuffer)}, nil
}

func (c *Client) dial(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.dialer.Dial(ctx, c.addr)
	if err == nil {
		limitSilence(conn)
	}
	return conn, err
}

// Accepts reports whether the upstream accepts a new connection.
func (c *Client) Accepts(ctx context.Context) bool {
	conn, err := c.dial(ctx)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

func (c *Client) pop() *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.idle)
	if n == 0 {
		return nil
	}
	conn := c.idle[n-1]
	c.idle = c.idle[:n-1]
	return conn
}

func (c *Client) keep(conn *clientConn) {
	conn.since = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, conn)
}

// discard closes a connection for a reason of this side's own.
func (c *Client) discard(conn *clientConn) {
	_ = conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
	c.losses.closedHere()
}

// dropIdleBefore closes the idle connections that have answered nothing after t: when
// one has gone silent, what stood beside it may have too.
func (c *Client) dropIdleBefore(t time.Time) {
	c.closeIdle(func(conn *clientConn) bool { return !conn.since.After(t) })
}

// CloseIdle closes the connections that no request uses.
func (c *Client) CloseIdle() { c.closeIdle(func(*clientConn) bool { return true }) }

func (c *Client) closeIdle(which func(*clientConn) bool) {
	c.mu.Lock()
	var closing []*clientConn
	c.idle = slices.DeleteFunc(c.idle, func(conn *clientConn) bool {
		if !which(conn) {
			return false
		}
		closing = append(closing, conn)
		return true
	})
	c.mu.Unlock()
	for _, conn := range closing {
		c.discard(conn)
	}
}
