package canary

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"

	"celerybank/internal/events"
	"celerybank/internal/gossip"
	"celerybank/internal/orders"
)

// Timing of a judge.
const (
	judgeInterval = 100 * time.Millisecond
	// askTimeout bounds the collection of evidence.
	askTimeout = 300 * time.Millisecond
	asksAtOnce = 16
	// recentSpan is the window in which a fault that shows late stands out.
	recentSpan = 1200 * time.Millisecond
	// storeTimeout bounds a call to the store.
	storeTimeout = 1500 * time.Millisecond
	// firstPause and maxPause bound the wait after a call that the store refused.
	firstPause = 200 * time.Millisecond
	maxPause   = 1500 * time.Millisecond
	// deputyDelay is how long after a judge the next node in rank acts in its place: an outcome
	// that the judge cannot write has to be written by another.
	deputyDelay = 1200 * time.Millisecond
)

// Run decides on rollouts while this node is their judge.
func (c *Canaries) Run(ctx context.Context) error {
	tick := time.NewTicker(judgeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		for _, r := range c.open() {
			c.judge(ctx, r)
		}
	}
}

// open returns the rollouts that are not over or whose outcome may not be recorded.
func (c *Canaries) open() []rollout {
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

// judge does this node's part for one rollout.
func (c *Canaries) judge(ctx context.Context, r rollout) {
	rank := slices.Index(orders.Judges(r.order.Service, c.Members.Alive()), c.Addr)
	switch {
	case rank < 0:
	case r.state.Outcome.Final():
		c.settle(ctx, r, rank)
	case rank == 0 && r.recorded == orders.Unknown:
		c.record(ctx, r, orders.Running)
	case rank == 0:
		c.advance(ctx, r)
	}
}

// settle writes a final outcome; deputies do it when the judge seems to be unable to.
func (c *Canaries) settle(ctx context.Context, r rollout, rank int) {
	if rank > maxDeputies || time.Since(r.changed) < time.Duration(rank)*deputyDelay {
		return
	}
	c.record(ctx, r, r.state.Outcome)
}

// maxDeputies bounds the nodes that write in the judge's place.
const maxDeputies = 3

// record reads what the store holds of a rollout and writes o unless it is there or the
// rollout has ended already. The first final outcome in the store holds.
func (c *Canaries) record(ctx context.Context, r rollout, o orders.Outcome) {
	if time.Now().Before(r.nextTry) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	held, at, err := c.Statuses.Outcome(ctx, r.order)
	if err == nil && held != o && !held.Final() {
		if err = c.Statuses.Record(ctx, r.order, o, at); err == nil {
			held = o
			c.Events.Emit(events.CanaryRecorded, events.Fields{"service": r.order.Service, "version": r.order.Version, "outcome": o.String()})
		}
	}
	c.recorded(r, held, err)
}

// recorded notes what the store holds, or when to ask again.
func (c *Canaries) recorded(r rollout, held orders.Outcome, err error) {
	c.mu.Lock()
	now := c.rollouts[r.order.Service]
	if now == nil || now.order != r.order {
		c.mu.Unlock()
		return
	}
	if err != nil {
		now.nextTry = time.Now().Add(now.pause)
		now.pause = min(2*now.pause, maxPause)
		if r.recorded == orders.Unknown && time.Since(now.seen) > storeTimeout {
			now.recorded = orders.Running // a store that is away does not keep the move from going on
		}
		c.mu.Unlock()
		c.Events.Emit(events.SourceUnavailable, events.Fields{"reason": err.Error(), "service": r.order.Service})
		return
	}
	now.recorded, now.pause = held, firstPause
	differs := held.Final() && now.state.Outcome != held
	c.mu.Unlock()
	if differs {
		s := r.state
		s.Outcome, s.Reason = held, "the store says so"
		c.publish(s)
	}
}

// advance collects evidence and takes the next step.
func (c *Canaries) advance(ctx context.Context, r rollout) {
	e := c.collect(ctx, r.order)
	d := decide(c.Bound, e.old, e.next, r.state.Step, time.Since(r.seen), time.Since(r.changed), r.order.Duration, e.upstreams, e.oldBusy)
	s := r.state
	switch {
	case d.reason != "":
		s.Outcome, s.Reason = orders.RolledBack, d.reason
	case d.done:
		s.Outcome = orders.Completed
	case d.step != s.Step:
		s.Step, s.Share = d.step, d.share
	default:
		return
	}
	c.publish(s)
}

// publish makes a state known here and everywhere.
func (c *Canaries) publish(s state) {
	body, err := json.Marshal(s)
	if err != nil {
		c.Events.Emit(events.TaskFailed, events.Fields{"reason": err.Error()})
		return
	}
	if s.Outcome == orders.RolledBack {
		c.tellOwners(s)
	}
	c.Members.SetFact(gossip.Fact{Kind: FactKind, Key: stateKey(s.Service, s.Accepted), Seq: s.sequence(), Body: body, Expires: time.Now().Add(factLife)})
}

// tellOwners tells the owners of a version that is taken back at once: they refuse what nodes
// that have not heard yet still send.
func (c *Canaries) tellOwners(s state) {
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
			ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
			defer cancel()
			_ = c.Peers.Call(ctx, m.Addr, "Canary.Told", &Told{Body: body}, &Empty{}) // the fact spreads in any case
		}()
	}
}

