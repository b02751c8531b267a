package events

import (
	"encoding/json"
	"io"
	"sync/atomic"
	"time"
)

// sinkLines bounds the lines that wait to be written; at 300 bytes a line that is 600 KB.
const sinkLines = 2048

// Sink writes lines to w from a task of its own. It never blocks its callers: lines that find
// the queue full are dropped, counted, and reported in a line of their own.
type Sink struct {
	w       io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// NewSink returns a sink and starts its task, which ends with the process.
func NewSink(w io.Writer) *Sink {
	s := &Sink{w: w, lines: make(chan []byte, sinkLines)}
	go s.run()
	return s
}

// Write implements io.Writer for one line.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped since the start.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Flush waits until the lines that were queued are written, at most for limit.
func (s *Sink) Flush(limit time.Duration) {
	for end := time.Now().Add(limit); len(s.lines) > 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
}

func (s *Sink) run() {
	reported := int64(0)
	for line := range s.lines {
		if n := s.dropped.Load(); n > reported {
			s.report(n - reported)
			reported = n
		}
		_, _ = s.w.Write(line) // without a reader there is nobody to tell
	}
}

// report writes how many lines are missing.
func (s *Sink) report(n int64) {
	text, err := json.Marshal(map[string]any{"event": LinesDropped, "msg": Catalogue[LinesDropped].Name, "lines": n, "time": time.Now()})
	if err != nil {
		return // plain values always marshal
	}
	_, _ = s.w.Write(append(text, '\n')) // as above
}
