package sidecar

import (
	"sync/atomic"
	"time"
)

// Bounds of the delay with which this process gets to its work.
const (
	// strainWeight is the weight of one sample in the mean; strainCap bounds a sample, so that a
	// single pause is no strain: it takes three at least.
	strainWeight = 0.2
	strainCap    = 150 * time.Millisecond
	// strainLimit is the mean delay at which callers are better served elsewhere: each request has
	// it several times, and the shortest targets are 100 ms.
	strainLimit = 60 * time.Millisecond
	// strainHold is how long a node under strain asks for no new callers: two readiness checks, one a
	// second, and the time in which its load falls.
	strainHold = 4 * time.Second
)

// strain finds out that the process lacks processor time, from how late its timer is: a host that
// turns slow answers everything late, though its upstream is well.
type strain struct {
	mean  time.Duration
	until atomic.Int64 // unix nanoseconds
}

// observe takes in how late a timer was; it reports whether the strain has just begun. One task calls it.
func (s *strain) observe(late time.Duration, now time.Time) (began bool) {
	s.mean += time.Duration(strainWeight * float64(min(max(late, 0), strainCap)-s.mean))
	if s.mean < strainLimit {
		return false
	}
	began = !s.strained(now)
	s.until.Store(now.Add(strainHold).UnixNano())
	return began
}

func (s *strain) strained(now time.Time) bool { return now.UnixNano() < s.until.Load() }
