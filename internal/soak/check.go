// Package soak runs the real programs as separate processes, injects faults from outside that are
// drawn from a seed, and checks the invariants of the system by what callers and upstreams observe.
package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Bounds of the invariants, as the users' platform sets them.
const (
	drainBound    = 2 * time.Second
	configBound   = 2 * time.Second
	zoneBound     = 5 * time.Second
	recoveryBound = 15 * time.Second
	// settleTime is how long a host must have been without disruption before a time bound applies to it.
	settleTime = 3 * time.Second
	// storeFaultAllowance is added to the bounds of orders while the store is disrupted.
	storeFaultAllowance = 5 * time.Second
	// coldRate is the requests per second that a cold upstream may get. It may get up to
	// coldRate*coldBurstFactor + coldSlack within any second.
	coldRate        = 15.0
	coldBurstFactor = 1.5
	coldSlack       = 5
	// A bad version may get up to badShare of the requests to its service, plus badSlack.
	badShare = 0.1
	badSlack = 50
	// minServedShare is the share of the requests that must be served after a total outage and in a
	// whole run. It is checked if there are minSample requests or more.
	minServedShare = 0.25
	minSample      = 20
	// maxLost is the number of requests on reused connections that may be lost in a run while no host is
	// disrupted.
	maxLost = 3
)

// Invariant is a property of the system that a run checks.
type Invariant string

// The invariants.
const (
	CompleteResponses Invariant = "a response is complete and belongs to its request"
	RunsOnce          Invariant = "an unsafe request runs at most once"
	TrueRefusals      Invariant = "a request that was refused has not run"
	Draining          Invariant = "a draining upstream gets no requests after the time bound"
	ZonesOut          Invariant = "a zone that is out gets no requests after the time bound"
	ColdBound         Invariant = "a cold upstream gets no more than its rate limit"
	NewestConfig      Invariant = "no request is routed by a superseded configuration after the time bound"
	PlannedStops      Invariant = "a planned stop interrupts no request"
	ReusedConnections Invariant = "requests on reused connections get a response"
	BadVersions       Invariant = "a bad version gets a small share and is rolled back"
	Serves            Invariant = "requests are served"
	Recovers          Invariant = "service recovers after a total outage"
	WithinSlots       Invariant = "an upstream gets no more requests at a time than it has slots"
)

// Violation is one violated invariant.
type Violation struct {
	Invariant Invariant
	At        time.Duration // since the start of the run
	Detail    string
}

func (v Violation) String() string {
	return fmt.Sprintf("%.3f s: %s: %s", v.At.Seconds(), v.Invariant, v.Detail)
}

// request is one attempt of a caller.
type request struct {
	host, prefix string
	safe         bool
	sent         time.Time
	runs         int
	malformed    int // runs whose response was malformed
	refused      bool
	served       bool
	keys         *keyUse
}

// disruption is the period in which one host is disrupted, or all hosts if host is empty.
type disruption struct {
	host     string
	from, to time.Time // to is zero until it has ended
}

func (d disruption) overlaps(host string, from, to time.Time) bool {
	return (d.host == "" || host == "" || d.host == host) && !d.from.After(to) && (d.to.IsZero() || !d.to.Before(from))
}

// config is one configuration of the operator.
type config struct {
	services map[string]string // by prefix
	sent     time.Time
	acked    time.Time // zero until acknowledged
}

// zoneOut is an order to take a zone out. Its times are zero until the order was acknowledged and until
// the operator takes the zone back in.
type zoneOut struct{ acked, backIn time.Time }

// coldUpstream is an upstream process that is cold until a time.
type coldUpstream struct {
	until time.Time
	runs  []time.Time // starts of requests within the last second
}

// Checker records what callers, upstreams and the operator observe, and finds violated invariants.
// It needs no network.
type Checker struct {
	mu           sync.Mutex
	start        time.Time
	requests     map[string]*request
	violations   []Violation
	unplanned    []disruption
	suspended    []disruption
	planned      []disruption
	store        []disruption
	drained      map[string]time.Time // by upstream process
	cold         map[string]*coldUpstream
	configs      []*config
	zones        map[string]*zoneOut
	badRollout   *badRollout // nil unless one runs
	lost         []string
	noSlot       int
	outagesEnded []time.Time // ends of total outages
	keys         map[string]*key
	failClosed   bool
}

// NewChecker returns a checker of a run that starts now.
func NewChecker() *Checker {
	return &Checker{start: time.Now(), requests: map[string]*request{}, drained: map[string]time.Time{}, cold: map[string]*coldUpstream{},
		zones: map[string]*zoneOut{}, keys: map[string]*key{}}
}

