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

	"celerybank/internal/httpresponse"
	"celerybank/internal/membudget"
	"celerybank/internal/verdict"
)

// Dialer opens connections to the upstream.
type Dialer interface {
	Dial(ctx context.Context, addr string) (net.Conn, error)
}

// Headers of the exchange with upstreams.
const (
	// TimeoutHeader on a request is how long the caller waits, in milliseconds.
	TimeoutHeader = "X-Request-Timeout-Ms"
	// NotExecutedHeader on a response says that the upstream refused the request without executing it.
	NotExecutedHeader = "X-Not-Executed"
)

// maxMismatched bounds the late responses of earlier exchanges that are dropped before the one that belongs to the request.
const maxMismatched = 2

// ErrMismatchedResponse reports a connection that delivers responses to other requests.
var ErrMismatchedResponse = errors.New("upstream sent responses to other requests")

// ErrUnproven reports a response that may be that of an earlier request on the same connection.
var ErrUnproven = errors.New("response does not name its request")

// ErrTooLarge reports a response whose head or body exceeds the size limit.
var ErrTooLarge = errors.New("response exceeds the size limit")

// dialTimeout bounds the opening of a connection, which is always within the host.
const dialTimeout = 500 * time.Millisecond

// MaxFreshIdle bounds the idle time of a connection that carries a request which may run only once. The
// upstream may have dropped a connection that was idle for longer, and the outcome of a request sent on
// it would be unknown.
const MaxFreshIdle = 2 * time.Second

// freshKey is the context key of WithFreshConn.
type freshKey struct{}

// WithFreshConn returns a context whose request takes only connections idle for less than MaxFreshIdle.
func WithFreshConn(ctx context.Context) context.Context {
	return context.WithValue(ctx, freshKey{}, true)
}

// maxIdle is the longest idle time of a connection that is reused, so that a request rarely gets one
// which the upstream is about to close or on which packets are lost.
const maxIdle = 8 * time.Second

// Buffers of a connection; the head of a response must fit into the read buffer.
const (
	readBufferBytes  = 16 << 10
	writeBufferBytes = 4 << 10
)

// Client sends requests to one upstream process over a bounded number of connections. It determines
// the verdict of every request, as it knows whether bytes of the request have been sent.
type Client struct {
	addr    string
	dialer  Dialer
	maxBody int
	// inUse has one element for each connection in use; its capacity is the maximum.
	inUse   chan struct{}
	dialect Dialect
	// beforeSend may delay or, with an error, stop a request that is about to be sent; nil does neither. sent is
	// called when the request has been written or given up.
	beforeSend func(context.Context) (sent func(), err error)
	// onRestart is called after the upstream has closed all its connections at once.
	onRestart func()

	// responseMemory bounds what the responses being read take; nil sets no bound.
	responseMemory *membudget.Budget

	mu          sync.Mutex
	idle        []*clientConn
	open        int
	lossCounter lossCounter
}

type clientConn struct {
	net.Conn
	received *meteredReader
	r        *bufio.Reader
	w        *bufio.Writer
	// lastUsed is when the connection was last acquired for a request or released.
	lastUsed time.Time
	// reused is set once a response was read.
	reused bool
	// refused are the hashes of the requests that the upstream refused on this connection. A faulty upstream
	// may write a refusal twice, so that none of them is sent on this connection again.
	refused []uint64
	// spoiled is set when a response was not identified as that of its request.
	spoiled bool
}

// maxRefused is the number of refusals after which a connection is not reused.
const maxRefused = 32

// NewClient returns a client of the upstream at addr with at most maxConns connections and response
// bodies of at most maxBody bytes. onRestart may be nil.
func NewClient(addr string, dialer Dialer, maxConns, maxBody int, onRestart func()) *Client {
	if onRestart == nil {
		onRestart = func() {}
	}
	return &Client{addr: addr, dialer: dialer, maxBody: maxBody, inUse: make(chan struct{}, maxConns), dialect: defaultDialect, onRestart: onRestart}
}

