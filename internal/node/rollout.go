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

// rollouts holds the node's roles in rollouts of new upstream versions.
type rollouts struct {
	recorder    *rollout.Recorder
	vetoes      *rollout.VetoSet
	coordinator *rollout.Coordinator

	refusal refusal

	mu sync.Mutex
	// service and version are those of the host's upstream; empty without an upstream.
	service, version string
	lastState        *mesh.State
}

// wireRollouts sets up n.rollouts and returns the observer of the owner's requests.
func (n *Node) wireRollouts(log configlog.Log) *rollout.Recorder {
	r := &n.rollouts
	r.lastState = n.store.State()
	r.recorder, r.vetoes = rollout.NewRecorder(), rollout.NewVetoSet()
	r.coordinator = rollout.New(n.members, n.store, n.pool, n.router, log, r.recorder, r.vetoes, n.events)
	n.members.SubscribeFacts(n.applyVeto)
	set := n.traffic.set
	set.NewGauge("celerybank_upstream_requests_total", func() float64 { all, _, _ := r.recorder.Totals(); return float64(all) })
	set.NewGauge("celerybank_upstream_failed_total", func() float64 { _, failed, _ := r.recorder.Totals(); return float64(failed) })
	set.NewGauge("celerybank_upstream_unanswered_total", func() float64 { _, _, unanswered := r.recorder.Totals(); return float64(unanswered) })
	set.NewGauge("celerybank_moves_running", func() float64 { return float64(n.runningRollouts()) })
	return r.recorder
}

func (n *Node) runningRollouts() (running int) {
	for _, r := range n.store.State().Rollouts {
		if r.Status == mesh.RolloutRunning {
			running++
		}
	}
	return running
}

// applyVeto applies a gossip fact; a new veto takes effect on routing and on this host's upstream at once.
func (n *Node) applyVeto(f gossip.Fact) {
	if all, _, isNew := n.rollouts.vetoes.Apply(f); isNew {
		n.router.SetVetoes(all)
		n.updateRefusal(n.store.State())
	}
}

// rolloutStateChanged reports the rollout steps between the previous state and s, and updates the refusal.
func (n *Node) rolloutStateChanged(s *mesh.State) {
	n.rollouts.coordinator.ReportSteps(n.rollouts.lastState, s)
	n.rollouts.lastState = s
	n.updateRefusal(s)
}

// rolloutUpstreamChanged records the version of this host's upstream and updates the refusal.
func (n *Node) rolloutUpstreamChanged(a upstream.Announcement, present bool) {
	r := &n.rollouts
	r.mu.Lock()
	r.service, r.version = "", ""
	if present {
		r.service, r.version = a.Service, a.Version
		r.recorder.SetUpstream(a.Version, time.Now().Add(n.slowStart(a.Service)))
	}
	r.mu.Unlock()
	n.updateRefusal(n.store.State())
}

// refusal is the reason why the host's upstream gets no new requests.
type refusal struct{ current atomic.Pointer[proxy.Reason] }

func (r *refusal) reason() proxy.Reason {
	if p := r.current.Load(); p != nil {
		return *p
	}
	return proxy.ReasonNone
}

// updateRefusal makes this node refuse requests for the host's upstream while its zone is out or its
// version is vetoed, so that entry nodes that do not know it yet cannot start new ones. When
// the refusal ends, the upstream counts as cold.
func (n *Node) updateRefusal(s *mesh.State) {
	r := &n.rollouts
	r.mu.Lock()
	defer r.mu.Unlock()
	reason := proxy.ReasonNone
	switch {
	case n.router.ZoneOrder(n.cfg.Zone).Out:
		reason = proxy.ReasonZoneOut
	case r.vetoes.Vetoed(s, r.service, r.version):
		reason = proxy.ReasonVetoed
	}
	previous := r.refusal.reason()
	r.refusal.current.Store(&reason)
	if previous == proxy.ReasonNone || reason != proxy.ReasonNone {
		return
	}
	n.gate.SetCold()
	if r.version != "" {
		r.recorder.SetUpstream(r.version, time.Now().Add(n.slowStart(r.service)))
	}
}

// RolloutReport is the state of one rollout as reported to operators.
type RolloutReport struct {
	mesh.Rollout
	// Vetoed is why the new version gets no traffic although the log has no record of that yet.
	Vetoed string `json:"vetoed,omitempty"`
	// Held is why a running rollout does not advance to its next step; only the service's coordinator knows it.
	Held string `json:"held,omitempty"`
}

// Rollouts returns the rollouts that this node knows, in the order of their acceptance.
func (n *Node) Rollouts() []RolloutReport {
	out := []RolloutReport{}
	for _, r := range n.store.State().Rollouts {
		out = append(out, RolloutReport{Rollout: r, Vetoed: n.rollouts.vetoes.Reason(r), Held: n.rollouts.coordinator.HoldReason(r)})
	}
	slices.SortFunc(out, func(a, b RolloutReport) int { return cmp.Compare(a.Accepted, b.Accepted) })
	return out
}
