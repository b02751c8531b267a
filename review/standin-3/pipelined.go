package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// Figures of the class warranty-history of pbf-mesh-grown, and grace_s.
const (
	warrantyTimeout  = 5.0
	warrantyBudgetMS = 10_000
	longWork         = 4800 * time.Millisecond
	shortWork        = 300 * time.Millisecond
	grace            = 6 * time.Second
	// sentAfter is when the requests are sent after the SIGTERM: between the first status check without a 200 and the second.
	sentAfter = 1500 * time.Millisecond
)

// pipelined sends two safe requests on one connection to a machine that was told to stop. The backend answers the second one long
// before the machine ends, and is at work on the first one until then.
func pipelined(rec *record, trouble bool) (bool, error) {
	m, err := newMesh(rec, pbfMeshGrown)
	if err != nil {
		return false, err
	}
	defer m.close()
	entry, owner := m.add("ga-east-a", "jobboard-svc"), m.add("ga-east-a", "warranty-svc")
	m.configure(5, []string{"jobboard-svc", "warranty-svc"}, route{"r-1", "pbf.example", "/w/", "safe", "warranty-svc", warrantyTimeout})
	back := m.backend(owner, "v1")
	back.work = func(path string) time.Duration {
		if strings.HasSuffix(path, "/long") {
			return longWork
		}
		return shortWork
	}
	if err := m.startAll(); err != nil {
		return false, err
	}
	// The class has run before: requests on kept connections, one after the other.
	warm := newRequester(entry, "pbf.example", 5*time.Second)
	for range 20 {
		if o := warm.send(http.MethodGet, "/w/short", nil, 4*time.Second); o.Status != http.StatusOK {
			return false, fmt.Errorf("before the stop: status %d, %v", o.Status, o.Err)
		}
	}
	conn, err := net.DialTimeout("tcp", entry.at(portOutbound), time.Second)
	if err != nil {
		return false, err
	}
	defer func() { _ = conn.Close() }()
	rec.line("the platform finds %s ready: %v", entry.name, entry.ready())
	began := time.Now()
	if trouble {
		entry.signal(syscall.SIGTERM)
		rec.line("SIGTERM to %s", entry.name)
		time.AfterFunc(grace, func() { entry.signal(syscall.SIGKILL) })
	}
	time.Sleep(time.Second)
	rec.line("the platform finds %s ready: %v", entry.name, entry.ready())
	time.Sleep(time.Until(began.Add(sentAfter)))
	ids := []string{newID(), newID()}
	for i, path := range []string{"/w/long", "/w/short"} {
		if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: pbf.example\r\nX-Request-Id: %s\r\nX-Request-Deadline: %d\r\n\r\n", path, ids[i], warrantyBudgetMS); err != nil {
			return false, err
		}
		rec.line("sent request %s %s on the same connection", ids[i], path)
	}
	answered := readAnswers(rec, conn, 2)
	m.ledger.write(rec)
	ran, ok := m.ledger.find(ids[1])
	if !ok || ran.End == 0 {
		return false, fmt.Errorf("request %s was not run to its end", ids[1])
	}
	lost := !answered[ids[1]]
	if lost {
		rec.line("request %s: its backend had answered it at %.3f s, and the connection ended without that answer", ids[1], ran.End.Seconds())
	}
	return lost, nil
}

// readAnswers reads up to n answers from a connection and returns which requests have a complete one.
func readAnswers(rec *record, conn net.Conn, n int) map[string]bool {
	out := map[string]bool{}
	r := bufio.NewReader(conn)
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	for range n {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			rec.line("the connection ended: %v", err)
			break
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			rec.line("the connection ended within an answer: %v", err)
			break
		}
		id := resp.Header.Get("X-Request-Id")
		rec.line("answer to %s: status %d, %d bytes, signature %q", id, resp.StatusCode, len(body), resp.Header.Get("X-Response-Signature"))
		out[id] = true
	}
	return out
}
