package soak

import "time"

// move is one to a bad version, and the requests that ran meanwhile.
type move struct {
	service, version string
	all, bad         int
}

// BadVersion takes in that the operator orders a move to a bad version; call the result with
// whether the system says that it is completed, once it says how it ended.
func (c *Checker) BadVersion(service, version string) (ended func(completed bool)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := &move{service: service, version: version}
	c.move = m
	return func(completed bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.move = nil
		if completed {
			c.broken(BadVersions, time.Now(), "%s of %s is completed", version, service)
		}
	}
}

// checkVersion counts the requests of a move to a bad version.
func (c *Checker) checkVersion(r Run, now time.Time) {
	m := c.move
	if m == nil || m.service != r.Service {
		return
	}
	m.all++
	if m.version != r.Version {
		return
	}
	m.bad++
	if allowed := badShare*float64(m.all) + badSlack; float64(m.bad) > allowed && float64(m.bad) <= allowed+1 {
		c.broken(BadVersions, now, "%s of %s got %d of %d requests", m.version, m.service, m.bad, m.all)
	}
}
