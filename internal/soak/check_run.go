package soak

import "time"

// Counts has the numbers of requests of a run. NoSlot are those that reached an upstream without a free slot.
type Counts struct{ Requests, Served, Refused, NoSlot int }

// Finish checks the run as a whole and returns all violations that were found.
func (c *Checker) Finish() ([]Violation, Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := Counts{NoSlot: c.noSlot}
	for _, q := range c.requests {
		n.Requests++
		if q.served {
			n.Served++
		}
		if q.refused {
			n.Refused++
		}
	}
	for _, at := range c.outagesEnded {
		c.checkRecovery(at.Add(recoveryBound))
	}
	if n.Requests >= minSample && float64(n.Served) < minServedShare*float64(n.Requests) {
		c.violated(Serves, time.Now(), "%d of %d requests of the run were served", n.Served, n.Requests)
	}
	return c.violations, n
}

// checkRecovery checks the share of served requests from a time on. Requests sent after the next
// unplanned disruption began are left out.
func (c *Checker) checkRecovery(from time.Time) {
	sent, served := 0, 0
	for _, q := range c.requests {
		if q.sent.Before(from) || disrupted(c.unplanned, "", from.Add(-recoveryBound+time.Millisecond), q.sent) {
			continue
		}
		sent++
		if q.served {
			served++
		}
	}
	if sent >= minSample && float64(served) < minServedShare*float64(sent) {
		c.violated(Recovers, from, "%d of %d requests were served", served, sent)
	}
}
