package peer

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"celerybank/internal/duration"
	"celerybank/internal/events"
)

// Detection of connections that went silent. While calls are in flight and nothing arrives, a connection is
// pinged after pingAfter, and less often once the peer is known to have received the calls. Without a pong in
// the time that is usual for the peer, a second connection is opened beside it; the first is closed when the
// second proves the peer alive, or when both stay silent.
const (
	// pingAfter is the silence after which calls in flight are followed by a ping. Less finds a lost
	// connection sooner and sends a ping for more calls.
	pingAfter = 50 * time.Millisecond
	// maxPingAfter bounds the silence between two pings for the same calls; it doubles from pingAfter.
	maxPingAfter = 600 * time.Millisecond
	// minPongTimeout and maxPongTimeout bound the time within which a pong is usual. initialPongTimeout
	// holds until the first pong.
	minPongTimeout     = 40 * time.Millisecond
	maxPongTimeout     = 350 * time.Millisecond
	initialPongTimeout = 150 * time.Millisecond
	// silenceLimit is the time after a ping at which a silent connection is lost although no other
	// connection proves the peer alive. Less gives up the calls of a slow host, more holds those of a dead one.
	silenceLimit = 700 * time.Millisecond
	// lateTimer is the delay of this process's own timer from which a pong may have arrived unread.
	lateTimer = 15 * time.Millisecond
	// latePong is the time for which a pong on the first connection counts after one on the second.
	latePong = 5 * time.Millisecond
	// proofPause is the pause between two attempts to reach a peer whose connection is suspected.
	proofPause = 10 * time.Millisecond
	// verifyInterval is the minimum time between two checks of all connections, and maxVerified the
	// number of connections that one checks at most.
	verifyInterval = time.Second
	maxVerified    = 64
)

// roundTrip estimates the time of a heartbeat and its variation (Jacobson and Karels 1988).
type roundTrip struct {
	mu              sync.Mutex
	mean, deviation time.Duration
}

// Weights of one sample in the estimates, and the number of deviations that is still usual.
const (
	meanDivisor      = 8
	deviationDivisor = 4
	usualDeviations  = 4
)

func (r *roundTrip) observe(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mean == 0 {
		r.mean, r.deviation = d, d/2
		return
	}
	off := d - r.mean
	r.mean += off / meanDivisor
	r.deviation += (max(off, -off) - r.deviation) / deviationDivisor
}

// timeout returns the time within which a pong is usual.
func (r *roundTrip) timeout() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mean == 0 {
		return initialPongTimeout
	}
	return min(max(r.mean+usualDeviations*r.deviation, minPongTimeout), maxPongTimeout)
}

// inherit takes the estimates of another connection to the same peer.
func (r *roundTrip) inherit(from *roundTrip) {
	from.mu.Lock()
	mean, deviation := from.mean, from.deviation
	from.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mean, r.deviation = mean, deviation
}

// watch pings a connection while calls are in flight, and drops it if it is lost or was replaced.
func (p *Pool) watch(addr string, c *conn) {
	for {
		if !p.watchCalls(addr, c) || !p.isCurrent(addr, c) {
			p.drop(addr, c)
			return
		}
		c.watched.Store(false)
		if c.inflight.Load() == 0 || !c.watched.CompareAndSwap(false, true) {
			return
		}
	}
}

// verify pings a connection without calls in flight, and drops it if it is lost.
func (p *Pool) verify(addr string, c *conn) {
	if !p.alive(addr, c) {
		p.drop(addr, c)
		return
	}
	p.watch(addr, c)
}

// expire drops a connection that has been idle for idleTimeout, and otherwise looks again when it may have been.
func (p *Pool) expire(addr string, c *conn) {
	left := idleTimeout
	if c.inflight.Load() == 0 {
		left = time.Until(c.quietSince().Add(idleTimeout))
	}
	if left <= 0 {
		p.drop(addr, c)
		return
	}
	c.expiry.Reset(left)
}

// watchCalls pings c until no call is in flight. It returns false if the connection is lost or closed.
func (p *Pool) watchCalls(addr string, c *conn) bool {
	pause, replies := pingAfter, c.replies.Load()
	for c.inflight.Load() > 0 {
		if !c.relaxed.Load() {
			pause = pingAfter
		}
		if wait := time.Until(c.quietSince().Add(pause)); wait > 0 {
			if !c.sleep(wait) {
				return false
			}
			continue
		}
		if !p.alive(addr, c) {
			return false
		}
		if now := c.replies.Load(); now != replies {
			pause, replies = pingAfter, now
			continue
		}
		pause = min(2*pause, maxPingAfter)
		c.relaxed.Store(true)
	}
	c.relaxed.Store(false)
	return true
}

// alive pings c and reports whether the peer answers on it. If it does not in the usual time, a second
// connection takes the place of c for later calls.
func (p *Pool) alive(addr string, c *conn) bool {
	before, start := c.lastRead.Load(), time.Now()
	select {
	case <-c.pong: // of an earlier ping
	default:
	}
	if c.ping() != nil {
		return false
	}
	if !c.proven.Load() {
		// This may be the connection that is to prove a slow peer alive: a third one would only add to its load.
		answered, _ := c.awaitPong(before, silenceLimit)
		return answered
	}
	timeout := c.rtt.timeout()
	answered, late := c.awaitPong(before, timeout)
	if !answered && late {
		answered, _ = c.awaitPong(before, timeout)
	}
	return answered || p.resolveSuspicion(addr, c, before, start)
}

