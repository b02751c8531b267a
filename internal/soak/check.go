// Package soak runs the real programs as separate processes, harms them from outside in ways
// drawn from a seed, and checks the system's promises by what callers and upstreams see.
package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Bounds of the promises: those of the users' platform.
const (
	drainWithin   = 2 * time.Second
	configWithin  = 2 * time.Second
	zoneWithin    = 5 * time.Second
	recoverWithin = 15 * time.Second
	// contact is how long a host must have been undisturbed for a bound in time to hold for it.
	contact = 3 * time.Second
	// skew is what a disturbed store adds to the bounds of orders.
	skew = 5 * time.Second
	// coldPerS, coldOvershoot and coldSlack bound the requests in a second at a cold upstream.
	coldPerS      = 15.0
	coldOvershoot = 1.5
	coldSlack     = 5
	// badShare and badSlack bound the requests to a bad version among those to its service.
	badShare = 0.1
	badSlack = 50
	// recoveredShare is the part of the requests that must be served after a loss, and over a whole run,
	// of leastRequests or more.
	recoveredShare = 0.25
	leastRequests  = 20
	// lostAllowed is how many requests from kept connections may be lost at undisturbed hosts.
	lostAllowed = 3
)

// Promise names what was broken.
type Promise string

// The promises that are checked.
const (
	WholeAnswers Promise = "an answer is whole and the request's own"
	RunsOnce     Promise = "an unsafe request runs at most once"
	TrueRefusals Promise = "a request that was refused has not run"
	Leaving      Promise = "a leaving upstream gets nothing past its bound"
	ZonesOut     Promise = "a zone that is out gets nothing past its bound"
	ColdBound    Promise = "a cold upstream gets no more than it bears"
	NewestConfig Promise = "no request is handled by an older configuration past its bound"
	PlannedStops Promise = "a planned stop cuts no request"
	KeptRequests Promise = "requests of kept connections are answered"
	BadVersions  Promise = "a bad version gets a small share and is taken back"
	Serves       Promise = "requests are served"
	Recovers     Promise = "service is back after a loss"
)

// Violation is one broken promise.
type Violation struct {
	Promise Promise
	At      time.Duration // since the start of the run
	What    string
}

func (v Violation) String() string {
	return fmt.Sprintf("%.3f s: %s: %s", v.At.Seconds(), v.Promise, v.What)
}

// request is one attempt of a caller.
type request struct {
	host, prefix string
	safe         bool
	sent         time.Time
	runs         int
	refused      bool
	served       bool
}

// span is a disturbance of a host, or of all when host is empty.
type span struct {
	host     string
	from, to time.Time // to is zero while it lasts
}

func (s span) touches(host string, from, to time.Time) bool {
	return (s.host == "" || host == "" || s.host == host) && !s.from.After(to) && (s.to.IsZero() || !s.to.Before(from))
}

// config is one configuration of the operator.
type config struct {
	services map[string]string // by prefix
	sent     time.Time
	acked    time.Time // zero while not acknowledged
}

// zoneOrder is a zone that is taken out.
type zoneOrder struct{ acked, back time.Time }

// cold is how an upstream process stands its first seconds.
type cold struct {
	until time.Time
	runs  []time.Time
}

// Checker takes in what callers, upstreams and the operator see, and finds broken promises.
// It needs no network.
type Checker struct {
	mu         sync.Mutex
	start      time.Time
	requests   map[string]*request
	violations []Violation
	unplanned  []span // of hosts
	frozen     []span
	planned    []span
	store      []span
	left       map[string]time.Time // by upstream process
	cold       map[string]*cold
	configs    []*config
	zones      map[string]*zoneOrder
	move       *move // of a bad version, under way
	lost       []string
	losses     []time.Time // ends of losses of all hosts
}

// NewChecker returns a checker of a run that starts now.
func NewChecker() *Checker {
	return &Checker{start: time.Now(), requests: map[string]*request{}, left: map[string]time.Time{}, cold: map[string]*cold{},
		zones: map[string]*zoneOrder{}}
}

func (c *Checker) broken(p Promise, at time.Time, format string, args ...any) {
	c.violations = append(c.violations, Violation{p, at.Sub(c.start), fmt.Sprintf(format, args...)})
}

// Sent takes in that a caller at host sends a request.
func (c *Checker) Sent(id, host, prefix string, safe bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[id] = &request{host: host, prefix: prefix, safe: safe, sent: time.Now()}
}

// Run is a request that an upstream begins to run.
type Run struct{ ID, Instance, Host, Service, Zone, Version string }

// Ran takes in that an upstream begins to run a request.
func (c *Checker) Ran(r Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	q := c.requests[r.ID]
	if q == nil {
		c.broken(WholeAnswers, now, "%s runs %q, which nobody sent", r.Instance, r.ID)
		return
	}
	q.runs++
	if !q.safe && q.runs > 1 {
		c.broken(RunsOnce, now, "%s ran %d times, now at %s", r.ID, q.runs, r.Instance)
	}
	if !q.safe && q.refused {
		c.broken(TrueRefusals, now, "%s was refused and runs at %s", r.ID, r.Instance)
	}
	if at, ok := c.left[r.Instance]; ok && now.Sub(at) > drainWithin && !touched(c.frozen, r.Host, now.Add(-contact), now) {
		c.broken(Leaving, now, "%s reached %s %v after its leaving was acknowledged", r.ID, r.Instance, now.Sub(at).Round(time.Millisecond))
	}
	c.checkZone(r, now)
	c.checkVersion(r, now)
	c.checkConfig(q, r, now)
	if k := c.cold[r.Instance]; k != nil && now.Before(k.until) {
		c.checkCold(k, r, now)
	}
}

