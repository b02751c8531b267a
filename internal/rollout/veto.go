package rollout

import (
	"encoding/json"
	"fmt"
	"maps"
	"sync"
	"time"

	"celerybank/internal/gossip"
	"celerybank/internal/mesh"
	"celerybank/internal/routing"
)

// FactVeto is the kind of the gossip facts that veto the version of one rollout: it gets no more
// traffic. A veto is never withdrawn, but does not apply to a later rollout of the same version.
const FactVeto = "veto"

// vetoTTL is the lifetime of a veto: longer than any outage of the log.
const vetoTTL = 7 * 24 * time.Hour

// veto is the body of the fact.
type veto struct {
	Service  string `json:"service"`
	Version  string `json:"version"`
	Accepted int64  `json:"accepted"`
	Reason   string `json:"reason"`
	// By is the zone and address of the node that issued the veto.
	By string `json:"by"`
}

func (v veto) key() routing.Veto {
	return routing.Veto{Service: v.Service, Version: v.Version, Accepted: v.Accepted}
}

func vetoFact(v veto) (gossip.Fact, error) {
	body, err := json.Marshal(v)
	return gossip.Fact{Kind: FactVeto, Key: fmt.Sprintf("%s/%s/%d", v.Service, v.Version, v.Accepted),
		Seq: 1, Body: body, Expires: time.Now().Add(vetoTTL)}, err
}

// VetoSet is the grow-only set of the vetoes known to this node.
type VetoSet struct {
	mu  sync.Mutex
	all map[routing.Veto]veto
}

// NewVetoSet returns an empty set.
func NewVetoSet() *VetoSet { return &VetoSet{all: map[routing.Veto]veto{}} }

// Apply applies a fact. If it is a new veto, it returns the whole set for the router and the reason
// of the new one.
func (v *VetoSet) Apply(f gossip.Fact) (all map[routing.Veto]bool, reason string, isNew bool) {
	var body veto
	if f.Kind != FactVeto || json.Unmarshal(f.Body, &body) != nil {
		return nil, "", false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, ok := v.all[body.key()]; ok {
		return nil, "", false
	}
	v.all = maps.Clone(v.all)
	v.all[body.key()] = body
	all = make(map[routing.Veto]bool, len(v.all))
	for k := range v.all {
		all[k] = true
	}
	return all, body.Reason, true
}

// find returns the veto on a rollout.
func (v *VetoSet) find(r mesh.Rollout) (veto, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	found, ok := v.all[routing.Veto{Service: r.Service, Version: r.To, Accepted: r.Accepted}]
	return found, ok
}

// Vetoed reports whether the newest rollout of version of service is vetoed.
func (v *VetoSet) Vetoed(st *mesh.State, service, version string) bool {
	r, ok := st.Rollouts[service+"/"+version]
	if !ok {
		return false
	}
	_, vetoed := v.find(r)
	return vetoed
}

// Reason returns why the rollout r is vetoed; empty when it is not.
func (v *VetoSet) Reason(r mesh.Rollout) string {
	found, _ := v.find(r)
	return found.Reason
}
