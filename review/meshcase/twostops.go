package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

// Times of the scenario two-stops, after the first stop. Those of the requests are of warranty-history of the site pbf-mesh-grown: its route
// has a timeout of 5 s, its callers wait for 10 s, and its work takes up to 5.4 s.
const (
	grace       = 6 * time.Second
	longSentAt  = 1 * time.Second
	secondStop  = 1500 * time.Millisecond
	longWork    = 4900 * time.Millisecond
	longTimeout = 5 * time.Second
	longWait    = 10 * time.Second
	// longRequests is the number of these requests.
	longRequests = 6
)

// twoStops: two nodes are stopped in turn, one and a half seconds apart. Requests that the second one takes run long at the upstream of the
// first. Without trouble only the second one is stopped.
func twoStops(d *deployment, trouble bool) (broken string, err error) {
	stopCallers := d.startCallers(fewCallers)
	time.Sleep(8 * time.Second)
	stopCallers()
	entry, owner := d.machines[0], d.machines[1]
	start := time.Now()
	if trouble {
		note("machine %d gets SIGTERM", owner.number)
		go owner.stop(grace)
	}
	time.Sleep(time.Until(start.Add(longSentAt)))
	results := make(chan *request, longRequests)
	for range longRequests {
		go func() { results <- sendLong(entry) }()
	}
	time.Sleep(time.Until(start.Add(secondStop)))
	note("machine %d gets SIGTERM", entry.number)
	stopped := time.Now()
	go entry.stop(grace)
	cut := 0
	for range longRequests {
		if brokenOff(<-results, stopped) {
			cut++
		}
	}
	if cut == 0 {
		return "", nil
	}
	return fmt.Sprintf("LOST: %d of %d requests that machine %d took around its SIGTERM were broken off while their upstream was at work", cut, longRequests, entry.number), nil
}

// timeoutSlack is the time before the timeout of the route from which a request counts as having reached it.
const timeoutSlack = 100 * time.Millisecond

// brokenOff reports whether the rule LOST is broken for a request of a machine that got SIGTERM at stopped: it began to run, did not get the
// response of its upstream, and had neither reached the timeout of the route nor the last sixth of the grace period.
func brokenOff(q *request, stopped time.Time) bool {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	sentInTime := q.sent.Sub(stopped) <= 3*time.Second
	ended := q.ended.Sub(stopped)
	lastSixth := ended >= grace-grace/6
	note("request %s: %d runs, %s %.2f s after it was sent, %.2f s after the SIGTERM of its machine", q.id, len(q.runs), q.answer, q.ended.Sub(q.sent).Seconds(), ended.Seconds())
	return len(q.runs) > 0 && q.answer != "200 OK" && q.ended.Sub(q.sent) < longTimeout-timeoutSlack && (!sentInTime || !lastSixth)
}

// sendLong sends a safe request to a machine, on a connection of its own, that works for longWork at its upstream.
func sendLong(m *machine) *request {
	q := ledger.add(m, "safe", nil)
	c, err := net.DialTimeout("tcp", m.addr(callersPort), time.Second)
	if err != nil {
		ledger.answered(q, "no connection")
		return q
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(longWait))
	_, _ = fmt.Fprintf(c, "GET /%s/long/%s HTTP/1.1\r\nHost: mesh.example\r\nX-Request-Id: %s\r\nX-Request-Deadline: %d\r\n\r\n", services[1], q.id, q.id, longWait.Milliseconds())
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if err != nil {
		ledger.answered(q, "no response")
		return q
	}
	ledger.answered(q, resp.Status)
	return q
}

// stop sends SIGTERM to the node, and SIGKILL after the grace period.
func (m *machine) stop(grace time.Duration) {
	m.mu.Lock()
	cmd, ended := m.process, m.ended
	m.mu.Unlock()
	_ = cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-ended:
		record("machine %d has stopped", m.number)
	case <-time.After(grace):
		m.kill()
	}
}
