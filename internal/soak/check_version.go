package soak

import "time"

// badRollout is a running rollout of a bad version, with the numbers of requests that upstreams began
// to run during it.
type badRollout struct {
	service, version string
	// all counts the requests to the service, bad those to the bad version.
	all, bad int
}

// BadRollout records that the operator orders the rollout of a bad version. Call ended when its
// outcome is known, with whether it completed.
func (c *Checker) BadRollout(service, version string) (ended func(completed bool)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := &badRollout{service: service, version: version}
	c.badRollout = m
	return func(completed bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.badRollout = nil
		if completed {
			c.violated(BadVersions, time.Now(), "the rollout of %s of %s completed", version, service)
		}
	}
}

// checkVersion checks the share of the bad version in the requests during its rollout.
func (c *Checker) checkVersion(e Execution, now time.Time) {
	m := c.badRollout
	if m == nil || m.service != e.Service {
		return
	}
	m.all++
	if m.version != e.Version {
		return
	}
	m.bad++
	if allowed := badShare*float64(m.all) + badSlack; float64(m.bad) > allowed && float64(m.bad) <= allowed+1 {
		c.violated(BadVersions, now, "%s of %s got %d of %d requests", m.version, m.service, m.bad, m.all)
	}
}