// SetDialect sets how responses are interpreted, and returns the client. Call it before the first Do.
func (c *Client) SetDialect(d Dialect) *Client {
	c.dialect = d
	return c
}

// SetBeforeSend sets a function that is called before each request is sent and may delay it or stop it with an
// error, and returns the client. The function that it returns is called, perhaps twice, when the request has been
// written or given up. Call SetBeforeSend before the first Do.
func (c *Client) SetBeforeSend(beforeSend func(context.Context) (sent func(), err error)) *Client {
	c.beforeSend = beforeSend
	return c
}

// SetResponseMemory sets the memory that the responses being read share with other clients, and returns the client.
// Call it before the first Do.
func (c *Client) SetResponseMemory(m *membudget.Budget) *Client {
	c.responseMemory = m
	return c
}

// Do sends req once and reads the complete response into resp. It waits while all connections are in
// use. When ctx ends it closes the connection, by which the upstream detects the cancellation. A
// connection whose exchange was not completed is closed and not reused.
func (c *Client) Do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) (verdict.Verdict, error) {
	v, held, err := c.DoHeld(ctx, req, resp)
	held.Release()
	return v, err
}

// DoHeld is Do for a response that is passed on. held has its memory, if it needed any, until the caller releases it.
func (c *Client) DoHeld(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) (v verdict.Verdict, held *membudget.Holder, err error) {
	select {
	case c.inUse <- struct{}{}:
		defer func() { <-c.inUse }()
	case <-ctx.Done():
		return verdict.NotRun, nil, ctx.Err()
	}
	conn, err := c.acquire(ctx, c.dialect.requestHash(req))
	if err != nil {
		return verdict.NotRun, nil, err
	}
	sent := func() {}
	if c.beforeSend != nil {
		if sent, err = c.beforeSend(ctx); err != nil {
			c.putBack(conn)
			return verdict.NotRun, nil, err
		}
		defer sent()
	}
	began := time.Now()
	conn.lastUsed = began
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	v, err = c.exchange(ctx, conn, req, resp, sent)
	evicted := conn.received.held.Evicted()
	if err == nil && !evicted {
		held = conn.received.held.Detach()
	}
	conn.received.release()
	inTime := stop()
	if evicted && (err != nil || v != verdict.NotRun) {
		v, err = verdict.Ran, ErrTooLarge // also if it was read completely: its memory is that of another one
	}
	switch {
	case inTime && err == nil && !evicted && !resp.ConnectionClose() && conn.reusable():
		c.release(conn)
	case inTime && err != nil && !errors.Is(err, ErrTooLarge) && !errors.Is(err, ErrUnproven) && !errors.Is(err, httpresponse.ErrMalformed):
		c.closeBroken(conn)
	default:
		c.discard(conn)
	}
	if err != nil && ctx.Err() != nil {
		err = ctx.Err()
		c.dropIdleBefore(began)
	}
	return v, held, err
}

// exchange writes a request and reads the response to it. sent is called between the two.
func (c *Client) exchange(ctx context.Context, conn *clientConn, req *fasthttp.Request, resp *fasthttp.Response, sent func()) (verdict.Verdict, error) {
	if err := ctx.Err(); err != nil {
		return verdict.NotRun, err
	}
	// In a process that was suspended, this line may be reached before the timer of ctx has fired.
	if d, ok := ctx.Deadline(); ok && !time.Now().Before(d) {
		return verdict.NotRun, context.DeadlineExceeded
	}
	if err := req.Write(conn.w); err != nil {
		return verdict.MayHaveRun, err
	}
	if err := conn.w.Flush(); err != nil {
		return verdict.MayHaveRun, err
	}
	sent()
	for range 1 + maxMismatched {
		if v, err := c.readResponse(conn, req, resp); err != nil {
			return v, err
		}
		m := c.dialect.match(req, resp)
		fresh := !conn.reused
		conn.reused, conn.spoiled = true, conn.spoiled || m != matchSame
		if m != matchOther {
			return c.verdict(conn, req, resp, m == matchSame || fresh)
		}
	}
	return verdict.MayHaveRun, ErrMismatchedResponse
}

