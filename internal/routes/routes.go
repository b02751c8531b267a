// Package routes is the operator's configuration as nodes use it: which request goes to
// which service, and what a service and a caller may ask for.
package routes

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Config is one version of the operator's configuration, whole.
type Config struct {
	// Version only grows; the operator numbers it.
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Route says where requests of one host and path prefix go and what is owed to them.
type Route struct {
	Name, Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Targets are the services that share the requests by weight; mostly one.
	Targets []Target
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout bounds the time to the final answer; Target is the time within which an answer is worth most.
	Timeout, Target time.Duration
	// Attempts bounds the upstreams that one request may reach.
	Attempts int
	// Priority ranks routes where room is short; 0 goes first.
	Priority int
}

// Target is one service of a route.
type Target struct {
	Service string
	Weight  float64
}

// Service is what the operator says of one service.
type Service struct {
	Name, HealthPath string
	// MaxConnections bounds the connections to one upstream from all nodes together.
	MaxConnections int
	// ColdPerSecond bounds the requests in a second that an upstream bears while cold.
	ColdPerSecond float64
	// ColdStart is how long an upstream stays cold after its start.
	ColdStart time.Duration
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Check returns what makes c unusable, or nil.
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
	return nil
}

func (r *Route) check(services map[string]bool) error {
	switch {
	case r.Host == "" || !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return errors.New("no host, or the prefix does not begin and end with a slash")
	case r.Timeout <= 0 || r.Target <= 0:
		return errors.New("timeout or target latency not above zero")
	case r.Attempts < 1:
		return errors.New("no attempts")
	case len(r.Targets) == 0:
		return errors.New("no service")
	}
	sum := 0.0
	for _, t := range r.Targets {
		if !services[t.Service] {
			return errors.New("unknown service " + t.Service)
		}
		if t.Weight < 0 {
			return errors.New("weight below zero")
		}
		sum += t.Weight
	}
	if sum <= 0 {
		return errors.New("no weight")
	}
	return nil
}

// Table finds routes and services; it is derived from one Config and immutable.
type Table struct {
	Version  uint64
	Limits   Limits
	byHost   map[string][]*Route // longest prefix first
	services map[string]*Service
}

// NewTable derives the table of a configuration that passed Check.
func NewTable(c *Config) *Table {
	t := &Table{Version: c.Version, Limits: c.Limits, byHost: map[string][]*Route{}, services: map[string]*Service{}}
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

// Match returns the route with the longest prefix that begins path, or nil.
func (t *Table) Match(host, path string) *Route {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service of that name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Pick draws the service of one request by the weights.
func (r *Route) Pick() string { return r.at(rand.Float64()) }

// at returns the target at the point x of all weights, from 0 up to 1.
func (r *Route) at(x float64) string {
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
