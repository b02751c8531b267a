// Package canary rolls a new version of a service out by the operator's deadline, based on the
// outcomes of real requests, and rolls a faulty version back within seconds. One node, the
// coordinator, decides for a service. Its decisions spread as gossip facts, and the final outcome
// is agreed by a conditional append to the store.
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

// OutcomeStore keeps the outcomes of rollouts in the store.
type OutcomeStore interface {
	// Outcome returns the recorded outcome of a rollout and the position that Record expects.
	Outcome(ctx context.Context, r orders.Rollout) (o orders.Outcome, at orders.Position, err error)
	// Record writes an outcome. It fails if anything was written after position at, or in a later era.
	Record(ctx context.Context, r orders.Rollout, o orders.Outcome, at orders.Position) error
}

// Config has the dependencies and settings of the rollouts of a node.
type Config struct {
	Addr     string
	Members  *gossip.Members
	Peers    orders.PeerClient
	View     func() *orders.View
	Outcomes OutcomeStore
	Events   *events.Recorder
	// Running returns the number of requests in flight at the upstream of this host.
	Running func() int
	Bound   Bound
}

// FactKind is the kind of the gossip facts that carry the state of rollouts.
const FactKind = "canary"

// factTTL is the lifetime of a rollout's fact. It is long so that a version that was rolled back
// gets no traffic again.
const factTTL = 24 * time.Hour

// Sequence numbers of a rollout's facts: steps count from 1, an outcome supersedes steps, a rollback supersedes a
// completion, and the outcome in the store, which the operator has acted on, supersedes what any node has decided.
const (
	seqCompleted  = 1 << 20
	seqRolledBack = 1 << 21
	seqRecorded   = 1 << 22
)

// state is the progress of a rollout, as it spreads to all nodes.
type state struct {
	Service string `json:"s"`
	Version string `json:"v"`
	// Accepted is the offset of the order; it distinguishes rollouts of the same version.
	Accepted int64 `json:"a"`
	// Era is the era of the store in which the order was read.
	Era  int64 `json:"e,omitempty"`
	Step int   `json:"t"`
	// Share of the requests at the step.
	Share   float64        `json:"h"`
	Outcome orders.Outcome `json:"o"`
	// Recorded is set if the store holds Outcome, which is final.
	Recorded bool   `json:"k,omitempty"`
	Reason   string `json:"r,omitempty"`
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
	switch {
	case s.Recorded && s.Outcome.Final():
		return seqRecorded
	case s.Outcome == orders.Completed:
		return seqCompleted
	case s.Outcome == orders.RolledBack:
		return seqRolledBack
	default:
		return int64(s.Step) + 1
	}
}

// rollout is one order and its state at this node.
type rollout struct {
	order orders.Rollout
	// seen is when this node first saw the order.
	seen    time.Time
	state   state
	changed time.Time
	// proposed is the state with the outcome that this node would end the rollout with, once the store holds it.
	proposed state
	// isNew is set if the order arrived while this node followed the topic: nobody can have ended the rollout yet.
	isNew bool
	// recorded is the outcome last read from or written to the store; Unknown again when the store may have lost it.
	recorded orders.Outcome
	// reported is the final outcome that the store has held.
	reported orders.Outcome
	// lostAt is when the store may have lost the outcome.
	lostAt time.Time
	// republish is set if the state was known under another offset of the order, as the store lost that one.
	republish bool
	// nextTry is when the store may be called again after an error, backoff the delay after the
	// next error.
	nextTry time.Time
	backoff time.Duration
}

// Controller tracks the rollouts of all services and decides on those that this node coordinates.
type Controller struct {
	Config
	recorder recorder

	mu sync.Mutex
	// rollouts has the newest order of each service.
	rollouts map[string]*rollout
	// states has the newest state received as a fact, by its key.
	states map[string]state
	// service and version of the upstream on this host; empty without one.
	service, version string
}

// New returns a controller without rollouts, subscribed to the facts of c.Members.
func New(c Config) *Controller {
	k := &Controller{Config: c, rollouts: map[string]*rollout{}, states: map[string]state{}}
	c.Members.SubscribeFacts(k.applyFact)
	return k
}

// key returns the key of the rollout's facts. It has the version, since a restored store may assign the offset again.
func (s state) key() string {
	return s.Service + "/" + strconv.FormatInt(s.Accepted, 10) + "/" + s.Version
}

// newState returns the state of a rollout that has not begun.
func newState(order orders.Rollout) state {
	return state{Service: order.Service, Version: order.Version, Accepted: order.Accepted, Era: order.Era, Step: -1}
}

// applyFact applies a decision of another node. It must not call c.Members, whose lock is held
// while a fact is delivered.
func (c *Controller) applyFact(f gossip.Fact) {
	var s state
	if f.Kind != FactKind || json.Unmarshal(f.Body, &s) != nil || s.Step >= len(steps) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if old, ok := c.states[s.key()]; ok && old.sequence() >= s.sequence() {
		return
	}
	r := c.rollouts[s.Service]
	same := r != nil && r.order.Version == s.Version && r.order.Accepted == s.Accepted
	if same {
		s.Era = max(s.Era, r.order.Era)
	}
	c.states[s.key()] = s
	switch {
	case r == nil || r.order.Version != s.Version:
	case same:
		known := r.state
		r.state, r.changed = s, time.Now()
		if s.Recorded {
			r.recorded = s.Outcome
		}
		if known.Outcome != s.Outcome || !s.Outcome.Final() {
			c.report(s)
		}
	case s.Era < r.order.Era && r.state.Step < 0 && !r.state.Outcome.Final():
		c.inherit(r, s)
	}
}

