package sidecar

import (
	"sync/atomic"
	"time"
)

// Bounds of the detection of CPU starvation.
const (
	// starvationSampleWeight is the weight of one sample in the moving mean. starvationSampleCap bounds a
	// sample, so that a single pause does not count as starvation: it takes at least three.
	starvationSampleWeight = 0.2
	starvationSampleCap    = 150 * time.Millisecond
	// starvationThreshold is the mean timer delay above which other nodes serve callers better: a request
	// incurs the delay several times, and the shortest latency targets are 100 ms.
	starvationThreshold = 60 * time.Millisecond
	// starvationHold is how long a CPU-starved node stays unready: two readiness checks, one per
	// second, and the time its load takes to fall.
	starvationHold = 4 * time.Second
)

// cpuStarvation detects from timer delays that the process lacks CPU time: a slow host delays every
// response although its upstream is healthy.
type cpuStarvation struct {
	mean  time.Duration
	until atomic.Int64 // Unix nanoseconds
}

// observe records the delay of a timer; it reports whether starvation has just begun. It is not safe for concurrent use.
func (s *cpuStarvation) observe(late time.Duration, now time.Time) (began bool) {
	s.mean += time.Duration(starvationSampleWeight * float64(min(max(late, 0), starvationSampleCap)-s.mean))
	if s.mean < starvationThreshold {
		return false
	}
	began = !s.active(now)
	s.until.Store(now.Add(starvationHold).UnixNano())
	return began
}

// active reports whether the process counts as CPU-starved at now.
func (s *cpuStarvation) active(now time.Time) bool { return now.UnixNano() < s.until.Load() }
