package node

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"celerybank/internal/configlog"
	"celerybank/internal/gossip"
	"celerybank/internal/mesh"
	"celerybank/internal/proxy"
	"celerybank/internal/rollout"
	"celerybank/internal/upstream"
)

// moves is the node's part in moves of traffic to new back-end versions.
type moves struct {
	recorder *rollout.Recorder
	vetoes   *rollout.VetoSet
	judge    *rollout.Coordinator

	bar bar

	mu sync.Mutex
	// service and version are those of the host's upstream, empty without one.
	service, version string
	last             *mesh.State
}

// wireMoves returns the observer of the owner's requests.
func (n *Node) wireMoves(log configlog.Log) *rollout.Recorder {
	m := &n.moves
	m.last = n.store.State()
	m.recorder, m.vetoes = rollout.NewRecorder(), rollout.NewVetoSet()
	m.judge = rollout.New(n.members, n.store, n.pool, n.router, log, m.recorder, m.vetoes, n.events)
	n.members.SubscribeFacts(n.learnVeto)
	set := n.traffic.set
	set.NewGauge("celerybank_upstream_requests_total", func() float64 { all, _, _ := m.recorder.Totals(); return float64(all) })
	set.NewGauge("celerybank_upstream_failed_total", func() float64 { _, failed, _ := m.recorder.Totals(); return float64(failed) })
	set.NewGauge("celerybank_upstream_unanswered_total", func() float64 { _, _, silent := m.recorder.Totals(); return float64(silent) })
	set.NewGauge("celerybank_moves_running", func() float64 { return float64(n.runningMoves()) })
	return m.recorder
}

func (n *Node) runningMoves() (running int) {
	for _, m := range n.store.State().Rollouts {
		if m.Status == mesh.RolloutRunning {
			running++
		}
	}
	return running
}

func (n *Node) learnVeto(f gossip.Fact) {
	if all, _, isNew := n.moves.vetoes.Apply(f); isNew {
		n.router.SetVetoes(all)
		n.updateBar(n.store.State())
	}
}

func (n *Node) movesState(s *mesh.State) {
	n.moves.judge.ReportSteps(n.moves.last, s)
	n.moves.last = s
	n.updateBar(s)
}

func (n *Node) movesUpstream(a upstream.Announcement, present bool) {
	m := &n.moves
	m.mu.Lock()
	m.service, m.version = "", ""
	if present {
		m.service, m.version = a.Service, a.Version
		m.recorder.SetUpstream(a.Version, time.Now().Add(n.slowStart(a.Service)))
	}
	m.mu.Unlock()
	n.updateBar(n.store.State())
}

// bar is why the host's upstream gets no new work.
type bar struct{ current atomic.Pointer[proxy.Reason] }

func (b *bar) reason() proxy.Reason {
	if r := b.current.Load(); r != nil {
		return *r
	}
	return proxy.ReasonNone
}

// updateBar keeps new work from the host's upstream while its zone is out or its version
// vetoed, also when an entry node does not know that yet.
func (n *Node) updateBar(s *mesh.State) {
	m := &n.moves
	m.mu.Lock()
	defer m.mu.Unlock()
	reason := proxy.ReasonNone
	switch {
	case n.router.ZoneOrder(n.cfg.Zone).Out:
		reason = proxy.ReasonZoneOut
	case m.vetoes.Vetoed(s, m.service, m.version):
		reason = proxy.ReasonVetoed
	}
	was := m.bar.reason()
	m.bar.current.Store(&reason)
	if was == proxy.ReasonNone || reason != proxy.ReasonNone {
		return
	}
	n.gate.SetCold()
	if m.version != "" {
		m.recorder.SetUpstream(m.version, time.Now().Add(n.slowStart(m.service)))
	}
}

// MoveReport is one move as an operator sees it.
type MoveReport struct {
	mesh.Rollout
	// Vetoed says why the new version gets no traffic although the log does not say so yet.
	Vetoed string `json:"vetoed,omitempty"`
	// Held says why a running move does not step up; only the judge of the service knows.
	Held string `json:"held,omitempty"`
}

// Moves returns the moves that this node knows, in the order of their acceptance.
func (n *Node) Moves() []MoveReport {
	out := []MoveReport{}
	for _, m := range n.store.State().Rollouts {
		out = append(out, MoveReport{Rollout: m, Vetoed: n.moves.vetoes.Reason(m), Held: n.moves.judge.HoldReason(m)})
	}
	slices.SortFunc(out, func(a, b MoveReport) int { return cmp.Compare(a.Accepted, b.Accepted) })
	return out
}