// inherit continues a rollout from the state that it had under the offset which the store has lost.
func (c *Controller) inherit(r *rollout, s state) {
	s.Accepted, s.Era = r.order.Accepted, r.order.Era
	r.state, r.changed, r.republish = s, time.Now(), true
	c.states[s.key()] = s
	c.report(s)
}

func (c *Controller) report(s state) {
	fields := events.Fields{"service": s.Service, "version": s.Version, "order": s.Accepted, "share": s.share(), "outcome": s.Outcome.String(), "reason": s.Reason}
	if s.Outcome.Final() {
		c.Events.Emit(events.CanaryEnded, fields)
		return
	}
	c.Events.Emit(events.CanaryStep, fields)
}

// ApplyOrders replaces the rollouts by those of the operator's current orders.
func (c *Controller) ApplyOrders(old, now *orders.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for service, order := range now.Rollouts {
		c.applyOrder(service, order)
		if r := c.rollouts[service]; old.Era == order.Era && order.Accepted >= old.Next {
			r.isNew = true
		}
	}
	for service := range c.rollouts {
		if _, ok := now.Rollouts[service]; !ok {
			delete(c.rollouts, service)
		}
	}
	if orders.Restored(old, now) {
		c.forgetRecorded()
	}
}

// applyOrder applies the current order of a service. c.mu is held.
func (c *Controller) applyOrder(service string, order orders.Rollout) {
	known := c.rollouts[service]
	if known != nil && known.order.Accepted == order.Accepted && known.order.Version == order.Version {
		known.order = order
		c.confirm(known.state.key(), order.Era)
		return
	}
	r := &rollout{order: order, seen: time.Now(), changed: time.Now(), backoff: minBackoff, state: newState(order)}
	c.rollouts[service] = r
	if s, ok := c.confirm(r.state.key(), order.Era); ok {
		r.state = s
	} else if s, ok := c.stateBefore(order); ok {
		c.inherit(r, s)
	}
	if known != nil && known.order.Version == order.Version && r.republish {
		r.seen, r.reported, r.lostAt = known.seen, known.reported, time.Now()
		return // the same rollout goes on
	}
	if service == c.service {
		c.recorder.reset()
	}
}

// confirm records that the order of a state is known in an era too, so that a later order of the version is not taken for it.
func (c *Controller) confirm(key string, era int64) (s state, ok bool) {
	if s, ok = c.states[key]; ok {
		s.Era = max(s.Era, era)
		c.states[key] = s
	}
	return s, ok
}

// stateBefore returns the state that the rollout of an order had in an earlier era of the store: the store lost the order, and
// the operator wrote it again. There is none if a rollout of the version is already known in the order's own era.
func (c *Controller) stateBefore(order orders.Rollout) (found state, ok bool) {
	for _, s := range c.states {
		switch {
		case s.Service != order.Service || s.Version != order.Version:
		case s.Era >= order.Era:
			return state{}, false
		case !ok || s.Era > found.Era || s.Era == found.Era && s.Accepted > found.Accepted:
			found, ok = s, true
		}
	}
	return found, ok
}

// Outcomes that the store may have lost are read again, spread over lostSpread and lostSpreadPerRollout for each rollout, so
// that a fleet with many rollouts makes at most 100 such reads a second.
const (
	lostSpread           = 500 * time.Millisecond
	lostSpreadPerRollout = 10 * time.Millisecond
)

// forgetRecorded makes the coordinators look again which outcomes the store has. c.mu is held.
func (c *Controller) forgetRecorded() {
	spread := lostSpread + time.Duration(len(c.rollouts))*lostSpreadPerRollout
	for _, r := range c.rollouts {
		if r.recorded.Final() {
			r.reported = r.recorded
		}
		r.recorded, r.lostAt, r.nextTry = orders.Unknown, time.Now(), time.Now().Add(rand.N(spread))
	}
}

// Choose returns a filter on the versions that one request may go to; nil admits all versions.
func (c *Controller) Choose(service string) func(string) bool {
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

// Excluded reports whether a version of a service gets no requests at all: its rollout has no share
// yet or was rolled back.
func (c *Controller) Excluded(service, version string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.rollouts[service]
	return r != nil && r.order.Version == version && r.state.share() == 0
}

// SetUpstream sets the service and version of the upstream on this host. Without serves there is
// none. A change drops the counts.
func (c *Controller) SetUpstream(service, version string, serves bool) {
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

// Observe counts the outcome of one request at this host's upstream while a rollout of its
// service is running.
func (c *Controller) Observe(version, route string, failed bool, took time.Duration) {
	c.mu.Lock()
	r := c.rollouts[c.service]
	counts := r != nil && !r.state.Outcome.Final()
	c.mu.Unlock()
	if counts {
		c.recorder.observe(route, failed, took)
	}
}
