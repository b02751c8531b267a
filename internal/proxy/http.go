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
	// KeyHeader identifies a non-idempotent request across resends (IETF httpapi draft, idempotency-key).
	KeyHeader = "Idempotency-Key"
	// VersionHeader on an answer is the node's configuration version.
	VersionHeader = "X-Celerybank-Version"
)

// maxKeyBytes bounds the caller's key.
const maxKeyBytes = 256

// maxTimeoutMs bounds the caller's timeout: an hour.
const maxTimeoutMs = 3_600_000

func itoa(n int64) string { return strconv.FormatInt(n, 10) }

// hopHeaders are the fields that belong to one connection (RFC 9110, section 7.6.1)
// or are written by the node itself, in the spelling of the HTTP library.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Host": true, "Date": true, "Server": true,
	"Expect": true, upstream.TimeoutHeader: true, upstream.NotExecutedHeader: true,
	verdict.Header: true, ReasonHeader: true, VersionHeader: true, HopHeader: true,
}

// Digest identifies the content of a request: the same key with another content is a caller's mistake.
func Digest(r *Request) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(r.Method)
	_, _ = d.WriteString(" ")
	_, _ = d.WriteString(r.URI)
	_, _ = d.WriteString("\n")
	_, _ = d.Write(r.Body)
	return d.Sum64()
}

// Handler is the HTTP side of an entry.
type Handler struct {
	entry    *Entry
	events   *events.Recorder
	fallback time.Duration
	ready    <-chan struct{}
	onAnswer func(*Answer)
	draining atomic.Bool
	inflight atomic.Int64
}

// NewHandler returns the handler of callers' requests. Until ready is closed every
// call is refused; fallback is the deadline of calls for which nobody gives one.
func NewHandler(entry *Entry, ev *events.Recorder, fallback time.Duration, ready <-chan struct{}) *Handler {
	return &Handler{entry: entry, events: ev, fallback: fallback, ready: ready}
}

// OnAnswer calls f with every answer to a caller. Call it before the handler serves.
func (h *Handler) OnAnswer(f func(*Answer)) { h.onAnswer = f }

// Drain makes the handler close connections after their current answer.
func (h *Handler) Drain() { h.draining.Store(true) }

// Inflight returns the calls that are being answered.
func (h *Handler) Inflight() int64 { return h.inflight.Load() }

// Serve answers one request.
func (h *Handler) Serve(c *fasthttp.RequestCtx) {
	h.inflight.Add(1)
	defer h.inflight.Add(-1)
	if h.draining.Load() {
		c.SetConnectionClose()
	}
	req, timeout, problem := h.read(c)
	if problem != "" {
		h.events.Emit(events.RequestMalformed, events.Fields{"caller": c.RemoteAddr().String(), "reason": problem})
		h.write(c, &Answer{Verdict: verdict.NotRun, Reason: ReasonBadRequest, Status: fasthttp.StatusBadRequest, Body: []byte(problem + "\n")})
		return
	}
	start := time.Now()
	a := h.Call(context.Background(), req, string(c.Path()), timeout)
	h.report(c, req, a, time.Since(start))
	switch a.Reason {
	case ReasonTooDeep:
		h.events.Emit(events.CallTooDeep, events.Fields{"service": req.Service, "depth": req.Hop.Depth})
	case ReasonUnknown:
		h.events.Emit(events.ServiceUnknown, events.Fields{"service": req.Service, "method": req.Method, "path": string(c.Path())})
	}
	h.write(c, a)
}

// requestHeader is the field in which callers commonly name a request; it serves the log only.
const requestHeader = "X-Request-Id"

// report writes the line of a request that was not served, or of a sample of those that were.
func (h *Handler) report(c *fasthttp.RequestCtx, req *Request, a *Answer, took time.Duration) {
	code, ok := EventOf(a)
	if !ok && !h.events.Sample() {
		return
	}
	h.events.Emit(code, events.Fields{"request": string(c.Request.Header.Peek(requestHeader)), "service": req.Service, "path": string(c.Path()),
		"reason": a.Reason, "status": a.Status, "verdict": a.Verdict.String(), "took_ms": took.Milliseconds(), "in_use": a.Load.InUse,
		"limit": a.Load.Limit, "config": h.entry.router.Table().Version})
}

// Call answers one request that was read, from HTTP or by a test.
func (h *Handler) Call(ctx context.Context, req *Request, path string, timeout time.Duration) *Answer {
	select {
	case <-h.ready:
		return h.entry.Call(ctx, req, path, timeout, h.fallback)
	default:
		return refusal(verdict.NotRun, ReasonNotReady)
	}
}

func (h *Handler) read(c *fasthttp.RequestCtx) (*Request, time.Duration, string) {
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
		return nil, 0, HopHeader + ": not as the node wrote it"
	}
	req := &Request{Service: service, Hop: hop, Method: string(c.Method()), URI: string(c.RequestURI()), Key: key, Body: c.Request.Body()}
	req.Header = make([]Field, 0, c.Request.Header.Len())
	for k, v := range c.Request.Header.All() {
		if !hopHeaders[string(k)] {
			req.Header = append(req.Header, Field{Name: string(k), Value: string(v)})
		}
	}
	return req, timeout, ""
}

// statusOf maps a refusal to HTTP: 503 when nothing ran, 504 and 502 when it may have.
func statusOf(a *Answer) int {
	switch {
	case a.Status != 0:
		return a.Status
	case a.Reason == ReasonUnknown:
		return fasthttp.StatusNotFound
	case a.Reason == ReasonDeadline:
		return fasthttp.StatusGatewayTimeout
	case a.Reason == ReasonDuplicate, a.Reason == ReasonInProgress, a.Reason == ReasonAnswerGone:
		return fasthttp.StatusConflict
	case a.Verdict == verdict.NotRun:
		return fasthttp.StatusServiceUnavailable
	default:
		return fasthttp.StatusBadGateway
	}
}

func (h *Handler) write(c *fasthttp.RequestCtx, a *Answer) {
	if h.onAnswer != nil {
		h.onAnswer(a)
	}
	c.Response.SetStatusCode(statusOf(a))
	for _, f := range a.Header {
		c.Response.Header.Add(f.Name, f.Value)
	}
	c.Response.Header.Set(verdict.Header, a.Verdict.String())
	c.Response.Header.Set(VersionHeader, itoa(h.entry.router.Table().Version))
	if a.Reason != ReasonNone {
		c.Response.Header.Set(ReasonHeader, string(a.Reason))
	}
	if a.Status == 0 {
		c.Response.SetBodyString(a.Verdict.String() + ": " + string(a.Reason) + "\n")
		return
	}
	c.Response.SetBodyRaw(a.Body)
}

// OnError answers what the HTTP library cannot read.
func (h *Handler) OnError(c *fasthttp.RequestCtx, err error) {
	code, event := fasthttp.StatusBadRequest, events.RequestMalformed
	if err == fasthttp.ErrBodyTooLarge {
		code, event = fasthttp.StatusRequestEntityTooLarge, events.BodyTooLarge
	}
	h.events.Emit(event, events.Fields{"caller": c.RemoteAddr().String(), "reason": err.Error()})
	c.Response.Reset()
	h.write(c, &Answer{Verdict: verdict.NotRun, Reason: ReasonBadRequest, Status: code, Body: []byte(err.Error() + "\n")})
	c.SetConnectionClose()
}
