// Package peer carries net/rpc calls between nodes over one long-lived TCP connection for each pair
// and direction, with a heartbeat that detects and replaces unresponsive connections.
package peer

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"celerybank/internal/events"
	"celerybank/internal/membudget"
)

// Network opens and accepts connections. Tests substitute one that injects faults.
type Network interface {
	Dial(ctx context.Context, addr string) (net.Conn, error)
	Listen(addr string) (net.Listener, error)
}

// TCP is the Network of a node in production.
type TCP struct {
	// SourceIP, if set, is the local IP address of outgoing connections.
	SourceIP net.IP
	// Bind maps an address that peers connect to (IP:port) to the local address to listen on, where
	// the two differ, as behind a port forwarder.
	Bind map[string]string
}

// Dial connects to addr (IP:port).
func (t TCP) Dial(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{KeepAlive: 15 * time.Second}
	if t.SourceIP != nil {
		d.LocalAddr = &net.TCPAddr{IP: t.SourceIP}
	}
	return d.DialContext(ctx, "tcp", addr)
}

// Listen listens on addr (IP:port), or on the address that Bind maps it to.
func (t TCP) Listen(addr string) (net.Listener, error) {
	if at, ok := t.Bind[addr]; ok {
		addr = at
	}
	return net.Listen("tcp", addr)
}

// ErrNotSent wraps failures after which the peer cannot have received the complete call.
var ErrNotSent = errors.New("call not sent")

// LostError reports a call whose connection was lost after the call had been sent: the peer may have
// executed it.
type LostError struct {
	// Process identifies the process that the connection led to; 0 if it is not known.
	Process uint64
	Err     error
}

func (e *LostError) Error() string { return "connection lost: " + e.Err.Error() }
func (e *LostError) Unwrap() error { return e.Err }

const (
	dialTimeout = 300 * time.Millisecond
	// idleTimeout closes connections without calls, to bound the number of open connections.
	idleTimeout = 40 * time.Second
	// serverIdleTimeout closes accepted connections whose peer has gone without closing them.
	serverIdleTimeout = 2 * idleTimeout
)

// Traffic observes each frame on peer connections: its RPC method, its direction and its size in bytes.
type Traffic func(method string, in bool, n int)

// Pool holds at most one client connection to each peer.
type Pool struct {
	network Network
	events  *events.Recorder
	traffic Traffic
	// memory bounds the frames that are read; nil sets no bound.
	memory *membudget.Budget
	meter  *Meter
	// dialCtx bounds the dials in progress; Close cancels it.
	dialCtx     context.Context
	cancelDials context.CancelFunc

	mu    sync.Mutex
	conns map[string]*conn // nil once the pool is closed
	// verified is when all connections were last checked.
	verified time.Time
}

// NewPool returns an empty pool. traffic may be nil.
func NewPool(network Network, ev *events.Recorder, traffic Traffic) *Pool {
	p := &Pool{network: network, events: ev, traffic: traffic, conns: map[string]*conn{}}
	p.dialCtx, p.cancelDials = context.WithCancel(context.Background())
	return p
}

// SetMemory bounds the frames that are read on all connections together. Call it before the first call.
func (p *Pool) SetMemory(m *membudget.Budget) { p.memory = m }

// SetMeter counts the frames written to peers. Call it before the first call.
func (p *Pool) SetMeter(m *Meter) { p.meter = m }

// Call performs one RPC. An error that wraps ErrNotSent means that the peer cannot have executed the
// call; an rpc.ServerError is the peer's own reply; after any other error, such as a LostError, the call
// may have been executed. After an error, value must not be read: a late reply may still be decoded into it.
func (p *Pool) Call(ctx context.Context, addr, method string, args, value any) error {
	err := p.callOnce(ctx, addr, method, args, value)
	if errors.Is(err, errClosedBefore) {
		// The peer has closed an idle connection: retry once on a new one.
		err = p.callOnce(ctx, addr, method, args, value)
	}
	return err
}

// verifyAfter is the silence on a connection after which a notification is followed by a heartbeat.
const verifyAfter = 5 * time.Second

// Notify sends one message that gets no reply, for what may be lost. An error means that it was not sent.
func (p *Pool) Notify(ctx context.Context, addr, method string, args any) error {
	c, err := p.get(ctx, addr)
	if err != nil {
		return err
	}
	if c.inflight.Load() == 0 {
		c.busySince.Store(time.Now().UnixNano())
	}
	if err := c.codec.write(header{Method: method, Seq: notifySeq}, args); err != nil {
		p.drop(addr, c)
		return err
	}
	if time.Since(time.Unix(0, c.lastRead.Load())) > verifyAfter && c.watched.CompareAndSwap(false, true) {
		go p.verify(addr, c)
	}
	return nil
}

