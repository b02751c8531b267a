// Package canary moves the traffic of a service to a new version by the operator's time,
// on the evidence of real answers, and takes a bad version back within seconds. One node,
// the judge, decides for a service; its decisions spread as facts, and the outcome is
// agreed by a conditional append to the platform's store.
package canary

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"celerybank/internal/events"
	"celerybank/internal/gossip"
	"celerybank/internal/orders"
)

// Statuses keeps outcomes in the platform's store.
type Statuses interface {
	// Outcome returns what is recorded of a rollout, and where Record may write next.
	Outcome(ctx context.Context, r orders.Rollout) (o orders.Outcome, at int64, err error)
	// Record writes an outcome unless something was written since at.
	Record(ctx context.Context, r orders.Rollout, o orders.Outcome, at int64) error
}

// Config has what the canaries need.
type Config struct {
	Addr     string
	Members  *gossip.Members
	Peers    orders.Caller
	View     func() *orders.View
	Statuses Statuses
	Events   *events.Recorder
	// Running counts the requests at the upstream of this host.
	Running func() int
	Bound   Bound
}

// FactKind is the kind of the facts that spread the state of rollouts.
const FactKind = "canary"

// factLife bounds how long the state of a rollout is spread: a version that was taken back stays out.
const factLife = 24 * time.Hour

// Sequence numbers of a rollout's facts: steps count from 1, an outcome outranks them, and
// a version that is taken back outranks one that has taken over.
const (
	seqCompleted  = 1 << 20
	seqRolledBack = 1 << 21
)

// state is how far a rollout is, as all nodes know it.
type state struct {
	Service string `json:"s"`
	Version string `json:"v"`
	// Accepted tells rollouts of one version apart.
	Accepted int64 `json:"a"`
	Step     int   `json:"t"`
	// Share is that of the step.
	Share   float64        `json:"h"`
	Outcome orders.Outcome `json:"o"`
	Reason  string         `json:"r,omitempty"`
}

func (s state) share() float64 {
	switch {
	case s.Outcome == orders.Completed:
		return 1
	case s.Outcome == orders.RolledBack || s.Step < 0:
		return 0
	default:
		return s.Share
	}
}

func (s state) sequence() int64 {
	switch s.Outcome {
	case orders.Completed:
		return seqCompleted
	case orders.RolledBack:
		return seqRolledBack
	default:
		return int64(s.Step) + 1
	}
}

// rollout is one order and what this node knows of it.
type rollout struct {
	order orders.Rollout
	// seen is when this node first knew of the order.
	seen    time.Time
	state   state
	changed time.Time
	// recorded is the outcome that the store is known to hold.
	recorded orders.Outcome
	// nextTry is when the store may be asked again.
	nextTry time.Time
	pause   time.Duration
}

// Canaries follows the rollouts.
type Canaries struct {
	Config
	recorder recorder

	mu sync.Mutex
	// rollouts are the newest orders by service.
	rollouts map[string]*rollout
	// states are what facts say, by service and order.
	states map[string]state
	// service and version are those of the upstream of this host, empty without one.
	service, version string
}

// New returns canaries without a rollout.
func New(c Config) *Canaries {
	k := &Canaries{Config: c, rollouts: map[string]*rollout{}, states: map[string]state{}}
	c.Members.SubscribeFacts(k.learn)
	return k
}

func stateKey(service string, accepted int64) string {
	return service + "/" + strconv.FormatInt(accepted, 10)
}

// learn takes in what another node has decided. It takes no lock of the members.
func (c *Canaries) learn(f gossip.Fact) {
	var s state
	if f.Kind != FactKind || json.Unmarshal(f.Body, &s) != nil || s.Step >= len(steps) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	key := stateKey(s.Service, s.Accepted)
	if old, ok := c.states[key]; ok && old.sequence() >= s.sequence() {
		return
	}
	c.states[key] = s
	r := c.rollouts[s.Service]
	if r == nil || r.order.Accepted != s.Accepted {
		return
	}
	r.state, r.changed = s, time.Now()
	c.report(s)
}

func (c *Canaries) report(s state) {
	fields := events.Fields{"service": s.Service, "version": s.Version, "order": s.Accepted, "share": s.share(), "outcome": s.Outcome.String(), "reason": s.Reason}
	if s.Outcome.Final() {
		c.Events.Emit(events.CanaryEnded, fields)
		return
	}
	c.Events.Emit(events.CanaryStep, fields)
}

// Ordered takes in what the operator ordered.
func (c *Canaries) Ordered(_, now *orders.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for service, order := range now.Rollouts {
		if r := c.rollouts[service]; r != nil && r.order == order {
			continue
		}
		r := &rollout{order: order, seen: time.Now(), changed: time.Now(), pause: firstPause,
			state: state{Service: service, Version: order.Version, Accepted: order.Accepted, Step: -1}}
		if s, ok := c.states[stateKey(service, order.Accepted)]; ok {
			r.state = s
		}
		c.rollouts[service] = r
		if service == c.service {
			c.recorder.reset()
		}
	}
	for service := range c.rollouts {
		if _, ok := now.Rollouts[service]; !ok {
			delete(c.rollouts, service)
		}
	}
}

// Choose returns which upstreams one request may go to by their version; nil takes all.
func (c *Canaries) Choose(service string) func(string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.rollouts[service]
	if r == nil || r.state.Outcome == orders.Completed {
		return nil
	}
	target := r.order.Version
	if share := r.state.share(); share > 0 && rand.Float64() < share {
		return func(v string) bool { return v == target }
	}
	return func(v string) bool { return v != target }
}

// Barred reports whether a version of a service gets no work at all: one that is ordered and
// has no share yet, or was taken back.
func (c *Canaries) Barred(service, version string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.rollouts[service]
	return r != nil && r.order.Version == version && r.state.share() == 0
}

// SetUpstream says which version runs on this host.
func (c *Canaries) SetUpstream(service, version string, serves bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !serves {
		service, version = "", ""
	}
	if service != c.service || version != c.version {
		c.recorder.reset()
	}
	c.service, c.version = service, version
}

// Observe counts the outcome of one request at this host's upstream.
func (c *Canaries) Observe(version, route string, failed bool, took time.Duration) {
	c.mu.Lock()
	r := c.rollouts[c.service]
	counts := r != nil && !r.state.Outcome.Final()
	c.mu.Unlock()
	if counts {
		c.recorder.observe(route, failed, took)
	}
}
