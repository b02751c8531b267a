package canary

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"celerybank/internal/gossip"
	"celerybank/internal/orders"
)

var errAway = errors.New("the store turns this node away")

// unsteadyTopic is a statusTopic that turns calls away while away is set.
type unsteadyTopic struct {
	*statusTopic
	away atomic.Bool
}

func newUnsteadyTopic() *unsteadyTopic {
	return &unsteadyTopic{statusTopic: &statusTopic{end: orders.Position{Era: 1}, stored: map[string]orders.Outcome{}}}
}

func (u *unsteadyTopic) Outcome(ctx context.Context, r orders.Rollout) (orders.Outcome, orders.Position, error) {
	if u.away.Load() {
		return orders.Unknown, orders.Position{}, errAway
	}
	return u.statusTopic.Outcome(ctx, r)
}

func (u *unsteadyTopic) Record(ctx context.Context, r orders.Rollout, o orders.Outcome, at orders.Position) error {
	if u.away.Load() {
		return errAway
	}
	return u.statusTopic.Record(ctx, r, o, at)
}

// noPeers fails each call.
type noPeers struct{}

func (noPeers) Call(context.Context, string, string, any, any) error { return errAway }

const testDuration = 16 * time.Second

var testRollout = orders.Rollout{Service: "s", Version: "v2", Duration: testDuration, Accepted: 9, Era: 1}

// startController runs a controller with a topic until stop is called. The upstream of its host has the new version.
func startController(topic OutcomeStore, addr string) (c *Controller, stop func()) {
	c = newController(nil, addr)
	c.Outcomes, c.Peers = topic, noPeers{}
	c.Members.Update(func(m *gossip.Member) {
		m.Upstream = gossip.Upstream{Service: "s", Version: "v2", Instance: "i-1", Slots: 4}
	})
	c.SetUpstream("s", "v2", true)
	ctx, stop := context.WithCancel(context.Background())
	go func() { _ = c.Run(ctx) }()
	return c, stop
}

// stateOf returns the state of the rollout of service s.
func (c *Controller) stateOf(service string) state {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rollouts[service].state
}

// A coordinator that was cut off decided without evidence to roll a version back, and its fact replaced the completion that
// the store held: the service was refused for good. Whichever comes first, the outcome in the store holds.
func TestRecordedOutcomeOutranksARollbackInGossip(t *testing.T) {
	for _, recordedFirst := range []bool{true, false} {
		for _, want := range []orders.Outcome{orders.Completed, orders.RolledBack} {
			t.Run(fmt.Sprint(want, recordedFirst), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					topic := newUnsteadyTopic()
					topic.stored["s v2"] = want
					topic.away.Store(!recordedFirst)
					c, stop := startController(topic, "10.0.0.1")
					defer stop()
					c.ApplyOrders(viewOf(0), viewOf(1, testRollout))
					time.Sleep(time.Second)
					stale := newState(testRollout)
					stale.Outcome = orders.Completed + orders.RolledBack - want
					c.Members.SetFact(stateFact(t, stale))
					topic.away.Store(false)
					time.Sleep(10 * time.Second)
					if s := c.stateOf("s"); s.Outcome != want || c.Excluded("s", "v2") != (want == orders.RolledBack) {
						t.Errorf("got outcome %v, version excluded %v, want the outcome in the store, %v", s.Outcome, c.Excluded("s", "v2"), want)
					}
				})
			})
		}
	}
}

// After a restart of all processes, a coordinator that the store turned away took a completed rollout for a new one, and
// rolled back the only version that ran.
func TestRolloutOfUnknownStateIsNotBegun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic := newUnsteadyTopic()
		topic.stored["s v2"] = orders.Completed
		topic.away.Store(true)
		c, stop := startController(topic, "10.0.0.1")
		defer stop()
		c.ApplyOrders(viewOf(0), viewOf(1, testRollout))
		for range 10 {
			time.Sleep(testDuration / 10)
			c.recorder.observe("show", true, time.Millisecond) // fails, as its child requests are refused
			if s := c.stateOf("s"); s.Step >= 0 || s.Outcome.Final() {
				t.Fatalf("got state %+v while the store turns the coordinator away, want none", s)
			}
		}
		topic.away.Store(false)
		time.Sleep(5 * time.Second)
		if s := c.stateOf("s"); s.Outcome != orders.Completed {
			t.Errorf("got state %+v after the store was read, want it completed", s)
		}
	})
}

