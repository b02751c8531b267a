package dispatch

import (
	"sync"
	"time"
)

// Fractions of the fleet-wide retry budget that the nodes use. The rest is headroom: tokens saved
// before a window can be spent in it in addition to those earned in it, windows slide, and nodes do
// not see each other's retries.
const (
	ratioFraction = 0.4
	slackFraction = 0.25
)

// Cost of a retry, in tokens. Retrying a request that has run also repeats up to two child requests.
// Retrying one that an upstream refused adds a single arrival at an upstream; the fractions above
// already allow for two per retry.
const (
	notRunCost = 0.65
	ranCost    = 2.5
)

// childReserve is the number of tokens kept for child requests: the upstreams that send them do not
// retry, and when one fails, the work already done for its parent is lost.
const childReserve = 0.65

// minCapacity is the minimum capacity of a bucket: the balance required by the most expensive retry,
// of a request that has run and is not a child request.
const minCapacity = ranCost + childReserve

// Budget limits the retries of one node so that the retries of all nodes together stay within the
// fleet-wide bound without coordination: each node earns a fraction of a retry with each request,
// and its share of the slack over time (token bucket; Site Reliability Engineering, chapter 21).
type Budget struct {
	// Ratio is the ratio of retries to requests, and Slack the number of retries per Window allowed
	// in addition, for all nodes together.
	Ratio, Slack float64
	Window       time.Duration
	// Nodes returns the number of alive nodes.
	Nodes func() int

	mu       sync.Mutex
	services map[string]*bucket
}

type bucket struct {
	tokens   float64
	refilled time.Time
}

// Set changes the fleet-wide bound.
func (b *Budget) Set(ratio, slack float64, window time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Ratio, b.Slack, b.Window = ratio, slack, window
}

// bucketOf returns the bucket of a service, refilled up to now. b.mu is held.
func (b *Budget) bucketOf(service string) *bucket {
	if b.services == nil {
		b.services = map[string]*bucket{}
	}
	now := time.Now()
	slack := slackFraction * b.Slack / float64(max(1, b.Nodes()))
	t := b.services[service]
	if t == nil {
		t = &bucket{tokens: slack / 2, refilled: now}
		b.services[service] = t
	}
	// The balance converges on the node's share of the slack over a window, so that tokens earned
	// long ago expire.
	t.tokens += (slack - t.tokens) * min(1, float64(now.Sub(t.refilled))/float64(b.Window))
	t.refilled = now
	t.tokens = min(t.tokens, max(slack, minCapacity))
	return t
}

// Deposit credits one request to a service.
func (b *Budget) Deposit(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucketOf(service).tokens += ratioFraction * b.Ratio
}

// Withdraw pays for one retry and reports whether the balance was sufficient. A retry of a request
// that has run (ran) costs more, as it repeats the child requests of the first attempt. A child
// request (child) may use the reserve.
func (b *Budget) Withdraw(service string, ran, child bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	cost := notRunCost
	if ran {
		cost = ranCost
	}
	required := cost
	if !child {
		required += childReserve
	}
	t := b.bucketOf(service)
	if t.tokens < required {
		return false
	}
	t.tokens -= cost
	return true
}
