package rollout

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"celerybank/internal/configlog"
	"celerybank/internal/events"
	"celerybank/internal/gossip"
	"celerybank/internal/mesh"
)

// Timing and limits of a coordinator.
const (
	checkInterval = time.Second
	// watchInterval is the interval of checks after a rollout is completed; alarms cause further ones.
	watchInterval = 5 * time.Second
	// maxInterval is the longest interval for a service whose evidence exceeds evidenceRate.
	maxInterval = 5 * time.Second
	// evidenceRate limits the evidence that a coordinator receives on average, in bytes per second.
	evidenceRate = 8 << 10
	// alarmInterval and alarmBurst limit the rate of checks that alarms cause.
	alarmInterval = 2 * time.Second
	alarmBurst    = 4
	// maxEvidenceAge is the age from which evidence is not acted upon: after a suspension of the
	// process the coordinator collects it again.
	maxEvidenceAge = time.Second
	// watchPeriod is the time after completion in which a version can still be rolled back.
	watchPeriod = 10 * time.Minute
	// appendTimeout bounds one append.
	appendTimeout = 2 * time.Second
	// minRollbackCapacity is the ratio of the old version's slots to those of the new one that is
	// needed to roll back a completed rollout.
	minRollbackCapacity = 0.5
)

// Members is the membership and the gossip facts that spread in it.
type Members interface {
	Self() gossip.Member
	Alive() []gossip.Member
	SetFact(gossip.Fact)
}

// Store has the agreed state.
type Store interface {
	State() *mesh.State
}

// PeerClient performs RPCs to other nodes.
type PeerClient interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// Router has the zone orders in force and knows which services have upstreams.
type Router interface {
	HasUpstreams(service string) bool
	ZoneOrder(zone string) mesh.ZoneOrder
}

// Coordinator decides on the rollouts of the services that this node coordinates.
type Coordinator struct {
	addr     string
	members  Members
	store    Store
	peers    PeerClient
	router   Router
	log      configlog.Log
	recorder *Recorder
	vetoes   *VetoSet
	events   *events.Recorder
	alarms   *rate.Limiter

	mu sync.Mutex
	// changed, due and held are by the key of a rollout: when this node first saw its newest step, when
	// it is to be checked next, and why it is held.
	changed map[string]stepTime
	due     map[string]stepTime
	held    map[string]holdRecord
	// pending holds the records whose append failed, by rollout and step.
	pending map[string]configlog.Record
}

// stepTime is a time that belongs to one step of a rollout. version is the configuration version of
// the step.
type stepTime struct {
	version int64
	at      time.Time
}

// holdRecord is the reason why a rollout stays at one step. changed is the configuration version of
// the step.
type holdRecord struct {
	changed int64
	reason  string
}

// firstWord returns the first word of a hold reason. It stands for the kind of reason, except that a
// reason that begins with a count is of another kind for each count.
func firstWord(s string) string {
	word, _, _ := strings.Cut(s, " ")
	return word
}

// HoldReason returns the reason why this node, as the coordinator, holds r at its share; empty if it
// does not.
func (c *Coordinator) HoldReason(r mesh.Rollout) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.held[r.Key()]; h.changed == r.Changed && r.Status == mesh.RolloutRunning {
		return h.reason
	}
	return ""
}

// New returns a coordinator, which decides on rollouts while Run is running.
func New(members Members, store Store, peers PeerClient, router Router, log configlog.Log, recorder *Recorder, vetoes *VetoSet, ev *events.Recorder) *Coordinator {
	return &Coordinator{addr: members.Self().Addr, members: members, store: store, peers: peers, router: router, log: log, recorder: recorder, vetoes: vetoes, events: ev,
		alarms:  rate.NewLimiter(rate.Every(alarmInterval), alarmBurst),
		changed: map[string]stepTime{}, due: map[string]stepTime{}, held: map[string]holdRecord{}, pending: map[string]configlog.Record{}}
}

