package proxy

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"celerybank/internal/events"
)

// brokenExchangeTTL is how long a broken exchange is kept in case the upstream turns out to have crashed.
const brokenExchangeTTL = 3 * time.Second

// maxBrokenExchanges bounds the broken exchanges that are kept; the oldest are dropped first.
const maxBrokenExchanges = 64

// crashResponseDelay delays the response to a request that was in flight at a crash. It is applied
// twice, before and after the crash is published again, so that the other nodes know of the crash
// before the caller can resend the request.
const crashResponseDelay = time.Second

// delayCrashResponse waits for crashResponseDelay or until ctx ends.
func delayCrashResponse(ctx context.Context) {
	timer := time.NewTimer(crashResponseDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// brokenExchanges lists the exchanges with an upstream whose connection broke recently.
type brokenExchanges struct {
	mu   sync.Mutex
	list []brokenExchange
}

type brokenExchange struct {
	fingerprint uint64
	at          time.Time
}

func (b *brokenExchanges) add(fingerprint uint64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.list) >= maxBrokenExchanges {
		b.list = slices.Delete(b.list, 0, 1)
	}
	b.list = append(b.list, brokenExchange{fingerprint, now})
}

// takeRecent empties the list and returns the fingerprints of the exchanges that broke within
// brokenExchangeTTL.
func (b *brokenExchanges) takeRecent(now time.Time) []uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []uint64
	for _, x := range b.list {
		if now.Sub(x.at) <= brokenExchangeTTL {
			out = append(out, x.fingerprint)
		}
	}
	b.list = nil
	return out
}

// connectionBroken records that the upstream closed the connection during the exchange of req, and
// returns the reason for the caller. An upstream that accepts no new connection either has crashed
// with req in flight.
func (o *Owner) connectionBroken(ctx context.Context, up *upstreamState, req *Request) Reason {
	if o.crashes == nil {
		return ReasonConnBroken
	}
	up.brokenExchanges.add(fingerprint(req), time.Now())
	if up.client.AcceptsConn(ctx) || ctx.Err() != nil {
		return ReasonConnBroken
	}
	o.gate.SetCold()
	o.reportCrash(up, up.brokenExchanges.takeRecent(time.Now()))
	return ReasonCrashed
}

// connectionsLost handles that the upstream closed all its connections at once with its announcement
// unchanged: it has been restarted, and the new process is cold, or it has exited.
func (o *Owner) connectionsLost(up *upstreamState) {
	if o.gate.SetCold() {
		o.emitCold("connections")
	}
	o.reportCrash(up, up.brokenExchanges.takeRecent(time.Now()))
}

// reportCrash reports the requests that were in flight when an upstream crashed.
func (o *Owner) reportCrash(up *upstreamState, fingerprints []uint64) {
	if o.crashes == nil || len(fingerprints) == 0 {
		return
	}
	o.events.Emit(events.UpstreamCrashed, events.Fields{"service": up.announced.Service, "instance": up.announced.Instance, "inflight": len(fingerprints)})
	for _, f := range fingerprints {
		o.crashes.RecordCrash(f, up.announced.Instance)
	}
}

// volatileHeaders are the header fields that may differ when a caller resends a request.
var volatileHeaders = map[string]bool{KeyHeader: true, "Traceparent": true, "Tracestate": true, "X-Request-Id": true,
	"X-Correlation-Id": true, "X-Forwarded-For": true}

// Fingerprint identifies a request across resends; see fingerprint.
func Fingerprint(req *Request) uint64 { return fingerprint(req) }

// fingerprint identifies a request across resends and callers' connections. If its caller is unknown, its header fields stand in for
// that, but for those that may differ; their order does not matter.
func fingerprint(req *Request) uint64 {
	d := xxhash.New()
	for _, part := range [...]string{req.Service, req.Method, req.URI, req.Caller} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(req.Body)
	sum := d.Sum64()
	if req.Caller != "" {
		return sum
	}
	for _, f := range req.Header {
		if !volatileHeaders[f.Name] {
			sum += xxhash.Sum64String(f.Name+"\x00"+f.Value) | 1
		}
	}
	return sum
}
