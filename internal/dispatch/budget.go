package dispatch

import (
	"sync"
	"time"
)

// budgetShare is the part of the fleet's retry budget that nodes use: windows slide and
// nodes do not see each other's repeats.
const budgetShare = 0.4

// ranCost is what the repeat of a request costs that ran before: itself and up to two calls.
const ranCost = 2.5

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
	slack := budgetShare * b.Slack / float64(max(1, b.Nodes()))
	t := b.services[service]
	if t == nil {
		t = &tokens{have: slack / 2, filled: now}
		b.services[service] = t
	}
	t.have += slack * float64(now.Sub(t.filled)) / float64(b.Window)
	t.filled = now
	t.have = min(t.have, max(slack, 3))
	return t
}

// Earn counts one request to a service.
func (b *Budget) Earn(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service).have += budgetShare * b.Ratio
}

// Spend pays for one repeat, or reports that there is not enough left. A repeat of a request
// that has run costs more, as it repeats the calls that the first made.
func (b *Budget) Spend(service string, ran bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	cost := 1.0
	if ran {
		cost = ranCost
	}
	t := b.of(service)
	if t.have < cost {
		return false
	}
	t.have -= cost
	return true
}