func (c *Checker) checkZone(r Run, now time.Time) {
	z := c.zones[r.Zone]
	if z == nil || z.acked.IsZero() || !z.back.IsZero() || touched(c.unplanned, r.Host, now.Add(-contact), now) {
		return
	}
	bound := zoneWithin
	if touched(c.store, "", z.acked.Add(-contact), now) {
		bound += skew
	}
	if now.Sub(z.acked) > bound {
		c.broken(ZonesOut, now, "%s reached %s in %s, out for %v", r.ID, r.Instance, r.Zone, now.Sub(z.acked).Round(time.Millisecond))
	}
}

func (c *Checker) checkConfig(q *request, r Run, now time.Time) {
	if touched(c.unplanned, q.host, q.sent.Add(-contact), now) {
		return
	}
	for i, x := range c.configs {
		superseded := i+1 < len(c.configs) && !c.configs[i+1].acked.IsZero()
		if superseded {
			bound := configWithin
			if touched(c.store, "", c.configs[i+1].acked.Add(-contact), q.sent) {
				bound += skew
			}
			superseded = q.sent.Sub(c.configs[i+1].acked) > bound
		}
		if !superseded && x.services[q.prefix] == r.Service {
			return
		}
	}
	c.broken(NewestConfig, now, "%s on %s, sent at %.3f s to %s, ran at %s", r.ID, q.prefix, q.sent.Sub(c.start).Seconds(), q.host, r.Service)
}

func (c *Checker) checkCold(k *cold, r Run, now time.Time) {
	k.runs = slices.DeleteFunc(append(k.runs, now), func(at time.Time) bool { return now.Sub(at) > time.Second })
	if allowed := coldPerS*coldOvershoot + coldSlack; float64(len(k.runs)) > allowed {
		c.broken(ColdBound, now, "%s, cold, began %d requests within a second, bears %.0f", r.Instance, len(k.runs), allowed)
	}
}

// Reply is how an attempt ended for its caller.
type Reply struct {
	Status int
	// NotRun says that the status promises so; Own that the answer is the request's and whole.
	NotRun, Own bool
}

// Answered takes in an answer.
func (c *Checker) Answered(id string, r Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.requests[id]
	if q == nil {
		return
	}
	q.served = r.Status/100 == 2
	if q.served && !r.Own {
		c.broken(WholeAnswers, time.Now(), "%s got %d with bytes that are not its upstream's answer", id, r.Status)
	}
	if q.refused = r.NotRun; r.NotRun && !q.safe && q.runs > 0 {
		c.broken(TrueRefusals, time.Now(), "%s was answered %d and had run", id, r.Status)
	}
}

// Cut takes in that a connection ended without the answer to a request that was sent whole.
func (c *Checker) Cut(id string, kept bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, q := time.Now(), c.requests[id]
	if q == nil || q.runs == 0 || touched(c.unplanned, "", q.sent.Add(-contact), now) {
		return
	}
	switch {
	case touched(c.planned, q.host, q.sent.Add(-contact), now):
		c.broken(PlannedStops, now, "%s had been passed on and was cut by the stop of %s", id, q.host)
	case kept:
		if c.lost = append(c.lost, id); len(c.lost) == lostAllowed+1 {
			c.broken(KeptRequests, now, "requests %v of kept connections were cut", c.lost)
		}
	}
}

// Acknowledged takes in that a node has acknowledged the leaving of an upstream process.
func (c *Checker) Acknowledged(instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.left[instance]; !ok {
		c.left[instance] = time.Now()
	}
}

// Cold takes in that an upstream process has started and stays cold.
func (c *Checker) Cold(instance string, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cold[instance] = &cold{until: until}
}

// Configured takes in that the operator sends a configuration; call the result once it is acknowledged.
func (c *Checker) Configured(services map[string]string) (acked func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := &config{services: services, sent: time.Now()}
	c.configs = append(c.configs, x)
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		x.acked = time.Now()
	}
}

// ZoneOut takes in that an order to take a zone out was acknowledged; ZoneIn that it is about to be taken back.
func (c *Checker) ZoneOut(zone string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.zones[zone] = &zoneOrder{acked: time.Now()}
}

// ZoneIn takes in that the operator is about to take a zone back.
func (c *Checker) ZoneIn(zone string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if z := c.zones[zone]; z != nil {
		z.back = time.Now()
	}
}

// Disturbance is what a fault does to the hosts.
type Disturbance uint8

// Kinds of disturbances.
const (
	// Unplanned ones break the contact of a host, or of all.
	Unplanned Disturbance = iota
	// Frozen hosts stand still.
	Frozen
	// Planned is a stop by SIGTERM.
	Planned
	// Store is one of the platform's store.
	Store
	// Loss is one of all hosts at once.
	Loss
)

// Disturb takes in that a disturbance of a host begins, of all when host is empty; call the
// result at its end.
func (c *Checker) Disturb(d Disturbance, host string) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	lists := map[Disturbance][]*[]span{Unplanned: {&c.unplanned}, Frozen: {&c.unplanned, &c.frozen}, Planned: {&c.planned}, Store: {&c.store}, Loss: {&c.unplanned}}[d]
	at := make([]int, len(lists))
	for i, list := range lists {
		at[i] = len(*list)
		*list = append(*list, span{host: host, from: time.Now()})
	}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		for i, list := range lists {
			(*list)[at[i]].to = time.Now()
		}
		if d == Loss {
			c.losses = append(c.losses, time.Now())
		}
	}
}

func touched(list []span, host string, from, to time.Time) bool {
	return slices.ContainsFunc(list, func(s span) bool { return s.touches(host, from, to) })
}
