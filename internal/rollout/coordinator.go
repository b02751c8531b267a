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

// Timing of a judge.
const (
	judgeInterval = time.Second
	// watchInterval is the pace after a move was done; alarms come besides.
	watchInterval = 5 * time.Second
	// maxInterval bounds the pace of a service whose evidence exceeds evidenceRate.
	maxInterval = 5 * time.Second
	// evidenceRate is the bytes a second that a judge receives on average.
	evidenceRate = 8 << 10
	// alarmInterval is the time between judgements that alarms cause, after alarmBurst at once.
	alarmInterval = 2 * time.Second
	alarmBurst    = 4
	// staleAfter evidence is not acted upon: a judge that was paused looks again.
	staleAfter = time.Second
	// watchTime after a move was done its version can still be taken back.
	watchTime = 10 * time.Minute
	// appendTimeout bounds one append.
	appendTimeout = 2 * time.Second
	// standingPart of the new version's slots must stand in the old one for a move that is done to be taken back.
	standingPart = 0.5
)

// Members is the list of nodes and the facts that spread among them.
type Members interface {
	Self() gossip.Member
	Alive() []gossip.Member
	SetFact(gossip.Fact)
}

// Store holds the agreed state.
type Store interface {
	State() *mesh.State
}

// Caller performs calls to peers.
type Caller interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// Router says which zones are out and which services have upstreams.
type Router interface {
	HasUpstreams(service string) bool
	ZoneOrder(zone string) mesh.ZoneOrder
}

// Judge judges the moves of the services that fall to this node.
type Judge struct {
	addr     string
	members  Members
	store    Store
	peers    Caller
	router   Router
	log      configlog.Log
	recorder *Recorder
	vetoes   *Vetoes
	events   *events.Recorder
	alarms   *rate.Limiter

	mu      sync.Mutex
	changed map[string]change
	due     map[string]change
	held    map[string]heldMove
	pending map[string]configlog.Record
}

// change is a time that belongs to the newest step of a move.
type change struct {
	version int64
	at      time.Time
}

// heldMove is why a move stays at its share.
type heldMove struct {
	changed int64
	reason  string
}

func firstWord(s string) string {
	word, _, _ := strings.Cut(s, " ")
	return word
}

// Held returns why this node, if it judges m, does not step it up now.
func (j *Judge) Held(m mesh.Move) string {
	j.mu.Lock()
	defer j.mu.Unlock()
	if h := j.held[m.Key()]; h.changed == m.Changed && m.Status == mesh.MoveRunning {
		return h.reason
	}
	return ""
}

// New returns a judge; Run makes it work.
func New(members Members, store Store, peers Caller, router Router, log configlog.Log, recorder *Recorder, vetoes *Vetoes, ev *events.Recorder) *Judge {
	return &Judge{addr: members.Self().Addr, members: members, store: store, peers: peers, router: router, log: log, recorder: recorder, vetoes: vetoes, events: ev,
		alarms:  rate.NewLimiter(rate.Every(alarmInterval), alarmBurst),
		changed: map[string]change{}, due: map[string]change{}, held: map[string]heldMove{}, pending: map[string]configlog.Record{}}
}

// Run judges each second, and at once when this node's own upstream fails in a row.
func (j *Judge) Run(ctx context.Context) error {
	tick := time.NewTicker(judgeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			j.round(ctx, false)
		case <-j.recorder.alarm:
			if j.alarms.Allow() {
				j.round(ctx, true)
			}
		}
	}
}

// self returns this node's entry among the living members, without their lock.
func (j *Judge) self() gossip.Member {
	for _, m := range j.members.Alive() {
		if m.Addr == j.addr {
			return m
		}
	}
	return gossip.Member{Addr: j.addr}
}

// round judges every move that falls to this node. An alarm adds the moves of its
// own upstream's service: any node may veto, by the same test.
func (j *Judge) round(ctx context.Context, alarm bool) {
	st, self := j.store.State(), j.self()
	for _, m := range st.Moves {
		watched := m.Status == mesh.MoveDone && time.Since(m.Ended) < watchTime && st.Services[m.Service].Stable == m.To
		if m.Status != mesh.MoveRunning && !watched {
			continue
		}
		raised := alarm && self.Upstream.Service == m.Service
		if mine := j.isJudge(self, m.Service); raised || (mine && j.isDue(m)) {
			j.judge(ctx, st, m, mine)
		}
	}
}

// isJudge ranks the owners of a service, or all nodes when it has none, by rendezvous
// hash (Thaler and Ravishankar 1998). Two nodes may both think they judge: a step
// of the slower one is superseded in the log.
func (j *Judge) isJudge(self gossip.Member, service string) bool {
	candidates := j.members.Alive()
	if j.router.HasUpstreams(service) {
		if self.Upstream.Service != service {
			return false
		}
		candidates = owners(candidates, service)
	}
	mine := judgeRank(service, self.Addr)
	for _, m := range candidates {
		if m.Addr != self.Addr && judgeRank(service, m.Addr) > mine {
			return false
		}
	}
	return true
}

