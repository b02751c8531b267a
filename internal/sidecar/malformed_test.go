package sidecar

import (
	"net/http"
	"testing"

	"celerybank/internal/events"
	"celerybank/internal/proxy"
	"celerybank/internal/standin/rawhttp"
)

// malformed are malformed responses, in which ID stands for the request's ID, by their fault.
var malformed = rawhttp.Malformed("X-Request-Id: ID\r\nX-Response-Signature: s\r\n", "bad")

// announced waits until the upstreams of a mesh are announced and its nodes know each other.
func (m *mesh) announced() {
	m.config(1, "/one/")
	for _, h := range m.hosts {
		eventually(m.t, "the announcement is acknowledged", func() bool { return h.announce(false) })
		eventually(m.t, "all nodes are members", func() bool { return h.node.aliveMembers() == len(m.hosts) })
	}
}

// An upstream writes malformed heads. Its response must not reach the caller, who gets status 502, which promises nothing; an event
// names the reason.
func TestMalformedResponseDoesNotReachTheCaller(t *testing.T) {
	m := startMesh(t, "a")
	h := m.hosts[0]
	m.announced()
	eventually(t, "served", func() bool { s, _ := h.get("/one/x"); return s == http.StatusOK })
	for fault, text := range malformed {
		h.raw.Store(&text)
		ran := h.runs.Load()
		if s, body := h.get("/one/x"); s != http.StatusBadGateway || h.runs.Load() != ran+1 {
			t.Errorf("%s: got %d %q, %d runs, want status %d and 1 run", fault, s, body, h.runs.Load()-ran, http.StatusBadGateway)
		}
	}
	named := 0
	for _, e := range h.node.events.Since(0) {
		if e.Code == events.CallFailed && e.Fields["reason"] == proxy.ReasonInvalidResponse && e.Fields["error"] != nil {
			named++
		}
	}
	if named != len(malformed) {
		t.Errorf("%d events %d name the reason %s and the error, want %d", named, events.CallFailed, proxy.ReasonInvalidResponse, len(malformed))
	}
}

// One upstream of two writes malformed heads. An idempotent request that reached it is served by the other one.
func TestRequestWithAMalformedResponseIsServedElsewhere(t *testing.T) {
	m := startMesh(t, "a", "a")
	faulty, sound := m.hosts[0], m.hosts[1]
	m.announced()
	eventually(t, "both upstreams serve", func() bool { faulty.get("/one/x"); return faulty.runs.Load() > 0 && sound.runs.Load() > 0 })
	text, ran := malformed["status 000"], faulty.runs.Load()
	faulty.raw.Store(&text)
	eventually(t, "the faulty upstream has run a request", func() bool {
		faulty.announce(false)
		sound.announce(false)
		if s, body := faulty.get("/one/x"); s != http.StatusOK || body != "a /one/x " {
			t.Errorf("got %d %q, want the response of the other upstream", s, body)
		}
		return faulty.runs.Load() > ran
	})
}