// Run checks the rollouts every second until ctx ends, and at once when this node's own upstream
// has consecutive failures.
func (c *Coordinator) Run(ctx context.Context) error {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			c.round(ctx, false)
		case <-c.recorder.alarm:
			if c.alarms.Allow() {
				c.round(ctx, true)
			}
		}
	}
}

// self returns this node's entry among the members that are alive. It does not call Members.Self,
// which takes the lock of the membership.
func (c *Coordinator) self() gossip.Member {
	for _, m := range c.members.Alive() {
		if m.Addr == c.addr {
			return m
		}
	}
	return gossip.Member{Addr: c.addr}
}

// round checks the rollouts that this node coordinates. On an alarm it also checks those of its own
// upstream's service: any node may veto, by the same tests.
func (c *Coordinator) round(ctx context.Context, alarm bool) {
	st, self := c.store.State(), c.self()
	for _, r := range st.Rollouts {
		watched := r.Status == mesh.RolloutCompleted && time.Since(r.Ended) < watchPeriod && st.Services[r.Service].Stable == r.To
		if r.Status != mesh.RolloutRunning && !watched {
			continue
		}
		alarmed := alarm && self.Upstream.Service == r.Service
		if coordinating := c.isCoordinator(self, r.Service); alarmed || (coordinating && c.isDue(r)) {
			c.check(ctx, st, r, coordinating)
		}
	}
}

// isCoordinator reports whether this node coordinates the rollouts of a service. It ranks the
// owners of the service, or all nodes when it has none, by rendezvous hash (Thaler and
// Ravishankar 1998). With different views of the membership two nodes may both be coordinators:
// in the log the step of the slower one is superseded.
func (c *Coordinator) isCoordinator(self gossip.Member, service string) bool {
	candidates := c.members.Alive()
	if c.router.HasUpstreams(service) {
		if self.Upstream.Service != service {
			return false
		}
		candidates = owners(candidates, service)
	}
	own := coordinatorRank(service, self.Addr)
	for _, m := range candidates {
		if m.Addr != self.Addr && coordinatorRank(service, m.Addr) > own {
			return false
		}
	}
	return true
}

// coordinatorRank returns the rendezvous hash of a node. All nodes must use the same salt.
func coordinatorRank(service, addr string) uint64 {
	return xxhash.Sum64String("judge/" + service + "/" + addr)
}

// check assesses one rollout and acts on the result. coordinating is false when this node is not
// the coordinator and only an alarm causes the check: it may veto, but record no step.
func (c *Coordinator) check(ctx context.Context, st *mesh.State, r mesh.Rollout, coordinating bool) {
	if v, ok := c.vetoes.find(r); ok {
		if coordinating {
			c.record(ctx, st, r, action{mesh.RolloutRolledBack, 0, v.Reason})
		}
		return
	}
	s := c.collect(ctx, st, r)
	c.schedule(s)
	f := assess(s.old, s.new)
	switch {
	case f.bad && (r.Status == mesh.RolloutRunning || float64(s.oldSlots) >= minRollbackCapacity*float64(s.slots)):
		c.trace(r, s, f)
		c.veto(r, "bad: "+f.text+"; "+s.summary())
	case r.Status == mesh.RolloutRunning && coordinating:
		a := s.nextAction(f)
		if a.status == "" {
			c.reportHold(r, a.reason)
			return
		}
		if time.Since(s.now) < maxEvidenceAge {
			c.trace(r, s, f)
			c.record(ctx, st, r, a)
		}
		return
	}
	if v, ok := c.vetoes.find(r); ok && coordinating {
		c.record(ctx, st, r, action{mesh.RolloutRolledBack, 0, v.Reason})
	}
}

// isDue reports whether r is to be checked now. It always is after a step for which no check is
// scheduled.
func (c *Coordinator) isDue(r mesh.Rollout) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	due := c.due[r.Key()]
	return due.version != r.Changed || !time.Now().Before(due.at)
}

