package canary

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"celerybank/internal/events"
	"celerybank/internal/gossip"
	"celerybank/internal/orders"
)

// Timing and limits of a coordinator.
const (
	decideInterval = 100 * time.Millisecond
	// peerTimeout bounds the collection of evidence, and the notification of an owner.
	peerTimeout        = 300 * time.Millisecond
	maxConcurrentCalls = 16
	// recentSpan is the recent window of evidence: short enough that a fault that appears late is
	// not diluted by the earlier requests.
	recentSpan = 1200 * time.Millisecond
	// storeTimeout bounds a call to the store.
	storeTimeout = 1500 * time.Millisecond
	// minBackoff and maxBackoff bound the delay after a failed call to the store.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 1500 * time.Millisecond
	// standbyDelay is how much longer each further node in rank waits before it records a final outcome:
	// if the coordinator cannot reach the store, another node has to write it.
	standbyDelay = 1200 * time.Millisecond
)

// Run decides on the rollouts that this node coordinates, and records their outcomes, until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	var loops conc.WaitGroup
	defer loops.Wait()
	// A slow store must not hold up the decisions: a faulty version is rolled back without it.
	loops.Go(func() { c.each(ctx, c.decide) })
	loops.Go(func() { c.each(ctx, c.recordNext) })
	return nil
}

// each calls f every decideInterval with each rollout whose final outcome is not known to be in the store, and with this
// node's rank among its coordinators.
func (c *Controller) each(ctx context.Context, f func(ctx context.Context, r rollout, rank int)) {
	tick := time.NewTicker(decideInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, r := range c.unrecorded() {
			if rank := slices.Index(orders.Coordinators(r.order.Service, c.Members.Alive()), c.Addr); rank >= 0 {
				f(ctx, r, rank)
			}
		}
	}
}

// unrecorded returns the rollouts whose final outcome is not known to be in the store.
func (c *Controller) unrecorded() []rollout {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []rollout
	for _, r := range c.rollouts {
		if !r.recorded.Final() {
			out = append(out, *r)
		}
	}
	return out
}

// decide performs the next step of a rollout whose state is known. It goes on while the store may have lost the record.
func (c *Controller) decide(ctx context.Context, r rollout, rank int) {
	if rank == 0 && !r.state.Outcome.Final() && (r.recorded != orders.Unknown || !r.lostAt.IsZero()) {
		c.advance(ctx, r)
	}
}

// recordNext performs the next call to the store for a rollout.
func (c *Controller) recordNext(ctx context.Context, r rollout, rank int) {
	if rank <= maxStandbys && r.republish {
		c.republish(r)
	}
	switch {
	case r.state.Outcome.Final():
		c.recordFinal(ctx, r, rank)
	case rank == 0 && r.proposed.Outcome.Final():
		r.state = r.proposed
		c.record(ctx, r, r.proposed.Outcome)
	case rank == 0 && r.recorded == orders.Unknown:
		c.record(ctx, r, orders.Running)
	}
}

// republish spreads the state of a rollout under the new offset of its order.
func (c *Controller) republish(r rollout) {
	c.mu.Lock()
	if current := c.rollouts[r.order.Service]; current != nil && current.order == r.order {
		current.republish = false
	}
	c.mu.Unlock()
	c.publish(r.state)
}

// recordFinal records a final outcome; standby nodes do so after a delay, in case the coordinator cannot.
func (c *Controller) recordFinal(ctx context.Context, r rollout, rank int) {
	since := r.changed
	if r.lostAt.After(since) {
		since = r.lostAt
	}
	if rank > maxStandbys || time.Since(since) < time.Duration(rank)*standbyDelay {
		return
	}
	c.record(ctx, r, r.state.Outcome)
}

// maxStandbys is the number of nodes that may record an outcome in the coordinator's place.
const maxStandbys = 3

// record writes o to the store unless it is there already or a final outcome is. The first final
// outcome in the store wins; one that was reported before the store lost it is written again. A node that the store turns
// away asks a standby to do it.
func (c *Controller) record(ctx context.Context, r rollout, o orders.Outcome) {
	if time.Now().Before(r.nextTry) {
		return
	}
	if r.reported.Final() {
		o = r.reported
	}
	stored, err := c.write(ctx, r.order, o, r.reported.Final())
	if err != nil {
		if relayed, relayErr := c.writeThroughStandby(ctx, r.order, o); relayErr == nil {
			stored, err = relayed, nil
		}
	}
	c.applyRecorded(r, stored, err)
}

