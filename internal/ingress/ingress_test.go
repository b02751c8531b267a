package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"celerybank/internal/membudget"
	"celerybank/internal/routes"
)

// testHandler responds with the request's body, or with its URI if there is none. Requests for a blocked
// path wait until unblock is called.
type testHandler struct {
	// pipelined is set once a request arrived from a caller that pipelines.
	pipelined atomic.Bool
	blocked   map[string]chan struct{} // by path
	started   chan string              // paths of requests that have started
	cancelled chan string              // paths of requests cancelled while blocked
}

func newHandler(paths ...string) *testHandler {
	h := &testHandler{blocked: map[string]chan struct{}{}, started: make(chan string, 64), cancelled: make(chan string, 64)}
	for _, p := range paths {
		h.blocked[p] = make(chan struct{})
	}
	return h
}

func (h *testHandler) unblock(path string) { close(h.blocked[path]) }

func (h *testHandler) Serve(ctx context.Context, from Caller, req *fasthttp.Request, resp *fasthttp.Response) {
	if from.Pipelines {
		h.pipelined.Store(true)
	}
	path := string(req.Header.RequestURI())
	h.started <- path
	if unblocked := h.blocked[path]; unblocked != nil {
		select {
		case <-unblocked:
		case <-ctx.Done():
			h.cancelled <- path
		}
	}
	if body := req.Body(); len(body) > 0 {
		resp.SetBody(body)
		return
	}
	resp.SetBodyString(path)
}

// wait receives the next path and compares it with want. If none arrives, the package's test timeout ends
// the test.
func wait(t *testing.T, ch chan string, want string) {
	t.Helper()
	if got := <-ch; got != want {
		t.Fatalf("got %s, want %s", got, want)
	}
}

// start returns a running server and a function that opens a connection to it.
func start(t *testing.T, h Handler) (*Server, func() net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(Config{Handler: h, Limits: func() routes.Limits { return routes.Limits{HeaderBytes: 1 << 10, BodyBytes: 1 << 10} }, BodyBytes: 1 << 20, Requests: membudget.New(1 << 20)})
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = l.Close(); s.Close() })
	return s, func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: shop.example\r\n\r\n" }

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// waitIdle waits until no request is in flight: a caller may have the response shortly before the server
// counts it as written.
func waitIdle(s *Server) {
	for s.Inflight() != 0 {
		time.Sleep(time.Millisecond)
	}
}

func receive(t *testing.T, r *bufio.Reader) *fasthttp.Response {
	t.Helper()
	resp := &fasthttp.Response{}
	if err := resp.Read(r); err != nil {
		t.Fatal(err)
	}
	return resp
}

func TestPipelinedResponsesKeepTheirOrder(t *testing.T) {
	h := newHandler("/1")
	_, dial := start(t, h)
	c := dial()
	r := bufio.NewReader(c)
	send(t, c, get("/1")+get("/2")+get("/3"))
	seen := map[string]bool{}
	for range 3 {
		seen[<-h.started] = true // all run concurrently, while the first has no response yet
	}
	h.unblock("/1")
	for i := 1; i <= 3; i++ {
		if body := string(receive(t, r).Body()); body != fmt.Sprint("/", i) || !seen[body] {
			t.Errorf("response %d: got %s, want /%d", i, body, i)
		}
	}
}

func TestHandlerSeesPipelining(t *testing.T) {
	h := newHandler("/held")
	_, dial := start(t, h)
	c := dial()
	r := bufio.NewReader(c)
	for range 3 {
		send(t, c, get("/1"))
		wait(t, h.started, "/1")
		receive(t, r)
	}
	if h.pipelined.Load() {
		t.Error("sequential requests: got Pipelines true, want false")
	}
	send(t, c, get("/held")+get("/2"))
	<-h.started
	<-h.started // both run, in either order
	h.unblock("/held")
	receive(t, r)
	receive(t, r)
	if !h.pipelined.Load() {
		t.Error("concurrent requests: got Pipelines false, want true")
	}
}

