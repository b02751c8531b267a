// Package lag measures how late this process gets to its work, from the lateness of a timer: on
// a busy machine every latency that it measures is longer by that, whoever answers.
package lag

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// interval between two looks: twenty wake-ups a second cost a node less than a thousandth of a core.
	interval = 50 * time.Millisecond
	// memory is how long a late timer counts: requests that began before it end within that, mostly.
	memory = time.Second
)

// Meter is the lateness of the last second. The zero Meter is never late.
type Meter struct {
	late, at atomic.Int64 // nanoseconds; unix nanoseconds
}

// Run measures until ctx ends.
func (m *Meter) Run(ctx context.Context) error {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for last := time.Now(); ; {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		now := time.Now()
		m.note(now.Sub(last)-interval, now)
		last = now
	}
}

// note takes in one lateness.
func (m *Meter) note(late time.Duration, now time.Time) {
	if late >= m.lateAt(now) {
		m.late.Store(int64(late))
		m.at.Store(now.UnixNano())
	}
}

func (m *Meter) lateAt(now time.Time) time.Duration {
	if now.UnixNano()-m.at.Load() > int64(memory) {
		return 0
	}
	return time.Duration(m.late.Load())
}

// Late returns how late this process was at most in the last second.
func (m *Meter) Late() time.Duration { return m.lateAt(time.Now()) }
