// Package routes defines the operator's configuration as nodes use it: which service gets which
// requests, and the limits of services and callers.
package routes

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Config is one complete version of the operator's configuration.
type Config struct {
	// Version is assigned by the operator; a newer configuration has a higher one.
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Workspaces is nil if the configuration has no workspaces; requests then need no key.
	Workspaces []Workspace
}

// Route defines the services that get the requests of one host name and path prefix, and the policy for them.
type Route struct {
	Name, Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Targets are the services among which the requests are split by weight; usually one.
	Targets []Target
	// Idempotent is set if a request may run more than once.
	Idempotent bool
	// Timeout limits the time to the final response. LatencyTarget is the operator's target latency. It decides
	// nothing about a request: how long a caller waits is said by its own timeout and that of the route.
	Timeout, LatencyTarget time.Duration
	// Attempts is the maximum number of upstreams that one request may be sent to.
	Attempts int
	// Priority ranks routes for admission under overload; 0 is admitted first.
	Priority int
	// Public is set if requests need no key although the configuration has workspaces.
	Public bool
}

// Target is one service of a route. Weight is relative to the sum of the weights of the route.
type Target struct {
	Service string
	Weight  float64
}

// Service holds the settings of one service.
type Service struct {
	Name, HealthPath string
	// MaxConnections limits the connections to one upstream from all nodes together.
	MaxConnections int
	// ColdPerSecond limits the requests per second to a cold upstream.
	ColdPerSecond float64
	// WarmUp is the warm-up time: an upstream is cold for this long after its start.
	WarmUp time.Duration
}

// Limits are the maximum sizes of what a caller sends and the maximum times that it may take.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Check returns an error if c is invalid.
func (c *Config) Check() error {
	known := map[string]bool{}
	for _, s := range c.Services {
		known[s.Name] = true
	}
	for _, r := range c.Routes {
		if err := r.check(known); err != nil {
			return errors.Wrap(err, "route "+r.Name)
		}
	}
	return checkWorkspaces(c.Workspaces)
}

func (r *Route) check(services map[string]bool) error {
	switch {
	case r.Host == "" || !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return errors.New("no host, or the prefix does not begin and end with a slash")
	case r.Timeout <= 0 || r.LatencyTarget <= 0:
		return errors.New("timeout and target latency must be above zero")
	case r.Attempts < 1:
		return errors.New("attempts must be at least 1")
	case len(r.Targets) == 0:
		return errors.New("no target service")
	}
	sum := 0.0
	for _, t := range r.Targets {
		if !services[t.Service] {
			return errors.New("unknown service " + t.Service)
		}
		if t.Weight < 0 {
			return errors.New("target with a negative weight")
		}
		sum += t.Weight
	}
	if sum <= 0 {
		return errors.New("sum of the target weights is zero")
	}
	return nil
}

// Table is the lookup table of one Config. It is immutable.
type Table struct {
	Version    uint64
	Limits     Limits
	byHost     map[string][]*Route // longest prefix first
	services   map[string]*Service
	workspaces []Workspace
	keys       keyIndex
}

// NewTable returns the table of c, which must have passed Check. The table keeps references into c.
func NewTable(c *Config) *Table {
	t := &Table{Version: c.Version, Limits: c.Limits, byHost: map[string][]*Route{}, services: map[string]*Service{},
		workspaces: c.Workspaces, keys: newKeyIndex(c.Workspaces)}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Match returns the route of a host with the longest prefix of path, or nil. The case of host and
// its port are ignored.
func (t *Table) Match(host, path string) *Route {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service of the given name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Pick returns the service for one request, chosen at random by weight.
func (r *Route) Pick() string { return r.serviceAt(rand.Float64()) }

// serviceAt returns the service at the fraction x, 0 <= x < 1, of the cumulative weights.
func (r *Route) serviceAt(x float64) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	sum := 0.0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	for _, t := range r.Targets {
		if x -= t.Weight / sum; x < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
