// Package routing compiles the agreed state into a routing table and picks an upstream for each
// request.
package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"celerybank/internal/inventory"
	"celerybank/internal/mesh"
)

// Table is the routing table of one state. It is immutable once it is installed.
type Table struct {
	Version  int64
	services map[string]*Service
	zonesOut map[string]bool
	// zoneInAt maps a zone that is ramping up to the time at which it was taken back in.
	zoneInAt map[string]time.Time
}

// Service holds the routing data of one service.
type Service struct {
	Name string
	// Stable and RollingOut are versions. RollingOut, if not empty, is the one that a rollout delivers: it gets
	// Share thousandths of the traffic and Stable the rest.
	Stable, RollingOut string
	Share              int
	// RolloutAccepted is the configuration version at which the running rollout was accepted.
	RolloutAccepted int64
	SlowStart       time.Duration
	routes          []Route
	// view has the endpoints; the router sets it.
	view *serviceView
}

// Route is one route of a service.
type Route struct {
	Name, Method, Path string
	Idempotent         bool
	Timeout            time.Duration
}

// Compile returns the routing table of s. The routes of a service are sorted so that longer paths match first.
func Compile(s *mesh.State) *Table {
	t := &Table{Version: s.Version, services: make(map[string]*Service, len(s.Inventory.Services)), zonesOut: map[string]bool{}}
	for _, svc := range s.Inventory.Services {
		t.services[svc.Name] = compileService(s, svc)
	}
	for zone, order := range s.ZonesOut {
		if order.Out {
			t.zonesOut[zone] = true
		}
	}
	return t
}

func compileService(s *mesh.State, svc inventory.Service) *Service {
	st := s.Services[svc.Name]
	out := &Service{Name: svc.Name, Stable: st.Stable, SlowStart: time.Duration(svc.SlowStart)}
	if rollout, ok := s.Rollouts[st.RollingOut]; ok && st.RollingOut != "" {
		out.RollingOut, out.Share, out.RolloutAccepted = rollout.To, rollout.Share, rollout.Accepted
	}
	for _, r := range svc.Routes {
		out.routes = append(out.routes, Route{r.Name, r.Method, r.Path, r.Idempotent, time.Duration(r.Timeout)})
	}
	slices.SortStableFunc(out.routes, func(a, b Route) int { return cmp.Compare(len(b.Path), len(a.Path)) })
	return out
}

// Service returns the routing data of a service, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// IsOut reports whether an availability zone is out: its upstreams get no new requests.
func (t *Table) IsOut(zone string) bool { return len(t.zonesOut) > 0 && t.zonesOut[zone] }

// Match returns the route for a method and path, or nil.
func (s *Service) Match(method, path string) *Route {
	for i := range s.routes {
		r := &s.routes[i]
		if r.Method == method && matches(r.Path, path) {
			return r
		}
	}
	return nil
}

// matches reports whether path equals prefix or is below it.
func matches(prefix, path string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}
