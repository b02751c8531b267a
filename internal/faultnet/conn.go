package faultnet

import (
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// stream is one direction of a connection. wake is closed and replaced on each change.
type stream struct {
	from, to string
	mu       sync.Mutex
	chunks   []chunk
	closed   bool
	wake     chan struct{}
}

// chunk is the data of one write; it can be read from due on.
type chunk struct {
	due  time.Time
	data []byte
}

func newStream(from, to string) *stream {
	return &stream{from: from, to: to, wake: make(chan struct{})}
}

func (s *stream) signal() {
	close(s.wake)
	s.wake = make(chan struct{})
}

// conn is one end of a connection.
type conn struct {
	net               *Network
	localIP, remoteIP string
	local, remote     net.Addr
	in, out           *stream
	blackholed        atomic.Bool
	peer              *conn
	once              sync.Once
	done              chan struct{}

	mu              sync.Mutex
	readDeadline    time.Time
	deadlineChanged chan struct{}
}

// newConnPair returns the dialing and the accepting end of a new connection.
func (n *Network) newConnPair(fromIP string, port uint16, addr string) (near, far *conn) {
	toIP := hostIP(addr)
	up, down := newStream(fromIP, toIP), newStream(toIP, fromIP)
	from := tcpAddr(fmt.Sprintf("%s:%d", fromIP, port))
	near = &conn{net: n, localIP: fromIP, remoteIP: toIP, local: from, remote: tcpAddr(addr), in: down, out: up, done: make(chan struct{}), deadlineChanged: make(chan struct{})}
	far = &conn{net: n, localIP: toIP, remoteIP: fromIP, local: tcpAddr(addr), remote: from, in: up, out: down, done: make(chan struct{}), deadlineChanged: make(chan struct{})}
	near.peer, far.peer = far, near
	n.mu.Lock()
	n.conns[near], n.conns[far] = struct{}{}, struct{}{}
	n.mu.Unlock()
	return near, far
}

// Write queues b. It never blocks, as if the TCP send window were unlimited.
func (c *conn) Write(b []byte) (int, error) {
	select {
	case <-c.done:
		return 0, net.ErrClosed
	default:
	}
	if c.blackholed.Load() || c.peer.blackholed.Load() {
		return len(b), nil
	}
	due := time.Now().Add(c.net.latency(c.localIP, c.remoteIP))
	c.out.mu.Lock()
	defer c.out.mu.Unlock()
	if c.out.closed {
		return 0, io.ErrClosedPipe
	}
	c.out.chunks = append(c.out.chunks, chunk{due, append([]byte(nil), b...)})
	c.out.signal()
	return len(b), nil
}

// Read returns bytes whose latency has elapsed, and blocks while a partition or a freeze
// stops delivery.
func (c *conn) Read(b []byte) (int, error) {
	for {
		blocked, rules := c.net.blocked(c.in.from, c.in.to)
		n, wake, due, err := c.tryRead(b, blocked)
		if n > 0 || err != nil {
			return n, err
		}
		if err := c.waitRead(rules, wake, due); err != nil {
			return 0, err
		}
	}
}

// tryRead reads without blocking. If nothing can be read yet, it returns the channel that is
// closed on the stream's next change and, for data in transit, the time at which it is due.
func (c *conn) tryRead(b []byte, blocked bool) (n int, wake <-chan struct{}, due time.Time, err error) {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	wake = c.in.wake
	if blocked || c.blackholed.Load() {
		return 0, wake, due, nil
	}
	if len(c.in.chunks) == 0 {
		if c.in.closed {
			return 0, wake, due, io.EOF
		}
		return 0, wake, due, nil
	}
	first := &c.in.chunks[0]
	if time.Now().Before(first.due) {
		return 0, wake, first.due, nil
	}
	n = copy(b, first.data)
	if first.data = first.data[n:]; len(first.data) == 0 {
		c.in.chunks = c.in.chunks[1:]
	}
	return n, wake, due, nil
}

// waitRead waits until another tryRead may succeed: the rules or the stream change, data in
// transit is due or the deadline moves. It returns an error if the deadline passes or the
// connection is closed.
func (c *conn) waitRead(rules, wake <-chan struct{}, due time.Time) error {
	c.mu.Lock()
	deadline, changed := c.readDeadline, c.deadlineChanged
	c.mu.Unlock()
	// Times that have passed are handled without a timer: in a synctest bubble under the race
	// detector, the Go 1.26 runtime crashes on a timer that is due at once
	// (runtime.(*timer).maybeRunChan).
	now := time.Now()
	if !due.IsZero() && !due.After(now) {
		return nil
	}
	if !deadline.IsZero() && !deadline.After(now) {
		return os.ErrDeadlineExceeded
	}
	var arrives, expires <-chan time.Time
	if !due.IsZero() {
		t := time.NewTimer(time.Until(due))
		defer t.Stop()
		arrives = t.C
	}
	if !deadline.IsZero() {
		t := time.NewTimer(time.Until(deadline))
		defer t.Stop()
		expires = t.C
	}
	select {
	case <-rules:
	case <-wake:
	case <-arrives:
	case <-changed:
	case <-expires:
		return os.ErrDeadlineExceeded
	case <-c.done:
		return net.ErrClosed
	}
	return nil
}

// Close closes both directions; bytes in transit can still be read by the peer.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.done)
		c.net.mu.Lock()
		delete(c.net.conns, c)
		c.net.mu.Unlock()
		if c.blackholed.Load() || c.peer.blackholed.Load() {
			return
		}
		for _, s := range []*stream{c.out, c.in} {
			s.mu.Lock()
			s.closed = true
			s.signal()
			s.mu.Unlock()
		}
	})
	return nil
}

func (c *conn) LocalAddr() net.Addr  { return c.local }
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline sets the read deadline only: writes never block.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline sets the deadline of future reads and of reads in progress.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	close(c.deadlineChanged)
	c.deadlineChanged = make(chan struct{})
	return nil
}

// SetWriteDeadline does nothing: writes never block.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