// awaitPong waits up to d until something arrives after before, in Unix nanoseconds. late is set if this
// process was too slow to tell.
func (c *conn) awaitPong(before int64, d time.Duration) (answered, late bool) {
	start := time.Now()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-c.pong:
		return true, false
	case <-c.closed:
		return false, false
	case <-timer.C:
	}
	return c.lastRead.Load() != before, time.Since(start) > d+lateTimer
}

// resolveSuspicion opens a second connection beside c, which has been silent since a ping at start. It
// reports whether the peer answers on c after all, before the second connection proves the peer alive
// or both stay silent.
func (p *Pool) resolveSuspicion(addr string, c *conn, before int64, start time.Time) bool {
	p.events.Emit(events.PeerSuspected, events.Fields{"peer": addr, "in_flight": c.inflight.Load(), "silent_ms": time.Since(start).Milliseconds()})
	timer := time.NewTimer(time.Until(start.Add(silenceLimit)))
	defer timer.Stop()
	reason := p.awaitProof(addr, c, timer.C)
	switch {
	case reason == "" || c.lastRead.Load() != before:
		return true
	case reason == peerClosed:
		return false
	case reason == peerAlive:
		p.verifyAll()
	}
	p.events.Emit(events.PeerSilent, events.Fields{"peer": addr, "reason": reason})
	return false
}

// Reasons for which a silent connection is lost.
const (
	peerAlive   = "peer responds on a new connection"
	peerSilent  = "peer sent nothing within the time limit"
	peerRefuses = "peer refuses a new connection"
	peerClosed  = "connection closed"
)

// awaitProof pings the peer on a second connection and waits until either connection shows whether c is lost.
// It returns the reason, or an empty text if the peer answered on c.
func (p *Pool) awaitProof(addr string, c *conn, limit <-chan time.Time) string {
	if !p.replace(addr, c) {
		return peerClosed
	}
	ctx, cancel := context.WithCancel(p.dialCtx)
	defer cancel()
	proof := make(chan string, 1)
	go func() { proof <- p.prove(ctx, addr) }()
	select {
	case <-c.pong:
		return ""
	case <-c.closed:
		return peerClosed
	case <-limit:
		return peerSilent
	case reason := <-proof:
		return c.awaitLatePong(reason)
	}
}

// awaitLatePong gives a pong on c a moment more, since both connections wake with a host that was slow. It
// returns reason if none arrives.
func (c *conn) awaitLatePong(reason string) string {
	timer := time.NewTimer(latePong)
	defer timer.Stop()
	select {
	case <-c.pong:
		return ""
	case <-timer.C:
		return reason
	}
}

// prove pings the peer at addr until it answers, refuses a connection or ctx ends.
func (p *Pool) prove(ctx context.Context, addr string) string {
	for ctx.Err() == nil {
		_, err := p.get(ctx, addr)
		if err == nil {
			err = p.Ping(ctx, addr)
		}
		switch {
		case err == nil:
			return peerAlive
		case !isTimeout(err) && !duration.Sleep(ctx, proofPause):
			return peerClosed
		case !isTimeout(err) && errors.Is(err, syscall.ECONNREFUSED):
			return peerRefuses
		}
	}
	return peerClosed
}

// isTimeout reports whether a dial failed because the peer sent nothing, and not because it refused.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.Is(err, context.DeadlineExceeded) || (errors.As(err, &netErr) && netErr.Timeout())
}

// replace opens a connection in place of c, unless that is done. It returns false if the pool is closed.
func (p *Pool) replace(addr string, c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns != nil && p.conns[addr] == c {
		next := newConn(addr)
		next.rtt.inherit(&c.rtt)
		p.conns[addr] = next
		go p.open(addr, next)
	}
	return p.conns != nil
}

// isReady reports whether the dial has ended well.
func (c *conn) isReady() bool {
	select {
	case <-c.ready:
		return c.err == nil
	default:
		return false
	}
}

func (p *Pool) isCurrent(addr string, c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns[addr] == c
}

// verifyAll pings the connections without calls in flight: where one of them went silent while its peer
// lives, others often did too, for example when a device on the way lost its state.
func (p *Pool) verifyAll() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.verified) < verifyInterval {
		return
	}
	p.verified = now
	n := 0
	for addr, c := range p.conns {
		if n++; n > maxVerified {
			return
		}
		if c.isReady() && c.watched.CompareAndSwap(false, true) {
			go p.verify(addr, c)
		}
	}
}

// Repeating returns a client that performs a call again, once, after its connection was lost. It is for
// calls that may be executed twice.
func (p *Pool) Repeating() Repeating { return Repeating{p} }

// Repeating is the client that Pool.Repeating returns.
type Repeating struct{ pool *Pool }

// Notify sends one message without a reply; see Pool.Notify.
func (r Repeating) Notify(ctx context.Context, addr, method string, args any) error {
	return r.pool.Notify(ctx, addr, method, args)
}

// Call performs one RPC; see Pool.Call.
func (r Repeating) Call(ctx context.Context, addr, method string, args, value any) error {
	err := r.pool.Call(ctx, addr, method, args, value)
	var lost *LostError
	if errors.As(err, &lost) && ctx.Err() == nil {
		err = r.pool.Call(ctx, addr, method, args, value)
	}
	return err
}