func judgeRank(service, addr string) uint64 {
	return xxhash.Sum64String("judge/" + service + "/" + addr)
}

// judge acts on one move; mine is false when only an alarm made this node look.
func (j *Judge) judge(ctx context.Context, st *mesh.State, m mesh.Move, mine bool) {
	if v, ok := j.vetoes.of(m); ok {
		if mine {
			j.record(ctx, st, m, action{mesh.MoveTakenBack, 0, v.Reason})
		}
		return
	}
	s := j.collect(ctx, st, m)
	j.pace(s)
	f := assess(s.old, s.new)
	switch {
	case f.bad && (m.Status == mesh.MoveRunning || float64(s.oldSlots) >= standingPart*float64(s.slots)):
		j.trace(m, s, f)
		j.veto(m, "bad: "+f.text+"; "+s.figures())
	case m.Status == mesh.MoveRunning && mine:
		a := s.next(f)
		if a.status == "" {
			j.note(m, a.reason)
			return
		}
		if time.Since(s.now) < staleAfter {
			j.trace(m, s, f)
			j.record(ctx, st, m, a)
		}
		return
	}
	if v, ok := j.vetoes.of(m); ok && mine {
		j.record(ctx, st, m, action{mesh.MoveTakenBack, 0, v.Reason})
	}
}

// isDue reports whether it is time to look at m again; a step that this node has not seen always is.
func (j *Judge) isDue(m mesh.Move) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	due := j.due[m.Key()]
	return due.version != m.Changed || !time.Now().Before(due.at)
}

// pace sets when s's move is looked at next, by the size of its evidence.
func (j *Judge) pace(s *situation) {
	wait := time.Duration(float64(s.bytes) / evidenceRate * float64(time.Second))
	at := s.now.Add(min(wait, maxInterval) - judgeInterval/2)
	if s.move.Status == mesh.MoveDone {
		at = s.now.Add(watchInterval - judgeInterval/2)
	} else if last := s.move.By.Add(-finishMargin); at.After(last) {
		at = last
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.due[s.move.Key()] = change{s.move.Changed, at}
}

// veto takes the version's share to zero at every node without the log.
func (j *Judge) veto(m mesh.Move, reason string) {
	self := j.self()
	f, err := vetoFact(veto{m.Service, m.To, m.Accepted, reason, self.Zone + " " + self.Addr})
	if err != nil {
		return
	}
	j.events.Emit(events.VersionVetoed, events.Fields{"service": m.Service, "version": m.To, "share": m.Share, "reason": reason})
	j.members.SetFact(f)
}

// sinceChange returns when this node first saw the newest step of m.
func (j *Judge) sinceChange(m mesh.Move) time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	c := j.changed[m.Key()]
	if c.version != m.Changed {
		c = change{m.Changed, time.Now()}
		j.changed[m.Key()] = c
	}
	return c.at
}

// note tells why a move is held, once for each kind of reason at one step.
func (j *Judge) note(m mesh.Move, reason string) {
	j.mu.Lock()
	was := j.held[m.Key()]
	known := was.changed == m.Changed && firstWord(was.reason) == firstWord(reason)
	j.held[m.Key()] = heldMove{m.Changed, reason}
	j.mu.Unlock()
	if !known {
		j.events.Emit(events.MoveHeld, events.Fields{"service": m.Service, "version": m.To, "share": m.Share, "reason": reason})
	}
}

// record appends a step. One step has one record: when the answer of an append is
// lost the same record is appended again, and its id makes the repeat harmless.
func (j *Judge) record(ctx context.Context, st *mesh.State, m mesh.Move, a action) {
	subject := mesh.MoveSubject(m.Service, m.To)
	key := fmt.Sprintf("%s %d %s %d", m.Key(), m.Changed, a.status, a.share)
	j.mu.Lock()
	rec, ok := j.pending[key]
	j.mu.Unlock()
	if !ok {
		var err error
		body := mesh.MoveStep{Service: m.Service, To: m.To, Accepted: m.Accepted, Status: a.status, Share: a.share, Reason: a.reason}
		rec, err = configlog.NewRecord(mesh.KindMoveStep, subject, st.Current[subject], j.self().Name, body)
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
	_, err = j.log.Append(ctx, configlog.MeshStream, data)
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.pending, key)
	if err != nil {
		j.pending[key] = rec
	}
}

var moveEvents = map[mesh.MoveStatus]events.Code{mesh.MoveRunning: events.MoveStepped,
	mesh.MoveDone: events.MoveDone, mesh.MoveTakenBack: events.MoveTakenBack}

// Changed reports the steps between two states, on the node that judges their service.
func (j *Judge) Changed(old, next *mesh.State) {
	if old.ConfigVersion == next.ConfigVersion {
		return
	}
	for key, m := range next.Moves {
		if was := old.Moves[key]; was.Changed == m.Changed {
			continue
		}
		j.sinceChange(m)
		if m.Changed != m.Accepted && j.isJudge(j.self(), m.Service) {
			j.events.Emit(moveEvents[m.Status], events.Fields{"service": m.Service, "from": m.From, "to": m.To, "share": m.Share, "reason": m.Reason})
		}
	}
}
