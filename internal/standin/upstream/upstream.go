// Package upstream is a stand-in for an upstream. It simulates slots, slow start, draining,
// load shedding, faulty versions and requests that crash the process, and counts how often
// each idempotency key runs.
package upstream

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Config is the configuration of a stand-in.
type Config struct {
	Service string `json:"service"`
	Version string `json:"version"`
	// Slots is the number of requests that run at once without slowing each other down.
	Slots int `json:"slots"`
	// Work is the processing time of one request when warm.
	Work time.Duration `json:"work_ns"`
	// Ledger, if set, receives a line "key attempt" for each run, a record that survives a
	// crash of the process.
	Ledger io.Writer `json:"-"`
	// ColdFor is the duration of the slow start. Processing takes ColdFactor times as long at its
	// start and decreases linearly to normal.
	ColdFor    time.Duration `json:"cold_for_ns"`
	ColdFactor float64       `json:"cold_factor"`
	Faults     Faults        `json:"faults"`
}

// Faults are the injected faults; POST /control/faults replaces them at run time.
type Faults struct {
	// FailShare is the fraction, from 0 to 1, of the requests whose path begins with FailRoute
	// that get status 500. An empty FailRoute matches all requests.
	FailShare float64 `json:"fail_share"`
	FailRoute string  `json:"fail_route"`
	// FailAbove makes a request fail with status 500 if more than FailAbove requests, itself
	// included, are in flight at its start; 0 disables it.
	FailAbove int `json:"fail_above"`
	// Slow is added to the processing time of requests whose path begins with SlowRoute.
	Slow      time.Duration `json:"slow_ns"`
	SlowRoute string        `json:"slow_route"`
	// MalformedShare is the fraction, from 0 to 1, of the requests whose response has the status 000.
	MalformedShare float64 `json:"malformed_share"`
	// Shed refuses every request without running it.
	Shed bool `json:"shed"`
	// WhenFull is what happens to a request that arrives while all slots are in use; empty runs it.
	WhenFull FullBehavior `json:"when_full"`
	// FinishAbandoned makes requests run to their end, in their slot, after their connection was closed.
	FinishAbandoned bool `json:"finish_abandoned"`
}

// Server is one stand-in upstream, with the counters of one process.
type Server struct {
	instance string
	crash    func()

	mu  sync.Mutex
	cfg Config
	// started is when the slow start began: at the start of the process or at the last
	// POST /control/cold.
	started  time.Time
	runs     map[string]int // runs by idempotency key
	draining bool

	inFlight, peak, overload, total atomic.Int64
}

// New returns a stand-in. It calls crash, which ends the process, when a request carries
// CrashHeader.
func New(cfg Config, instance string, crash func()) *Server {
	return &Server{instance: instance, crash: crash, cfg: cfg, started: time.Now(), runs: map[string]int{}}
}

// Headers of requests and responses that tests use.
const (
	// CrashHeader makes the request crash the process.
	CrashHeader = "X-Crash"
	// AttemptHeader identifies one attempt of a request; the ledger records which attempts ran.
	AttemptHeader = "X-Attempt"
	// RunsHeader of a response is the number of runs of the request's key by this process.
	RunsHeader = "X-Runs"
	// InstanceHeader of a response identifies the process.
	InstanceHeader = "X-Instance"
)

// Report has the counters that GET /control/report returns.
type Report struct {
	Instance string         `json:"instance"`
	Service  string         `json:"service"`
	Version  string         `json:"version"`
	Runs     map[string]int `json:"runs"`
	Total    int64          `json:"total"`
	// Peak is the maximum number of requests in flight. Overload counts the requests that
	// started with all slots in use.
	Peak     int64 `json:"peak"`
	Overload int64 `json:"overload"`
}

// Handler serves the control endpoints and, on all other paths, the simulated service.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/report", s.handleReport)
	mux.HandleFunc("POST /control/faults", s.handleFaults)
	mux.HandleFunc("POST /control/cold", func(http.ResponseWriter, *http.Request) {
		s.mu.Lock()
		s.started = time.Now()
		s.mu.Unlock()
	})
	mux.HandleFunc("/", s.handleRequest)
	return mux
}

func (s *Server) handleReport(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Report())
}

// Report returns the counters since the start.
func (s *Server) Report() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Report{s.instance, s.cfg.Service, s.cfg.Version, maps.Clone(s.runs), s.total.Load(), s.peak.Load(), s.overload.Load()}
}

// SetFaults replaces all injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg.Faults = f
}

func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

// echoResponse is the body of a successful response. A caller verifies by it that the response
// belongs to its request.
type echoResponse struct {
	Service  string `json:"service"`
	Version  string `json:"version"`
	Instance string `json:"instance"`
	Path     string `json:"path"`
	Echo     string `json:"echo"`
}

// EchoHeader of a request is returned in the field echo of the response; without it the
// request's body is.
const EchoHeader = "X-Echo"