// readResponse reads one complete response.
func (c *Client) readResponse(conn *clientConn, req *fasthttp.Request, resp *fasthttp.Response) (verdict.Verdict, error) {
	err := httpresponse.ReadReserved(conn.r, resp, req.Header.IsHead(), c.maxBody, func(n int) error {
		return conn.received.reserve(n, conn.r.Buffered())
	})
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge) || errors.Is(err, httpresponse.ErrHeadTooLarge) || errors.Is(err, membudget.ErrExhausted):
		return verdict.Ran, ErrTooLarge
	case err != nil:
		return verdict.MayHaveRun, err
	}
	return verdict.Ran, nil
}

// reusable reports whether the connection may carry another request.
func (c *clientConn) reusable() bool {
	return c.r.Buffered() == 0 && !c.spoiled && len(c.refused) < maxRefused
}

// acquire returns an idle connection that is still open, or a new one if there is none. It closes
// connections on which the request with this hash was refused.
func (c *Client) acquire(ctx context.Context, request uint64) (*clientConn, error) {
	limit := maxIdle
	if ctx.Value(freshKey{}) != nil {
		limit = MaxFreshIdle
	}
	for conn := c.popIdle(); conn != nil; conn = c.popIdle() {
		idle := time.Since(conn.lastUsed)
		switch {
		case idle >= limit && limit < maxIdle && idle < maxIdle:
			c.putBack(conn) // the list ends with the last used one, so all others are too old as well
			return c.connect(ctx)
		case idle >= maxIdle, request != 0 && slices.Contains(conn.refused, request):
			c.discard(conn)
		case !isOpen(conn):
			c.closeBroken(conn)
		default:
			return conn, nil
		}
	}
	return c.connect(ctx)
}

// putBack returns a connection to the idle list without updating lastUsed.
func (c *Client) putBack(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, conn)
}

// connect opens a connection and counts it.
func (c *Client) connect(ctx context.Context) (*clientConn, error) {
	raw, err := c.dial(ctx)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.open++
	c.mu.Unlock()
	received := &meteredReader{conn: raw, held: c.responseMemory.Hold(readBufferBytes, func() { _ = raw.Close() })}
	return &clientConn{Conn: raw, received: received, r: bufio.NewReaderSize(received, readBufferBytes), w: bufio.NewWriterSize(raw, writeBufferBytes)}, nil
}

func (c *Client) dial(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.dialer.Dial(ctx, c.addr)
	if err == nil {
		setUnackedTimeout(conn)
	}
	return conn, err
}

// AcceptsConn reports whether the upstream accepts a new connection.
func (c *Client) AcceptsConn(ctx context.Context) bool {
	conn, err := c.dial(ctx)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

func (c *Client) popIdle() *clientConn {
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

func (c *Client) release(conn *clientConn) {
	conn.lastUsed = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, conn)
}

// discard closes a connection that the upstream has not closed.
func (c *Client) discard(conn *clientConn) {
	_ = conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
	c.lossCounter.closedLocally()
}

// dropIdleBefore closes the idle connections that were last used at t or before: after a timeout on
// one connection, the others may be broken too.
func (c *Client) dropIdleBefore(t time.Time) {
	c.closeIdle(func(conn *clientConn) bool { return !conn.lastUsed.After(t) })
}

// CloseIdle closes the idle connections.
func (c *Client) CloseIdle() { c.closeIdle(func(*clientConn) bool { return true }) }

// closeIdle closes the idle connections for which match returns true.
func (c *Client) closeIdle(match func(*clientConn) bool) {
	c.mu.Lock()
	var closing []*clientConn
	c.idle = slices.DeleteFunc(c.idle, func(conn *clientConn) bool {
		if !match(conn) {
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
