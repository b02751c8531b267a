package proxy

import (
	"context"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"celerybank/internal/events"
	"celerybank/internal/upstream"
	"celerybank/internal/verdict"
)

// Headers of callers.
const (
	// KeyHeader is the idempotency key: it identifies a non-idempotent request across resends (IETF
	// httpapi draft, idempotency-key).
	KeyHeader = "Idempotency-Key"
	// VersionHeader on a response is the node's configuration version.
	VersionHeader = "X-Celerybank-Version"
)

// maxKeyBytes bounds the caller's idempotency key.
const maxKeyBytes = 256

// maxTimeoutMs bounds the caller's timeout to one hour.
const maxTimeoutMs = 3_600_000

func formatInt(n int64) string { return strconv.FormatInt(n, 10) }

// hopByHopHeaders are the header fields that belong to one connection (RFC 9110, section 7.6.1) or
// that the node writes itself, in the spelling of the HTTP library. They are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Host": true, "Date": true, "Server": true,
	"Expect": true, upstream.TimeoutHeader: true, upstream.NotExecutedHeader: true,
	verdict.Header: true, ReasonHeader: true, VersionHeader: true, HopHeader: true,
}

// Digest returns a hash of the content of a request. Two requests with the same key and different
// digests are a caller's mistake.
func Digest(r *Request) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(r.Method)
	_, _ = d.WriteString(" ")
	_, _ = d.WriteString(r.URI)
	_, _ = d.WriteString("\n")
	_, _ = d.Write(r.Body)
	return d.Sum64()
}

// Handler serves callers' HTTP requests at an entry node.
type Handler struct {
	entry          *Entry
	events         *events.Recorder
	defaultTimeout time.Duration
	ready          <-chan struct{}
	onResponse     func(*Response)
	draining       atomic.Bool
	inflight       atomic.Int64
}

// NewHandler returns the handler of callers' requests. Until ready is closed every request is
// refused. defaultTimeout is the timeout of routes that set none.
func NewHandler(entry *Entry, ev *events.Recorder, defaultTimeout time.Duration, ready <-chan struct{}) *Handler {
	return &Handler{entry: entry, events: ev, defaultTimeout: defaultTimeout, ready: ready}
}

// OnResponse registers f, which is called with every response to a caller. Call it before the handler
// serves.
func (h *Handler) OnResponse(f func(*Response)) { h.onResponse = f }

// Drain makes the handler close each connection after its current response.
func (h *Handler) Drain() { h.draining.Store(true) }

// Inflight returns the number of requests in flight.
func (h *Handler) Inflight() int64 { return h.inflight.Load() }

// Serve handles one HTTP request of a caller.
func (h *Handler) Serve(c *fasthttp.RequestCtx) {
	h.inflight.Add(1)
	defer h.inflight.Add(-1)
	if h.draining.Load() {
		c.SetConnectionClose()
	}
	req, timeout, problem := h.parseRequest(c)
	if problem != "" {
		h.events.Emit(events.RequestMalformed, events.Fields{"caller": c.RemoteAddr().String(), "reason": problem})
		h.writeResponse(c, &Response{Verdict: verdict.NotRun, Reason: ReasonBadRequest, Status: fasthttp.StatusBadRequest, Body: []byte(problem + "\n")})
		return
	}
	start := time.Now()
	res := h.Dispatch(context.Background(), req, string(c.Path()), timeout)
	h.logResponse(c, req, res, time.Since(start))
	switch res.Reason {
	case ReasonTooDeep:
		h.events.Emit(events.CallTooDeep, events.Fields{"service": req.Service, "depth": req.Hop.Depth})
	case ReasonUnknownService:
		h.events.Emit(events.ServiceUnknown, events.Fields{"service": req.Service, "method": req.Method, "path": string(c.Path())})
	}
	h.writeResponse(c, res)
}

// requestIDHeader is the header field in which callers commonly send a request ID; it is only logged.
const requestIDHeader = "X-Request-Id"

// logResponse logs every request that was not served, and a sample of those that were.
func (h *Handler) logResponse(c *fasthttp.RequestCtx, req *Request, res *Response, took time.Duration) {
	code, ok := EventOf(res)
	if !ok && !h.events.SampleServed() {
		return
	}
	h.events.Emit(code, events.Fields{"request": string(c.Request.Header.Peek(requestIDHeader)), "service": req.Service, "path": string(c.Path()),
		"reason": res.Reason, "status": res.Status, "verdict": res.Verdict.String(), "took_ms": took.Milliseconds(), "in_use": res.Load.InUse,
		"limit": res.Load.Limit, "config": h.entry.router.Table().Version})
}

