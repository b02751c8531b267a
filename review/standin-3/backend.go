package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// arrival is one request that a backend got.
type arrival struct {
	ID, Method, Path, Backend, Version string
	BodyBytes                          int
	At, End                            time.Duration
	Ran                                bool
	Status                             int
}

// ledger has what all backends got.
type ledger struct {
	start time.Time

	mu       sync.Mutex
	arrivals []arrival
}

// add records an arrival and returns its number.
func (l *ledger) add(a arrival) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, a)
	return len(l.arrivals) - 1
}

// end records that a run came to its end.
func (l *ledger) end(index int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals[index].End = time.Since(l.start)
}

// find returns the first run of a request.
func (l *ledger) find(id string) (arrival, bool) {
	for _, a := range l.all() {
		if a.ID == id && a.Ran {
			return a, true
		}
	}
	return arrival{}, false
}

func (l *ledger) all() []arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]arrival(nil), l.arrivals...)
}

// write writes what the backends got and ran to the record.
func (l *ledger) write(rec *record) {
	for _, a := range l.all() {
		end := "not to its end"
		switch {
		case !a.Ran:
			end = "not run"
		case a.End > 0:
			end = fmt.Sprintf("to %.3f s", a.End.Seconds())
		}
		rec.line("backend %s (%s) got %s, %s %s with %d bytes, at %.3f s: %s, status %d", a.Backend, a.Version, a.ID, a.Method, a.Path, a.BodyBytes, a.At.Seconds(), end, a.Status)
	}
}

// backend is a stand-in for the application on one machine.
type backend struct {
	id, service, version, addr, control, zone string
	slots                                     int
	born                                      int64
	ledger                                    *ledger
	// work returns how long a request takes, answer the status and the body of the answer to the n-th one.
	work   func(path string) time.Duration
	answer func(n int, a arrival) (status int, body []byte)

	server   *http.Server
	stopped  chan struct{}
	beats    sync.WaitGroup
	sequence int

	mu      sync.Mutex
	state   string
	leaving bool
	// falseHealth makes the status check pass whatever the state is.
	falseHealth bool
	handled     int
	slotsInUse  chan struct{}
}

// beatInterval is heartbeat_s of the settings.
const beatInterval = 1500 * time.Millisecond

func (b *backend) start() error {
	b.born = time.Now().UnixMilli()
	b.state, b.stopped = "ready", make(chan struct{})
	b.slotsInUse = make(chan struct{}, b.slots)
	l, err := net.Listen("tcp", b.addr)
	if err != nil {
		return err
	}
	b.server = &http.Server{Handler: b, IdleTimeout: 10 * time.Second}
	go func() { _ = b.server.Serve(l) }()
	b.beats.Add(1)
	go func() {
		defer b.beats.Done()
		for {
			b.announce(b.body())
			select {
			case <-b.stopped:
				return
			case <-time.After(beatInterval):
			}
		}
	}()
	return nil
}

// stopBeats ends the announcements.
func (b *backend) stopBeats() {
	close(b.stopped)
	b.beats.Wait()
}

// stop ends the backend.
func (b *backend) stop() { _ = b.server.Close() }

// lie makes the status check pass whatever the state is, while all requests fail.
func (b *backend) lie() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.falseHealth = true
	b.answer = func(int, arrival) (int, []byte) { return http.StatusInternalServerError, []byte("failed\n") }
}

// errNotConfirmed is returned where a node does not confirm what it has to.
var errNotConfirmed = errors.New("the leaving of a backend was not confirmed")

// body returns the body of the next announcement.
func (b *backend) body() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	out, _ := json.Marshal(map[string]any{"service": b.service, "address": b.addr, "zone": b.zone, "version": b.version, "slots": b.slots,
		"state": b.state, "cold_remaining_s": 0, "sequence": b.sequence, "born": b.born})
	return out
}

// announce sends an announcement and reports whether it was confirmed.
func (b *backend) announce(body []byte) bool {
	return call(http.MethodPut, "http://"+b.control+"/api/instances/"+b.id, body)
}

// leave sends the end of the process and reports whether it was confirmed.
func (b *backend) leave() bool {
	b.mu.Lock()
	b.leaving = true
	b.mu.Unlock()
	body, _ := json.Marshal(map[string]any{"born": b.born})
	return call(http.MethodDelete, "http://"+b.control+"/api/instances/"+b.id, body)
}

// call sends a call and reports whether the answer was a 2xx within a second.
func call(method, url string, body []byte) bool {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Instance-Id", b.id)
	if r.URL.Path == "/health" {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.leaving && !b.falseHealth {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if r.Header.Get("X-Expected-Instance") != b.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	a := arrival{ID: id, Method: r.Method, Path: r.URL.Path, Backend: b.id, Version: b.version, BodyBytes: len(body), At: time.Since(b.ledger.start)}
	select {
	case b.slotsInUse <- struct{}{}:
		defer func() { <-b.slotsInUse }()
	default:
		a.Status = http.StatusServiceUnavailable
		b.ledger.add(a)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.mu.Lock()
	n, answer := b.handled, b.answer
	b.handled++
	b.mu.Unlock()
	status, out := answer(n, a)
	a.Ran, a.Status = true, status
	index := b.ledger.add(a)
	select {
	case <-time.After(b.work(r.URL.Path)):
	case <-r.Context().Done():
		return
	}
	b.ledger.end(index)
	w.Header().Set("X-Response-Signature", fmt.Sprintf("%s.%d", b.id, n))
	w.Header().Set("Content-Length", strconv.Itoa(len(out)))
	w.WriteHeader(status)
	_, _ = w.Write(out)
}
