package events

import (
	"sync/atomic"
	"time"
)

// LinesPerSecond is the default bound on the log lines of one event in a second; the time line and
// the counters have all of them. At a few dozen kinds of events a node in trouble writes less than 1 MB/s.
const LinesPerSecond = 40

// Limits bound what is written; what goes wrong always counts in the metrics.
type Limits struct {
	// LinesPerSecond bounds the lines of one event in a second; more explain more and cost processor time.
	LinesPerSecond int
	// ServedEvery writes a line for one in so many requests that went well; 0 writes none.
	ServedEvery int
}

// served picks the requests that went well and get a line.
type served struct {
	every atomic.Int64
	count atomic.Int64
}

func (s *served) sample() bool {
	every := s.every.Load()
	return every > 0 && s.count.Add(1)%every == 0
}

// limiter bounds the lines of each event.
type limiter struct {
	perSecond int
	second    int64
	counts    map[Code]int
}

// allow counts one line of an event; it returns false for one too many, and what was left out in
// the second before, once.
func (l *limiter) allow(code Code, now time.Time) (ok bool, left map[Code]int) {
	if s := now.Unix(); s != l.second {
		left = l.over()
		l.second, l.counts = s, map[Code]int{}
	}
	l.counts[code]++
	return l.counts[code] <= l.perSecond, left
}

// over returns how many lines of each event were left out.
func (l *limiter) over() map[Code]int {
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
