package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// answer is how one attempt of a requester ended. Status is 0 if the connection ended without a complete answer.
type answer struct {
	id     string
	sent   time.Time
	status int
	err    error
}

// requesters sends requests at a steady rate to the outbound addresses of machines.
type requesters struct {
	host, path, method string
	deadline           time.Duration
	record             *record
	client             *http.Client

	mu      sync.Mutex
	n       int
	answers []answer
	wg      sync.WaitGroup
}

func newRequesters(host, method, path string, deadline time.Duration, rec *record) *requesters {
	dialer := &net.Dialer{Timeout: time.Second}
	return &requesters{host: host, path: path, method: method, deadline: deadline, record: rec,
		client: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 20,
			IdleConnTimeout: 10 * time.Second}}}
}

// send sends one request in the background.
func (q *requesters) send(m *machine) {
	q.mu.Lock()
	q.n++
	id := fmt.Sprintf("%s-%05d", strings.Trim(strings.ReplaceAll(q.path, "/", "-"), "-"), q.n)
	q.mu.Unlock()
	q.wg.Add(1)
	go func() {
		defer q.wg.Done()
		a := answer{id: id, sent: time.Now()}
		q.record.add("sent  %s to %s", id, m.name)
		a.status, a.err = q.exchange(m, id)
		q.record.add("answered %s: status %d, error %v", id, a.status, a.err)
		q.mu.Lock()
		q.answers = append(q.answers, a)
		q.mu.Unlock()
	}()
}

func (q *requesters) exchange(m *machine, id string) (int, error) {
	return q.exchangeAs(m, id, q.deadline)
}

// exchangeAs sends one request with an id and returns the status of its answer.
func (q *requesters) exchangeAs(m *machine, id string, deadline time.Duration) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var body io.Reader
	if q.method == http.MethodPost {
		body = strings.NewReader("order " + id)
	}
	req, err := http.NewRequestWithContext(ctx, q.method, "http://"+m.addr(callersPort)+q.path+id, body)
	if err != nil {
		return 0, err
	}
	req.Host = q.host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Request-Deadline", fmt.Sprint(deadline.Milliseconds()))
	resp, err := q.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if _, err := io.ReadAll(resp.Body); err != nil {
		return 0, err
	}
	return resp.StatusCode, nil
}
