package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"celerybank/internal/membudget"
	"celerybank/internal/routes"
)

// sendEndless writes first, and then text until the server closes the connection.
func sendEndless(c net.Conn, first, text string) {
	block := []byte(strings.Repeat(text, 1+16<<10/len(text)))
	_, err := io.WriteString(c, first)
	for err == nil {
		_, err = c.Write(block)
	}
}

// Callers send heads, bodies and trailers without end, or announce large bodies and send nothing, on many connections at
// the same time. Each connection must be closed, what they hold must stay within the limit, and other callers must be served.
func TestEndlessRequestsLeaveOtherCallersServed(t *testing.T) {
	const connections, limit, requests = 40, 1 << 20, 50
	post := "POST /p HTTP/1.1\r\nHost: h\r\n"
	chunked := post + "Transfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct{ first, text string }{
		"not a request":   {"", "\x00\xff garbage "},
		"one line":        {"GET /", "x"},
		"empty lines":     {"", "\r\n"},
		"header fields":   {post, "X-Field: value\r\n"},
		"one chunk":       {chunked + "7fffffff\r\n", "x"},
		"small chunks":    {chunked, "1\r\nx\r\n"},
		"large chunks":    {chunked, "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"},
		"chunk size":      {chunked, "0"},
		"chunk extension": {chunked + "5;", "x"},
		"trailer":         {chunked + "0\r\n", "X-Field: value\r\n"},
		"large length":    {post + "Content-Length: 9000000000\r\n\r\n", "x"},
		"length":          {post + "Content-Length: 500000\r\n\r\n", "x"},
		"pipelined":       {"", post + "Content-Length: 300000\r\n\r\n" + strings.Repeat("x", 300000)},
		"announced only":  {post + "Content-Length: 520000\r\n\r\n", ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHandler()
			h.started = make(chan string, 1<<20)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			s := New(Config{Handler: h, Limits: func() routes.Limits {
				return routes.Limits{HeaderBytes: 4 << 10, BodyBytes: 512 << 10, IdleTimeout: time.Second, HeaderTimeout: time.Second}
			}, BodyBytes: 1 << 20, Requests: membudget.New(limit)})
			go func() { _ = s.Serve(l) }()
			t.Cleanup(func() { _ = l.Close(); s.Close() })
			var senders sync.WaitGroup
			var open []net.Conn
			for range connections {
				conn, err := net.Dial("tcp", l.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				open = append(open, conn)
				senders.Go(func() {
					if c.text == "" {
						_, _ = io.WriteString(conn, c.first)
						return
					}
					sendEndless(conn, c.first, c.text)
				})
			}
			for range requests {
				postBody(t, l.Addr().String(), strings.Repeat("y", 20<<10))
				if used := s.cfg.Requests.Used(); used > limit {
					t.Fatalf("bodies hold %d bytes, want at most %d", used, limit)
				}
			}
			if c.text != "" && name != "pipelined" {
				senders.Wait() // every connection was closed
			}
			for _, conn := range open {
				_ = conn.Close()
			}
			senders.Wait()
			waitIdle(s)
			for s.cfg.Requests.Used() != 0 {
				time.Sleep(time.Millisecond) // until the package's test timeout
			}
		})
	}
}

// postBody sends a request with a body on a new connection, and fails the test unless it is served.
func postBody(t *testing.T, addr, body string) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	var req fasthttp.Request
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://h/good")
	req.SetBodyString(body)
	w := bufio.NewWriter(conn)
	if err := req.Write(w); err != nil {
		t.Fatal(err)
	}
	if err := w.Flush(); err != nil {
		t.Fatal(err)
	}
	if resp := receive(t, bufio.NewReader(conn)); resp.StatusCode() != 200 || len(resp.Body()) != len(body) {
		t.Fatalf("another caller got status %d and %d bytes, want 200 and %d", resp.StatusCode(), len(resp.Body()), len(body))
	}
}

// Many callers send a large part of a body each, and no more. The parts must not exceed the limit together, however the
// bodies are framed.
func TestUnfinishedBodiesStayWithinTheLimit(t *testing.T) {
	const connections, limit, part = 20, 1 << 20, 200_000
	post := "POST /p HTTP/1.1\r\nHost: h\r\n"
	text := strings.Repeat("x", part)
	for name, body := range map[string]string{
		"length": post + "Content-Length: 200001\r\n\r\n" + text,
		"chunks": post + "Transfer-Encoding: chunked\r\n\r\n30d40\r\n" + text + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			s := New(Config{Handler: newHandler(), Limits: func() routes.Limits { return routes.Limits{BodyBytes: 512 << 10, IdleTimeout: 3 * time.Second} },
				BodyBytes: 1 << 20, Requests: membudget.New(limit)})
			go func() { _ = s.Serve(l) }()
			defer s.Close()
			defer l.Close()
			var refused atomic.Int64
			var callers sync.WaitGroup
			for range connections {
				conn, err := net.Dial("tcp", l.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				callers.Go(func() {
					_, _ = io.WriteString(conn, body)
					_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second)) // before the idle timeout of the server
					line, _ := bufio.NewReader(conn).ReadString('\n')
					if strings.Contains(line, " 503 ") || line == "" && !stillOpen(conn) {
						refused.Add(1)
					}
				})
			}
			callers.Wait()
			if held, most := connections-refused.Load(), int64(limit/part); held > most {
				t.Errorf("%d bodies of %d bytes are held, want at most %d", held, part, most)
			}
		})
	}
}

// stillOpen reports whether the other end has not closed the connection.
func stillOpen(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.Read(make([]byte, 1))
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// Requests with large bodies wait for their responses. Their bodies count until the end, and what does not fit is refused
// without having run; a small request is served.
func TestBodiesOfRunningRequestsCount(t *testing.T) {
	const limit, size, callers = 1 << 20, 200_000, 20
	h := newHandler("/wait")
	h.started = make(chan string, 2*callers)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(Config{Handler: h, Limits: func() routes.Limits { return routes.Limits{BodyBytes: 512 << 10} }, BodyBytes: 1 << 20, Requests: membudget.New(limit)})
	go func() { _ = s.Serve(l) }()
	defer s.Close()
	defer l.Close()
	refused := make(chan int, callers)
	for range callers {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		go func() {
			_, _ = fmt.Fprintf(conn, "POST /wait HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
			var resp fasthttp.Response
			if resp.Read(bufio.NewReader(conn)) == nil && resp.StatusCode() == 503 {
				if retryAfter, err := strconv.Atoi(string(resp.Header.Peek("Retry-After"))); err != nil || retryAfter < 1 {
					t.Errorf("got Retry-After %q, want whole seconds", resp.Header.Peek("Retry-After"))
				}
				refused <- 1
			}
		}()
	}
	for range callers - limit/size {
		<-refused
	}
	postBody(t, l.Addr().String(), "small")
	if n := len(h.started) - 1; n > limit/size {
		t.Errorf("%d requests with bodies of %d bytes run, want at most %d", n, size, limit/size)
	}
	h.unblock("/wait")
}
