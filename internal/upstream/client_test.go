package upstream

import (
	"bufio"
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"celerybank/internal/faultnet"
	"celerybank/internal/verdict"
)

const rawAddr = "10.0.0.1:8000"

// startRawUpstream starts an upstream that runs the script of the request's path on the connection.
func startRawUpstream(t *testing.T, network *faultnet.Network, script map[string]func(net.Conn)) (stop func()) {
	l, err := network.Host("10.0.0.1").Listen(rawAddr)
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			wg.Go(func() {
				defer c.Close()
				for r := bufio.NewReader(c); ; {
					var req fasthttp.Request
					if err := req.Read(r); err != nil {
						return
					}
					script[string(req.URI().Path())](c)
				}
			})
		}
	})
	return func() {
		_ = l.Close()
		wg.Wait()
	}
}

func writeText(s string) func(net.Conn) {
	return func(c net.Conn) { _, _ = c.Write([]byte(s)) }
}

// An upstream sends late, incomplete, additional or too large responses. The client must return the
// right verdict, and the next request must get its own response.
func TestAnswersAreWholeAndTheCallersOwn(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	script := map[string]func(net.Conn){
		"/ok":        writeText(ok),
		"/late":      func(c net.Conn) { time.Sleep(300 * time.Millisecond); writeText(ok)(c) },
		"/twice":     writeText(ok + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"),
		"/after":     func(c net.Conn) { writeText(ok)(c); time.Sleep(time.Millisecond); writeText("HTTP/1.1 200 OK\r\n")(c) },
		"/truncated": func(c net.Conn) { writeText("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")(c); _ = c.Close() },
		"/silent":    func(c net.Conn) { _ = c.Close() },
		"/large":     writeText("HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + strings.Repeat("x", 2000)),
		"/head":      writeText("HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*readBufferBytes) + "\r\n\r\n"),
		"/shed":      writeText("HTTP/1.1 503 Busy\r\n" + NotExecutedHeader + ": 1\r\nContent-Length: 0\r\n\r\n"),
	}
	synctest.Test(t, func(t *testing.T) {
		network := faultnet.New()
		defer startRawUpstream(t, network, script)()
		client := NewClient(rawAddr, network.Host("10.0.0.1"), 1, 1000, nil)
		defer client.CloseIdle()
		get := func(path string) (verdict.Verdict, string, error) {
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			var req fasthttp.Request
			var resp fasthttp.Response
			req.SetRequestURI("http://x" + path)
			v, err := client.Do(ctx, &req, &resp)
			return v, string(resp.Body()), err
		}
		for _, tc := range []struct {
			path string
			want verdict.Verdict
			err  error
		}{{"/ok", verdict.Ran, nil}, {"/late", verdict.MayHaveRun, context.DeadlineExceeded}, {"/twice", verdict.Ran, nil},
			{"/after", verdict.Ran, nil}, {"/truncated", verdict.MayHaveRun, errAny}, {"/silent", verdict.MayHaveRun, errAny},
			{"/large", verdict.Ran, ErrTooLarge}, {"/head", verdict.Ran, ErrTooLarge}, {"/shed", verdict.NotRun, nil}} {
			v, _, err := get(tc.path)
			if v != tc.want || (tc.err == nil) != (err == nil) || (tc.err != errAny && !errors.Is(err, tc.err)) {
				t.Errorf("%s: got verdict %v, error %v; want %v, %v", tc.path, v, err, tc.want, tc.err)
			}
			time.Sleep(500 * time.Millisecond)
			if v, body, err := get("/ok"); v != verdict.Ran || err != nil || body != "ok" {
				t.Errorf("request after %s: got verdict %v, error %v, body %q; want %v, no error, \"ok\"", tc.path, v, err, body, verdict.Ran)
			}
		}
	})
}

// errAny stands for any error.
var errAny = errors.New("any")
