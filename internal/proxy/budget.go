package proxy

import (
	"sync"
	"sync/atomic"
	"time"
)

// A retry budget (Site Reliability Engineering, chapter 21) bounds the retries of one service at one
// entry node to a fraction of its requests. Its unit is a thousandth of a retry.
const (
	retryCost = 1000
	// retryDeposit is what each request adds: one retry for five requests.
	retryDeposit = 200
	// retryCap is the capacity of the budget, which starts full.
	retryCap = 10 * retryCost
	// retryInterval is the time in which one retry is added, so that a service with few requests can
	// retry.
	retryInterval = time.Second
)

// budget is a lock-free token bucket.
type budget struct {
	tokens     atomic.Int64
	lastRefill atomic.Int64 // Unix time in nanoseconds of the last addition for retryInterval
}

func newBudget() *budget {
	b := &budget{}
	b.tokens.Store(retryCap)
	b.lastRefill.Store(time.Now().UnixNano())
	return b
}

// deposit adds the share of one request.
func (b *budget) deposit() { b.add(retryDeposit) }

func (b *budget) add(n int64) {
	for {
		have := b.tokens.Load()
		if have >= retryCap || b.tokens.CompareAndSwap(have, min(have+n, retryCap)) {
			return
		}
	}
}

// withdraw takes the tokens for one retry; it returns false when there are too few.
func (b *budget) withdraw() bool {
	now, lastRefill := time.Now().UnixNano(), b.lastRefill.Load()
	if now-lastRefill >= int64(retryInterval) && b.lastRefill.CompareAndSwap(lastRefill, now) {
		b.add(retryCost)
	}
	for {
		have := b.tokens.Load()
		if have < retryCost {
			return false
		}
		if b.tokens.CompareAndSwap(have, have-retryCost) {
			return true
		}
	}
}

// budgets holds one budget for each service.
type budgets struct{ byService sync.Map }

func (b *budgets) forService(service string) *budget {
	if v, ok := b.byService.Load(service); ok {
		return v.(*budget)
	}
	v, _ := b.byService.LoadOrStore(service, newBudget())
	return v.(*budget)
}
