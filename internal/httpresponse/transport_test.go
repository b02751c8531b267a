package httpresponse

import (
	"bufio"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"celerybank/internal/faultnet"
)

// serveTexts answers the n-th request of all connections with texts[n], and counts the connections.
func serveTexts(t *testing.T, network *faultnet.Network, texts ...string) (client *fasthttp.HostClient, accepted func() int64, stop func()) {
	const addr = "10.0.0.9:80"
	l, err := network.Host("10.0.0.9").Listen(addr)
	if err != nil {
		t.Fatal(err)
	}
	var written, conns atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go func() {
				defer c.Close()
				for r := bufio.NewReader(c); ; {
					var req fasthttp.Request
					if req.Read(r) != nil {
						return
					}
					_, _ = c.Write([]byte(texts[written.Add(1)-1]))
				}
			}()
		}
	}()
	client = &fasthttp.HostClient{Addr: addr, Transport: Transport{}, MaxIdleConnDuration: time.Second,
		Dial: func(addr string) (net.Conn, error) { return network.Host("10.0.0.1").Dial(t.Context(), addr) }}
	return client, conns.Load, func() {
		client.CloseIdleConnections()
		_ = l.Close()
		time.Sleep(time.Minute) // until the client's cleaner has ended
	}
}

// A client with this transport reuses a connection after a whole response, and neither after a malformed one nor if bytes follow.
func TestTransportReadsStrictly(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for name, c := range map[string]struct {
		first string
		err   error
		conns int64
	}{
		"whole":          {whole, nil, 1},
		"interim":        {"HTTP/1.1 100 Continue\r\n\r\n" + whole, nil, 1},
		"closing":        {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", nil, 2},
		"bytes follow":   {whole + whole, nil, 2},
		"status 000":     {"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok", ErrMalformed, 2},
		"blank in name":  {"HTTP/1.1 200 OK\r\nX Tag: b\r\nContent-Length: 2\r\n\r\nok", ErrMalformed, 2},
		"two lengths":    {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok", ErrMalformed, 2},
		"large body":     {"HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\nok", fasthttp.ErrBodyTooLarge, 2},
		"body that ends": {"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok", fasthttp.ErrTimeout, 2},
		"nothing":        {"", fasthttp.ErrTimeout, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client, accepted, stop := serveTexts(t, faultnet.New(), c.first, whole)
				client.MaxResponseBodySize = 100
				var req fasthttp.Request
				var resp fasthttp.Response
				req.SetRequestURI("http://10.0.0.9:80/")
				if err := client.DoTimeout(&req, &resp, time.Second/2); !errors.Is(err, c.err) {
					t.Errorf("got error %v, status %d, body %q, want error %v", err, resp.StatusCode(), resp.Body(), c.err)
				}
				if err := client.DoTimeout(&req, &resp, time.Second/2); err != nil || string(resp.Body()) != "ok" || accepted() != c.conns {
					t.Errorf("next request: got error %v, body %q on connection %d, want ok on %d", err, resp.Body(), accepted(), c.conns)
				}
				stop()
			})
		})
	}
}
