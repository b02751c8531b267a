// Package schedlag measures the scheduling lag of this process: how late a timer fires. On a busy host
// every latency that the process measures includes this lag, whichever process responds.
package schedlag

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// interval is the time between two measurements: 20 wake-ups per second cost a node less than a
	// thousandth of a core.
	interval = 50 * time.Millisecond
	// window is how long a measured lag counts: most requests that began before it end within this
	// time.
	window = time.Second
)

// Meter measures the maximum lag of the last second. The zero Meter reports none.
type Meter struct {
	lag, at atomic.Int64 // nanoseconds; Unix nanoseconds
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
		m.record(now.Sub(last)-interval, now)
		last = now
	}
}

// record stores lag if it is at least the maximum that still counts.
func (m *Meter) record(lag time.Duration, now time.Time) {
	if lag >= m.maxAt(now) {
		m.lag.Store(int64(lag))
		m.at.Store(now.UnixNano())
	}
}

// maxAt returns the maximum lag within the window that ends at now, 0 if none was measured in it.
func (m *Meter) maxAt(now time.Time) time.Duration {
	if now.UnixNano()-m.at.Load() > int64(window) {
		return 0
	}
	return time.Duration(m.lag.Load())
}

// Max returns the maximum lag measured in the last second.
func (m *Meter) Max() time.Duration { return m.maxAt(time.Now()) }
