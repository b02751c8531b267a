// Package peer carries net/rpc calls between nodes over one long-lived TCP
// connection for each pair, with a heartbeat that replaces silent connections.
package peer

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"celerybank/internal/events"
)

// Network opens connections; tests put a faulty one in its place.
type Network interface {
	Dial(ctx context.Context, addr string) (net.Conn, error)
	Listen(addr string) (net.Listener, error)
}

// TCP is the Network of a running node.
type TCP struct {
	// From, when set, is the local IP of outgoing connections.
	From net.IP
	// Bind has where to listen for what others reach at another address, as behind a port forwarder.
	Bind map[string]string
}

// Dial connects to addr (IP:port).
func (t TCP) Dial(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{KeepAlive: 15 * time.Second}
	if t.From != nil {
		d.LocalAddr = &net.TCPAddr{IP: t.From}
	}
	return d.DialContext(ctx, "tcp", addr)
}

// Listen listens on addr (IP:port), or where Bind says.
func (t TCP) Listen(addr string) (net.Listener, error) {
	if at, ok := t.Bind[addr]; ok {
		addr = at
	}
	return net.Listen("tcp", addr)
}

// ErrNotSent wraps failures in which no byte of the call left this node.
var ErrNotSent = errors.New("call not sent")

// ErrSilent reports a connection that missed its heartbeat.
var ErrSilent = errors.New("peer connection silent")

// Heartbeat timing: a connection with calls in flight that has delivered nothing for
// pingAfter is probed, and closed when nothing arrives within pingTimeout. Together
// with checkInterval that is under a second.
const (
	checkInterval = 100 * time.Millisecond
	pingAfter     = 500 * time.Millisecond
	pingTimeout   = 350 * time.Millisecond
	dialTimeout   = 300 * time.Millisecond
	// idleTimeout closes connections without calls, to bound what a node holds open.
	idleTimeout = 60 * time.Second
	// serverIdleTimeout closes accepted connections whose other end is gone.
	serverIdleTimeout = 2 * idleTimeout
)

// Traffic observes bytes on peer connections by rpc method.
type Traffic func(method string, in bool, n int)

// Pool holds at most one client connection to each peer.
type Pool struct {
	network Network
	events  *events.Recorder
	traffic Traffic
	// life ends with Close, and with it the dials in progress.
	life context.Context
	end  context.CancelFunc

	mu    sync.Mutex
	conns map[string]*conn // nil once the pool is closed
}

// NewPool returns an empty pool. traffic may be nil.
func NewPool(network Network, ev *events.Recorder, traffic Traffic) *Pool {
	p := &Pool{network: network, events: ev, traffic: traffic, conns: map[string]*conn{}}
	p.life, p.end = context.WithCancel(context.Background())
	return p
}

// Call performs one rpc. An error that wraps ErrNotSent means the peer cannot have
// seen the call; rpc.ServerError means that the peer answered; any other error leaves it open.
// After an error value must not be read: a late answer may still be decoded into it.
func (p *Pool) Call(ctx context.Context, addr, method string, args, value any) error {
	err := p.callOnce(ctx, addr, method, args, value)
	if errors.Is(err, errClosedBefore) {
		// The peer closed an idle connection; a new one may work.
		err = p.callOnce(ctx, addr, method, args, value)
	}
	return err
}

// Ping asks the peer at addr for a sign of life.
func (p *Pool) Ping(ctx context.Context, addr string) error {
	return p.Call(ctx, addr, pingMethod, &Ping{}, &Pong{})
}

// errClosedBefore reports a connection that had ended before the call.
var errClosedBefore = errors.Wrap(ErrNotSent, "connection closed before the call")

func (p *Pool) callOnce(ctx context.Context, addr, method string, args, value any) error {
	c, err := p.get(ctx, addr)
	if err != nil {
		return errors.Wrap(ErrNotSent, err.Error())
	}
	c.began()
	defer c.ended()
	answer := &reply{value: value}
	call := c.client.Go(method, args, answer, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return p.outcome(addr, c, call.Error, answer)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// outcome tells a call that was not sent from one that may have been.
func (p *Pool) outcome(addr string, c *conn, err error, answer *reply) error {
	switch {
	case err == nil:
		return answer.err
	case errors.Is(err, rpc.ErrShutdown):
		p.drop(addr, c)
		return errClosedBefore
	case errors.Is(err, errPartial):
		p.drop(addr, c)
		return errors.Wrap(ErrNotSent, err.Error())
	case errors.Is(err, errEncode):
		return errors.Wrap(ErrNotSent, err.Error())
	default:
		return err
	}
}

// errPoolClosed reports a call after Close.
var errPoolClosed = errors.New("pool closed")

func (p *Pool) get(ctx context.Context, addr string) (*conn, error) {
	p.mu.Lock()
	if p.conns == nil {
		p.mu.Unlock()
		return nil, errPoolClosed
	}
	c := p.conns[addr]
	if c == nil {
		c = &conn{addr: addr, ready: make(chan struct{}), closed: make(chan struct{}), busy: make(chan struct{}, 1)}
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

// open dials on behalf of every caller that waits for c; one caller's deadline does not end it.
func (p *Pool) open(addr string, c *conn) {
	ctx, cancel := context.WithTimeout(p.life, dialTimeout)
	defer cancel()
	raw, err := p.network.Dial(ctx, addr)
	if err != nil {
		c.err = err
		p.drop(addr, c)
		close(c.ready)
		return
	}
	c.raw = &activityConn{Conn: raw, last: &c.lastRead}
	c.lastRead.Store(time.Now().UnixNano())
	c.client = rpc.NewClientWithCodec(clientCodec{newCodec(c.raw, p.events.Clock(), p.traffic), func(err error) {
		p.events.Emit(events.PeerFrameMalformed, events.Fields{"peer": addr, "reason": err.Error()})
	}})
	close(c.ready)
	p.watch(addr, c)
	_ = raw.Close() // when c was closed before it had a connection
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

// watch is the heartbeat task of one connection.
func (p *Pool) watch(addr string, c *conn) {
	defer p.drop(addr, c)
	for c.waitBusy() {
		for c.inflight.Load() > 0 {
			if !c.sleep(checkInterval) {
				return
			}
			if !c.quietFor(pingAfter) {
				continue
			}
			switch err := c.ping(); {
			case errors.Is(err, ErrSilent):
				p.events.Emit(events.PeerSilent, events.Fields{"peer": addr, "reason": err.Error()})
				return
			case err != nil:
				return
			}
		}
	}
}

// Close closes every connection and ends dials in progress.
func (p *Pool) Close() {
	p.end()
	p.mu.Lock()
	conns := p.conns
	p.conns = nil
	p.mu.Unlock()
	for _, c := range conns {
		c.close()
	}
}
