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

// Behaviour of the stand-in upstreams.
const (
	slots             = 8
	coldDuration      = 3 * time.Second
	heartbeatInterval = time.Second
	announceTimeout   = time.Second
	// A request takes minWork, plus a random time of up to workJitter.
	minWork       = 5 * time.Millisecond
	workJitter    = 40 * time.Millisecond
	responseBytes = 700
	// initialVersion is the version of all upstreams before the first rollout.
	initialVersion = "v0"
	// badOneIn: one request in so many fails at a bad version.
	badOneIn = 2
	// drainDuration is how long an upstream continues to serve requests after the node acknowledged that
	// it drains.
	drainDuration = drainBound + 500*time.Millisecond
	// One in lingerOneIn upstreams that leave serves for lingerDuration after its notice.
	lingerOneIn    = 3
	lingerDuration = 15 * time.Second
	// lateMax is how late the announcements arrive that were sent before an upstream leaves.
	lateMax = 13 * time.Second
	// drainAckTimeout bounds the wait for that acknowledgement; without one the drain continues.
	drainAckTimeout = 6 * time.Second
	// silentService is the service whose upstreams leave a request that finds no free slot unanswered, with all that follows
	// on its connection. The others reject it.
	silentService = "orders"
)

// upstream simulates one process of a service on the host of a node. It runs within the soak test's
// process.
type upstream struct {
	host     *host
	checker  *Checker
	instance string
	version  string
	bad      bool
	born     time.Time
	warmAt   time.Time
	server   *http.Server
	// lifetime ends when the process crashes or ends; stop ends it.
	lifetime context.Context
	stop     context.CancelFunc
	running  atomic.Int64
	draining atomic.Bool
	// silent upstreams have said that they end and announce themselves no more.
	silent atomic.Bool

	mu       sync.Mutex
	sequence int64
}

// startUpstream starts a new upstream process on a host. A cold one has a rate limit of
// coldRate for coldDuration.
func startUpstream(ctx context.Context, h *host, checker *Checker, cold bool) (*upstream, error) {
	l, err := net.Listen("tcp", h.addr(counterpart.UpstreamPort))
	if err != nil {
		return nil, err
	}
	h.upstreamStarts++
	u := &upstream{host: h, checker: checker, instance: fmt.Sprintf("i-%s-%d", h.name, h.upstreamStarts), version: h.version, bad: h.bad, born: time.Now()}
	if cold {
		u.warmAt = u.born.Add(coldDuration)
		checker.ColdStart(u.instance, u.warmAt)
	}
	u.server = &http.Server{Handler: u, IdleTimeout: time.Minute}
	u.lifetime, u.stop = context.WithCancel(ctx)
	go func() { _ = u.server.Serve(l) }() // returns when crash closes the server
	go u.announceLoop(u.lifetime)
	return u, nil
}

// responseBody returns the body of the response to a request. Callers compare all of it.
func responseBody(id string) []byte {
	out := make([]byte, 0, responseBytes+len(id))
	for len(out) < responseBytes {
		out = append(append(out, id...), ' ')
	}
	return out
}

// ServeHTTP runs one request or responds to a health check.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		if u.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		counterpart.WriteHealth(w, u.instance, time.Until(u.warmAt))
		return
	}
	req := counterpart.ReadRequest(r.Header)
	if req.Instance != "" && req.Instance != u.instance {
		counterpart.WriteNotExecuted(w, http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // an incomplete request does not run
	}
	if u.running.Add(1) > slots {
		u.running.Add(-1)
		u.checker.NoSlot(req.ID, u.host.name)
		if u.host.service == silentService {
			u.leaveUnanswered(w)
		} else {
			counterpart.WriteNotExecuted(w, http.StatusServiceUnavailable)
		}
		return
	}
	status := u.execute(r, req)
	u.running.Add(-1) // the node may send the next request once it has the response
	switch {
	case status == 0:
	case u.host.malformed.Load() && rand.N(malformedOneIn) == 0:
		u.checker.MalformedWritten(req.ID)
		writeMalformed(w, req.ID, status)
	default:
		counterpart.WriteResponse(w, req.ID, status, responseBody(req.ID))
	}
}

