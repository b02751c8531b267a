package faultnet

import (
	"context"
	"net"
	"strings"
	"sync"
	"time"
)

// transport is the network that a Filter wraps.
type transport interface {
	Dial(ctx context.Context, addr string) (net.Conn, error)
	Listen(addr string) (net.Listener, error)
}

// Filter wraps a real network and blocks traffic to and from addresses with given prefixes.
// Bytes on a blocked connection are held and delivered once it is unblocked, as TCP
// retransmits them.
type Filter struct {
	transport transport

	mu       sync.Mutex
	prefixes []string
	changed  chan struct{}
	conns    map[*filterConn]struct{}
}

// NewFilter wraps network; nothing is blocked yet.
func NewFilter(network transport) *Filter {
	return &Filter{transport: network, changed: make(chan struct{}), conns: map[*filterConn]struct{}{}}
}

// Block replaces the prefixes of the blocked addresses (IP:port) and delivers the bytes held for
// addresses that are no longer blocked.
func (f *Filter) Block(prefixes []string) {
	f.mu.Lock()
	f.prefixes = prefixes
	close(f.changed)
	f.changed = make(chan struct{})
	conns := make([]*filterConn, 0, len(f.conns))
	for c := range f.conns {
		conns = append(conns, c)
	}
	f.mu.Unlock()
	for _, c := range conns {
		c.flush()
	}
}

// blocked reports whether addr is blocked, and returns a channel that is closed when the
// prefixes change.
func (f *Filter) blocked(addr string) (bool, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.prefixes {
		if strings.HasPrefix(addr, p) {
			return true, f.changed
		}
	}
	return false, f.changed
}

// Dial connects to addr. While addr is blocked it waits until ctx ends.
func (f *Filter) Dial(ctx context.Context, addr string) (net.Conn, error) {
	for {
		blocked, changed := f.blocked(addr)
		if !blocked {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	c, err := f.transport.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return f.wrap(c), nil
}

// Listen listens on addr. Connections from blocked addresses are accepted, but their bytes
// are held.
func (f *Filter) Listen(addr string) (net.Listener, error) {
	l, err := f.transport.Listen(addr)
	if err != nil {
		return nil, err
	}
	return filterListener{l, f}, nil
}

type filterListener struct {
	net.Listener
	filter *Filter
}

func (l filterListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.filter.wrap(c), nil
}

// filterConn holds bytes while its remote address is blocked.
type filterConn struct {
	net.Conn
	filter *Filter
	remote string
	once   sync.Once
	done   chan struct{}

	mu   sync.Mutex
	held []byte
}

func (f *Filter) wrap(c net.Conn) net.Conn {
	fc := &filterConn{Conn: c, filter: f, remote: c.RemoteAddr().String(), done: make(chan struct{})}
	f.mu.Lock()
	f.conns[fc] = struct{}{}
	f.mu.Unlock()
	return fc
}

// flushTimeout bounds writing the held bytes, in case the peer does not read.
const flushTimeout = time.Second

// flush writes the held bytes unless the remote address is blocked. A failed write closes the
// connection.
func (c *filterConn) flush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if blocked, _ := c.filter.blocked(c.remote); blocked || len(c.held) == 0 {
		return
	}
	_ = c.SetWriteDeadline(time.Now().Add(flushTimeout))
	if _, err := c.Conn.Write(c.held); err != nil {
		_ = c.Conn.Close()
	}
	_ = c.SetWriteDeadline(time.Time{})
	c.held = nil
}

func (c *filterConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if blocked, _ := c.filter.blocked(c.remote); blocked || len(c.held) > 0 {
		c.held = append(c.held, b...)
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *filterConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for {
		blocked, changed := c.filter.blocked(c.remote)
		if !blocked {
			return n, err
		}
		select {
		case <-changed:
		case <-c.done:
			return 0, net.ErrClosed
		}
	}
}

func (c *filterConn) Close() error {
	c.once.Do(func() {
		close(c.done)
		c.filter.mu.Lock()
		delete(c.filter.conns, c)
		c.filter.mu.Unlock()
	})
	return c.Conn.Close()
}
