// Package ingress serves callers over HTTP/1.1: persistent connections, pipelined requests, and bodies
// with a content length or in chunks. A caller that disconnects cancels its requests at once. Each
// connection has one goroutine that reads requests and one that writes the responses in order.
package ingress

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"celerybank/internal/membudget"
	"celerybank/internal/routes"
)

// Handler serves the requests of callers.
type Handler interface {
	// Serve writes the response to req into resp; ctx ends when the caller disconnects.
	Serve(ctx context.Context, from Caller, req *fasthttp.Request, resp *fasthttp.Response)
}

// Caller describes a caller as seen on its connection.
type Caller struct {
	// Pipelines is set once the caller has sent a request before the response to an earlier one.
	// Responses are written in order, so later ones may wait for this one.
	Pipelines bool

	exchange *exchange
}

// HoldResponse passes the memory of the response, which the handler holds, to the connection. held may be nil.
func (c Caller) HoldResponse(held *membudget.Holder) {
	if c.exchange == nil {
		held.Release()
		return
	}
	c.exchange.response = held
}

// Config configures a Server.
type Config struct {
	Handler Handler
	// Limits returns the limits of the configuration in force.
	Limits func() routes.Limits
	// BodyBytes is the maximum size of one request body in bytes, also if Limits allows more.
	BodyBytes int
	// Requests is the memory of requests, from their reading to the end of their run, and Responses that of responses until they
	// are written. nil sets no bound.
	Requests, Responses *membudget.Budget
	// MaxConnections and MaxRequests bound the connections and the requests in flight; 0 sets no bound.
	MaxConnections int
	MaxRequests    int64
	// Closed is called for each connection that is closed because of MaxConnections; nil does nothing.
	Closed func(state string)
}

// Server accepts connections of callers.
type Server struct {
	cfg      Config
	draining atomic.Bool
	inflight atomic.Int64
	counts   counts

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// New returns a server without connections.
func New(cfg Config) *Server {
	return &Server{cfg: cfg, conns: map[*conn]struct{}{}}
}

// Defaults for limits that the configuration does not set, or while there is none. They are the values
// of the platform's examples.
const (
	defaultHeaderBytes   = 16 << 10
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	defaultBodyBytes     = 1 << 20
)

// maxPipelined is the capacity of a connection's queue of admitted requests. The reader blocks when it is
// full, which bounds the requests that one connection runs concurrently.
const maxPipelined = 32

// writeTimeout bounds the write of one response: a caller that reads nothing for this long counts as
// disconnected.
const writeTimeout = 10 * time.Second

// lingerTimeout bounds the wait for the caller to close the connection after the last response. Closing
// it at once could reset the connection before the caller has read the response.
const lingerTimeout = 500 * time.Millisecond

// Inflight returns the number of admitted requests whose responses are not written yet.
func (s *Server) Inflight() int64 { return s.inflight.Load() }

// Drain stops admitting requests: it closes idle and new connections at once, and the others after the
// responses to the requests in flight. When it returns, Inflight counts every request admitted before.
func (s *Server) Drain() {
	s.draining.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.drain()
	}
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		raw, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(acceptRetryDelay) // out of file descriptors, or the connection was reset already
			continue
		}
		if s.draining.Load() {
			_ = raw.Close()
			continue
		}
		if !s.makeRoom() {
			_ = raw.Close()
			continue
		}
		c := s.newConn(raw)
		go c.read()
		go c.write()
	}
}

// acceptRetryDelay is the delay after a failed accept.
const acceptRetryDelay = 5 * time.Millisecond

// Close closes every connection.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.raw.Close()
	}
}

// limits returns the limits in force, with defaults filled in.
func (s *Server) limits() routes.Limits {
	l := s.cfg.Limits()
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = defaultHeaderBytes
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = defaultBodyBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	l.BodyBytes = min(l.BodyBytes, s.cfg.BodyBytes)
	return l
}
