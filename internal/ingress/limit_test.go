package ingress

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"celerybank/internal/membudget"
	"celerybank/internal/routes"
)

// virtual has a server in virtual time.
type virtual struct {
	t        *testing.T
	server   *Server
	listener pipes
	stop     func()
}

// pipes is a listener of connections in memory. A write blocks until the other end reads.
type pipes struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l pipes) Addr() net.Addr { return nil }
func (l pipes) Close() error   { close(l.closed); return nil }

func (l pipes) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// startVirtual starts a server; the limits of cfg are set. Call it in a bubble of synctest, and stop at its end.
func startVirtual(t *testing.T, cfg Config) *virtual {
	t.Helper()
	l := pipes{conns: make(chan net.Conn), closed: make(chan struct{})}
	cfg.Limits = func() routes.Limits { return routes.Limits{IdleTimeout: time.Minute, HeaderTimeout: time.Minute} }
	cfg.BodyBytes = 1 << 20
	v := &virtual{t: t, server: New(cfg), listener: l}
	done := make(chan struct{})
	go func() { _ = v.server.Serve(l); close(done) }()
	v.stop = func() {
		_ = l.Close()
		v.server.Close()
		<-done
	}
	return v
}

// dial opens a connection and sends a text. Time passes, so that no two connections are of the same age.
func (v *virtual) dial(text string) net.Conn {
	v.t.Helper()
	c, accepted := net.Pipe()
	v.listener.conns <- accepted
	if _, err := io.WriteString(c, text); err != nil {
		v.t.Fatal(err)
	}
	time.Sleep(time.Second)
	return c
}

// closed reports whether the server has closed a connection on which no response is to come.
func closed(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	_, err := c.Read(make([]byte, 1))
	var timeout net.Error
	return err != nil && (!errors.As(err, &timeout) || !timeout.Timeout())
}

// Guards against a new caller for whom a connection is closed that was used more recently than another, or that waits for a
// response.
func TestLongestIdleConnectionIsClosedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHandler("/wait")
		v := startVirtual(t, Config{Handler: h, MaxConnections: 4})
		waiting, used, idle, newer := v.dial(get("/wait")), v.dial(""), v.dial(""), v.dial("")
		if _, err := io.WriteString(used, get("/1")); err != nil {
			t.Fatal(err)
		}
		receive(t, bufio.NewReader(used))
		last := v.dial("")
		for name, c := range map[string]struct {
			conn net.Conn
			want bool
		}{"waiting": {waiting, false}, "used": {used, false}, "idle": {idle, true}, "newer": {newer, false}, "last": {last, false}} {
			if got := closed(c.conn); got != c.want {
				t.Errorf("connection %s: closed %t, want %t", name, got, c.want)
			}
		}
		if got := v.server.Counts(); got.ClosedIdle != 1 || v.server.Connections() != 4 {
			t.Errorf("got %+v and %d connections, want one idle connection closed and 4 left", got, v.server.Connections())
		}
		h.unblock("/wait")
		v.stop()
	})
}

// No connection is idle. Guards against unfinished heads that keep other callers out, and against the end of requests that run.
func TestSlowestConnectionIsClosedNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHandler("/wait")
		v := startVirtual(t, Config{Handler: h, MaxConnections: 3})
		waiting, slow, unfinished := v.dial(get("/wait")), v.dial("GET / HTTP"), v.dial("GET / HTTP")
		next := v.dial(get("/wait"))
		if closed(waiting) || !closed(slow) || closed(unfinished) || closed(next) {
			t.Error("want the connection closed whose head has not progressed for longest, and no other")
		}
		running := v.dial(get("/wait"))
		refused, accepted := net.Pipe()
		v.listener.conns <- accepted
		if !closed(unfinished) || closed(running) || !closed(refused) || closed(waiting) || closed(next) {
			t.Error("want a new connection closed when all others wait for responses")
		}
		if got := v.server.Counts(); got != (Counts{ClosedSlow: 2, RefusedConnections: 1}) {
			t.Errorf("got %+v, want 2 slow connections closed and one refused", got)
		}
		h.unblock("/wait")
		v.stop()
	})
}

// One caller pipelines more requests than may be in flight. Guards against others that are refused for it.
func TestPipelinedRequestsLeaveRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHandler("/wait")
		v := startVirtual(t, Config{Handler: h, MaxRequests: 4})
		many := v.dial(strings.Repeat(get("/wait"), 10))
		other := v.dial(get("/1"))
		if resp := receive(t, bufio.NewReader(other)); resp.StatusCode() != 200 {
			t.Errorf("another caller got status %d, want 200", resp.StatusCode())
		}
		h.unblock("/wait")
		r := bufio.NewReader(many)
		for _, want := range []int{200, 200, 503} {
			if resp := receive(t, r); resp.StatusCode() != want {
				t.Errorf("got status %d, want %d", resp.StatusCode(), want)
			}
		}
		if !closed(many) || v.server.Counts().RefusedRequests != 1 {
			t.Errorf("got %+v, want one refusal, after which the connection is closed", v.server.Counts())
		}
		v.stop()
	})
}

// Responses wait for a caller that reads nothing. Guards against a node that keeps them when others need the memory, and against
// memory that is not returned.
func TestUnreadResponsesGiveWay(t *testing.T) {
	const size, limit = 20 << 10, 50 << 10
	synctest.Test(t, func(t *testing.T) {
		all := membudget.New(limit)
		v := startVirtual(t, Config{Handler: newHandler(), Requests: all.Part("requests", limit), Responses: all.Part("responses", limit)})
		post := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 20480\r\n\r\n" + strings.Repeat("x", size)
		unread := v.dial(post + post) // 40 KB
		for range 5 {
			reading := v.dial(post)
			if resp := receive(t, bufio.NewReader(reading)); resp.StatusCode() != 200 || len(resp.Body()) != size {
				t.Errorf("a caller that reads got status %d and %d bytes, want 200 and %d", resp.StatusCode(), len(resp.Body()), size)
			}
			if used := all.Used(); used > limit {
				t.Errorf("%d bytes are held, want at most %d", used, limit)
			}
			_ = reading.Close()
		}
		_ = unread.Close()
		time.Sleep(time.Minute)
		if used := all.Used(); used != 0 {
			t.Errorf("%d bytes were not returned, want 0", used)
		}
		v.stop()
	})
}