// write reads the outcome in the store and replaces it by o if it is not final, or if replace is set. It returns the outcome
// that the store then holds.
func (c *Controller) write(ctx context.Context, order orders.Rollout, o orders.Outcome, replace bool) (stored orders.Outcome, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	stored, at, err := c.Outcomes.Outcome(ctx, order)
	if err != nil || stored == o || stored.Final() && !replace {
		return stored, err
	}
	if err = c.Outcomes.Record(ctx, order, o, at); err != nil {
		return stored, err
	}
	c.Events.Emit(events.CanaryRecorded, events.Fields{"service": order.Service, "version": order.Version, "outcome": o.String()})
	return o, nil
}

// RecordRequest asks a standby to write an outcome to the store unless a final one is there.
type RecordRequest struct {
	Service  string         `msgpack:"s"`
	Version  string         `msgpack:"v"`
	Accepted int64          `msgpack:"a"`
	Era      int64          `msgpack:"e"`
	Outcome  orders.Outcome `msgpack:"o"`
}

// RecordReply has the outcome that the store holds.
type RecordReply struct {
	Stored orders.Outcome `msgpack:"o"`
}

// writeThroughStandby asks one of the standbys to write an outcome, at random: the store may turn some of them away too.
func (c *Controller) writeThroughStandby(ctx context.Context, order orders.Rollout, o orders.Outcome) (orders.Outcome, error) {
	standbys := orders.Coordinators(order.Service, c.Members.Alive())
	standbys = slices.DeleteFunc(standbys[:min(len(standbys), maxStandbys+1)], func(addr string) bool { return addr == c.Addr })
	if len(standbys) == 0 {
		return orders.Unknown, errNoStandby
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout+peerTimeout)
	defer cancel()
	var reply RecordReply
	err := c.Peers.Call(ctx, standbys[rand.IntN(len(standbys))], "Canary.Record",
		&RecordRequest{Service: order.Service, Version: order.Version, Accepted: order.Accepted, Era: order.Era, Outcome: o}, &reply)
	return reply.Stored, err
}

var errNoStandby = errors.New("no other node may record the outcome")

// Record writes an outcome for a coordinator that the store turns away. The method name is part of the protocol.
func (s *Service) Record(q *RecordRequest, reply *RecordReply) (err error) {
	if q.Outcome != orders.Running && !q.Outcome.Final() {
		return errors.Errorf("outcome %d cannot be recorded", q.Outcome)
	}
	order := orders.Rollout{Service: q.Service, Version: q.Version, Accepted: q.Accepted, Era: q.Era}
	reply.Stored, err = s.c.write(context.Background(), order, q.Outcome, false)
	return err
}

// applyRecorded handles the result of record: the outcome in the store, or an error, after which the
// store is called again with exponential backoff. A final outcome in the store replaces the state of all nodes.
func (c *Controller) applyRecorded(r rollout, stored orders.Outcome, err error) {
	c.mu.Lock()
	current := c.rollouts[r.order.Service]
	if current == nil || current.order != r.order {
		c.mu.Unlock()
		return
	}
	if err != nil {
		current.nextTry = time.Now().Add(current.backoff)
		current.backoff = min(2*current.backoff, maxBackoff)
		if r.recorded == orders.Unknown && (current.isNew || current.state.Step >= 0) && time.Since(current.seen) > storeTimeout {
			current.recorded = orders.Running // an unavailable store does not block a rollout that is known to run
		}
		c.mu.Unlock()
		c.Events.Emit(events.SourceUnavailable, events.Fields{"reason": err.Error(), "service": r.order.Service})
		return
	}
	current.recorded, current.backoff = stored, minBackoff
	spread := stored.Final() && !(current.state.Recorded && current.state.Outcome == stored)
	c.mu.Unlock()
	if !spread {
		return
	}
	s := r.state
	if s.Outcome != stored {
		s.Outcome, s.Reason = stored, "the store holds this outcome"
	}
	s.Recorded = true
	c.publish(s)
}

// advance collects evidence, decides on the next action and publishes it. An outcome for another reason than a fault of the
// version is proposed only: a node that is cut off lacks the evidence, and the store too.
func (c *Controller) advance(ctx context.Context, r rollout) {
	e := c.collect(ctx, r.order)
	d := decide(c.Bound, e.old, e.next, r.state.Step, time.Since(r.seen), time.Since(r.changed), r.order.Duration, e.upstreams, e.oldInFlight)
	s, proposed := r.state, state{}
	switch {
	case d.fault:
		s.Outcome, s.Reason = orders.RolledBack, d.reason
	case d.reason != "":
		proposed = s
		proposed.Outcome, proposed.Reason = orders.RolledBack, d.reason
	case d.done:
		proposed = s
		proposed.Outcome = orders.Completed
	case d.step != s.Step:
		s.Step, s.Share = d.step, d.share
	}
	c.propose(r.order, proposed)
	if s != r.state {
		c.publish(s)
	}
}