// Dispatch routes one request that was parsed from HTTP, or built by a test, and returns its response.
// Until the node is ready it refuses.
func (h *Handler) Dispatch(ctx context.Context, req *Request, path string, timeout time.Duration) *Response {
	select {
	case <-h.ready:
		return h.entry.Dispatch(ctx, req, path, timeout, h.defaultTimeout)
	default:
		return refusal(verdict.NotRun, ReasonNotReady)
	}
}

// parseRequest returns the request and the caller's timeout, 0 for none, or a text that says why the
// request is malformed.
func (h *Handler) parseRequest(c *fasthttp.RequestCtx) (*Request, time.Duration, string) {
	service, _, _ := strings.Cut(string(c.Host()), ":")
	if service == "" {
		return nil, 0, "Host: missing; it names the service"
	}
	key := string(c.Request.Header.Peek(KeyHeader))
	if len(key) > maxKeyBytes {
		return nil, 0, KeyHeader + ": longer than " + strconv.Itoa(maxKeyBytes) + " bytes"
	}
	var timeout time.Duration
	if v := c.Request.Header.Peek(upstream.TimeoutHeader); len(v) > 0 {
		ms, err := strconv.Atoi(string(v))
		if err != nil || ms <= 0 || ms > maxTimeoutMs {
			return nil, 0, upstream.TimeoutHeader + ": not a number of milliseconds from 1 to " + strconv.Itoa(maxTimeoutMs)
		}
		timeout = time.Duration(ms) * time.Millisecond
	}
	hop, ok := parseHop(string(c.Request.Header.Peek(HopHeader)))
	if !ok {
		return nil, 0, HopHeader + ": malformed or too deep"
	}
	req := &Request{Service: service, Hop: hop, Method: string(c.Method()), URI: string(c.RequestURI()), Key: key, Body: c.Request.Body()}
	req.Header = make([]Field, 0, c.Request.Header.Len())
	for k, v := range c.Request.Header.All() {
		if !hopByHopHeaders[string(k)] {
			req.Header = append(req.Header, Field{Name: string(k), Value: string(v)})
		}
	}
	return req, timeout, ""
}

// statusOf returns the HTTP status of a response. Without one from an upstream it is 503 when nothing
// ran and 504 or 502 when the request may have run, unless the reason has a status of its own.
func statusOf(res *Response) int {
	switch {
	case res.Status != 0:
		return res.Status
	case res.Reason == ReasonUnknownService:
		return fasthttp.StatusNotFound
	case res.Reason == ReasonDeadline:
		return fasthttp.StatusGatewayTimeout
	case res.Reason == ReasonDuplicate, res.Reason == ReasonInProgress, res.Reason == ReasonResponseGone:
		return fasthttp.StatusConflict
	case res.Verdict == verdict.NotRun:
		return fasthttp.StatusServiceUnavailable
	default:
		return fasthttp.StatusBadGateway
	}
}

func (h *Handler) writeResponse(c *fasthttp.RequestCtx, res *Response) {
	if h.onResponse != nil {
		h.onResponse(res)
	}
	c.Response.SetStatusCode(statusOf(res))
	c.Response.Header.SetNoDefaultContentType(res.Status != 0)
	for _, f := range res.Header {
		c.Response.Header.Add(f.Name, f.Value)
	}
	c.Response.Header.Set(verdict.Header, res.Verdict.String())
	c.Response.Header.Set(VersionHeader, formatInt(h.entry.router.Table().Version))
	if res.Reason != ReasonNone {
		c.Response.Header.Set(ReasonHeader, string(res.Reason))
	}
	if res.Status == 0 {
		c.Response.SetBodyString(res.Verdict.String() + ": " + string(res.Reason) + "\n")
		return
	}
	c.Response.SetBodyRaw(res.Body)
}

// OnError responds to a request that the HTTP library could not read.
func (h *Handler) OnError(c *fasthttp.RequestCtx, err error) {
	code, event := fasthttp.StatusBadRequest, events.RequestMalformed
	if err == fasthttp.ErrBodyTooLarge {
		code, event = fasthttp.StatusRequestEntityTooLarge, events.BodyTooLarge
	}
	h.events.Emit(event, events.Fields{"caller": c.RemoteAddr().String(), "reason": err.Error()})
	c.Response.Reset()
	h.writeResponse(c, &Response{Verdict: verdict.NotRun, Reason: ReasonBadRequest, Status: code, Body: []byte(err.Error() + "\n")})
	c.SetConnectionClose()
}
