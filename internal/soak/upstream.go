package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"celerybank/internal/duration"
	"celerybank/platform/counterpart"
)

// How the stand-in upstreams behave.
const (
	slots       = 8
	coldFor     = 3 * time.Second
	heartbeat   = time.Second
	ackTimeout  = time.Second
	leastWork   = 5 * time.Millisecond
	workSpread  = 40 * time.Millisecond
	answerBytes = 700
	// firstVersion is what all upstreams run at first; of a bad version one request in so many fails.
	firstVersion = "v0"
	badOneIn     = 2
	// drainFor is how long an upstream serves on after its leaving is acknowledged.
	drainFor = drainWithin + 500*time.Millisecond
	// ackWait bounds the wait for that acknowledgement.
	ackWait = 6 * time.Second
)

// upstream is one process of a service beside a node, in the soak's own process.
type upstream struct {
	host     *host
	checker  *Checker
	instance string
	version  string
	bad      bool
	born     time.Time
	warm     time.Time
	server   *http.Server
	stop     context.CancelFunc
	running  atomic.Int64
	draining atomic.Bool

	mu       sync.Mutex
	sequence int64
}

// startUpstream starts a new process at the host's address; cold ones bear little at first.
func startUpstream(ctx context.Context, h *host, checker *Checker, isCold bool) (*upstream, error) {
	l, err := net.Listen("tcp", h.at(counterpart.UpstreamPort))
	if err != nil {
		return nil, err
	}
	h.starts++
	u := &upstream{host: h, checker: checker, instance: fmt.Sprintf("i-%s-%d", h.name, h.starts), version: h.version, bad: h.bad, born: time.Now()}
	if isCold {
		u.warm = u.born.Add(coldFor)
		checker.Cold(u.instance, u.warm)
	}
	u.server = &http.Server{Handler: u, IdleTimeout: time.Minute}
	ctx, u.stop = context.WithCancel(ctx)
	go func() { _ = u.server.Serve(l) }() // ends with the upstream
	go u.beat(ctx)
	return u, nil
}

// body is the answer to one request; callers compare it whole.
func body(id string) []byte {
	out := make([]byte, 0, answerBytes+len(id))
	for len(out) < answerBytes {
		out = append(append(out, id...), ' ')
	}
	return out
}

// ServeHTTP runs one request.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		if u.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		counterpart.WriteHealth(w, u.instance, time.Until(u.warm))
		return
	}
	call := counterpart.ReadRequest(r.Header)
	if call.Instance != "" && call.Instance != u.instance {
		counterpart.WriteNotExecuted(w, http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // the request is not whole: it has not begun
	}
	if u.running.Add(1) > slots {
		u.running.Add(-1)
		counterpart.WriteNotExecuted(w, http.StatusServiceUnavailable)
		return
	}
	defer u.running.Add(-1)
	u.checker.Ran(Run{ID: call.ID, Instance: u.instance, Host: u.host.name, Service: u.host.service, Zone: u.host.zone, Version: u.version})
	work := time.NewTimer(leastWork + rand.N(workSpread))
	defer work.Stop()
	select {
	case <-work.C:
	case <-r.Context().Done():
		return
	}
	if u.bad && rand.N(badOneIn) == 0 {
		counterpart.WriteResponse(w, call.ID, http.StatusInternalServerError, body(call.ID))
		return
	}
	counterpart.WriteResponse(w, call.ID, http.StatusOK, body(call.ID))
}

// beat announces the upstream until ctx ends.
func (u *upstream) beat(ctx context.Context) {
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	for ctx.Err() == nil {
		_ = u.announce(ctx) // the next one follows
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
}

func (u *upstream) announce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	u.mu.Lock()
	u.sequence++
	a := counterpart.Announcement{Instance: u.instance, Service: u.host.service, Address: u.host.at(upstreamProxyPort), Zone: u.host.zone, Version: u.version,
		Slots: slots, Draining: u.draining.Load(), Cold: time.Until(u.warm), Sequence: u.sequence, Born: u.born.UnixMilli()}
	u.mu.Unlock()
	err := counterpart.Announce(ctx, u.host.at(counterpart.ControlPort), a)
	if err == nil && a.Draining {
		u.checker.Acknowledged(u.instance)
	}
	return err
}

// leave drains the upstream as the platform has it done: it says so, serves on for a while,
// says that it is gone, and ends.
func (u *upstream) leave(ctx context.Context) {
	u.draining.Store(true)
	for end := time.Now().Add(ackWait); time.Now().Before(end) && u.announce(ctx) != nil; {
		if !duration.Sleep(ctx, heartbeat/4) {
			return
		}
	}
	if !duration.Sleep(ctx, drainFor) {
		return
	}
	gone, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	if counterpart.AnnounceEnd(gone, u.host.at(counterpart.ControlPort), u.instance, u.born.UnixMilli()) == nil {
		u.checker.Acknowledged(u.instance)
	}
	u.crash()
}

// crash ends the upstream with all its connections.
func (u *upstream) crash() {
	u.stop()
	_ = u.server.Close()
}
