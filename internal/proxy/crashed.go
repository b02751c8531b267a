package proxy

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"celerybank/internal/events"
)

// breakMemory is how long a broken exchange waits for a sign that the upstream died of it.
const breakMemory = 3 * time.Second

// maxBreaks bounds the broken exchanges that are remembered.
const maxBreaks = 64

// crashHold, twice, delays the answer to a request that was in flight at a crash, so
// that the nodes know of the crash before its caller can send it again.
const crashHold = time.Second

// hold waits for crashHold, within the deadline.
func hold(ctx context.Context) {
	timer := time.NewTimer(crashHold)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// breaks are the exchanges that broke lately.
type breaks struct {
	mu   sync.Mutex
	list []breakage
}

type breakage struct {
	fingerprint uint64
	at          time.Time
}

func (b *breaks) add(fingerprint uint64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.list) >= maxBreaks {
		b.list = slices.Delete(b.list, 0, 1)
	}
	b.list = append(b.list, breakage{fingerprint, now})
}

// take returns the fingerprints of what broke within breakMemory, and forgets them.
func (b *breaks) take(now time.Time) []uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []uint64
	for _, x := range b.list {
		if now.Sub(x.at) <= breakMemory {
			out = append(out, x.fingerprint)
		}
	}
	b.list = nil
	return out
}

// broken takes in that the upstream broke the connection of req's exchange. An
// upstream that accepts no new connection either has died with req in flight.
func (o *Owner) broken(ctx context.Context, up *upstreamState, req *Request) Reason {
	if o.crashes == nil {
		return ReasonBroken
	}
	up.breaks.add(fingerprint(req), time.Now())
	if up.client.Accepts(ctx) || ctx.Err() != nil {
		return ReasonBroken
	}
	o.gate.SetCold()
	o.blame(up, up.breaks.take(time.Now()))
	return ReasonCrashed
}

// restarted takes in that the upstream closed all its connections at once, with its
// announcement unchanged: a new process, which is cold, or the end of the old one.
func (o *Owner) restarted(up *upstreamState) {
	if o.gate.SetCold() {
		o.turnedCold("connections")
	}
	o.blame(up, up.breaks.take(time.Now()))
}

// blame reports the requests that were in flight when an upstream died.
func (o *Owner) blame(up *upstreamState, fingerprints []uint64) {
	if o.crashes == nil || len(fingerprints) == 0 {
		return
	}
	o.events.Emit(events.UpstreamCrashed, events.Fields{"service": up.announced.Service, "instance": up.announced.Instance, "inflight": len(fingerprints)})
	for _, f := range fingerprints {
		o.crashes.RecordCrash(f, up.announced.Instance)
	}
}

// volatile are the fields that differ between two sendings of one request.
var volatile = map[string]bool{KeyHeader: true, "Traceparent": true, "Tracestate": true, "X-Request-Id": true,
	"X-Correlation-Id": true, "X-Forwarded-For": true}

// Fingerprint identifies a request across resends; see fingerprint.
func Fingerprint(req *Request) uint64 { return fingerprint(req) }

// fingerprint identifies a request across resends and callers' connections. The
// order of its fields does not count.
func fingerprint(req *Request) uint64 {
	d := xxhash.New()
	for _, part := range [...]string{req.Service, req.Method, req.URI} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(req.Body)
	sum := d.Sum64()
	for _, f := range req.Header {
		if !volatile[f.Name] {
			sum += xxhash.Sum64String(f.Name+"\x00"+f.Value) | 1
		}
	}
	return sum
}
