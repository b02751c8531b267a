package peer

import (
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"
)

// conn is one client connection to a peer.
type conn struct {
	addr   string
	ready  chan struct{} // closed when the dial has ended
	err    error         // of the dial; set before ready is closed
	raw    net.Conn
	client *rpc.Client

	inflight  atomic.Int64
	lastRead  atomic.Int64 // Unix nanoseconds of the last byte received
	busySince atomic.Int64 // Unix nanoseconds at which the first of the calls in flight started

	once   sync.Once
	closed chan struct{}
	busy   chan struct{} // receives an element when a call starts on an idle connection
}

// callStarted counts a call in flight and wakes the heartbeat goroutine if no other call is in flight.
func (c *conn) callStarted() {
	if c.inflight.Add(1) == 1 {
		c.busySince.Store(time.Now().UnixNano())
		select {
		case c.busy <- struct{}{}:
		default:
		}
	}
}

// waitBusy waits for a call to start. It returns false if the connection is closed first, or if no
// call starts within idleTimeout. The heartbeat timers run only while calls are in flight, because a
// node holds many idle connections.
func (c *conn) waitBusy() bool {
	timer := time.NewTimer(idleTimeout)
	defer timer.Stop()
	select {
	case <-c.busy:
		return true
	case <-c.closed:
		return false
	case <-timer.C:
		return c.inflight.Load() > 0
	}
}

// sleep waits for d. It returns false if the connection is closed first.
func (c *conn) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.closed:
		return false
	}
}

func (c *conn) callFinished() { c.inflight.Add(-1) }

// unresponsiveFor reports whether calls have been in flight for d without a byte from the peer.
func (c *conn) unresponsiveFor(d time.Duration) bool {
	since := max(c.lastRead.Load(), c.busySince.Load())
	return c.inflight.Load() > 0 && time.Since(time.Unix(0, since)) >= d
}

func (c *conn) close() {
	c.once.Do(func() {
		close(c.closed)
		if c.raw != nil {
			_ = c.raw.Close()
		}
	})
}

// heartbeat sends a heartbeat and waits for its reply. Any other byte from the peer counts as a reply
// too. It returns ErrHeartbeatTimeout if nothing arrives within heartbeatTimeout.
func (c *conn) heartbeat() error {
	timer := time.NewTimer(heartbeatTimeout)
	defer timer.Stop()
	before := c.lastRead.Load()
	call := c.client.Go(pingMethod, &Ping{}, &reply{value: &Pong{}}, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return call.Error
	case <-c.closed:
		return nil
	case <-timer.C:
	}
	if c.lastRead.Load() != before {
		return nil
	}
	return ErrHeartbeatTimeout
}

// activityConn records when bytes last arrived, in Unix nanoseconds.
type activityConn struct {
	net.Conn
	last *atomic.Int64
}

func (a *activityConn) Read(b []byte) (int, error) {
	n, err := a.Conn.Read(b)
	if n > 0 {
		a.last.Store(time.Now().UnixNano())
	}
	return n, err
}
