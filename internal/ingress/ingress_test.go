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

	"celerybank/internal/routes"
)

// testHandler answers with the request's body or path once it is let go.
type testHandler struct {
	// pipelined is set once a request came from a caller that pipelines.
	pipelined atomic.Bool
	hold      map[string]chan struct{} // by path
	began     chan string
	cancelled chan string
}

func newHandler(held ...string) *testHandler {
	h := &testHandler{hold: map[string]chan struct{}{}, began: make(chan string, 64), cancelled: make(chan string, 64)}
	for _, p := range held {
		h.hold[p] = make(chan struct{})
	}
	return h
}

func (h *testHandler) letGo(path string) { close(h.hold[path]) }

func (h *testHandler) Serve(ctx context.Context, from Caller, req *fasthttp.Request, resp *fasthttp.Response) {
	if from.Pipelines {
		h.pipelined.Store(true)
	}
	path := string(req.Header.RequestURI())
	h.began <- path
	if gate := h.hold[path]; gate != nil {
		select {
		case <-gate:
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

// wait takes the next event; a test that waits for ever ends by the package's limit.
func wait(t *testing.T, ch chan string, want string) {
	t.Helper()
	if got := <-ch; got != want {
		t.Fatalf("%s, not %s", got, want)
	}
}

func start(t *testing.T, h Handler) (*Server, func() net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(Config{Handler: h, Limits: func() routes.Limits { return routes.Limits{HeaderBytes: 1 << 10, BodyBytes: 1 << 10} }, BodyBytes: 1 << 20, AllBodies: 1 << 20})
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

// answered waits until the server counts no request: its caller may have the answer a moment before.
func answered(s *Server) {
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

func TestPipelinedAnswersKeepTheirOrder(t *testing.T) {
	h := newHandler("/1")
	_, dial := start(t, h)
	c := dial()
	r := bufio.NewReader(c)
	send(t, c, get("/1")+get("/2")+get("/3"))
	seen := map[string]bool{}
	for range 3 {
		seen[<-h.began] = true // all run at once, though the first is not answered
	}
	h.letGo("/1")
	for i := 1; i <= 3; i++ {
		if body := string(receive(t, r).Body()); body != fmt.Sprint("/", i) || !seen[body] {
			t.Errorf("answer %d: %s", i, body)
		}
	}
}

func TestPipeliningIsToldToTheHandler(t *testing.T) {
	h := newHandler("/held")
	_, dial := start(t, h)
	c := dial()
	r := bufio.NewReader(c)
	for range 3 {
		send(t, c, get("/1"))
		wait(t, h.began, "/1")
		receive(t, r)
	}
	if h.pipelined.Load() {
		t.Error("one request after the other counts as pipelining")
	}
	send(t, c, get("/held")+get("/2"))
	<-h.began
	<-h.began // both run, in any order
	h.letGo("/held")
	receive(t, r)
	receive(t, r)
	if !h.pipelined.Load() {
		t.Error("a request beside another one does not")
	}
}

func TestCallerThatLeavesCancelsItsRequests(t *testing.T) {
	h := newHandler("/1", "/2")
	s, dial := start(t, h)
	c := dial()
	send(t, c, get("/1")+get("/2"))
	<-h.began
	<-h.began
	_ = c.Close()
	<-h.cancelled
	<-h.cancelled
	answered(s)
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
			t.Errorf("%q, not %q", body, want)
		}
	}
}

// A request whose end two parsers may see at two places could smuggle another one.
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
			t.Errorf("%s: %d, close %v", name, resp.StatusCode(), resp.ConnectionClose())
		}
		if _, err := r.ReadByte(); err == nil {
			t.Errorf("%s: the connection goes on", name)
		}
		if len(h.began) > 0 {
			t.Errorf("%s: %s ran", name, <-h.began)
		}
	}
}

// A planned stop answers what was taken, and takes nothing after it: not on connections that
// were idle, not on new ones, not behind an answer that closes.
func TestDrainCutsNoRequest(t *testing.T) {
	h := newHandler("/held")
	s, dial := start(t, h)
	busy, idle := dial(), dial()
	send(t, idle, get("/first"))
	idleReader := bufio.NewReader(idle)
	receive(t, idleReader)
	wait(t, h.began, "/first")
	answered(s)
	send(t, busy, get("/held"))
	wait(t, h.began, "/held")
	s.Drain()
	if n := s.Inflight(); n != 1 {
		t.Errorf("%d in flight", n)
	}
	if _, err := idleReader.ReadByte(); err == nil {
		t.Error("the idle connection is open")
	}
	late := dial()
	_, _ = io.WriteString(late, get("/late")) // may meet a closed connection
	if _, err := bufio.NewReader(late).ReadByte(); err == nil {
		t.Error("a connection after the drain was served")
	}
	send(t, busy, get("/behind"))
	h.letGo("/held")
	r := bufio.NewReader(busy)
	if resp := receive(t, r); string(resp.Body()) != "/held" || !resp.ConnectionClose() {
		t.Errorf("%s, close %v", resp.Body(), resp.ConnectionClose())
	}
	if _, err := r.ReadByte(); err == nil {
		t.Error("the connection goes on")
	}
	answered(s)
	if len(h.began) > 0 {
		t.Errorf("%s ran", <-h.began)
	}
}

// The answer counts as in flight until it is written: a process that ends on Inflight cuts nothing.
func TestInflightEndsWithTheAnswer(t *testing.T) {
	h := newHandler("/1")
	s, dial := start(t, h)
	c := dial()
	send(t, c, get("/1"))
	wait(t, h.began, "/1")
	s.Drain()
	h.letGo("/1")
	answered(s)
	s.Close()
	if body := string(receive(t, bufio.NewReader(c)).Body()); body != "/1" {
		t.Errorf("%q", body)
	}
}
