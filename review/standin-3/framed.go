package main

import (
	"net/http"
	"time"
)

// framed sends proper requests with bodies in chunks to a route that all configurations have. A header of theirs has the size of
// the file that the body is a part of; its name ends as that of the header with a body's length does.
func framed(rec *record, trouble bool) (bool, error) {
	const sent = 100
	m, err := newMesh(rec, pbfMesh)
	if err != nil {
		return false, err
	}
	defer m.close()
	entry, owner := m.add("ga-east-a", "jobboard-svc"), m.add("ga-east-a", "booking-svc")
	m.configure(5, []string{"jobboard-svc", "booking-svc"}, route{"r-1", "pbf.example", "/b/", "unsafe", "booking-svc", 1.2})
	m.backend(owner, "v1")
	if err := m.startAll(); err != nil {
		return false, err
	}
	q := newRequester(entry, "pbf.example", 3*time.Second)
	q.chunked = true
	if trouble {
		q.header.Set("X-Upload-Content-Length", "52000")
	}
	denied := 0
	for range sent {
		o := q.send(http.MethodPost, "/b/install", []byte("one appointment\n"), 2500*time.Millisecond)
		_, ran := m.ledger.find(o.ID)
		rec.line("request %s, POST /b/install, body in chunks: status %d, reached a backend: %v, answer %q, error %v", o.ID, o.Status, ran, o.Body, o.Err)
		switch {
		case o.Status/100 == 3, o.Status/100 == 4 && o.Status != http.StatusRequestTimeout && o.Status != http.StatusMisdirectedRequest && o.Status != http.StatusTooManyRequests:
			denied++
		}
	}
	m.ledger.write(rec)
	allowed := 5 + float64(sent)/500
	rec.line("%d of %d proper requests were ended with a 3xx or 4xx of the node's own; allowed are %.1f", denied, sent, allowed)
	return float64(denied) > allowed, nil
}