func (c *Checker) violated(i Invariant, at time.Time, format string, args ...any) {
	c.violations = append(c.violations, Violation{i, at.Sub(c.start), fmt.Sprintf(format, args...)})
}

// RequestSent records that a caller at host sends a request.
func (c *Checker) RequestSent(id, host, prefix string, safe bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[id] = &request{host: host, prefix: prefix, safe: safe, sent: time.Now()}
}

// Execution is a request that an upstream begins to run.
type Execution struct {
	RequestID, Instance, Host, Service, Zone, Version string
	// Workspaces are the values of the workspace's header, Keys the number of fields with a key.
	Workspaces []string
	Keys       int
}

// ExecutionStarted records that an upstream begins to run a request.
func (c *Checker) ExecutionStarted(e Execution) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	q := c.requests[e.RequestID]
	if q == nil {
		c.violated(CompleteResponses, now, "%s runs %q, which no caller sent", e.Instance, e.RequestID)
		return
	}
	q.runs++
	if !q.safe && q.runs > 1 {
		c.violated(RunsOnce, now, "%s ran %d times, the last time at %s", e.RequestID, q.runs, e.Instance)
	}
	if !q.safe && q.refused {
		c.violated(TrueRefusals, now, "%s was refused and then ran at %s", e.RequestID, e.Instance)
	}
	if at, ok := c.drained[e.Instance]; ok && now.Sub(at) > drainBound && !disrupted(c.suspended, e.Host, now.Add(-settleTime), now) {
		c.violated(Draining, now, "%s reached %s %v after the node acknowledged that it drains", e.RequestID, e.Instance, now.Sub(at).Round(time.Millisecond))
	}
	c.checkZone(e, now)
	c.checkVersion(e, now)
	c.checkConfig(q, e, now)
	c.checkKey(q, e, now)
	if u := c.cold[e.Instance]; u != nil && now.Before(u.until) {
		c.checkCold(u, e, now)
	}
}

// NoSlot records that a request reached the upstream of a host while all its slots were in use.
func (c *Checker) NoSlot(id, host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noSlot++
	now := time.Now()
	if !disrupted(c.unplanned, host, now.Add(-settleTime), now) && !disrupted(c.planned, host, now.Add(-settleTime), now) {
		c.violated(WithinSlots, now, "%s reached the upstream of %s, which had no free slot", id, host)
	}
}

func (c *Checker) checkZone(e Execution, now time.Time) {
	z := c.zones[e.Zone]
	if z == nil || z.acked.IsZero() || !z.backIn.IsZero() || disrupted(c.unplanned, e.Host, now.Add(-settleTime), now) {
		return
	}
	bound := zoneBound
	if disrupted(c.store, "", z.acked.Add(-settleTime), now) {
		bound += storeFaultAllowance
	}
	if now.Sub(z.acked) > bound {
		c.violated(ZonesOut, now, "%s reached %s in %s, which has been out for %v", e.RequestID, e.Instance, e.Zone, now.Sub(z.acked).Round(time.Millisecond))
	}
}

func (c *Checker) checkConfig(q *request, e Execution, now time.Time) {
	if disrupted(c.unplanned, q.host, q.sent.Add(-settleTime), now) {
		return
	}
	for i, x := range c.configs {
		superseded := i+1 < len(c.configs) && !c.configs[i+1].acked.IsZero()
		if superseded {
			bound := configBound
			if disrupted(c.store, "", c.configs[i+1].acked.Add(-settleTime), q.sent) {
				bound += storeFaultAllowance
			}
			superseded = q.sent.Sub(c.configs[i+1].acked) > bound
		}
		if !superseded && x.services[q.prefix] == e.Service {
			return
		}
	}
	c.violated(NewestConfig, now, "%s on %s, sent at %.3f s to %s, ran at service %s", e.RequestID, q.prefix, q.sent.Sub(c.start).Seconds(), q.host, e.Service)
}

func (c *Checker) checkCold(u *coldUpstream, e Execution, now time.Time) {
	u.runs = slices.DeleteFunc(append(u.runs, now), func(at time.Time) bool { return now.Sub(at) > time.Second })
	if allowed := coldRate*coldBurstFactor + coldSlack; float64(len(u.runs)) > allowed {
		c.violated(ColdBound, now, "%s, while cold, began %d requests within a second; the limit is %.0f", e.Instance, len(u.runs), allowed)
	}
}

// Response is the response to an attempt of a caller.
type Response struct {
	Status int
	// NotRun is true if the status guarantees that the request has not run; Intact if the response is
	// complete and belongs to the request.
	NotRun, Intact bool
}

