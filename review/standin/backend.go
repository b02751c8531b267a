package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeat is the interval of the back ends' pings (heartbeat_s).
const heartbeat = 1500 * time.Millisecond

// run is one request that a back end began to run.
type run struct {
	id, instance string
	at           time.Time
	// ended is false if the back end ended before it had answered.
	ended bool
}

// ledger has what was run, for the check.
type ledger struct {
	mu   sync.Mutex
	runs []*run
}

func (l *ledger) began(id, instance string) *run {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &run{id: id, instance: instance, at: time.Now()}
	l.runs = append(l.runs, r)
	return r
}

// backend is a stand-in for one process of a service.
type backend struct {
	m        *machine
	instance string
	work     time.Duration
	slots    int
	born     int64
	ledger   *ledger
	record   *record
	server   *http.Server
	version  string
	// needs, if set, makes the calls that a request needs, and reports whether they succeeded.
	needs func(b *backend, id string) bool
	// spoils, if set, reports whether the next answer gets a wrong byte in its status line.
	spoils func() bool

	mu       sync.Mutex
	sequence int64
	running  int
	state    string
	// paused stops the regular pings.
	paused bool
	stop   chan struct{}
}

// newBackend returns a back end of a machine that is not started.
func newBackend(m *machine, instance string, work time.Duration, l *ledger, rec *record) *backend {
	return &backend{m: m, instance: instance, work: work, slots: 9, born: time.Now().UnixMilli(), ledger: l, record: rec, version: "v1", state: "ready", stop: make(chan struct{})}
}

// start serves, and pings the node next to the back end until it leaves.
func (b *backend) start() error {
	listener, err := net.Listen("tcp", b.m.addr(appPort))
	if err != nil {
		return err
	}
	b.server = &http.Server{Handler: b}
	go func() { _ = b.server.Serve(listener) }()
	go b.pingLoop()
	return nil
}

func (b *backend) pingLoop() {
	for {
		b.mu.Lock()
		paused := b.paused
		b.mu.Unlock()
		if !paused {
			_, _ = b.ping(b.nextPing())
		}
		select {
		case <-time.After(heartbeat):
		case <-b.stop:
			return
		}
	}
}

// nextPing returns the body of the next ping.
func (b *backend) nextPing() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	body, _ := json.Marshal(map[string]any{"service": b.m.service, "address": b.m.addr(appPort), "zone": b.m.zone, "version": b.version,
		"slots": b.slots, "state": b.state, "cold_remaining_s": 0, "sequence": b.sequence, "born": b.born})
	return body
}

// ping sends a ping and returns the status of its response.
func (b *backend) ping(body []byte) (int, error) { return b.call(http.MethodPut, body) }

// sendDelete announces the end of the process.
func (b *backend) sendDelete() (int, error) {
	return b.call(http.MethodDelete, fmt.Appendf(nil, `{"born":%d}`, b.born))
}

func (b *backend) call(method string, body []byte) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+b.m.addr(controlPort)+"/api/instances/"+b.instance, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, nil
}

// ServeHTTP runs one request, or answers a status check.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", b.instance)
		w.WriteHeader(http.StatusOK)
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != b.instance {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	b.mu.Lock()
	full := b.running >= b.slots
	if !full {
		b.running++
	}
	b.mu.Unlock()
	if full {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	x := b.ledger.began(id, b.instance)
	b.record.add("run   %s at %s", id, b.instance)
	time.Sleep(b.work)
	status := http.StatusOK
	if b.needs != nil && !b.needs(b, id) {
		status = http.StatusInternalServerError
	}
	b.mu.Lock()
	b.running--
	b.mu.Unlock()
	body := []byte("answer to " + id)
	if b.spoils != nil && b.spoils() {
		b.answerSpoiled(w, id, body)
		return
	}
	w.Header().Set("X-Response-Signature", "signed-"+b.instance)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
	b.ledger.mu.Lock()
	x.ended = true
	b.ledger.mu.Unlock()
}

// answerSpoiled writes a complete answer of status 201 with a wrong first digit, and keeps the connection open.
func (b *backend) answerSpoiled(w http.ResponseWriter, id string, body []byte) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	b.record.add("spoiled the answer to %s", id)
	fmt.Fprintf(conn, "HTTP/1.1 101 Created\r\nX-Request-Id: %s\r\nX-Response-Signature: signed-%s\r\nContent-Length: %d\r\n\r\n%s",
		id, b.instance, len(body), body)
	go func() {
		defer conn.Close()
		_, _ = io.Copy(io.Discard, conn) // until the node closes it
	}()
}

// exit ends the process: its connections break.
func (b *backend) exit() {
	close(b.stop)
	_ = b.server.Close()
}
