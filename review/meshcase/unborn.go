package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Figures of the scenario unborn-ping. coldRate is cold_per_s of the configuration, the others are bounds of the settings.
const (
	coldRate      = 18
	coldOvershoot = 1.5
	coldSlack     = 5.0
	// manyCallers is the number of callers on each machine.
	manyCallers = 16
	// unbornAfter is the time from the start of the new upstream to the ping without a start.
	unbornAfter = 600 * time.Millisecond
)

// unbornPing: an upstream is replaced by a new one, which is cold. A ping from another writer, which lacks the field born, arrives at its node.
func unbornPing(d *deployment, trouble bool) (broken string, err error) {
	stopCallers := d.startCallers(manyCallers)
	defer stopCallers()
	time.Sleep(9 * time.Second)
	m := d.machines[1]
	if err := m.upstream.leave(); err != nil {
		return "", fmt.Errorf("the notice of the end was not confirmed: %w", err)
	}
	time.Sleep(drainBound + time.Second)
	m.upstream.end()
	newIDs.Store(true)
	u, err := startUpstream(m, coldFor)
	if err != nil {
		return "", err
	}
	note("%s starts and is cold for %v", u.id, coldFor)
	time.Sleep(unbornAfter)
	if trouble {
		note("a ping without born: %v", u.send(http.MethodPut, u.unborn()))
	}
	time.Sleep(time.Until(u.warmAt))
	stopCallers()
	return coldArrivals(u), nil
}

// unborn returns a ping as that of the upstream, but from a writer that does not send the field born and knows of no cold phase.
func (u *upstream) unborn() []byte {
	var fields map[string]any
	if err := json.Unmarshal(u.announcement(), &fields); err != nil {
		panic(err) // it was marshalled just now
	}
	delete(fields, "born")
	fields["cold_remaining_s"] = 0
	text, err := json.Marshal(fields)
	if err != nil {
		panic(err) // values of these types always marshal
	}
	return text
}

// coldArrivals says how many requests a cold upstream got in one second, if they were more than allowed.
func coldArrivals(u *upstream) string {
	var at []time.Time
	lost := 0
	for _, q := range ledger.all() {
		for _, r := range q.runs {
			if r.upstream != u || !r.at.Before(u.warmAt) {
				continue
			}
			if r.at.Sub(q.sent) <= time.Second {
				at = append(at, r.at)
			}
			if q.kind == "unsafe" && q.answer != "200 OK" && q.answer != "" {
				lost++
			}
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	most, first := 0, 0
	for i := range at {
		for at[i].Sub(at[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	allowed := coldRate*coldOvershoot + coldSlack
	note("%s got up to %d requests in one second while it was cold; allowed: %.0f", u.id, most, allowed)
	if float64(most) <= allowed {
		return ""
	}
	return fmt.Sprintf("FAILBACK: cold upstream %s got %d requests in one second; allowed: %.0f. It crashed: %v; %d unsafe requests that it ran got no success", u.id, most, allowed, u.ended.Load(), lost)
}