// schedule sets the time of the next check of a rollout by the size of its evidence.
func (c *Coordinator) schedule(s *situation) {
	interval := time.Duration(float64(s.bytes) / evidenceRate * float64(time.Second))
	at := s.now.Add(min(interval, maxInterval) - checkInterval/2)
	if s.rollout.Status == mesh.RolloutCompleted {
		at = s.now.Add(watchInterval - checkInterval/2)
	} else if last := s.rollout.By.Add(-finishMargin); at.After(last) {
		at = last
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.due[s.rollout.Key()] = stepTime{s.rollout.Changed, at}
}

// veto sets the version's share to zero at every node by a gossip fact, without the log.
func (c *Coordinator) veto(r mesh.Rollout, reason string) {
	self := c.self()
	f, err := vetoFact(veto{r.Service, r.To, r.Accepted, reason, self.Zone + " " + self.Addr})
	if err != nil {
		return
	}
	c.events.Emit(events.VersionVetoed, events.Fields{"service": r.Service, "version": r.To, "share": r.Share, "reason": reason})
	c.members.SetFact(f)
}

// stepSeen returns when this node first saw the newest step of r.
func (c *Coordinator) stepSeen(r mesh.Rollout) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	step := c.changed[r.Key()]
	if step.version != r.Changed {
		step = stepTime{r.Changed, time.Now()}
		c.changed[r.Key()] = step
	}
	return step.at
}

// reportHold records why a rollout is held. It emits one event for each change of the kind of
// reason at a step.
func (c *Coordinator) reportHold(r mesh.Rollout, reason string) {
	c.mu.Lock()
	was := c.held[r.Key()]
	known := was.changed == r.Changed && firstWord(was.reason) == firstWord(reason)
	c.held[r.Key()] = holdRecord{r.Changed, reason}
	c.mu.Unlock()
	if !known {
		c.events.Emit(events.MoveHeld, events.Fields{"service": r.Service, "version": r.To, "share": r.Share, "reason": reason})
	}
}

// record appends a step to the log. Each step has one record: after a failed append, whose response
// may just be lost, the same record is appended again, and its ID makes the retry idempotent.
func (c *Coordinator) record(ctx context.Context, st *mesh.State, r mesh.Rollout, a action) {
	subject := mesh.RolloutSubject(r.Service, r.To)
	key := fmt.Sprintf("%s %d %s %d", r.Key(), r.Changed, a.status, a.share)
	c.mu.Lock()
	rec, ok := c.pending[key]
	c.mu.Unlock()
	if !ok {
		var err error
		body := mesh.RolloutStep{Service: r.Service, To: r.To, Accepted: r.Accepted, Status: a.status, Share: a.share, Reason: a.reason}
		rec, err = configlog.NewRecord(mesh.KindRolloutStep, subject, st.Current[subject], c.self().Name, body)
		if err != nil {
			return
		}
	}
	data, err := json.Marshal(rec)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err = c.log.Append(ctx, configlog.MeshStream, data)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, key)
	if err != nil {
		c.pending[key] = rec
	}
}

var statusEvents = map[mesh.RolloutStatus]events.Code{mesh.RolloutRunning: events.MoveStepped,
	mesh.RolloutCompleted: events.MoveDone, mesh.RolloutRolledBack: events.MoveTakenBack}

// ReportSteps emits events for the steps between two states if this node coordinates their service.
func (c *Coordinator) ReportSteps(old, next *mesh.State) {
	if old.ConfigVersion == next.ConfigVersion {
		return
	}
	for key, r := range next.Rollouts {
		if was := old.Rollouts[key]; was.Changed == r.Changed {
			continue
		}
		c.stepSeen(r)
		if r.Changed != r.Accepted && c.isCoordinator(c.self(), r.Service) {
			c.events.Emit(statusEvents[r.Status], events.Fields{"service": r.Service, "from": r.From, "to": r.To, "share": r.Share, "reason": r.Reason})
		}
	}
}
