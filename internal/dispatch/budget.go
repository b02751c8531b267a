package dispatch

import (
	"sync"
	"time"
)

// What nodes use of the fleet's retry budget: what was saved before a window is spent in it beside
// what is earned in it, windows slide, and nodes do not see each other's repeats.
const (
	ratioShare = 0.4
	slackShare = 0.25
)

// Costs of a repeat. One of a request that ran before repeats up to two calls as well; one that
// upstreams refused is a single arrival, and the shares above allow for twice what it is.
const (
	notRunCost = 0.65
	ranCost    = 2.5
)

// callReserve is kept for calls of running requests: their callers do not come again, and without
// them work that is paid for is lost.
const callReserve = 0.65

// leastSaved is what a node may save in any case: one repeat of each kind.
const leastSaved = ranCost + callReserve

// Budget bounds the repeats of one node so that those of all nodes together stay within
// the platform's bound, by arithmetic alone: each node earns a part of a repeat with each
// request, and its share of the slack over time (token bucket; Site Reliability
// Engineering, chapter 21).
type Budget struct {
	// Ratio of repeats to requests, Slack repeats in each Window beside it, for all nodes together.
	Ratio, Slack float64
	Window       time.Duration
	// Nodes returns how many nodes live.
	Nodes func() int

	mu       sync.Mutex
	services map[string]*tokens
}

type tokens struct {
	have   float64
	filled time.Time
}

// Set changes the platform's bound.
func (b *Budget) Set(ratio, slack float64, window time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Ratio, b.Slack, b.Window = ratio, slack, window
}

// of returns the tokens of a service, filled up to now. b.mu is held.
func (b *Budget) of(service string) *tokens {
	if b.services == nil {
		b.services = map[string]*tokens{}
	}
	now := time.Now()
	slack := slackShare * b.Slack / float64(max(1, b.Nodes()))
	t := b.services[service]
	if t == nil {
		t = &tokens{have: slack / 2, filled: now}
		b.services[service] = t
	}
	// What is saved nears the node's share of the slack: requests of long ago allow nothing now.
	t.have += (slack - t.have) * min(1, float64(now.Sub(t.filled))/float64(b.Window))
	t.filled = now
	t.have = min(t.have, max(slack, leastSaved))
	return t
}

// Earn counts one request to a service.
func (b *Budget) Earn(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service).have += ratioShare * b.Ratio
}

// Spend pays for one repeat, or reports that there is not enough left. A repeat of a request
// that has run costs more, as it repeats the calls that the first made; call says that a running
// request makes it.
func (b *Budget) Spend(service string, ran, call bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	cost := notRunCost
	if ran {
		cost = ranCost
	}
	least := cost
	if !call {
		least += callReserve
	}
	t := b.of(service)
	if t.have < least {
		return false
	}
	t.have -= cost
	return true
}
