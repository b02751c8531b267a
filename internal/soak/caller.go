package soak

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"celerybank/internal/duration"
	"celerybank/platform/counterpart"
)

// How callers behave.
const (
	callDeadline = 3 * time.Second
	// answerSlack is how much longer than its deadline a caller reads on.
	answerSlack = 500 * time.Millisecond
	// pipelineShare of the safe requests go in pairs, the second before the first is answered.
	pipelineShare = 0.2
	// keepShare of the connections are kept after an answer.
	keepShare = 0.9
	hostName  = "shop.example"
	bodyBytes = 900
)

// callers sends requests to one host's node, at a rate that does not wait for answers, over kept
// and new connections.
type callers struct {
	host    *host
	checker *Checker
	perS    float64
	// prefixes maps those of routes to whether their requests are safe.
	prefixes map[string]bool
	ids      *atomic.Int64

	mu   sync.Mutex
	idle []*callerConn
}

type callerConn struct {
	net.Conn
	r    *bufio.Reader
	kept bool
}

func (c *callers) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for duration.Sleep(ctx, time.Duration(rand.ExpFloat64()/c.perS*float64(time.Second))) {
		n, prefix := 1, c.pick()
		if c.prefixes[prefix] && rand.Float64() < pipelineShare {
			n = 2
		}
		wg.Go(func() { c.exchange(ctx, prefix, n) })
	}
}

func (c *callers) pick() string {
	at := rand.IntN(len(c.prefixes))
	for p := range c.prefixes {
		if at--; at < 0 {
			return p
		}
	}
	return ""
}

// exchange sends n requests on one connection and reads their answers.
func (c *callers) exchange(ctx context.Context, prefix string, n int) {
	conn := c.take()
	if conn == nil {
		return // a node that is gone or does not listen: nothing was sent
	}
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("q%07d", c.ids.Add(1))
		if !c.send(conn, ids[i], prefix) {
			_ = conn.Close()
			return
		}
	}
	for i, id := range ids {
		a, last, err := c.read(conn)
		if err != nil {
			_ = conn.Close()
			if timeout, ok := err.(net.Error); !ok || !timeout.Timeout() {
				c.checker.Cut(id, conn.kept)
			}
			return
		}
		c.checker.Answered(id, Reply{Status: a.Status, NotRun: a.GuaranteesNotRun(), Own: a.ID == id && a.Signed && string(a.Body) == string(body(id))})
		if last && i < n-1 {
			_ = conn.Close() // what stood behind a closing answer was not read
			return
		} else if last {
			_ = conn.Close()
			return
		}
	}
	c.keep(ctx, conn)
}

// send writes one request whole; without success it counts as not sent.
func (c *callers) send(conn *callerConn, id, prefix string) bool {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	method, content := http.MethodPost, make([]byte, bodyBytes)
	if c.prefixes[prefix] {
		method, content = http.MethodGet, nil
	}
	counterpart.WriteRequest(req, method, hostName, prefix+id, id, callDeadline, content)
	c.checker.Sent(id, c.host.name, prefix, c.prefixes[prefix])
	_ = conn.SetDeadline(time.Now().Add(callDeadline + answerSlack))
	w := bufio.NewWriter(conn)
	return req.Write(w) == nil && w.Flush() == nil
}

func (c *callers) read(conn *callerConn) (a counterpart.ReceivedResponse, last bool, err error) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := resp.Read(conn.r); err != nil {
		return a, true, err
	}
	return counterpart.ReadResponse(resp), resp.ConnectionClose(), nil
}

// take returns a kept connection or a new one.
func (c *callers) take() *callerConn {
	c.mu.Lock()
	if n := len(c.idle); n > 0 {
		conn := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		conn.kept = true
		return conn
	}
	c.mu.Unlock()
	raw, err := net.DialTimeout("tcp", c.host.at(callersProxyPort), dialTimeout)
	if err != nil {
		return nil
	}
	return &callerConn{Conn: raw, r: bufio.NewReader(raw)}
}

func (c *callers) keep(ctx context.Context, conn *callerConn) {
	if rand.Float64() > keepShare || ctx.Err() != nil {
		_ = conn.Close()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, conn)
}
