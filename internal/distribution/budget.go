package distribution

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// budgetPercent is the percentage of the node's control bandwidth that the distribution
// of configuration may use; membership uses the rest.
const budgetPercent = 50

// budgetBurst is the capacity of the token bucket in bytes: enough for one snapshot of
// a large mesh, or for the records of a burst of publications.
const budgetBurst = 256 << 10

// messageOverhead is the estimated size of a message without its content, in bytes.
const messageOverhead = 96

// purpose classifies sent bytes for the metrics.
type purpose int

const (
	purposeUpdate purpose = iota
	purposePull
	purposeSnapshot
	purposeHead
	purposeWitness
	purposeCount
)

var purposeNames = [purposeCount]string{"news", "pull", "snapshot", "head", "witness"}

// budget is a token bucket that limits sent bytes. A message larger than the remaining
// tokens may be sent, which overdraws the bucket: the next one has to wait until the
// bucket is positive again.
type budget struct {
	limiter    *rate.Limiter
	spentBytes [purposeCount]atomic.Int64
}

func newBudget(bytesPerSecond int) *budget {
	return &budget{limiter: rate.NewLimiter(rate.Limit(float64(bytesPerSecond)*budgetPercent/100), budgetBurst)}
}

// trySpend charges a message with n bytes of content, or returns false without charging
// when the bucket is empty.
func (b *budget) trySpend(p purpose, n int) bool {
	now := time.Now()
	if b.limiter.TokensAt(now) <= 0 {
		return false
	}
	b.charge(p, n)
	return true
}

// charge charges a message with n bytes of content even when the bucket is empty. It is
// for messages that must not be withheld.
func (b *budget) charge(p purpose, n int) {
	n += messageOverhead
	b.spentBytes[p].Add(int64(n))
	now := time.Now()
	for n > 0 {
		chunk := min(n, budgetBurst)
		b.limiter.ReserveN(now, chunk)
		n -= chunk
	}
}