// execute runs a request and returns the status of its response, or 0 if the node has closed the connection.
func (u *upstream) execute(r *http.Request, req counterpart.ReceivedRequest) int {
	u.checker.ExecutionStarted(Execution{RequestID: req.ID, Instance: u.instance, Host: u.host.name, Service: u.host.service, Zone: u.host.zone, Version: u.version,
		Workspaces: req.Workspaces, Keys: keysIn(r.Header)})
	work := time.NewTimer(minWork + rand.N(workJitter))
	defer work.Stop()
	select {
	case <-work.C:
	case <-r.Context().Done():
		return 0
	}
	if u.bad && rand.N(badOneIn) == 0 {
		return http.StatusInternalServerError
	}
	return http.StatusOK
}

// leaveUnanswered responds neither to the request nor to any later one of its connection, until the node closes it or
// the process ends.
func (u *upstream) leaveUnanswered(w http.ResponseWriter) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	stop := context.AfterFunc(u.lifetime, func() { _ = conn.Close() })
	go func() {
		defer stop()
		_, _ = io.Copy(io.Discard, buffered)
		_ = conn.Close()
	}()
}

// announceLoop announces the upstream every heartbeatInterval until ctx ends.
func (u *upstream) announceLoop(ctx context.Context) {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for ctx.Err() == nil && !u.silent.Load() {
		_ = u.announce(ctx) // repeated after heartbeatInterval
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
}

// announce announces the upstream once. An error means that the node has not acknowledged it.
func (u *upstream) announce(ctx context.Context) error {
	return u.send(ctx, u.nextAnnouncement())
}

// nextAnnouncement returns the next announcement, for now.
func (u *upstream) nextAnnouncement() counterpart.Announcement {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	return counterpart.Announcement{Instance: u.instance, Service: u.host.service, Address: u.host.addr(upstreamProxyPort), Zone: u.host.zone, Version: u.version,
		Slots: slots, Draining: u.draining.Load(), Cold: time.Until(u.warmAt), Sequence: u.sequence, Born: u.born.UnixMilli()}
}

// send sends an announcement. An error means that the node has not acknowledged it.
func (u *upstream) send(ctx context.Context, a counterpart.Announcement) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	err := counterpart.Announce(ctx, u.host.addr(counterpart.ControlPort), a)
	if err == nil && a.Draining {
		u.checker.DrainAcknowledged(u.instance)
	}
	return err
}

// sendLate sends an announcement from before the upstream left, once a random time of up to lateMax has passed.
func (u *upstream) sendLate(ctx context.Context, a counterpart.Announcement) {
	for wait := rand.N(lateMax); duration.Sleep(ctx, wait) && u.send(ctx, a) != nil; wait = heartbeatInterval / 4 {
	}
}

// drain stops the upstream as upstreams of the platform stop: it announces that it drains, or that it ends, continues to
// serve requests for drainDuration or longer, notifies the node that it has ended, and ends. Two announcements from before
// arrive late. It returns early, with the upstream still running, if ctx ends.
func (u *upstream) drain(ctx context.Context) {
	for range 2 {
		late := u.nextAnnouncement()
		go u.sendLate(ctx, late)
	}
	notice := u.announce
	if endsFirst := rand.N(2) == 0; endsFirst {
		u.silent.Store(true)
		notice = u.announceEnd
	}
	u.draining.Store(true)
	for end := time.Now().Add(drainAckTimeout); time.Now().Before(end) && notice(ctx) != nil; {
		if !duration.Sleep(ctx, heartbeatInterval/4) {
			return
		}
	}
	serves := drainDuration
	if rand.N(lingerOneIn) == 0 {
		serves = lingerDuration
	}
	if !duration.Sleep(ctx, serves) {
		return
	}
	_ = u.announceEnd(ctx) // the upstream ends in any case
	u.crash()
}

// announceEnd notifies the node that the upstream ends. An error means that the node has not acknowledged it.
func (u *upstream) announceEnd(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	err := counterpart.AnnounceEnd(ctx, u.host.addr(counterpart.ControlPort), u.instance, u.born.UnixMilli())
	if err == nil {
		u.checker.DrainAcknowledged(u.instance)
	}
	return err
}

// crash stops the upstream at once and closes all its connections.
func (u *upstream) crash() {
	u.stop()
	_ = u.server.Close()
}
