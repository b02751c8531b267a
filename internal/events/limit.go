package events

import (
	"sync/atomic"
	"time"
)

// LinesPerSecond is the default maximum of log lines per second for one event code. The timeline and the
// metrics are not limited. With a few dozen kinds of events, a node that emits all of them at this rate
// writes less than 1 MB/s.
const LinesPerSecond = 40

// Limits bounds the log lines of a process. Failed requests are counted in the metrics regardless.
type Limits struct {
	// LinesPerSecond is the maximum of log lines per second for one event code. A higher limit gives more
	// detail about failures and costs CPU time.
	LinesPerSecond int
	// ServedEvery writes a line for every ServedEvery-th served request; 0 writes none.
	ServedEvery int
}

// sampler selects the served requests that get a log line.
type sampler struct {
	every atomic.Int64
	count atomic.Int64
}

func (s *sampler) sample() bool {
	every := s.every.Load()
	return every > 0 && s.count.Add(1)%every == 0
}

// limiter bounds the log lines per second of each event code.
type limiter struct {
	perSecond int
	second    int64        // Unix time of the current second
	counts    map[Code]int // lines in the current second, written or omitted
}

// allow counts one line of an event and reports whether it is within the limit. The first call in a new
// second also returns the numbers of lines that were omitted in the last second in which an event occurred.
func (l *limiter) allow(code Code, now time.Time) (ok bool, omitted map[Code]int) {
	if s := now.Unix(); s != l.second {
		omitted = l.overLimit()
		l.second, l.counts = s, map[Code]int{}
	}
	l.counts[code]++
	return l.counts[code] <= l.perSecond, omitted
}

// overLimit returns the number of omitted lines of each event code in the current second.
func (l *limiter) overLimit() map[Code]int {
	var out map[Code]int
	for code, n := range l.counts {
		if n > l.perSecond {
			if out == nil {
				out = map[Code]int{}
			}
			out[code] = n - l.perSecond
		}
	}
	return out
}
