package replay

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"github.com/go-faster/errors"

	"celerybank/internal/admission"
	"celerybank/internal/gossip"
	"celerybank/internal/mesh"
	"celerybank/internal/rollout"
	"celerybank/internal/routing"
)

// Difference is an expectation that the replay did not meet. Got says what it gave instead.
type Difference struct {
	Expectation Expectation
	Got         string
}

func (d Difference) String() string {
	return fmt.Sprintf("line %d (%s): got %s", d.Expectation.Line, d.Expectation.Why, d.Got)
}

// replayer holds the state that the lines of a trace are applied to.
type replayer struct {
	state   *mesh.State
	members []gossip.Member
	gate    *admission.Gate
	// decision, zones and versions are the outcome of the last line.
	decision        string
	zones, versions map[string]bool
}

// Run replays the trace and returns the expectations that were not met. A malformed line, or
// an expectation for a line that the trace lacks, is an error.
func Run(trace []Line, wants []Expectation) ([]Difference, error) {
	p := &replayer{state: mesh.Empty(), gate: admission.NewGate()}
	byLine := map[int][]Expectation{}
	for _, w := range wants {
		if w.Line < 0 || w.Line > len(trace) {
			return nil, errors.Errorf("expectation for line %d, but the trace has %d lines", w.Line, len(trace))
		}
		byLine[w.Line] = append(byLine[w.Line], w)
	}
	var out []Difference
	for i, l := range trace {
		if err := p.replayLine(l); err != nil {
			return nil, errors.Wrapf(err, "line %d", i+1)
		}
		out = append(out, p.compare(byLine[i+1])...)
	}
	return append(out, p.compare(byLine[0])...), nil
}

// replayLine applies one line and sets its outcome.
func (p *replayer) replayLine(l Line) error {
	p.decision, p.zones, p.versions = "", nil, nil
	switch l.Input {
	case InputRecord:
		return p.applyRecord(l)
	case InputMembers:
		p.members = l.Members
	case InputEvidence:
		finding, _ := rollout.Assess(l.Old, l.New)
		p.decision = string(finding)
	case InputPick:
		return p.pick(l)
	case InputGate:
		return p.operateGate(l)
	default:
		return errors.Errorf("unknown input %q", l.Input)
	}
	return nil
}

// applyRecord applies a record to the state; the decision is the outcome.
func (p *replayer) applyRecord(l Line) error {
	if l.Entry == nil {
		return errors.New("input record has no entry")
	}
	next, res, err := p.state.Apply(*l.Entry)
	if err != nil {
		return err
	}
	p.state, p.decision = next, res.Outcome.String()
	return nil
}

// staticMembers is a fixed list of members as a router's membership.
type staticMembers []gossip.Member

func (m staticMembers) Alive() []gossip.Member { return m }

// pick picks l.Count upstreams with a new router that has the current state and members, as
// the router of a node in l.Zone would.
func (p *replayer) pick(l Line) error {
	region := ""
	for _, z := range p.state.Inventory.Zones {
		if z.Name == l.Zone {
			region = z.Region
		}
	}
	r := routing.NewRouter("", l.Zone, region, staticMembers(p.members))
	r.SetState(p.state)
	r.Refresh()
	svc := r.Table().Service(l.Service)
	if svc == nil {
		return errors.Errorf("service %q is not in the routing table", l.Service)
	}
	p.zones, p.versions = map[string]bool{}, map[string]bool{}
	for range l.Count {
		if e := r.Pick(svc, nil); e != nil {
			p.zones[e.Zone], p.versions[e.Version] = true, true
		}
	}
	return nil
}

// acquireDecisions maps the results of Gate.Acquire to the decisions in expectations.
var acquireDecisions = map[admission.Outcome]string{admission.Admitted: "admitted", admission.Full: "full",
	admission.Cold: "cold", admission.Draining: "draining", admission.Absent: "absent"}

// operateGate performs one operation on the admission gate. Its context is cancelled, so that acquire
// refuses at once where a request would be queued.
func (p *replayer) operateGate(l Line) error {
	switch l.Op {
	case "open":
		p.gate.Open(l.Slots, l.SlowStart)
	case "cool":
		p.gate.SetCold()
	case "drain":
		p.gate.Drain()
	case "release":
		p.gate.Release(admission.Change)
	case "acquire":
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		p.decision = acquireDecisions[p.gate.Acquire(ctx, admission.Change, "")]
	default:
		return errors.Errorf("unknown gate operation %q", l.Op)
	}
	return nil
}

// compare returns the expectations in wants that the current state does not meet.
func (p *replayer) compare(wants []Expectation) []Difference {
	var out []Difference
	for _, w := range wants {
		if got := p.mismatch(w); got != "" {
			out = append(out, Difference{w, got})
		}
	}
	return out
}

// mismatch describes the first difference between the state and w, or returns "".
func (p *replayer) mismatch(w Expectation) string {
	if w.Decision != "" && w.Decision != p.decision {
		return "decision " + p.decision + ", want " + w.Decision
	}
	for key, status := range w.Rollouts {
		if got := p.state.Rollouts[key].Status; string(got) != status {
			return fmt.Sprintf("rollout %s %q, want %q", key, got, status)
		}
	}
	for service, version := range w.Stable {
		if got := p.state.Services[service].Stable; got != version {
			return fmt.Sprintf("service %s has stable version %q, want %q", service, got, version)
		}
	}
	if w.ZonesOut != nil {
		if got := p.zonesOut(); !slices.Equal(got, slices.Sorted(slices.Values(*w.ZonesOut))) {
			return fmt.Sprintf("zones out %v, want %v", got, *w.ZonesOut)
		}
	}
	if extra := unexpected(p.zones, w.Zones); len(w.Zones) > 0 && extra != "" {
		return "picked in zone " + extra
	}
	if extra := unexpected(p.versions, w.Versions); len(w.Versions) > 0 && extra != "" {
		return "picked version " + extra
	}
	return ""
}

// zonesOut returns the sorted names of the zones that are out.
func (p *replayer) zonesOut() []string {
	var zonesOut []string
	for zone := range p.state.ZonesOut {
		if p.state.IsOut(zone) {
			zonesOut = append(zonesOut, zone)
		}
	}
	slices.Sort(zonesOut)
	return zonesOut
}

// unexpected returns the first name in got that allowed lacks, or ""; if got is empty, "none".
func unexpected(got map[string]bool, allowed []string) string {
	if len(got) == 0 {
		return "none"
	}
	for _, name := range slices.Sorted(maps.Keys(got)) {
		if !slices.Contains(allowed, name) {
			return name
		}
	}
	return ""
}
