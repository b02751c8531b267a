package dispatch

import (
	"sync"
	"time"
)

// A token pays for one arrival of a retry at an upstream. In any window the nodes together spend at most what they
// saved before it, what refills in it and what they earn in it: 2 x slackFraction x slack + ratioFraction x ratio x
// requests. slackFraction must therefore be below one half and ratioFraction below one; the rest is headroom for nodes
// that restart with new buckets, for nodes that do not know of each other yet, and for nodes whose share of the slack is
// below minCapacity, which may earn and save that much.
const (
	ratioFraction = 0.6
	slackFraction = 0.4
)

const (
	// retryCost is the cost of a retry: one more arrival.
	retryCost = 1.0
	// ranCost is the cost of the retry of a request that has run: it also makes its child requests again, of which
	// upstreams send up to two.
	ranCost = 3 * retryCost
	// childReserve is the number of tokens kept for child requests: the upstreams that send them do not
	// retry, and when one fails, the work already done for its parent is lost.
	childReserve = retryCost
)

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

// Withdraw pays for one retry, of a request that has run if ran is set, and reports whether the balance was
// sufficient. A child request (child) may use the reserve.
func (b *Budget) Withdraw(service string, ran, child bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	cost := retryCost
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