// Told brings the state of a rollout to an owner.
type Told struct {
	Body []byte `msgpack:"b"`
}

// Empty is an answer without content.
type Empty struct{}

// Told takes in what a judge has decided.
func (s *Service) Told(t *Told, _ *Empty) error {
	s.c.learn(gossip.Fact{Kind: FactKind, Body: t.Body})
	return nil
}

// collection is the evidence of one moment.
type collection struct {
	old, next tally
	// upstreams counts those of the new version, oldBusy the requests at all others.
	upstreams, oldBusy int
}

// Question asks an owner for its evidence.
type Question struct {
	// Recent and All are the windows.
	Recent time.Duration `msgpack:"r"`
	All    time.Duration `msgpack:"a"`
}

// Evidence is an owner's answer.
type Evidence struct {
	Version string          `msgpack:"v"`
	Running int             `msgpack:"n"`
	Routes  []RouteEvidence `msgpack:"r"`
}

func (c *Canaries) collect(ctx context.Context, r orders.Rollout) collection {
	out := collection{old: tally{}, next: tally{}}
	ask := &Question{Recent: recentSpan, All: r.Duration}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var mu sync.Mutex
	p := pool.New().WithMaxGoroutines(asksAtOnce)
	for _, m := range c.Members.Alive() {
		if m.Upstream.Service != r.Service {
			continue
		}
		p.Go(func() {
			var e Evidence
			if m.Addr == c.Addr {
				e = c.answer(ask)
			} else if c.Peers.Call(ctx, m.Addr, "Canary.Evidence", ask, &e) != nil {
				return // the others' evidence serves; the next round asks again
			}
			mu.Lock()
			defer mu.Unlock()
			out.take(e, r.Version)
		})
	}
	p.Wait()
	return out
}

func (o *collection) take(e Evidence, target string) {
	t := o.old
	if e.Version == target {
		t = o.next
		o.upstreams++
	} else {
		o.oldBusy += e.Running
	}
	for _, r := range e.Routes {
		t.add(r)
	}
}

func (c *Canaries) answer(q *Question) Evidence {
	c.mu.Lock()
	version := c.version
	c.mu.Unlock()
	return Evidence{Version: version, Running: c.Running(), Routes: c.recorder.evidence(q.Recent, q.All)}
}

// Service answers judges.
type Service struct{ c *Canaries }

// NewService returns the rpc service over c.
func NewService(c *Canaries) *Service { return &Service{c} }

// Evidence answers what this host's upstream has shown.
func (s *Service) Evidence(q *Question, reply *Evidence) error {
	*reply = s.c.answer(q)
	return nil
}
