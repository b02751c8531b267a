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
	codec  *codec
	client *rpc.Client

	inflight  atomic.Int64
	lastRead  atomic.Int64 // Unix nanoseconds of the last byte received
	replies   atomic.Int64 // received, without those to pings
	busySince atomic.Int64 // Unix nanoseconds from which the calls in flight are watched
	// relaxed is set while only calls that the peer is known to have received are in flight.
	relaxed atomic.Bool
	// watched is set while a goroutine pings the connection. An idle connection has none, because a node
	// holds many of them.
	watched atomic.Bool

	proven  atomic.Bool   // a pong has arrived
	process atomic.Uint64 // of the peer; 0 until the first pong
	rtt     roundTrip
	pingSeq atomic.Uint64
	pingAt  atomic.Int64  // Unix nanoseconds of the newest ping
	pong    chan struct{} // receives an element when a pong arrives

	once   sync.Once
	closed chan struct{}
	busy   chan struct{} // receives an element when a call starts on an idle or relaxed connection
	expiry *time.Timer   // calls Pool.expire; set before ready is closed
}

func newConn(addr string) *conn {
	return &conn{addr: addr, ready: make(chan struct{}), closed: make(chan struct{}), busy: make(chan struct{}, 1),
		pong: make(chan struct{}, 1)}
}

// callStarted counts a call in flight. It reports whether the caller has to start a goroutine that pings the
// connection, and wakes one that no longer does so closely.
func (c *conn) callStarted() (watch bool) {
	if c.inflight.Add(1) == 1 || c.relaxed.CompareAndSwap(true, false) {
		c.busySince.Store(time.Now().UnixNano())
		select {
		case c.busy <- struct{}{}:
		default:
		}
	}
	return c.watched.CompareAndSwap(false, true)
}

// sleep waits for d, or until a call starts that wakes the connection. It returns false if the connection
// is closed first.
func (c *conn) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.busy:
		return true
	case <-c.closed:
		return false
	}
}

func (c *conn) callFinished() { c.inflight.Add(-1) }

// quietSince returns since when calls have been in flight without a byte from the peer.
func (c *conn) quietSince() time.Time {
	return time.Unix(0, max(c.lastRead.Load(), c.busySince.Load()))
}

func (c *conn) close() {
	c.once.Do(func() {
		close(c.closed)
		if c.expiry != nil {
			c.expiry.Stop()
		}
		if c.raw != nil {
			_ = c.raw.Close()
		}
	})
}

// ping sends a heartbeat without waiting for its reply.
func (c *conn) ping() error {
	seq := pingSeqBase + c.pingSeq.Add(1)
	c.pingAt.Store(time.Now().UnixNano())
	ping := &Ping{}
	if c.process.Load() == 0 {
		ping.Hello, ping.Common = true, len(commonStrings)
	}
	return c.codec.write(header{Method: pingMethod, Seq: seq}, ping)
}

// recordPong handles the reply to a heartbeat.
func (c *conn) recordPong(seq uint64, p Pong) {
	if seq == pingSeqBase+c.pingSeq.Load() {
		c.rtt.observe(time.Since(time.Unix(0, c.pingAt.Load())))
	}
	c.proven.Store(true)
	c.codec.written.enable(p.Common)
	if p.Process != 0 {
		c.process.Store(p.Process)
	}
	select {
	case c.pong <- struct{}{}:
	default:
	}
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
