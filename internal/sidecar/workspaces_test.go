package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"

	"celerybank/internal/configlog"
	"celerybank/platform/counterpart"
)

// workspaces writes a configuration with the closed route /one/, the public route /open/ and one workspace with the given keys.
func (m *mesh) workspaces(version uint64, keys ...string) {
	routes := []counterpart.Route{{Prefix: "/one/", Service: "stock", Safe: true}, {Prefix: "/open/", Service: "stock", Public: true}}
	m.appendOrder(counterpart.WorkspaceConfig(version, requestHost, routes, []string{"stock"}, 17, []counterpart.Workspace{{Name: "pulo780", Keys: keys}}))
}

// keyConn is a connection of a caller that stays open.
type keyConn struct {
	t testing.TB
	net.Conn
	in *bufio.Reader
}

func (h *host) dial(t testing.TB) *keyConn {
	c, err := net.Dial("tcp", h.addr(counterpart.CallersPort))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return &keyConn{t: t, Conn: c, in: bufio.NewReader(c)}
}

// send writes a request with the given additional header lines, without waiting for the response.
func (c *keyConn) send(path, id string, header ...string) {
	if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Request-Deadline: 4000\r\nContent-Length: 1\r\n%s\r\nx",
		path, requestHost, id, strings.Join(append(header, ""), "\r\n")); err != nil {
		c.t.Fatal(err)
	}
}

// receive reads one response.
func (c *keyConn) receive() *http.Response {
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	if resp.StatusCode == http.StatusUnauthorized && (string(body) != "not-run: unauthorized\n" || resp.Header.Get("Retry-After") != "" || resp.Close) {
		c.t.Errorf("refusal: got %q, header %v; want verdict not-run, no Retry-After, and that the connection stays open", body, resp.Header)
	}
	return resp
}

// Open connections and pipelined requests follow the configuration in force, refusals leave a connection usable, and the
// upstream gets the workspace in place of the key and of what the caller says.
func TestKeysOverOneConnection(t *testing.T) {
	m := startMesh(t, "a")
	h := m.hosts[0]
	m.workspaces(1, "k1")
	eventually(t, "the announcement is acknowledged", func() bool { return h.announce(false) })
	c := h.dial(t)
	served := func(header ...string) bool { c.send("/one/x", "r1", header...); return c.receive().StatusCode == 200 }
	eventually(t, "the upstream serves", func() bool { return served("X-Api-Key: k1") })

	before := h.runs.Load()
	lines := [][]string{{"x-api-key: k1", "X-Tenant-Id: forged", "x-tenant-id: forged"}, {"X-Api-Key: k2"}, nil, {"X-API-KEY: k1"}, {"X-Api-Key: k1", "X-Api-Key: k1"}}
	for _, header := range lines {
		c.send("/one/x", "r2", header...)
	}
	var got []int
	for range lines {
		got = append(got, c.receive().StatusCode)
	}
	if want := []int{200, 401, 401, 200, 401}; !slices.Equal(got, want) {
		t.Errorf("pipelined requests: got statuses %v, want %v", got, want)
	}
	if n := h.runs.Load() - before; n != 2 {
		t.Errorf("%d requests ran, want 2", n)
	}
	check := func(what string, want []string) {
		h.mu.Lock()
		defer h.mu.Unlock()
		if r := h.lastRequest; r.Keys != 0 || !slices.Equal(r.Workspaces, want) {
			t.Errorf("%s: the upstream got %d keys and the workspaces %v, want none and %v", what, r.Keys, r.Workspaces, want)
		}
	}
	check("closed route", []string{"pulo780"})
	c.send("/open/x", "r3", "X-Api-Key: k1", "X-Tenant-Id: forged")
	if s := c.receive().StatusCode; s != 200 {
		t.Errorf("public route: got status %d, want 200", s)
	}
	check("public route", nil)

	m.workspaces(2, "k2")
	eventually(t, "the added key works", func() bool { return served("X-Api-Key: k2") })
	if served("X-Api-Key: k1") {
		t.Error("the removed key works on an open connection")
	}

	// A child of a running request needs no key and has no workspace; it may not once its parent has ended.
	h.hold.Lock()
	before = h.runs.Load()
	c.send("/one/x", "parent", "X-Api-Key: k2")
	eventually(t, "the parent runs", func() bool { return h.runs.Load() == before+1 })
	child := h.dial(t)
	child.send("/one/x", "parent.1", "X-Tenant-Id: forged")
	eventually(t, "the child runs", func() bool { return h.runs.Load() == before+2 })
	check("child", nil)
	h.hold.Unlock()
	if s := child.receive().StatusCode; s != 200 {
		t.Errorf("child: got status %d, want 200", s)
	}
	if s := c.receive().StatusCode; s != 200 {
		t.Errorf("parent: got status %d, want 200", s)
	}
	child.send("/one/x", "parent.2")
	if s := child.receive().StatusCode; s != 401 {
		t.Errorf("child of a request that has ended: got status %d, want 401", s)
	}

	// Without workspaces the node forwards both headers as they are.
	m.config(3, "/one/")
	eventually(t, "no key is needed", func() bool { return served() })
	c.send("/one/x", "r4", "X-Api-Key: k1", "x-api-key: k1", "X-Tenant-Id: theirs")
	c.receive()
	h.mu.Lock()
	defer h.mu.Unlock()
	if r := h.lastRequest; r.Keys != 2 || !slices.Equal(r.Workspaces, []string{"theirs"}) {
		t.Errorf("without workspaces: the upstream got %d keys and the workspaces %v, want 2 and the caller's", r.Keys, r.Workspaces)
	}
}

// With fail_closed, nodes refuse requests that need a key while nothing confirms their configuration, and no others.
func TestNodesWithoutTheStoreFailClosed(t *testing.T) {
	m := startBoundedMesh(t, []string{"fail_closed=true", "revoke_s=2"}, "a", "b")
	m.workspaces(1, "k1")
	status := func(h *host, path string, header ...string) int {
		c := h.dial(t)
		defer func() { _ = c.Close() }()
		c.send(path, "r1", header...)
		return c.receive().StatusCode
	}
	for _, h := range m.hosts {
		eventually(t, "the announcement is acknowledged", func() bool { return h.announce(false) })
		eventually(t, "a key is accepted", func() bool { return status(h, "/one/x", "X-Api-Key: k1") == 200 })
	}
	m.log.SetFaults(configlog.Faults{Outage: true})
	for _, h := range m.hosts {
		eventually(t, "a key is refused without the store", func() bool { return status(h, "/one/x", "X-Api-Key: k1") == 503 })
		if s := status(h, "/one/x", "X-Api-Key: k2"); s != 503 {
			t.Errorf("unknown key without the store: got status %d, want 503", s)
		}
		if s := status(h, "/open/x"); s != 200 {
			t.Errorf("public route without the store: got status %d, want 200", s)
		}
	}
	m.log.SetFaults(configlog.Faults{})
	for _, h := range m.hosts {
		eventually(t, "a key is accepted again", func() bool { return status(h, "/one/x", "X-Api-Key: k1") == 200 })
	}
}
