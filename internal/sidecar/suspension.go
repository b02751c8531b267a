package sidecar

import (
	"sync"
	"sync/atomic"
	"time"
)

// suspension detects that the process was suspended: the boot-time clock, which counts suspended time, is
// then ahead of the monotonic clock.
type suspension struct {
	start time.Time

	mu       sync.Mutex
	lastBoot time.Duration
	last     time.Time
	// wallLead is by how much the time of day was ahead of the monotonic clock at the last check, in
	// nanoseconds.
	wallLead atomic.Int64
}

// init sets the state at the start of the process.
func (s *suspension) init(now time.Time, boot time.Duration) {
	s.start, s.last, s.lastBoot = now, now, boot
	s.wallLead.Store(s.lead(now))
}

// lead returns by how much the time of day is ahead of the monotonic clock, in nanoseconds.
func (s *suspension) lead(now time.Time) int64 { return now.UnixNano() - int64(now.Sub(s.start)) }

// suspected reports whether the process may have been suspended since the last check. It makes no system
// call: it compares the time of day, which counts suspended time too, with the monotonic clock, so that a
// step of the time of day is suspected as well.
func (s *suspension) suspected(now time.Time) bool {
	return time.Duration(s.lead(now)-s.wallLead.Load()).Abs() > suspendThreshold
}

// observe returns for how long the process was suspended since the last call. boot is the boot-time clock.
func (s *suspension) observe(now time.Time, boot time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	suspended := (boot - s.lastBoot) - now.Sub(s.last)
	s.lastBoot, s.last = boot, now
	s.wallLead.Store(s.lead(now))
	return suspended
}
