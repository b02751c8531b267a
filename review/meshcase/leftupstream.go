package main

import (
	"fmt"
	"net/http"
	"time"
)

// Times of the scenario left-upstream. contact and drainBound are contact_s and drain_s of the settings.
const (
	contact    = 3 * time.Second
	drainBound = 2 * time.Second
	// killAfter is the time from the confirmation to the kill of all nodes, and restartDelay that until they are started again.
	killAfter    = 500 * time.Millisecond
	restartDelay = 900 * time.Millisecond
	// lateBy is how late one announcement of the upstream arrives. It was sent just before the notice of the end.
	lateBy = 2 * time.Second
	// stays is how long the upstream goes on serving after the confirmation.
	stays = 15 * time.Second
)

// leftUpstream: an upstream sends the notice of its end, which its node confirms, and goes on serving for some seconds. All nodes are
// killed at the same moment. An announcement of the upstream, sent before the notice, arrives two seconds late.
func leftUpstream(d *deployment, trouble bool) (broken string, err error) {
	stopCallers := d.startCallers(fewCallers)
	defer stopCallers()
	time.Sleep(8 * time.Second)
	u := d.machines[0].upstream
	late := u.announcement()
	lateAt := time.Now().Add(lateBy)
	if err := u.leave(); err != nil {
		return "", fmt.Errorf("the notice of the end was not confirmed: %w", err)
	}
	confirmed := time.Unix(0, u.confirmed.Load())
	note("the leaving of %s is confirmed", u.id)
	time.Sleep(killAfter)
	if trouble {
		if err := d.killAll(restartDelay); err != nil {
			return "", err
		}
		note("all nodes were killed and are started again")
	}
	time.Sleep(time.Until(lateAt))
	for u.send(http.MethodPut, late) != nil && time.Since(lateAt) < time.Second {
		time.Sleep(50 * time.Millisecond) // the node starts
	}
	note("an announcement of %s arrives, %.1f s after it was sent", u.id, time.Since(lateAt.Add(-lateBy)).Seconds())
	time.Sleep(time.Until(confirmed.Add(stays)))
	note("%s ends, while it runs %d requests", u.id, u.end())
	time.Sleep(callerTimeout)
	return lateArrivals(u, confirmed), nil
}

// lateArrivals says which requests reached an upstream later than drainBound after its leaving was confirmed. They count only if their
// machine and that of the upstream have run for contact.
func lateArrivals(u *upstream, confirmed time.Time) string {
	reached, unanswered := 0, 0
	first := time.Duration(0)
	for _, q := range ledger.all() {
		for _, r := range q.runs {
			inTouch := r.at.Sub(q.machine.startedAt()) > contact && r.at.Sub(u.machine.startedAt()) > contact
			after := r.at.Sub(confirmed)
			if r.upstream != u || after <= drainBound || !inTouch {
				continue
			}
			if reached++; first == 0 || after < first {
				first = after
			}
			if q.kind == "unsafe" && q.answer != "200 OK" {
				unanswered++
			}
		}
	}
	if reached == 0 {
		return ""
	}
	return fmt.Sprintf("DRAIN: %d requests reached %s later than %v after its leaving was confirmed, the first after %.1f s; %d unsafe ones of these were cut by its end",
		reached, u.id, drainBound, first.Seconds(), unanswered)
}
