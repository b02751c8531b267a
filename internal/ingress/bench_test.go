package ingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"celerybank/internal/membudget"
	"celerybank/internal/routes"
)

type quick struct{}

// BenchmarkRequest measures an ordinary small request on a persistent connection.
func BenchmarkRequest(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := New(benchConfig())
	go func() { _ = s.Serve(l) }()
	defer s.Close()
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	text := []byte("POST /p HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: 8c7a\r\nX-Request-Deadline: 2000\r\nContent-Length: 700\r\n\r\n" + string(make([]byte, 700)))
	r, resp := bufio.NewReader(c), &fasthttp.Response{}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if _, err := c.Write(text); err != nil {
			b.Fatal(err)
		}
		if err := resp.Read(r); err != nil {
			b.Fatal(err)
		}
	}
}

var benchBody = make([]byte, 700)

var benchLimits = func() routes.Limits { return routes.Limits{BodyBytes: 1 << 20} }

func (quick) Serve(ctx context.Context, _ Caller, req *fasthttp.Request, resp *fasthttp.Response) {
	if string(req.Header.RequestURI()) == "/wait" {
		<-ctx.Done()
	}
	resp.SetBodyRaw(benchBody)
}

func benchConfig() Config {
	all := membudget.New(40 << 20)
	return Config{Handler: quick{}, Limits: benchLimits, BodyBytes: 1 << 20, Requests: all.Part("requests", 20<<20), Responses: all.Part("responses", 40<<20), MaxConnections: 900, MaxRequests: 10_000}
}

// BenchmarkConnectionMemory reports the heap and the stacks of a connection in each state, with the client's end of some 1 KB.
func BenchmarkConnectionMemory(b *testing.B) {
	const connections = 400
	small := "GET /p HTTP/1.1\r\nHost: h\r\n\r\n"
	wait := "GET /wait HTTP/1.1\r\nHost: h\r\nX-Request-Id: 8c7a\r\n\r\n"
	for _, state := range []struct {
		name, text string
		answers    int
	}{
		{"no request", "", 0}, {"idle", small, 1}, {"head", "GET /p HTTP/1.1\r\nX-Field: " + strings.Repeat("v", 8<<10), 0},
		{"small body", "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 4000\r\n\r\n" + strings.Repeat("x", 3999), 0},
		{"waiting", wait, 0}, {"waiting, pipelined", strings.Repeat(wait, 8), 0},
	} {
		b.Run(state.name, func(b *testing.B) {
			for range b.N {
				b.ReportMetric(measureConnections(b, connections, state.text, state.answers), "B/connection")
			}
		})
	}
}

// measureConnections opens connections, sends text on each, reads the responses and returns the memory of one.
func measureConnections(b *testing.B, n int, text string, answers int) float64 {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := New(benchConfig())
	go func() { _ = s.Serve(l) }()
	defer s.Close()
	defer l.Close()
	before := memoryInUse()
	for range n {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			b.Fatal(err)
		}
		defer c.Close()
		if _, err := io.WriteString(c, text); err != nil {
			b.Fatal(err)
		}
		resp := &fasthttp.Response{}
		for range answers {
			if err := resp.Read(bufio.NewReader(c)); err != nil {
				b.Fatal(err)
			}
		}
	}
	for s.Connections() < n {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(200 * time.Millisecond) // for what was sent to be read; a benchmark has no verdict
	return float64(memoryInUse()-before) / float64(n)
}

func memoryInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC() // empties the pools
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
