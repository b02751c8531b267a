package soak

import "time"

// Counts is what a run did.
type Counts struct{ Requests, Served, Refused int }

// Finish ends the run and returns what was broken.
func (c *Checker) Finish() ([]Violation, Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var n Counts
	for _, q := range c.requests {
		n.Requests++
		if q.served {
			n.Served++
		}
		if q.refused {
			n.Refused++
		}
	}
	for _, at := range c.losses {
		c.checkRecovery(at.Add(recoverWithin))
	}
	if n.Requests >= leastRequests && float64(n.Served) < recoveredShare*float64(n.Requests) {
		c.broken(Serves, time.Now(), "%d of %d requests of the whole run were served", n.Served, n.Requests)
	}
	return c.violations, n
}

// checkRecovery looks at the requests sent from a moment on, for as long as nothing else disturbs the hosts.
func (c *Checker) checkRecovery(from time.Time) {
	sent, served := 0, 0
	for _, q := range c.requests {
		if q.sent.Before(from) || touched(c.unplanned, "", from.Add(-recoverWithin+time.Millisecond), q.sent) {
			continue
		}
		sent++
		if q.served {
			served++
		}
	}
	if sent >= leastRequests && float64(served) < recoveredShare*float64(sent) {
		c.broken(Recovers, from, "%d of %d requests were served", served, sent)
	}
}
