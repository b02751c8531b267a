package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"celerybank/platform"
)

// Guards against a stand-in that answers what it cannot queue: neither the request that finds no free slot nor the next one
// of its connection gets a response, and the connection ends with the process.
func TestFullUpstreamLeavesRequestsUnanswered(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &upstream{host: &host{name: "h1", service: silentService}, checker: NewChecker(), instance: "i-1"}
	u.server = &http.Server{Handler: u}
	u.lifetime, u.stop = context.WithCancel(t.Context())
	u.running.Store(slots)
	go func() { _ = u.server.Serve(l) }()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	for _, id := range []string{"r1", "r2"} {
		u.checker.RequestSent(id, "h1", "/list/", true)
		if _, err := fmt.Fprintf(conn, "GET /list/ HTTP/1.1\r\nHost: h\r\n%s: %s\r\n\r\n", platform.HeaderRequestID, id); err != nil {
			t.Fatal(err)
		}
	}
	for start := time.Now(); ; time.Sleep(time.Millisecond) {
		if _, n := u.checker.Finish(); n.NoSlot == 1 {
			break
		}
		if time.Since(start) > 10*time.Second {
			t.Fatal("the first request did not arrive within 10 s")
		}
	}
	u.running.Store(0)
	u.crash()
	if answer, _ := io.ReadAll(conn); len(answer) > 0 {
		t.Errorf("got %q, want no response", answer)
	}
	if _, n := u.checker.Finish(); n.NoSlot != 1 {
		t.Errorf("%d requests were handled, want only the first", n.NoSlot)
	}
}
