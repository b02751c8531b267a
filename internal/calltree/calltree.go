// Package calltree admits requests at their owner by what becomes of their child requests: those that the upstream sends
// while it runs them. A run whose children are refused or late is work for nothing, so that no more runs are started than
// the called services can bear children of. It keeps one rate for each route, by the demand that the owners of the called
// services report (congestion control by delay; Kumar et al., "Swift", 2020). It has no network and no goroutines.
package calltree

import (
	"sync"
	"time"
)

// Parameters of the control of a route's rate.
const (
	// failedPressure stands for a child that was refused, late or lost, whatever the called service reports.
	failedPressure = 2
	// unknownPressure is assumed without news: a little more is admitted, to see.
	unknownPressure = 0.9
	// childWeight is the weight of one child in the mean pressure of its service.
	childWeight = 0.2
	// runTimeWeight is the weight of one run in the mean time of the runs.
	runTimeWeight = 0.1
	// minInterval is the shortest time between two changes of a rate. A change shows in the children after about the
	// time of a run, which is the interval of routes with longer runs.
	minInterval = 100 * time.Millisecond
	// minNews is the number of children that a change waits for, at most for newsTimeout: routes with few runs would
	// otherwise swing, as they react several times to the same news.
	minNews     = 5
	newsTimeout = 500 * time.Millisecond
	// gain is the power of the inverse pressure by which the rate changes in an interval. The pressure follows a
	// change within some intervals; a higher gain swings.
	gain = 0.2
	// idlePressure is the pressure below which the called service has room for more than the scatter of the arrivals:
	// the rate grows by idleGain, so that a service that comes back is used within seconds.
	idlePressure, idleGain = 0.7, 0.5
	// minPressure bounds this growth, maxStep is the largest factor of one change, up or down.
	minPressure = 0.25
	maxStep     = 1.5
	// minRate is the number of runs per second that are always admitted, to see whether the called service has recovered.
	minRate = 1.0
	// headroom is the largest ratio of the rate to that of the runs: a rate that is not used says nothing.
	headroom = 1.5
	// rateMemory is the time over which the rate of the runs is averaged, about that of the pressure. A new limit is
	// kept for as long, until the pressure shows it.
	rateMemory = 300 * time.Millisecond
	// burstTime is the time for which unused admissions are kept.
	burstTime = 250 * time.Millisecond
	// unlimitedAfter is the time without a refusal or congestion after which a route has no limit any more.
	unlimitedAfter = 10 * time.Second
	// newsHalfLife is the half-life of the pressure of a service without news.
	newsHalfLife = time.Second
	// maxRetryAfter limits the time over which refused callers are spread.
	maxRetryAfter = 2 * time.Second
	// maxRoutes and maxServices bound the memory. Further routes are admitted, and their children not counted.
	maxRoutes, maxServices = 256, 16
)

// Child is what became of one child request.
type Child struct {
	Service string
	// Failed is set if it was refused, late or lost.
	Failed bool
	// Pressure is what the owner of the called service reported: the ratio of the demand of this rank and better ones
	// to what its upstream gets through; 0 when it is not known.
	Pressure float64
}

// Tree learns the children of each route that the upstream of this host serves, and admits its runs. Its zero value is
// ready to use.
type Tree struct {
	mu     sync.Mutex
	routes map[string]*route
}

// route is what is known of the runs of one route.
type route struct {
	services map[string]*service
	// rate is the number of runs admitted per second, 0 for no limit. tokens are the admissions not yet used.
	rate, tokens float64
	refilled     time.Time
	// changed is when the rate was last considered, constrained when it last mattered.
	changed, constrained time.Time
	// admitted counts the runs since changed, runRate is their mean rate.
	admitted int
	// news counts the children that came back since then.
	news    int
	runRate float64
	runTime time.Duration
	// waiting is the number of refused callers that may come back, in admissions.
	waiting float64
}

// service is the state of one called service as the children of one route see it.
type service struct {
	pressure float64
	heard    time.Time
}

// Admission is the decision about one run.
type Admission struct {
	OK bool
	// RetryAfter is when the caller of a refused run may expect capacity.
	RetryAfter time.Duration
	// Service is the called service with the largest pressure, and Pressure that; Rate is the number of runs that the
	// route may start per second. They are set if the run is refused.
	Service        string
	Pressure, Rate float64
	// counted is set if the route had a limit, of which the run used a part.
	counted bool
}

// Admit decides about one run of a route.
func (t *Tree) Admit(name string, now time.Time) Admission {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.admit(name, now)
}

// Start decides anew about a run that has waited for a slot and was admitted before the route had a limit: what waits
// must not start at once when the called service is found to be overloaded.
func (t *Tree) Start(name string, a Admission, now time.Time) Admission {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.routes[name]
	if r != nil && !a.counted && r.rate > 0 {
		return t.admit(name, now)
	}
	if r != nil && !a.counted {
		r.admitted++
	}
	return a
}

func (t *Tree) admit(name string, now time.Time) Admission {
	r := t.routes[name]
	if r == nil {
		return Admission{OK: true} // no child seen so far
	}
	r.control(now)
	if r.rate == 0 {
		return Admission{OK: true}
	}
	r.refill(now)
	if r.tokens >= 1 {
		r.tokens--
		r.admitted++
		return Admission{OK: true, counted: true}
	}
	r.constrained = now
	r.waiting = min(r.waiting+1, r.rate*maxRetryAfter.Seconds())
	service, pressure := r.worst(now)
	return Admission{RetryAfter: r.retryAfter(), Service: service, Pressure: pressure, Rate: r.rate}
}

// Withdraw returns an admission that was not used: the request got no slot.
func (t *Tree) Withdraw(name string, a Admission) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.routes[name]; r != nil && a.counted {
		r.tokens++
		r.admitted--
	}
}

// Ended records the processing time of a run.
func (t *Tree) Ended(name string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.routes[name]; r != nil && took > 0 {
		r.runTime += time.Duration(runTimeWeight * float64(took-r.runTime))
	}
}

// Record records what became of a child of a run of the route.
func (t *Tree) Record(name string, c Child, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.routes[name]
	if r == nil {
		if len(t.routes) >= maxRoutes {
			return
		}
		if t.routes == nil {
			t.routes = map[string]*route{}
		}
		r = &route{services: map[string]*service{}, changed: now, refilled: now, constrained: now}
		t.routes[name] = r
	}
	s := r.services[c.Service]
	if s == nil {
		if len(r.services) >= maxServices {
			return
		}
		s = &service{heard: now}
		r.services[c.Service] = s
	}
	s.record(c, now)
	r.news++
	r.control(now)
}

func (s *service) record(c Child, now time.Time) {
	pressure := c.Pressure
	if pressure == 0 {
		pressure = unknownPressure
	}
	if c.Failed {
		pressure = max(pressure, failedPressure)
	}
	s.pressure += childWeight * (pressure - s.pressure)
	s.heard = now
}

// Pressure returns the pressure at the services that runs of a route call, 0 without children.
func (t *Tree) Pressure(name string, now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.routes[name]; r != nil {
		_, pressure := r.worst(now)
		return pressure
	}
	return 0
}

// Limited returns the number of routes that have a limit at the moment.
func (t *Tree) Limited() (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.routes {
		if r.rate > 0 {
			n++
		}
	}
	return n
}
