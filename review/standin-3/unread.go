package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Figures of the class part-lookup of clydeforth-mesh-grown: its route's timeout, its time budget, its mean work, and its largest answer.
const (
	lookupTimeout  = 1.2
	lookupBudgetMS = 2500
	lookupWork     = 140 * time.Millisecond
	lookupBytes    = 2400
)

// Times after the SIGTERM at which a requester sends its first request and the one behind it.
const (
	firstAt  = 1900 * time.Millisecond
	secondAt = 2400 * time.Millisecond
)

// A slow requester reads readBytes every readPause into a small receive buffer.
const (
	readBytes     = 200
	readPause     = 60 * time.Millisecond
	receiveBuffer = 1 << 10
)

// perMachine is the number of requesters on each stopping machine.
const perMachine = 4

// unread stops three of the four machines of a zone at once. Requesters there read the answers to safe requests slowly, and send a
// further request before they have the whole answer.
func unread(rec *record, trouble bool) (bool, error) {
	m, err := newMesh(rec, clydeforth)
	if err != nil {
		return false, err
	}
	defer m.close()
	var zone []*machine
	for range 4 {
		zone = append(zone, m.add("troon", "trade-ledger"))
	}
	for _, name := range []string{"greenock", "greenock", "oban", "oban"} {
		b := m.backend(m.add(name, "parts-desk"), "v1")
		b.work = func(string) time.Duration { return lookupWork }
		b.answer = func(int, arrival) (int, []byte) { return http.StatusOK, bytes.Repeat([]byte("p"), lookupBytes) }
	}
	m.configure(5, []string{"parts-desk", "trade-ledger"}, route{"r-1", "parts.example", "/lookup/", "safe", "parts-desk", lookupTimeout})
	if err := m.startAll(); err != nil {
		return false, err
	}
	stopping := zone[:3]
	for _, x := range zone {
		warm := newRequester(x, "parts.example", 5*time.Second)
		for range 10 {
			if o := warm.send(http.MethodGet, "/lookup/1", nil, 2*time.Second); o.Status != http.StatusOK {
				return false, fmt.Errorf("before the stop: status %d, %v", o.Status, o.Err)
			}
		}
	}
	began := time.Now()
	if trouble {
		for _, x := range stopping {
			x.signal(syscall.SIGTERM)
			rec.line("SIGTERM to %s", x.name)
			time.AfterFunc(grace, func() { x.signal(syscall.SIGKILL) })
		}
	}
	in := watchReady(rec, zone)
	var wg sync.WaitGroup
	var mu sync.Mutex
	lost, failed := 0, error(nil)
	for i := range perMachine * len(stopping) {
		wg.Go(func() {
			broken, err := readSlowly(rec, m, stopping[i%len(stopping)], began, i)
			mu.Lock()
			defer mu.Unlock()
			if broken {
				lost++
			}
			if err != nil {
				failed = err
			}
		})
	}
	time.Sleep(time.Until(began.Add(secondAt - 50*time.Millisecond)))
	n := in()
	rec.line("%d of the %d nodes of the zone are in", n, len(zone))
	wg.Wait()
	m.ledger.write(rec)
	switch {
	case failed != nil:
		return false, failed
	case trouble && 2*n >= len(zone):
		return false, fmt.Errorf("%d of %d nodes are in: the requesters would get no new work", n, len(zone))
	}
	rec.line("%d of %d answers were cut off", lost, perMachine*len(stopping))
	return lost > 0, nil
}

// watchReady asks the nodes each second whether they are ready, as the platform does, until in is called, which returns the number of
// nodes without two misses in a row.
func watchReady(rec *record, zone []*machine) (in func() int) {
	ctx, stop := context.WithCancel(context.Background())
	misses := make([]int, len(zone))
	var wg sync.WaitGroup
	for i, x := range zone {
		wg.Go(func() {
			tick := time.NewTicker(time.Second)
			defer tick.Stop()
			for {
				if x.ready() {
					misses[i] = 0
				} else {
					misses[i]++
					rec.line("the platform finds %s not ready, %d in a row", x.name, misses[i])
				}
				select {
				case <-ctx.Done():
					return
				case <-tick.C:
				}
			}
		})
	}
	return func() int {
		stop()
		wg.Wait()
		n := 0
		for _, k := range misses {
			if k < 2 {
				n++
			}
		}
		return n
	}
}

// readSlowly sends two requests on one connection, the second one before the answer to the first was read, and reads that answer slowly. It
// reports whether that answer was cut off although the request was run to its end.
func readSlowly(rec *record, m *mesh, x *machine, began time.Time, number int) (bool, error) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	time.Sleep(time.Until(began.Add(firstAt + time.Duration(number)*10*time.Millisecond)))
	conn, err := dialer.Dial("tcp", x.at(portOutbound))
	if err != nil {
		return false, err
	}
	defer func() { _ = conn.Close() }()
	ids := []string{newID(), newID()}
	send := func(i int) {
		_, err := fmt.Fprintf(conn, "GET /lookup/%d HTTP/1.1\r\nHost: parts.example\r\nX-Request-Id: %s\r\nX-Request-Deadline: %d\r\n\r\n", i, ids[i], lookupBudgetMS)
		rec.line("requester %d sent %s to %s on the connection: error %v", number, ids[i], x.name, err)
	}
	send(0)
	sent := time.Now()
	timer := time.AfterFunc(time.Until(began.Add(secondAt)), func() { send(1) })
	defer timer.Stop()
	_ = conn.SetReadDeadline(time.Now().Add(8 * time.Second))
	slow := &slowReader{conn: conn}
	resp, err := http.ReadResponse(bufio.NewReaderSize(slow, readBytes), nil)
	if err != nil {
		rec.line("requester %d: no answer to %s after %.3f s and %d bytes: %v", number, ids[0], time.Since(sent).Seconds(), slow.read, err)
		return m.ranToEnd(ids[0]), nil
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || len(body) != lookupBytes {
		rec.line("requester %d: the answer to %s, status %d, signature %q, ended after %.3f s and %d of %s bytes: %v", number, ids[0], resp.StatusCode,
			resp.Header.Get("X-Response-Signature"), time.Since(sent).Seconds(), len(body), resp.Header.Get("Content-Length"), err)
		return m.ranToEnd(ids[0]), nil
	}
	rec.line("requester %d: whole answer to %s, status %d, after %.3f s", number, ids[0], resp.StatusCode, time.Since(sent).Seconds())
	return false, nil
}

// ranToEnd reports whether a backend has run a request to its end.
func (m *mesh) ranToEnd(id string) bool {
	a, ok := m.ledger.find(id)
	return ok && a.End > 0
}

// slowReader reads a few bytes at a time.
type slowReader struct {
	conn net.Conn
	read int
}

func (r *slowReader) Read(b []byte) (int, error) {
	time.Sleep(readPause)
	n, err := r.conn.Read(b[:min(len(b), readBytes)])
	r.read += n
	return n, err
}
