package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// request is one attempt of a caller.
type request struct {
	id, kind string
	machine  *machine
	sent     time.Time
	body     []byte
	runs     []run
	// answer is the status of the response, or how the connection ended, and ended when.
	answer string
	ended  time.Time
}

// run is one run of a request at an upstream.
type run struct {
	at       time.Time
	upstream *upstream
}

// requests is the ledger of what was sent, run and answered.
type requests struct {
	mu   sync.Mutex
	next int
	byID map[string]*request
}

var ledger = requests{byID: map[string]*request{}}

// add records a new request that a caller is about to send to a machine.
func (l *requests) add(m *machine, kind string, body []byte) *request {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	q := &request{id: fmt.Sprintf("%08x%04x", l.next*2654435761&0xffffffff, l.next&0xffff), kind: kind, machine: m, sent: time.Now(), body: body}
	l.byID[q.id] = q
	record("sent %s %s to machine %d", q.id, kind, m.number)
	return q
}

// ran records that an upstream begins to run a request.
func (l *requests) ran(id string, u *upstream, body []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.byID[id]
	if q == nil || !bytes.Equal(q.body, body) {
		record("run %s at %s: nobody sent this", id, u.id)
		return
	}
	q.runs = append(q.runs, run{time.Now(), u})
	record("run %s at %s", id, u.id)
}

// answered records the end of a request for its caller.
func (l *requests) answered(q *request, answer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q.answer, q.ended = answer, time.Now()
	record("answer %s %s", q.id, answer)
}

// all returns all requests.
func (l *requests) all() []*request {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*request, 0, len(l.byID))
	for _, q := range l.byID {
		out = append(out, q)
	}
	return out
}

// requestPause is the mean pause of a caller between two requests.
const requestPause = 100 * time.Millisecond

// call sends requests to a machine on kept connections until ctx ends.
func call(ctx context.Context, m *machine) {
	for ctx.Err() == nil {
		c, err := net.DialTimeout("tcp", m.addr(callersPort), time.Second)
		if err != nil {
			time.Sleep(requestPause) // the node is down
			continue
		}
		for r := bufio.NewReader(c); ctx.Err() == nil; {
			time.Sleep(requestPause/2 + rand.N(requestPause))
			if !exchange(c, r, m) {
				break
			}
		}
		_ = c.Close()
	}
}

// callerTimeout is how long a caller waits for a response.
const callerTimeout = 2500 * time.Millisecond

// exchange sends one request and reads the response to it. It returns false if the connection cannot be used again.
func exchange(c net.Conn, r *bufio.Reader, m *machine) bool {
	service := services[rand.IntN(len(services))]
	var q *request
	var text []byte
	if rand.IntN(2) == 0 {
		q = ledger.add(m, "safe", nil)
		text = fmt.Appendf(nil, "GET /%s/read/%s HTTP/1.1\r\nHost: mesh.example\r\nX-Request-Id: %s\r\nX-Request-Deadline: %d\r\n\r\n", service, q.id, q.id, callerTimeout.Milliseconds())
	} else {
		body := bytes.Repeat([]byte("x"), rand.IntN(2000))
		q = ledger.add(m, "unsafe", body)
		text = fmt.Appendf(nil, "POST /%s/write/%s HTTP/1.1\r\nHost: mesh.example\r\nX-Request-Id: %s\r\nX-Request-Deadline: %d\r\nContent-Length: %d\r\n\r\n%s", service, q.id, q.id,
			callerTimeout.Milliseconds(), len(body), body)
	}
	_ = c.SetDeadline(time.Now().Add(callerTimeout))
	if _, err := c.Write(text); err != nil {
		ledger.answered(q, "connection closed")
		return false
	}
	resp, err := http.ReadResponse(r, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if err != nil {
		ledger.answered(q, "no response")
		return false
	}
	ledger.answered(q, resp.Status)
	return !resp.Close
}
