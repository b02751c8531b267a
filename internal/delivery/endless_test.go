package delivery

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	"celerybank/internal/crash"
	"celerybank/internal/events"
	"celerybank/internal/faultnet"
	"celerybank/internal/gossip"
	"celerybank/internal/membudget"
	"celerybank/internal/proxy"
	"celerybank/internal/registry"
	"celerybank/internal/routes"
	"celerybank/internal/verdict"
)

// serveEndlessHealth answers requests on c, but writes first and then text without end in response to health checks.
func serveEndlessHealth(c net.Conn, first, text string) {
	defer c.Close()
	for r := bufio.NewReader(c); ; {
		var req fasthttp.Request
		if req.Read(r) != nil {
			return
		}
		if string(req.URI().Path()) != healthPath {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			continue
		}
		block := []byte(strings.Repeat(text, 1+16<<10/len(text)))
		_, err := io.WriteString(c, first)
		for err == nil {
			_, err = c.Write(block)
			time.Sleep(time.Millisecond)
		}
		return
	}
}

// An upstream responds to health checks without end. The checks must end, their memory must be bounded and returned, and
// requests must be served.
func TestEndlessResponsesToHealthChecks(t *testing.T) {
	const limit, requests = 1 << 20, 100
	for name, c := range map[string]struct{ first, text string }{
		"head":    {"HTTP/1.1 200 OK\r\n", "X-Field: value\r\n"},
		"interim": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"body":    {"HTTP/1.1 200 OK\r\nInstance: i-1\r\nConnection: close\r\n\r\n", "x"},
		"chunks":  {"HTTP/1.1 200 OK\r\nInstance: i-1\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"length":  {"HTTP/1.1 200 OK\r\nInstance: i-1\r\nContent-Length: 9000000000\r\n\r\n", "x"},
		"trailer": {"HTTP/1.1 200 OK\r\nInstance: i-1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Field: value\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := faultnet.New()
				l, err := network.Host("10.0.0.1").Listen(upstreamAddr)
				if err != nil {
					t.Fatal(err)
				}
				go func() {
					for {
						conn, err := l.Accept()
						if err != nil {
							return
						}
						go serveEndlessHealth(conn, c.first, c.text)
					}
				}()
				ctx, cancel := context.WithCancel(t.Context())
				memory := membudget.New(limit)
				table := routes.NewTable(&routes.Config{Version: 1, Services: []routes.Service{{Name: "stock", HealthPath: healthPath, ColdPerSecond: 1000}}})
				o := New(ctx, Config{Gate: NewGate(), Dialer: network.Host("10.0.0.1"), Wire: testWire{}, Table: func() *routes.Table { return table },
					RefusalReason: func(string) proxy.Reason { return proxy.ReasonNone }, Crashes: crash.New(gossip.New(gossip.Config{}), nil), Observer: discardOutcomes{},
					Events: (*events.Recorder)(nil), Cold: ColdBound{Overshoot: coldOvershoot, Slack: coldSlack}, ResponseMemory: memory})
				a := registry.Announcement{Service: "stock", Instance: upstreamID, Address: upstreamAddr, Slots: 9, Born: 1}
				o.SetUpstream(registry.Upstream{Announcement: a}, true)
				for range requests {
					o.AssumeCold(ColdResumed) // starts a health check
					if o.CheckServing(a) == Serves {
						t.Error("an endless response passed as a health check")
					}
					res := o.Handle(ctx, &proxy.Request{Service: "stock", Timeout: time.Second, Idempotent: true, WaitToDeadline: true})
					if res.Verdict != verdict.Ran || res.Status != 200 {
						t.Errorf("a request beside endless responses: got verdict %v, status %d, reason %v; want it served", res.Verdict, res.Status, res.Reason)
					}
					if used := memory.Used(); used > limit {
						t.Fatalf("responses hold %d bytes, want at most %d", used, limit)
					}
				}
				cancel()
				_ = l.Close()
				time.Sleep(time.Second)
				if used := memory.Used(); used != 0 {
					t.Errorf("%d bytes were not returned, want 0", used)
				}
				o.up.Load().client.CloseIdle()
				time.Sleep(time.Second)
			})
		})
	}
}
