// Package faultnet injects network faults in tests. Network is an in-memory network, usable
// under testing/synctest, with latency, partitions, frozen hosts, black holes and closed
// connections. Filter wraps a real network and blocks traffic by address.
package faultnet

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Network connects hosts, which are identified by IP address.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*conn]struct{}
	partition func(from, to string) bool
	frozen    map[string]bool
	delay     func(from, to string) time.Duration
	changed   chan struct{}
	nextPort  uint16
}

// New returns a network without faults and without latency.
func New() *Network {
	return &Network{listeners: map[string]*listener{}, conns: map[*conn]struct{}{}, frozen: map[string]bool{}, changed: make(chan struct{}), nextPort: 20000}
}

// updateRules changes the fault rules by calling f and wakes all blocked reads and dials.
func (n *Network) updateRules(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	close(n.changed)
	n.changed = make(chan struct{})
}

// Partition partitions the network: bytes are held in each direction for which rule returns true,
// and dials wait if either direction is blocked. Held bytes are delivered once the partition
// heals, as TCP retransmits them. A nil rule heals every partition.
func (n *Network) Partition(rule func(from, to string) bool) {
	n.updateRules(func() { n.partition = rule })
}

// Freeze stops or resumes delivery to and from a host, as when its process is suspended.
func (n *Network) Freeze(ip string, on bool) { n.updateRules(func() { n.frozen[ip] = on }) }

// SetLatency sets the function that gives the one-way latency between two IP addresses.
func (n *Network) SetLatency(f func(from, to string) time.Duration) {
	n.updateRules(func() { n.delay = f })
}

// Blackhole drops all bytes in transit and all further bytes on the connections now open between
// the hosts a and b, permanently and without closing them. New connections are not affected.
func (n *Network) Blackhole(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if (c.localIP == a && c.remoteIP == b) || (c.localIP == b && c.remoteIP == a) {
			c.blackholed.Store(true)
		}
	}
}

// Kill closes the connections and listeners of a host, as when its process dies.
func (n *Network) Kill(ip string) {
	n.mu.Lock()
	var closing []interface{ Close() error }
	for c := range n.conns {
		if c.localIP == ip {
			closing = append(closing, c)
		}
	}
	for addr, l := range n.listeners {
		if hostIP(addr) == ip {
			closing = append(closing, l)
		}
	}
	n.mu.Unlock()
	for _, c := range closing {
		_ = c.Close()
	}
}

// CloseConns closes, at the remote end, the connections that host ip has open to the address to
// (IP:port). The listener stays open: this simulates a restart of the process there without
// closing its listener.
func (n *Network) CloseConns(ip, to string) {
	n.mu.Lock()
	var closing []*conn
	for c := range n.conns {
		if c.remoteIP == ip && c.local.String() == to {
			closing = append(closing, c)
		}
	}
	n.mu.Unlock()
	for _, c := range closing {
		_ = c.Close()
	}
}

// blocked reports whether bytes are held now, and returns a channel that is closed when the
// rules change.
func (n *Network) blocked(from, to string) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	b := n.frozen[from] || n.frozen[to] || (n.partition != nil && n.partition(from, to))
	return b, n.changed
}

func (n *Network) latency(from, to string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.delay == nil {
		return 0
	}
	return n.delay(from, to)
}

// Host is one host's access to the network; it implements peer.Network.
type Host struct {
	net *Network
	ip  string
}

// Host returns the access of the host at ip to the network.
func (n *Network) Host(ip string) *Host { return &Host{n, ip} }

func hostIP(addr string) string {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return addr
	}
	return ap.Addr().String()
}

// Dial connects to addr (IP:port). While either direction is blocked it waits until ctx ends.
// It returns an error if nothing listens on addr.
func (h *Host) Dial(ctx context.Context, addr string) (net.Conn, error) {
	remote := hostIP(addr)
	for {
		forward, changed := h.net.blocked(h.ip, remote)
		reverse, _ := h.net.blocked(remote, h.ip)
		if !forward && !reverse {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if d := h.net.latency(h.ip, remote) + h.net.latency(remote, h.ip); d > 0 {
		select {
		case <-time.After(d):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	h.net.mu.Lock()
	l := h.net.listeners[addr]
	h.net.nextPort++
	port := h.net.nextPort
	h.net.mu.Unlock()
	if l == nil {
		return nil, errors.Errorf("dial %s: connection refused", addr)
	}
	near, far := h.net.newConnPair(h.ip, port, addr)
	select {
	case l.backlog <- far:
		return near, nil
	case <-l.closed:
		_ = near.Close()
		return nil, errors.Errorf("dial %s: connection refused", addr)
	case <-ctx.Done():
		_ = near.Close()
		return nil, ctx.Err()
	}
}

// Listen listens on addr (IP:port). It returns an error if addr is in use.
func (h *Host) Listen(addr string) (net.Listener, error) {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	if h.net.listeners[addr] != nil {
		return nil, errors.Errorf("listen %s: address in use", addr)
	}
	l := &listener{net: h.net, addr: addr, backlog: make(chan net.Conn, 128), closed: make(chan struct{})}
	h.net.listeners[addr] = l
	return l, nil
}

type listener struct {
	net     *Network
	addr    string
	backlog chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		l.net.mu.Lock()
		delete(l.net.listeners, l.addr)
		l.net.mu.Unlock()
		close(l.closed)
	})
	return nil
}

func (l *listener) Addr() net.Addr { return tcpAddr(l.addr) }

func tcpAddr(addr string) net.Addr {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return &net.TCPAddr{}
	}
	return net.TCPAddrFromAddrPort(ap)
}
