package balance

import "time"

// An upstream may be slow on one route only, so work is given by the speed measured on the route of a request, as far as
// this node has measured it.
const (
	// maxRouteSpeeds bounds the routes of an upstream whose speed is kept; the others have the speed of the upstream.
	maxRouteSpeeds = 8
	// minRouteSamples is the number of responses from which the speed on a route counts.
	minRouteSamples = 4
	// routeSpeedFresh is the age up to which it counts.
	routeSpeedFresh = 2 * estimateHalfLife
)

// routeSpeed is the processing time of an upstream on one route relative to the mean of the route.
type routeSpeed struct {
	route    string
	slowness float64
	samples  int
	at       time.Time
}

// RecordSpeed adds one processing time on a route, whose mean is mean, to the speed of the upstream on it.
func (e *Endpoint) RecordSpeed(route string, took, mean time.Duration, now time.Time) {
	if took <= 0 || mean <= 0 {
		return
	}
	sample := min(float64(took)/float64(mean), maxSlowness)
	e.mu.Lock()
	defer e.mu.Unlock()
	oldest := -1
	for i := range e.routes {
		r := &e.routes[i]
		if r.route == route {
			if now.Sub(r.at) > routeSpeedFresh {
				r.slowness, r.samples = sample, 0
			}
			r.slowness += slownessWeight * (sample - r.slowness)
			r.samples, r.at = min(r.samples+1, minRouteSamples), now
			return
		}
		if oldest < 0 || r.at.Before(e.routes[oldest].at) {
			oldest = i
		}
	}
	entry := routeSpeed{route: route, slowness: sample, samples: 1, at: now}
	if len(e.routes) < maxRouteSpeeds {
		e.routes = append(e.routes, entry)
		return
	}
	e.routes[oldest] = entry
}

// routeSpeed returns the speed on a route, nil if it is not known. e.mu is held.
func (e *Endpoint) routeSpeed(route string, now time.Time) *routeSpeed {
	for i := range e.routes {
		if r := &e.routes[i]; r.route == route && r.samples >= minRouteSamples && now.Sub(r.at) <= routeSpeedFresh {
			return r
		}
	}
	return nil
}
