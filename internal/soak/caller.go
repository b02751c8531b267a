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

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"celerybank/internal/duration"
	"celerybank/internal/httpresponse"
	"celerybank/platform/counterpart"
)

// Behaviour of the callers.
const (
	requestTimeout = 3 * time.Second
	// readSlack is how long a caller continues to wait for a response after its deadline.
	readSlack = 500 * time.Millisecond
	// pipelinedShare is the probability that a safe request is followed by another one on its connection
	// before its response.
	pipelinedShare = 0.2
	// keepAliveShare is the probability that a connection is reused after a response.
	keepAliveShare = 0.9
	// authority is the HTTP host of all requests.
	authority    = "shop.example"
	requestBytes = 900 // body of an unsafe request
)

// callers sends requests to the node of one host over new and reused connections. The rate does not
// depend on responses.
type callers struct {
	host    *host
	checker *Checker
	rate    float64 // in requests per second
	// prefixes maps the path prefixes of routes to whether their requests are safe.
	prefixes map[string]bool
	ids      *atomic.Int64
	keys     *keyRing // nil in runs without workspaces

	mu   sync.Mutex
	idle []*callerConn
}

type callerConn struct {
	net.Conn
	r      *bufio.Reader
	reused bool
}

// run sends requests until ctx ends, and waits for their responses.
func (c *callers) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for duration.Sleep(ctx, time.Duration(rand.ExpFloat64()/c.rate*float64(time.Second))) {
		n, prefix := 1, c.randomPrefix()
		if c.prefixes[prefix] && rand.Float64() < pipelinedShare {
			n = 2
		}
		wg.Go(func() { c.exchange(ctx, prefix, n) })
	}
}

func (c *callers) randomPrefix() string {
	i := rand.IntN(len(c.prefixes))
	for p := range c.prefixes {
		if i--; i < 0 {
			return p
		}
	}
	return ""
}

// exchange sends n pipelined requests on one connection and reads their responses.
func (c *callers) exchange(ctx context.Context, prefix string, n int) {
	conn := c.acquireConn()
	if conn == nil {
		return // the node does not accept connections; nothing was sent
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
		resp, closing, err := c.read(conn)
		if err != nil {
			_ = conn.Close()
			if errors.Is(err, httpresponse.ErrMalformed) {
				c.checker.MalformedResponse(id, err)
				return
			}
			if timeout, ok := err.(net.Error); !ok || !timeout.Timeout() {
				c.checker.ConnectionLost(id, conn.reused)
			}
			return
		}
		c.checker.ResponseReceived(id, Response{Status: resp.Status, NotRun: resp.GuaranteesNotRun() || resp.Status == http.StatusUnauthorized, Intact: resp.ID == id && resp.Signed && string(resp.Body) == string(responseBody(id))})
		if closing && i < n-1 {
			_ = conn.Close() // the node does not read requests pipelined after this one
			return
		} else if closing {
			_ = conn.Close()
			return
		}
	}
	c.releaseConn(ctx, conn)
}

// send writes one request. It returns false if the request was not written completely; it then counts
// as not sent.
func (c *callers) send(conn *callerConn, id, prefix string) bool {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	method, body := http.MethodPost, make([]byte, requestBytes)
	if c.prefixes[prefix] {
		method, body = http.MethodGet, nil
	}
	counterpart.WriteRequest(req, method, authority, prefix+id, id, requestTimeout, body)
	c.checker.RequestSent(id, c.host.name, prefix, c.prefixes[prefix])
	c.authorize(req, id, prefix)
	_ = conn.SetDeadline(time.Now().Add(requestTimeout + readSlack))
	w := bufio.NewWriter(conn)
	return req.Write(w) == nil && w.Flush() == nil
}

// read reads one response. closing is true if the node closes the connection after it.
func (c *callers) read(conn *callerConn) (res counterpart.ReceivedResponse, closing bool, err error) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := httpresponse.Read(conn.r, resp, false, 0); err != nil {
		return res, true, err
	}
	return counterpart.ReadResponse(resp), resp.ConnectionClose(), nil
}

// acquireConn returns an idle connection or a new one, or nil if it cannot connect.
func (c *callers) acquireConn() *callerConn {
	c.mu.Lock()
	if n := len(c.idle); n > 0 {
		conn := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		conn.reused = true
		return conn
	}
	c.mu.Unlock()
	raw, err := net.DialTimeout("tcp", c.host.addr(callersProxyPort), dialTimeout)
	if err != nil {
		return nil
	}
	return &callerConn{Conn: raw, r: bufio.NewReader(raw)}
}

// releaseConn makes a connection idle, or closes it with a probability of 1-keepAliveShare.
func (c *callers) releaseConn(ctx context.Context, conn *callerConn) {
	if rand.Float64() > keepAliveShare || ctx.Err() != nil {
		_ = conn.Close()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, conn)
}