// propose sets the state with the outcome that is to be recorded; the zero state withdraws it.
func (c *Controller) propose(order orders.Rollout, s state) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if current := c.rollouts[order.Service]; current != nil && current.order == order {
		current.proposed = s
	}
}

// publish applies a state and spreads it to all nodes as a fact.
func (c *Controller) publish(s state) {
	body, err := json.Marshal(s)
	if err != nil {
		c.Events.Emit(events.TaskFailed, events.Fields{"reason": err.Error()})
		return
	}
	if s.Outcome == orders.RolledBack {
		c.notifyOwners(s)
	}
	c.Members.SetFact(gossip.Fact{Kind: FactKind, Key: s.key(), Seq: s.sequence(), Body: body, Expires: time.Now().Add(factTTL)})
}

// notifyOwners sends a rollback directly to the owners of the version: they refuse the requests
// that entry nodes still send before the fact reaches them.
func (c *Controller) notifyOwners(s state) {
	body, err := json.Marshal(s)
	if err != nil {
		c.Events.Emit(events.TaskFailed, events.Fields{"reason": err.Error()})
		return
	}
	for _, m := range c.Members.Alive() {
		if m.Upstream.Service != s.Service || m.Upstream.Version != s.Version || m.Addr == c.Addr {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
			defer cancel()
			_ = c.Peers.Call(ctx, m.Addr, "Canary.Told", &StateUpdate{Body: body}, &Empty{}) // best effort: gossip spreads the fact in any case
		}()
	}
}

// StateUpdate carries the state of a rollout to an owner.
type StateUpdate struct {
	Body []byte `msgpack:"b"`
}

// Empty is an empty reply.
type Empty struct{}

// Told applies a rollback that a coordinator sends to the owners of the version. The method name
// is part of the protocol.
func (s *Service) Told(u *StateUpdate, _ *Empty) error {
	s.c.applyFact(gossip.Fact{Kind: FactKind, Body: u.Body})
	return nil
}

// collection is the evidence of both versions, collected at one time.
type collection struct {
	old, next tally
	// upstreams counts those of the new version, oldInFlight the requests in flight at all others.
	upstreams, oldInFlight int
}

// EvidenceRequest asks an owner for its evidence.
type EvidenceRequest struct {
	// Recent and All are the windows to sum, ending now.
	Recent time.Duration `msgpack:"r"`
	All    time.Duration `msgpack:"a"`
}

// Evidence is an owner's reply: the version of its upstream, the requests in flight there and the
// counts of its routes.
type Evidence struct {
	Version string          `msgpack:"v"`
	Running int             `msgpack:"n"`
	Routes  []RouteEvidence `msgpack:"r"`
}

func (c *Controller) collect(ctx context.Context, r orders.Rollout) collection {
	out := collection{old: tally{}, next: tally{}}
	request := &EvidenceRequest{Recent: recentSpan, All: r.Duration}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var mu sync.Mutex
	p := pool.New().WithMaxGoroutines(maxConcurrentCalls)
	for _, m := range c.Members.Alive() {
		if m.Upstream.Service != r.Service {
			continue
		}
		p.Go(func() {
			var e Evidence
			if m.Addr == c.Addr {
				e = c.localEvidence(request)
			} else if c.Peers.Call(ctx, m.Addr, "Canary.Evidence", request, &e) != nil {
				return // decide on the evidence of the other owners; the next round asks this one again
			}
			mu.Lock()
			defer mu.Unlock()
			out.addOwner(e, r.Version)
		})
	}
	p.Wait()
	return out
}

func (o *collection) addOwner(e Evidence, target string) {
	t := o.old
	if e.Version == target {
		t = o.next
		o.upstreams++
	} else {
		o.oldInFlight += e.Running
	}
	for _, r := range e.Routes {
		t.add(r)
	}
}

func (c *Controller) localEvidence(q *EvidenceRequest) Evidence {
	c.mu.Lock()
	version := c.version
	c.mu.Unlock()
	return Evidence{Version: version, Running: c.Running(), Routes: c.recorder.evidence(q.Recent, q.All)}
}

// Service serves the RPCs of coordinators.
type Service struct{ c *Controller }

// NewService returns the RPC service of c.
func NewService(c *Controller) *Service { return &Service{c} }

// Evidence returns the evidence of this host's upstream.
func (s *Service) Evidence(q *EvidenceRequest, reply *Evidence) error {
	*reply = s.c.localEvidence(q)
	return nil
}
