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

// Difference is a stated outcome that the decisions did not give.
type Difference struct {
	Want Want
	Got  string
}

func (d Difference) String() string {
	return fmt.Sprintf("line %d (%s): got %s", d.Want.Line, d.Want.Why, d.Got)
}

// player holds the decisions while a trace is fed to them.
type player struct {
	state   *mesh.State
	members []gossip.Member
	gate    *admission.Gate
	// decision, zones and versions are the outcome of the line that was fed last.
	decision        string
	zones, versions map[string]bool
}

// Run feeds the trace and returns what differs from the stated outcomes.
func Run(trace []Line, wants []Want) ([]Difference, error) {
	p := &player{state: mesh.Empty(), gate: admission.NewGate()}
	byLine := map[int][]Want{}
	for _, w := range wants {
		if w.Line < 0 || w.Line > len(trace) {
			return nil, errors.Errorf("outcome for line %d of %d", w.Line, len(trace))
		}
		byLine[w.Line] = append(byLine[w.Line], w)
	}
	var out []Difference
	for i, l := range trace {
		if err := p.feed(l); err != nil {
			return nil, errors.Wrapf(err, "line %d", i+1)
		}
		out = append(out, p.compare(byLine[i+1])...)
	}
	return append(out, p.compare(byLine[0])...), nil
}

func (p *player) feed(l Line) error {
	p.decision, p.zones, p.versions = "", nil, nil
	switch l.Input {
	case InputRecord:
		return p.fold(l)
	case InputMembers:
		p.members = l.Members
	case InputEvidence:
		finding, _ := rollout.Assess(l.Old, l.New)
		p.decision = string(finding)
	case InputPick:
		return p.pick(l)
	case InputGate:
		return p.admit(l)
	default:
		return errors.Errorf("unknown input %q", l.Input)
	}
	return nil
}

func (p *player) fold(l Line) error {
	if l.Entry == nil {
		return errors.New("record without entry")
	}
	next, res, err := p.state.Apply(*l.Entry)
	if err != nil {
		return err
	}
	p.state, p.decision = next, res.Outcome.String()
	return nil
}

// fixed is a membership that does not change.
type fixed []gossip.Member

func (f fixed) Alive() []gossip.Member { return f }

// pick asks a fresh router, as a node of the line's zone would have it now.
func (p *player) pick(l Line) error {
	region := ""
	for _, z := range p.state.Inventory.Zones {
		if z.Name == l.Zone {
			region = z.Region
		}
	}
	r := routing.NewRouter("", l.Zone, region, fixed(p.members))
	r.SetState(p.state)
	r.Refresh()
	svc := r.Table().Service(l.Service)
	if svc == nil {
		return errors.Errorf("no service %s", l.Service)
	}
	p.zones, p.versions = map[string]bool{}, map[string]bool{}
	for range l.Count {
		if e := r.Pick(svc, nil); e != nil {
			p.zones[e.Zone], p.versions[e.Version] = true, true
		}
	}
	return nil
}

var refusals = map[admission.Refusal]string{admission.Admitted: "admitted", admission.Full: "full",
	admission.Cold: "cold", admission.Draining: "draining", admission.Absent: "absent"}

// admit takes one step at the gate. A request that would wait is refused at once.
func (p *player) admit(l Line) error {
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
		p.decision = refusals[p.gate.Acquire(ctx, admission.Change)]
	default:
		return errors.Errorf("unknown step %q", l.Op)
	}
	return nil
}

func (p *player) compare(wants []Want) []Difference {
	var out []Difference
	for _, w := range wants {
		if got := p.differs(w); got != "" {
			out = append(out, Difference{w, got})
		}
	}
	return out
}

// differs says what is not as stated, or "".
func (p *player) differs(w Want) string {
	if w.Decision != "" && w.Decision != p.decision {
		return "decision " + p.decision + ", want " + w.Decision
	}
	for key, status := range w.Moves {
		if got := p.state.Rollouts[key].Status; string(got) != status {
			return fmt.Sprintf("move %s %q, want %q", key, got, status)
		}
	}
	for service, version := range w.Stable {
		if got := p.state.Services[service].Stable; got != version {
			return fmt.Sprintf("service %s serves %q, want %q", service, got, version)
		}
	}
	if w.ZonesOut != nil {
		if got := p.out(); !slices.Equal(got, slices.Sorted(slices.Values(*w.ZonesOut))) {
			return fmt.Sprintf("zones out %v, want %v", got, *w.ZonesOut)
		}
	}
	if extra := beyond(p.zones, w.Zones); len(w.Zones) > 0 && extra != "" {
		return "picked in zone " + extra
	}
	if extra := beyond(p.versions, w.Versions); len(w.Versions) > 0 && extra != "" {
		return "picked version " + extra
	}
	return ""
}

func (p *player) out() []string {
	var out []string
	for zone := range p.state.ZonesOut {
		if p.state.IsOut(zone) {
			out = append(out, zone)
		}
	}
	slices.Sort(out)
	return out
}

// beyond returns an element of got that allowed lacks; "none" when nothing was picked.
func beyond(got map[string]bool, allowed []string) string {
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