// crashDelay is the time that a crash function within the same process has to close the server.
const crashDelay = time.Millisecond

func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	cfg, cold, draining := s.cfg, s.coldSlowdown(), s.draining
	s.mu.Unlock()
	if cfg.Faults.Shed || draining {
		w.Header().Set("X-Not-Executed", "1")
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	inFlight := s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	s.total.Add(1)
	for p := s.peak.Load(); inFlight > p && !s.peak.CompareAndSwap(p, inFlight); p = s.peak.Load() {
	}
	if inFlight > int64(cfg.Slots) {
		s.overload.Add(1)
		if cfg.Faults.WhenFull != FullRuns {
			cfg.Faults.WhenFull.apply(w, r)
			return
		}
	}
	runs := s.countRun(r.Header.Get("Idempotency-Key"), r.Header.Get(AttemptHeader))
	if r.Header.Get(CrashHeader) != "" {
		s.crash()
		time.Sleep(crashDelay)
		panic(http.ErrAbortHandler) // reached only if crash does not end the process: send no response
	}
	work := time.Duration(float64(cfg.Work) * cold * contention(inFlight, cfg.Slots))
	if f := cfg.Faults; f.Slow > 0 && hasPrefix(r.URL.Path, f.SlowRoute) {
		work += f.Slow
	}
	abandoned := r.Context().Done()
	if cfg.Faults.FinishAbandoned {
		abandoned = nil
	}
	select {
	case <-time.After(work):
	case <-abandoned:
		return
	}
	s.writeResponse(w, r, cfg, inFlight, runs, body)
}

func (s *Server) writeResponse(w http.ResponseWriter, r *http.Request, cfg Config, inFlight int64, runs int, body []byte) {
	w.Header().Set(InstanceHeader, s.instance)
	if runs > 0 {
		w.Header().Set(RunsHeader, strconv.Itoa(runs))
	}
	f := cfg.Faults
	if f.MalformedShare > 0 && rand.Float64() < f.MalformedShare {
		writeMalformed(w)
		return
	}
	overloaded := f.FailAbove > 0 && inFlight > int64(f.FailAbove)
	if overloaded || (f.FailShare > 0 && hasPrefix(r.URL.Path, f.FailRoute) && rand.Float64() < f.FailShare) {
		http.Error(w, "internal fault", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	echo := r.Header.Get(EchoHeader)
	if echo == "" {
		echo = string(body)
	}
	_ = json.NewEncoder(w).Encode(echoResponse{cfg.Service, cfg.Version, s.instance, r.URL.Path, echo})
}

// writeMalformed writes a response with the status 000 and closes the connection.
func writeMalformed(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler) // send no response
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}") // fails if the caller has closed the connection
	_ = conn.Close()
}

func hasPrefix(path, prefix string) bool {
	return len(path) >= len(prefix) && path[:len(prefix)] == prefix
}

// countRun records one run of key and returns the number of its runs so far, 0 without a key.
func (s *Server) countRun(key, attempt string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.Ledger != nil && key+attempt != "" {
		_, _ = fmt.Fprintf(s.cfg.Ledger, "%s %s\n", cmp.Or(key, "-"), cmp.Or(attempt, "-")) // a failed write shows as a missing line when the ledger is checked
	}
	if key == "" {
		return 0
	}
	s.runs[key]++
	return s.runs[key]
}

// contention returns the factor by which processing slows down when more requests than slots are in flight.
func contention(inFlight int64, slots int) float64 {
	return max(1, float64(inFlight)/float64(max(slots, 1)))
}

// coldSlowdown returns the factor by which the slow start lengthens processing now. It must be
// called with s.mu held.
func (s *Server) coldSlowdown() float64 {
	age := time.Since(s.started)
	if s.cfg.ColdFor <= 0 || age >= s.cfg.ColdFor || s.cfg.ColdFactor <= 1 {
		return 1
	}
	return 1 + (s.cfg.ColdFactor-1)*(1-float64(age)/float64(s.cfg.ColdFor))
}

// Drain makes the stand-in refuse new requests without running them.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Delays before the next announcement, after one that succeeded and one that failed.
const (
	announceInterval      = time.Second
	announceRetryInterval = 200 * time.Millisecond
)

// Announce posts the announcement to the node's admin address every announceInterval until
// ctx ends, and after a failure every announceRetryInterval.
func (s *Server) Announce(ctx context.Context, node, address string) {
	s.mu.Lock()
	body, _ := json.Marshal(map[string]any{"service": s.cfg.Service, "version": s.cfg.Version,
		"address": address, "slots": s.cfg.Slots, "instance": s.instance, "started": s.started.UnixMilli()})
	s.mu.Unlock()
	for {
		delay := announceInterval
		if err := PostJSON(ctx, fmt.Sprintf("http://%s/v1/announce", node), body); err != nil {
			delay = announceRetryInterval
		}
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return
		}
	}
}