// An order that arrives while the node follows the topic is of a new rollout, which an unavailable store does not delay.
func TestNewRolloutBeginsWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic := newUnsteadyTopic()
		topic.away.Store(true)
		c, stop := startController(topic, "10.0.0.1")
		defer stop()
		before := viewOf(1)
		before.Next = testRollout.Accepted
		c.ApplyOrders(before, viewOf(1, testRollout))
		time.Sleep(3 * storeTimeout)
		if s := c.stateOf("s"); s.Step != 0 {
			t.Errorf("got state %+v, want step 0", s)
		}
	})
}

// A coordinator that is cut off hears of no request. It rolled the version back when time ran out, and the others took that
// over once it was reached again. It leaves the outcome to those that reach the store.
func TestCutOffCoordinatorLeavesTheOutcomeToTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic := newUnsteadyTopic()
		c, stop := startController(topic, "10.0.0.1")
		defer stop()
		c.ApplyOrders(viewOf(0), viewOf(1, testRollout))
		time.Sleep(3 * time.Second)
		topic.away.Store(true)
		time.Sleep(2 * testDuration)
		if s := c.stateOf("s"); s.Outcome.Final() {
			t.Fatalf("got state %+v without the store, want no outcome", s)
		}
		topic.mu.Lock()
		topic.stored["s v2"] = orders.Completed // by another coordinator
		topic.mu.Unlock()
		topic.away.Store(false)
		time.Sleep(5 * time.Second)
		if s := c.stateOf("s"); s.Outcome != orders.Completed {
			t.Errorf("got state %+v, want the outcome in the store, %v", s, orders.Completed)
		}
	})
}

// directPeers calls the service of another controller by its address.
type directPeers map[string]*Controller

func (p directPeers) Call(_ context.Context, addr, method string, args, reply any) error {
	c := p[addr]
	switch method {
	case "Canary.Record":
		return NewService(c).Record(args.(*RecordRequest), reply.(*RecordReply))
	case "Canary.Evidence":
		return NewService(c).Evidence(args.(*EvidenceRequest), reply.(*Evidence))
	default:
		return errAway
	}
}

// The store turned only the coordinator away, which could neither learn the state of a rollout nor record its outcome until
// the others took their turns. A standby that the store serves does both for it.
func TestStandbyRecordsForACoordinatorThatTheStoreTurnsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared := newUnsteadyTopic()
		const first, second = "10.0.0.1", "10.0.0.2"
		peers := directPeers{}
		for _, addr := range []string{first, second} {
			own := &unsteadyTopic{statusTopic: shared.statusTopic}
			c, stop := startController(own, addr)
			defer stop()
			c.Peers, peers[addr] = peers, c
			c.Members.Merge([]gossip.Member{{Addr: first, Status: gossip.Alive}, {Addr: second, Status: gossip.Alive}}, nil)
		}
		time.Sleep(time.Second) // until the list of live members is current
		coordinators := orders.Coordinators("s", peers[first].Members.Alive())
		if len(coordinators) != 2 {
			t.Fatalf("got coordinators %v, want both nodes", coordinators)
		}
		coordinator := peers[coordinators[0]]
		coordinator.Outcomes.(*unsteadyTopic).away.Store(true)
		coordinator.ApplyOrders(viewOf(0), viewOf(1, testRollout))
		time.Sleep(3 * time.Second)
		if s := coordinator.stateOf("s"); s.Step != 0 {
			t.Fatalf("got state %+v, want step 0 of a rollout that the standby found to be new", s)
		}
		for range 100 {
			coordinator.recorder.observe("show", false, time.Millisecond)
		}
		time.Sleep(testDuration)
		shared.mu.Lock()
		defer shared.mu.Unlock()
		if got := shared.stored["s v2"]; got != orders.Completed || coordinator.stateOf("s").Outcome != orders.Completed {
			t.Errorf("the store holds %v, the coordinator has %+v, want both completed", got, coordinator.stateOf("s"))
		}
	})
}
