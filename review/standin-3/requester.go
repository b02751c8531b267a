package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// outcome is what a requester saw of one attempt.
type outcome struct {
	ID     string
	Status int // 0 without an answer
	Body   []byte
	Header http.Header
	Sent   time.Duration
	Took   time.Duration
	Err    error
}

var nextRequest atomic.Int64

// newID returns the id of a requester attempt.
func newID() string { return fmt.Sprintf("%08x%08x", time.Now().Unix(), nextRequest.Add(1)) }

// requester sends requests to one machine over kept connections.
type requester struct {
	client http.Client
	base   string
	host   string
	start  time.Time
	// header has further headers of each request. chunked sends bodies in chunks instead of with a length.
	header  http.Header
	chunked bool
}

func newRequester(x *machine, host string, timeout time.Duration) *requester {
	dialer := &net.Dialer{Timeout: time.Second}
	return &requester{client: http.Client{Timeout: timeout, Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64,
		IdleConnTimeout: 10 * time.Second, DisableCompression: true}}, base: "http://" + x.at(portOutbound), host: host, start: x.mesh.record.start, header: http.Header{}}
}

// send sends one request and returns what came of it.
func (q *requester) send(method, path string, body []byte, budget time.Duration) outcome {
	out := outcome{ID: newID(), Sent: time.Since(q.start)}
	begin := time.Now()
	req, err := http.NewRequest(method, q.base+path, bytes.NewReader(body))
	if err != nil {
		out.Err = err
		return out
	}
	req.GetBody = nil // the transport must not repeat it
	req.Host = q.host
	if q.chunked {
		req.ContentLength = -1
	}
	for name, values := range q.header {
		req.Header[name] = values
	}
	req.Header.Set("X-Request-Id", out.ID)
	req.Header.Set("X-Request-Deadline", fmt.Sprint(budget.Milliseconds()))
	resp, err := q.client.Do(req)
	if err != nil {
		out.Err, out.Took = err, time.Since(begin)
		return out
	}
	defer func() { _ = resp.Body.Close() }()
	out.Body, out.Err = io.ReadAll(resp.Body)
	out.Header, out.Took = resp.Header, time.Since(begin)
	if out.Err == nil {
		out.Status = resp.StatusCode
	}
	return out
}
