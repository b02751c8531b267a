package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"
)

// crashingPath is the end of the path of a request that crashes each upstream that begins to run it.
const crashingPath = "/crashing"

// Times of the scenario crashing-request.
const (
	// comesEvery is the time between two attempts with the crashing request, and attempts their number.
	comesEvery = 6 * time.Second
	attempts   = 10
)

// crashingRequest: one request crashes the upstream that begins to run it, which is back after two seconds under the id that it had. The
// request comes again at the same machine, with the same path, caller and body.
func crashingRequest(d *deployment, trouble bool) (broken string, err error) {
	m := d.machines[0]
	return repeatCrashing(d, trouble, func(int) { sendCrashing(m, "") })
}

// tracedRequest is crashingRequest for a request that comes again at any machine with the same caller, each time with another value of a header field for
// tracing. The upstreams start again under new ids.
func tracedRequest(d *deployment, trouble bool) (broken string, err error) {
	newIDs.Store(true)
	return repeatCrashing(d, trouble, func(int) {
		m := d.machines[len(services)*rand.IntN(len(d.machines)/len(services))] // of the same service: the caller is the same
		sendCrashing(m, fmt.Sprintf("X-B3-Traceid: %016x\r\n", rand.Uint64()))
	})
}

// repeatCrashing calls send for each attempt, if trouble is set, while other callers send sound requests.
func repeatCrashing(d *deployment, trouble bool, send func(attempt int)) (broken string, err error) {
	stopCallers := d.startCallers(fewCallers)
	defer stopCallers()
	time.Sleep(8 * time.Second)
	for i := range attempts {
		if trouble {
			send(i)
		}
		time.Sleep(comesEvery)
	}
	return crashingArrivals(), nil
}

// sendCrashing sends the crashing request to a machine, on a connection of its own. fields are further header fields.
func sendCrashing(m *machine, fields string) {
	q := ledger.add(m, crashingKind, nil)
	c, err := net.DialTimeout("tcp", m.addr(callersPort), time.Second)
	if err != nil {
		ledger.answered(q, "no connection")
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(callerTimeout))
	_, _ = fmt.Fprintf(c, "POST /%s/write%s HTTP/1.1\r\nHost: mesh.example\r\nX-Request-Id: %s\r\nX-Request-Deadline: %d\r\n%sContent-Length: 0\r\n\r\n", services[1], crashingPath, q.id,
		callerTimeout.Milliseconds(), fields)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		ledger.answered(q, "no response")
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	ledger.answered(q, resp.Status)
	note("the crashing request gets %s", resp.Status)
}

// crashingKind marks the crashing request in the ledger.
const crashingKind = "crashing"

// allowedRetries is the number of retries of a crashing request that may reach upstreams later than contact after its third crash.
const allowedRetries = 3

// crashingArrivals says how often the crashing request reached upstreams later than contact after it had crashed the third. No node is
// disturbed, so that all are in touch.
func crashingArrivals() string {
	var at []time.Time
	where := map[string]int{}
	lost := 0
	for _, q := range ledger.all() {
		if q.kind != crashingKind {
			if q.kind == "unsafe" && len(q.runs) > 0 && q.answer != "200 OK" {
				lost++
			}
			continue
		}
		for _, r := range q.runs {
			at = append(at, r.at)
			where[r.upstream.id]++
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	late := 0
	for i, t := range at {
		if i > 2 && t.Sub(at[2]) > contact {
			late++
		}
	}
	record("runs of the crashing request: %v", where)
	if late <= allowedRetries {
		return ""
	}
	return fmt.Sprintf("BUDGET: the crashing request reached upstreams %d times, %d of them later than %v after its third crash (allowed: %d), by upstream %v; %d unsafe requests of others had run and got no success",
		len(at), late, contact, allowedRetries, where, lost)
}