// ResponseReceived records a response.
func (c *Checker) ResponseReceived(id string, r Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.requests[id]
	if q == nil {
		return
	}
	q.served = r.Status/100 == 2
	if r.Status == http.StatusUnauthorized {
		c.checkUnauthorized(id, q, time.Now())
	}
	if q.served && q.malformed > 0 && q.malformed == q.runs {
		c.violated(CompleteResponses, time.Now(), "%s got status %d although all responses of upstreams were malformed", id, r.Status)
	}
	if q.served && !r.Intact {
		c.violated(CompleteResponses, time.Now(), "%s got status %d with a body that differs from its upstream's response", id, r.Status)
	}
	if q.refused = r.NotRun; r.NotRun && !q.safe && q.runs > 0 {
		c.violated(TrueRefusals, time.Now(), "%s got status %d although it had run", id, r.Status)
	}
}

// MalformedWritten records that an upstream writes a malformed response to a request that it has run.
func (c *Checker) MalformedWritten(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if q := c.requests[id]; q != nil {
		q.malformed++
	}
}

// MalformedResponse records that what a caller got as the response to a request is none; err says why.
func (c *Checker) MalformedResponse(id string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violated(CompleteResponses, time.Now(), "%s got a malformed response: %v", id, err)
}

// ConnectionLost records that a connection ended without the response to a request that was sent
// completely. reused means that the connection had carried requests before.
func (c *Checker) ConnectionLost(id string, reused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, q := time.Now(), c.requests[id]
	if q == nil || q.runs == 0 || disrupted(c.unplanned, "", q.sent.Add(-settleTime), now) {
		return
	}
	switch {
	case disrupted(c.planned, q.host, q.sent.Add(-settleTime), now):
		c.violated(PlannedStops, now, "%s had reached an upstream and was interrupted by the stop of %s", id, q.host)
	case reused:
		if c.lost = append(c.lost, id); len(c.lost) == maxLost+1 {
			c.violated(ReusedConnections, now, "requests %v on reused connections got no response", c.lost)
		}
	}
}

// DrainAcknowledged records that a node acknowledged that an upstream process drains or has ended.
func (c *Checker) DrainAcknowledged(instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.drained[instance]; !ok {
		c.drained[instance] = time.Now()
	}
}

// ColdStart records that an upstream process has started and stays cold until a time.
func (c *Checker) ColdStart(instance string, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cold[instance] = &coldUpstream{until: until}
}

// ConfigSent records that the operator sends a configuration with these services by prefix. Call acked
// when the store has acknowledged it.
func (c *Checker) ConfigSent(services map[string]string) (acked func()) {
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

// ZoneOut records that the store has acknowledged an order to take a zone out.
func (c *Checker) ZoneOut(zone string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.zones[zone] = &zoneOut{acked: time.Now()}
}

// ZoneIn records that the operator is about to take a zone back in.
func (c *Checker) ZoneIn(zone string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if z := c.zones[zone]; z != nil {
		z.backIn = time.Now()
	}
}

// Disruption is a kind of disruption. It determines which bounds are relaxed meanwhile.
type Disruption uint8

// The kinds of disruptions.
const (
	// Unplanned interrupts or slows a node, its upstream or their connections.
	Unplanned Disruption = iota
	// Suspended stops the process of a node for a while without ending it.
	Suspended
	// PlannedStop is a stop of a node by SIGTERM.
	PlannedStop
	// StoreFault is a fault of the platform's store or of connections to it.
	StoreFault
	// TotalOutage is the loss of all nodes at once.
	TotalOutage
)

// Disrupt records that a disruption of a host begins, or of all hosts if host is empty. Call end at
// its end.
func (c *Checker) Disrupt(d Disruption, host string) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	lists := map[Disruption][]*[]disruption{Unplanned: {&c.unplanned}, Suspended: {&c.unplanned, &c.suspended}, PlannedStop: {&c.planned}, StoreFault: {&c.store}, TotalOutage: {&c.unplanned}}[d]
	at := make([]int, len(lists))
	for i, list := range lists {
		at[i] = len(*list)
		*list = append(*list, disruption{host: host, from: time.Now()})
	}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		for i, list := range lists {
			(*list)[at[i]].to = time.Now()
		}
		if d == TotalOutage {
			c.outagesEnded = append(c.outagesEnded, time.Now())
		}
	}
}

// disrupted reports whether a disruption of host, or of any host if it is empty, overlaps a period.
func disrupted(list []disruption, host string, from, to time.Time) bool {
	return slices.ContainsFunc(list, func(d disruption) bool { return d.overlaps(host, from, to) })
}
