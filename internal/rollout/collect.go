package rollout

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"

	"celerybank/internal/gossip"
	"celerybank/internal/mesh"
)

// Limits of one collection of evidence.
const (
	collectTimeout     = 400 * time.Millisecond
	maxConcurrentCalls = 32
	// stepSettle is cut off the start of a step's window to exclude requests from before the step:
	// one interval of the ring, plus 500 ms in which the step reaches all nodes.
	stepSettle = fineInterval + 500*time.Millisecond
)

// owners returns the members whose upstream is of the service.
func owners(members []gossip.Member, service string) []gossip.Member {
	var out []gossip.Member
	for _, m := range members {
		if m.Upstream.Service == service {
			out = append(out, m)
		}
	}
	return out
}

// collect requests the counts of a rollout from the owners of its service.
func (c *Coordinator) collect(ctx context.Context, st *mesh.State, r mesh.Rollout) *situation {
	members := c.members.Alive()
	s := &situation{rollout: r, now: time.Now(), changed: c.stepSeen(r), old: tally{}, new: tally{}}
	queried := owners(members, r.Service)
	s.inspect(st, members, queried, c.router.ZoneOrder)
	spans := make([]time.Duration, windows)
	spans[windowStep] = max(0, s.now.Sub(s.changed)-stepSettle)
	spans[windowRecent] = min(recentSpan, spans[windowStep])
	spans[windowRollout], spans[windowHistory] = s.now.Sub(r.Start), historySpan
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	var mu sync.Mutex
	p := pool.New().WithMaxGoroutines(maxConcurrentCalls)
	for _, owner := range queried {
		p.Go(func() {
			e, err := c.requestEvidence(ctx, owner.Addr, EvidenceRequest{r.Service, s.now.UnixMilli(), spans})
			mu.Lock()
			defer mu.Unlock()
			s.addEvidence(owner, e, err)
		})
	}
	p.Wait()
	return s
}

func (c *Coordinator) requestEvidence(ctx context.Context, addr string, a EvidenceRequest) (Evidence, error) {
	if addr == c.addr {
		return c.recorder.Evidence(a), nil
	}
	var reply Evidence
	if err := c.peers.Call(ctx, addr, "Rollout.Evidence", &a, &reply); err != nil {
		return Evidence{}, err // a late response may still be written to reply
	}
	return reply, nil
}

// addEvidence adds the response of one owner. An error makes the evidence partial.
func (s *situation) addEvidence(owner gossip.Member, e Evidence, err error) {
	if err != nil {
		s.partial = fmt.Sprintf("no evidence from %s: %v", owner.Name, err)
		return
	}
	s.bytes += e.size()
	for _, r := range e.Routes {
		switch e.Version {
		case s.rollout.From:
			s.old.add(r)
		case s.rollout.To:
			s.new.add(r)
		}
	}
}

// inspect counts the upstreams of the new version, finds a zone that lacks one, and marks the
// evidence as partial when half of the zones or more are not visible, as in a network partition.
func (s *situation) inspect(st *mesh.State, members, owners []gossip.Member, order func(string) mesh.ZoneOrder) {
	oldZones, newZones := map[string]bool{}, map[string]bool{}
	for _, m := range owners {
		if order(m.Zone).Out || m.Draining {
			continue
		}
		switch m.Upstream.Version {
		case s.rollout.From:
			oldZones[m.Zone] = true
			s.oldSlots += m.Upstream.Slots
		case s.rollout.To:
			newZones[m.Zone] = true
			s.upstreams++
			s.slots += m.Upstream.Slots
		}
	}
	for zone := range oldZones {
		if !newZones[zone] && (s.missingZone == "" || zone < s.missingZone) {
			s.missingZone = zone
		}
	}
	seen := map[string]bool{}
	for _, m := range members {
		seen[m.Zone] = true
	}
	in, visible := 0, 0
	for _, zone := range st.Inventory.Zones {
		if order(zone.Name).Out {
			continue
		}
		in++
		if seen[zone.Name] {
			visible++
		}
	}
	if 2*visible <= in {
		s.partial = fmt.Sprintf("%d of %d availability zones are visible", visible, in)
	}
}
