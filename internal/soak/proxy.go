package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxyFault is a fault that a proxy injects into its connections.
type proxyFault uint8

const (
	noFault proxyFault = iota
	// delayData delays all data by chunkDelay.
	delayData
	// resetConns resets the current connections; later ones work.
	resetConns
	// holdInbound and holdOutbound hold the data in one direction, towards the target or from it, until
	// the fault ends. Connections can still be opened.
	holdInbound
	holdOutbound
	// blackhole holds all data of the current connections for good, without closing them; later
	// connections work.
	blackhole
	// refuseConns resets the current connections and all new ones.
	refuseConns
)

const (
	// chunkDelay is the delay of each chunk of data under delayData.
	chunkDelay = 60 * time.Millisecond
	// chunkBytes is the maximum size of a chunk.
	chunkBytes = 16 << 10
	// holdPollInterval is the time between checks whether data is still held.
	holdPollInterval = 10 * time.Millisecond
	// dialTimeout bounds the time to connect.
	dialTimeout = time.Second
)

// proxy forwards TCP connections to one loopback address and injects faults into them.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	fault proxyFault
	conns map[*proxyConn]struct{}
}

// proxyConn is one connection through a proxy: client is the accepted side, server the dialled one.
type proxyConn struct {
	client, server net.Conn
	blackholed     bool
}

func newProxy(listen, target string) (*proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: map[*proxyConn]struct{}{}}
	go p.accept()
	return p, nil
}

// setFault begins a fault, or ends one with noFault.
func (p *proxy) setFault(f proxyFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	for c := range p.conns {
		switch f {
		case resetConns, refuseConns:
			c.reset()
		case blackhole:
			c.blackholed = true
		}
	}
	if f == resetConns || f == blackhole {
		p.fault = noFault
	}
}

// reset closes both sides with a lingering time of 0, so that their other ends see a reset.
func (c *proxyConn) reset() {
	for _, side := range []net.Conn{c.client, c.server} {
		if tcp, ok := side.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = side.Close()
	}
}

// effect returns whether the data of a connection in one direction is held now, and by how much it is
// delayed. inbound is the direction towards the target.
func (p *proxy) effect(c *proxyConn, inbound bool) (held bool, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault == delayData {
		delay = chunkDelay
	}
	return c.blackholed || (p.fault == holdInbound && inbound) || (p.fault == holdOutbound && !inbound), delay
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return // the listener is closed
		}
		go p.serve(client)
	}
}

// serve forwards one connection until both directions have ended.
func (p *proxy) serve(client net.Conn) {
	p.mu.Lock()
	refused := p.fault == refuseConns
	p.mu.Unlock()
	c := &proxyConn{client: client}
	var err error
	if !refused {
		c.server, err = net.DialTimeout("tcp", p.target, dialTimeout)
	}
	if refused || err != nil {
		_ = client.(*net.TCPConn).SetLinger(0)
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	done := make(chan struct{})
	go func() { p.forward(c, c.server, c.client, true); close(done) }()
	p.forward(c, c.client, c.server, false)
	<-done
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	_, _ = c.client.Close(), c.server.Close()
}

// forward copies one direction of a connection. An error of one side, such as a reset, resets both.
func (p *proxy) forward(c *proxyConn, to, from net.Conn, inbound bool) {
	buf := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buf)
		held, delay := p.effect(c, inbound)
		time.Sleep(delay)
		for held && p.isOpen(c) {
			time.Sleep(holdPollInterval)
			held, _ = p.effect(c, inbound)
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				c.reset()
				return
			}
		}
		switch {
		case err == io.EOF:
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite() // fails if the other side has already closed
			}
			return
		case err != nil:
			c.reset()
			return
		}
	}
}

// isOpen reports whether a connection has not ended. It returns false once the proxy is closed, which
// ends connections whose data is held.
func (p *proxy) isOpen(c *proxyConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.conns[c]
	return ok
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.reset()
		delete(p.conns, c)
	}
}
