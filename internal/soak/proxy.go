package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// Harm is what a proxy does to the bytes of its connections.
type Harm uint8

// Kinds of harm.
const (
	Healthy Harm = iota
	// Slow connections deliver later.
	Slow
	// Reset ends all connections once, as by a reset, and goes on healthy.
	Reset
	// CutIn and CutOut hold what goes one way; new connections open and suffer the same.
	CutIn
	CutOut
	// Silent connections deliver nothing for good; new ones work.
	Silent
	// Refused connections are not accepted.
	Refused
)

const (
	// slowBy delays each piece of a slow connection.
	slowBy = 60 * time.Millisecond
	// pieceBytes is what a proxy moves at once.
	pieceBytes = 16 << 10
	// heldPoll is the time between looks whether a direction that is held may go on.
	heldPoll = 10 * time.Millisecond
	// dialTimeout bounds the connection to the target.
	dialTimeout = time.Second
)

// proxy stands before one address on loopback.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	harm  Harm
	links map[*link]struct{}
}

// link is one connection through a proxy.
type link struct {
	near, far net.Conn
	silent    bool
}

func newProxy(listen, target string) (*proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, links: map[*link]struct{}{}}
	go p.accept()
	return p, nil
}

// set begins a harm, or ends one with Healthy.
func (p *proxy) set(h Harm) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.harm = h
	for l := range p.links {
		switch h {
		case Reset, Refused:
			l.reset()
		case Silent:
			l.silent = true
		}
	}
	if h == Reset || h == Silent {
		p.harm = Healthy
	}
}

// reset ends a link without the usual close, so that both ends see a reset.
func (l *link) reset() {
	for _, c := range []net.Conn{l.near, l.far} {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// holds reports whether a direction of a link is held now, and by how much it is delayed.
func (p *proxy) holds(l *link, in bool) (held bool, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.harm == Slow {
		delay = slowBy
	}
	return l.silent || (p.harm == CutIn && in) || (p.harm == CutOut && !in), delay
}

func (p *proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		go p.serve(near)
	}
}

func (p *proxy) serve(near net.Conn) {
	p.mu.Lock()
	refused := p.harm == Refused
	p.mu.Unlock()
	l := &link{near: near}
	var err error
	if !refused {
		l.far, err = net.DialTimeout("tcp", p.target, dialTimeout)
	}
	if refused || err != nil {
		_ = near.(*net.TCPConn).SetLinger(0)
		_ = near.Close()
		return
	}
	p.mu.Lock()
	p.links[l] = struct{}{}
	p.mu.Unlock()
	done := make(chan struct{})
	go func() { p.move(l, l.far, l.near, true); close(done) }()
	p.move(l, l.near, l.far, false)
	<-done
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
	_, _ = l.near.Close(), l.far.Close()
}

// move copies one direction; a reset is handed on as one.
func (p *proxy) move(l *link, to, from net.Conn, in bool) {
	buf := make([]byte, pieceBytes)
	for {
		n, err := from.Read(buf)
		held, delay := p.holds(l, in)
		time.Sleep(delay)
		for held && p.alive(l) {
			time.Sleep(heldPoll)
			held, _ = p.holds(l, in)
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				l.reset()
				return
			}
		}
		switch {
		case err == io.EOF:
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite() // the other side may be gone already
			}
			return
		case err != nil:
			l.reset()
			return
		}
	}
}

// alive reports whether the proxy still runs, so that held links end with it.
func (p *proxy) alive(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.links[l]
	return ok
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.reset()
		delete(p.links, l)
	}
}