// Ping sends a heartbeat to the peer at addr and waits for its reply.
func (p *Pool) Ping(ctx context.Context, addr string) error {
	return p.Call(ctx, addr, pingMethod, &Ping{}, &Pong{})
}

// errClosedBefore reports a connection that was closed before the call.
var errClosedBefore = errors.Wrap(ErrNotSent, "connection closed before the call")

func (p *Pool) callOnce(ctx context.Context, addr, method string, args, value any) error {
	c, err := p.get(ctx, addr)
	if err != nil {
		return errors.Wrap(ErrNotSent, err.Error())
	}
	if c.callStarted() {
		go p.watch(addr, c)
	}
	defer c.callFinished()
	rep := &reply{value: value}
	call := c.client.Go(method, args, rep, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return p.outcome(addr, c, call.Error, rep)
	case <-ctx.Done():
		rep.abandon()
		return ctx.Err()
	}
}

// outcome returns the error of a finished call, with ErrNotSent if the peer cannot have received it,
// and drops the connection if it is unusable.
func (p *Pool) outcome(addr string, c *conn, err error, rep *reply) error {
	switch {
	case err == nil:
		return rep.err
	case errors.Is(err, rpc.ErrShutdown):
		p.drop(addr, c)
		return errClosedBefore
	case errors.Is(err, errPartialWrite):
		p.drop(addr, c)
		return errors.Wrap(ErrNotSent, err.Error())
	case errors.Is(err, errEncode):
		return errors.Wrap(ErrNotSent, err.Error())
	case errors.Is(err, ErrNoMemory), isServerError(err) && err.Error() == ErrNoMemory.Error():
		return ErrRefused
	case isServerError(err):
		return err
	default:
		return &LostError{Process: c.process.Load(), Err: err}
	}
}

func isServerError(err error) bool {
	var serverErr rpc.ServerError
	return errors.As(err, &serverErr)
}

// errPoolClosed reports a call after Close.
var errPoolClosed = errors.New("pool closed")

// get returns the connection to addr and dials it if there is none.
func (p *Pool) get(ctx context.Context, addr string) (*conn, error) {
	p.mu.Lock()
	if p.conns == nil {
		p.mu.Unlock()
		return nil, errPoolClosed
	}
	c := p.conns[addr]
	if c == nil {
		c = newConn(addr)
		p.conns[addr] = c
		go p.open(addr, c)
	}
	p.mu.Unlock()
	select {
	case <-c.ready:
		return c, c.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// open dials for all calls that wait for c; the deadline of a single call does not cancel it.
func (p *Pool) open(addr string, c *conn) {
	ctx, cancel := context.WithTimeout(p.dialCtx, dialTimeout)
	defer cancel()
	raw, err := p.network.Dial(ctx, addr)
	if err == nil {
		err = p.attach(addr, c, raw)
	}
	if err != nil {
		c.err = err
		p.drop(addr, c)
		close(c.ready)
		return
	}
	close(c.ready)
	select {
	case <-c.closed:
		_ = raw.Close() // c.close does not close raw if it ran before the dial ended
	default:
	}
}

// attach makes raw the connection of c. It sends a heartbeat, whose reply proves that the peer is alive and
// names its process.
func (p *Pool) attach(addr string, c *conn, raw net.Conn) error {
	c.raw = &activityConn{Conn: raw, last: &c.lastRead}
	c.lastRead.Store(time.Now().UnixNano())
	c.expiry = time.AfterFunc(idleTimeout, func() { p.expire(addr, c) })
	c.codec = newCodec(c.raw, p.events.Clock(), p.memory, p.traffic)
	c.codec.meter = p.meter.conn(addr, false)
	c.client = rpc.NewClientWithCodec(clientCodec{codec: c.codec, onPong: c.recordPong, onReply: func() { c.replies.Add(1) }, onMalformed: func(err error) {
		p.events.Emit(events.PeerFrameMalformed, events.Fields{"peer": addr, "reason": err.Error()})
	}})
	return c.ping()
}

// drop removes c from the pool and closes it.
func (p *Pool) drop(addr string, c *conn) {
	p.mu.Lock()
	if p.conns[addr] == c {
		delete(p.conns, addr)
	}
	p.mu.Unlock()
	c.close()
}

// Close closes every connection and cancels the dials in progress.
func (p *Pool) Close() {
	p.cancelDials()
	p.mu.Lock()
	conns := p.conns
	p.conns = nil
	p.mu.Unlock()
	for _, c := range conns {
		c.close()
	}
}