func TestDisconnectCancelsRequests(t *testing.T) {
	h := newHandler("/1", "/2")
	s, dial := start(t, h)
	c := dial()
	send(t, c, get("/1")+get("/2"))
	<-h.started
	<-h.started
	_ = c.Close()
	<-h.cancelled
	<-h.cancelled
	waitIdle(s)
}

func TestBodiesWithLengthAndInChunks(t *testing.T) {
	h := newHandler()
	_, dial := start(t, h)
	c := dial()
	r := bufio.NewReader(c)
	send(t, c, "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"+
		"POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ndef\r\n0\r\n\r\n")
	for _, want := range []string{"abc", "def"} {
		if body := string(receive(t, r).Body()); body != want {
			t.Errorf("got body %q, want %q", body, want)
		}
	}
}

// A request whose length is ambiguous could smuggle a second one past a parser that finds its end at a
// different place.
func TestAmbiguousOrTooLargeRequestsAreRefused(t *testing.T) {
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"both framings":  {"POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n", 400},
		"two lengths":    {"POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400},
		"unknown coding": {"POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400},
		"large header":   {"GET /p HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 2<<10) + "\r\n\r\n", 431},
		"large body":     {"POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n", 413},
		"large chunks":   {"POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" + strings.Repeat("x", 2000) + "\r\n0\r\n\r\n", 413},
		"not a request":  {"\x16\x03\x01 hello\r\n\r\n", 400},
	} {
		h := newHandler()
		_, dial := start(t, h)
		conn := dial()
		r := bufio.NewReader(conn)
		send(t, conn, c.text)
		if resp := receive(t, r); resp.StatusCode() != c.status || !resp.ConnectionClose() {
			t.Errorf("%s: got status %d, close %v; want %d, true", name, resp.StatusCode(), resp.ConnectionClose(), c.status)
		}
		if _, err := r.ReadByte(); err == nil {
			t.Errorf("%s: connection still open", name)
		}
		if len(h.started) > 0 {
			t.Errorf("%s: handler ran for %s", name, <-h.started)
		}
	}
}

// A drain finishes the requests that were admitted and admits none after it: not on idle connections, not
// on new ones, and not on a connection behind the response that closes it.
func TestDrainCutsNoRequest(t *testing.T) {
	h := newHandler("/held")
	s, dial := start(t, h)
	busy, idle := dial(), dial()
	send(t, idle, get("/first"))
	idleReader := bufio.NewReader(idle)
	receive(t, idleReader)
	wait(t, h.started, "/first")
	waitIdle(s)
	send(t, busy, get("/held"))
	wait(t, h.started, "/held")
	s.Drain()
	if n := s.Inflight(); n != 1 {
		t.Errorf("got %d in flight, want 1", n)
	}
	if _, err := idleReader.ReadByte(); err == nil {
		t.Error("idle connection still open after the drain")
	}
	late := dial()
	_, _ = io.WriteString(late, get("/late")) // fails if the connection is already closed
	if _, err := bufio.NewReader(late).ReadByte(); err == nil {
		t.Error("connection opened after the drain got a response")
	}
	send(t, busy, get("/behind"))
	h.unblock("/held")
	r := bufio.NewReader(busy)
	if resp := receive(t, r); string(resp.Body()) != "/held" || !resp.ConnectionClose() {
		t.Errorf("got body %s, close %v; want /held, true", resp.Body(), resp.ConnectionClose())
	}
	if _, err := r.ReadByte(); err == nil {
		t.Error("connection still open after its last response")
	}
	waitIdle(s)
	if len(h.started) > 0 {
		t.Errorf("handler ran for %s after the drain", <-h.started)
	}
}

// A request counts as in flight until its response is written, so a process that ends once Inflight is 0
// cuts off no response.
func TestInflightEndsWithTheAnswer(t *testing.T) {
	h := newHandler("/1")
	s, dial := start(t, h)
	c := dial()
	send(t, c, get("/1"))
	wait(t, h.started, "/1")
	s.Drain()
	h.unblock("/1")
	waitIdle(s)
	s.Close()
	if body := string(receive(t, bufio.NewReader(c)).Body()); body != "/1" {
		t.Errorf("got body %q, want /1", body)
	}
}
