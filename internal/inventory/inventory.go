// Package inventory defines and checks the configuration that operators publish: the inventory of
// availability zones and services, and the rules, which list rollouts and zone evacuations. The
// mesh derives its routes from both.
package inventory

import (
	"time"

	"celerybank/internal/duration"
)

// Inventory lists the availability zones and services of a mesh.
type Inventory struct {
	// Mesh is the name of the mesh.
	Mesh string `json:"mesh"`
	// Zones lists all availability zones of the mesh.
	Zones []Zone `json:"zones"`
	// Services lists all services; their names are unique.
	Services []Service `json:"services"`
}

// Zone is an availability zone.
type Zone struct {
	Name string `json:"name"`
	// Region is the region that the zone belongs to. It is empty in a mesh of one region.
	Region string `json:"region,omitempty"`
}

// Service is a service that upstreams serve in one or more versions.
type Service struct {
	Name string `json:"name"`
	// InitialVersion is the version that serves when the service is first published. Later versions
	// are delivered by rollouts only.
	InitialVersion string `json:"initial_version"`
	// DependsOn lists the names of the services that this one sends requests to.
	DependsOn []string `json:"depends_on,omitempty"`
	Routes    []Route  `json:"routes"`
	// SlowStart is the time in which a cold upstream ramps up to all its slots. Zero means the
	// default of 10s.
	SlowStart Duration `json:"slow_start,omitempty"`
}

// Route is a class of requests to a service, matched by method and path prefix.
type Route struct {
	// Name is unique within the service. Rollout evidence about versions is kept per route.
	Name   string `json:"name"`
	Method string `json:"method"`
	Path   string `json:"path"`
	// Idempotent is true if a request may run more than once without harm.
	Idempotent bool `json:"idempotent"`
	// Timeout bounds a request whose caller gives no shorter timeout.
	Timeout Duration `json:"timeout,omitempty"`
}

// Rules lists the rollouts and zone evacuations that operators order.
type Rules struct {
	// Rollouts lists rollouts, at most one per service.
	Rollouts []Rollout `json:"moves,omitempty"`
	// ZonesOut lists the availability zones that are out and get no new work.
	ZonesOut []string `json:"zones_out,omitempty"`
}

// Rollout specifies a rollout: version To of Service gets all traffic by the time By or is rolled back.
type Rollout struct {
	Service string    `json:"service"`
	To      string    `json:"to"`
	By      time.Time `json:"by"`
}

// Duration is a time span that is written with its unit, such as 10s.
type Duration = duration.Duration
