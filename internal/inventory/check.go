package inventory

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"celerybank/internal/fault"
)

// faultList collects faults. add formats the path of the faulty field from path and args.
type faultList struct{ faults fault.List }

func (l *faultList) add(reason, path string, args ...any) {
	l.faults = append(l.faults, fault.Fault{Path: fmt.Sprintf(path, args...), Reason: reason})
}

// Check returns the faults that the JSON schema cannot express: duplicate names and routes,
// unknown dependencies and dependency cycles. It returns nil for a valid inventory.
func (inv Inventory) Check() fault.List {
	var l faultList
	zones := map[string]bool{}
	for i, z := range inv.Zones {
		if zones[z.Name] {
			l.add("duplicate zone "+z.Name, "zones[%d].name", i)
		}
		zones[z.Name] = true
	}
	services := map[string]int{}
	for i, s := range inv.Services {
		if first, ok := services[s.Name]; ok {
			l.add(fmt.Sprintf("duplicate service %s, first at services[%d]", s.Name, first), "services[%d].name", i)
			continue
		}
		services[s.Name] = i
	}
	for i, s := range inv.Services {
		for j, d := range s.DependsOn {
			if _, ok := services[d]; !ok {
				l.add("unknown service "+d, "services[%d].depends_on[%d]", i, j)
			}
		}
		checkRoutes(&l, i, s)
	}
	if cycle := inv.cycle(services); cycle != nil {
		l.add("dependency cycle "+strings.Join(cycle, " -> "), "services[%d].depends_on", services[cycle[0]])
	}
	return l.faults
}

func checkRoutes(l *faultList, i int, s Service) {
	names, matches := map[string]bool{}, map[string]bool{}
	for j, r := range s.Routes {
		if names[r.Name] {
			l.add("duplicate route "+r.Name, "services[%d].routes[%d].name", i, j)
		}
		match := r.Method + " " + r.Path
		if matches[match] {
			l.add("another route has the same method and path "+match, "services[%d].routes[%d].path", i, j)
		}
		names[r.Name], matches[match] = true, true
	}
}

// cycle returns the names along one dependency cycle, with the first name repeated at the end, or
// nil if there is none. index maps a service's name to its position in inv.Services. Cycles are
// rejected because one request could cause an unbounded number of requests between two services.
func (inv Inventory) cycle(index map[string]int) []string {
	const (
		visiting = 1
		finished = 2
	)
	state := map[string]int{}
	var stack []string
	var visit func(name string) []string
	visit = func(name string) []string {
		i, ok := index[name]
		if !ok || state[name] == finished {
			return nil
		}
		stack = append(stack, name)
		if state[name] == visiting {
			return slices.Clone(stack[slices.Index(stack, name):])
		}
		state[name] = visiting
		for _, d := range inv.Services[i].DependsOn {
			if c := visit(d); c != nil {
				return c
			}
		}
		stack = stack[:len(stack)-1]
		state[name] = finished
		return nil
	}
	for _, s := range inv.Services {
		if c := visit(s.Name); c != nil {
			return c
		}
	}
	return nil
}

// CheckRules returns the faults of CheckReferences and one for each rollout whose completion time
// is not after now.
func (inv Inventory) CheckRules(r Rules, now time.Time) fault.List {
	l := faultList{faults: inv.CheckReferences(r)}
	for i, rollout := range r.Rollouts {
		if !rollout.By.After(now) {
			l.add("the time is past: "+rollout.By.Format(time.RFC3339), "moves[%d].by", i)
		}
	}
	return l.faults
}

// CheckReferences returns the faults of r against inv: services and availability zones that inv
// does not have, more than one rollout of a service, and a zone out of every availability zone.
// The result does not depend on the time, so that every reader of the log reaches the same one.
func (inv Inventory) CheckReferences(r Rules) fault.List {
	var l faultList
	seen := map[string]bool{}
	for i, rollout := range r.Rollouts {
		if !slices.ContainsFunc(inv.Services, func(s Service) bool { return s.Name == rollout.Service }) {
			l.add("unknown service "+rollout.Service, "moves[%d].service", i)
		}
		if seen[rollout.Service] {
			l.add("a second move of service "+rollout.Service, "moves[%d].service", i)
		}
		seen[rollout.Service] = true
	}
	for i, z := range r.ZonesOut {
		if !slices.ContainsFunc(inv.Zones, func(x Zone) bool { return x.Name == z }) {
			l.add("unknown availability zone "+z, "zones_out[%d]", i)
		}
	}
	if len(r.ZonesOut) > 0 && len(r.ZonesOut) >= len(inv.Zones) {
		l.add("no availability zone would be left", "zones_out")
	}
	return l.faults
}
