package events

import (
	"encoding/json"
	"io"
	"sync/atomic"
	"time"
)

// sinkLines is the capacity of a sink's queue in lines; with 300 bytes per line that is about 600 KB.
const sinkLines = 2048

// Sink is an io.Writer that queues lines and writes them from its own goroutine, so that Write never
// blocks. If the queue is full, lines are dropped, counted and reported in a log-dropped line.
type Sink struct {
	w       io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// NewSink returns a sink that writes to w and starts its goroutine, which runs until the process exits.
func NewSink(w io.Writer) *Sink {
	s := &Sink{w: w, lines: make(chan []byte, sinkLines)}
	go s.run()
	return s
}

// Write queues a copy of one line. It reports success even if the line is dropped.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Flush waits until the queue is empty, at most for timeout.
func (s *Sink) Flush(timeout time.Duration) {
	for end := time.Now().Add(timeout); len(s.lines) > 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
}

func (s *Sink) run() {
	reported := int64(0) // dropped lines
	for line := range s.lines {
		if n := s.dropped.Load(); n > reported {
			s.report(n - reported)
			reported = n
		}
		_, _ = s.w.Write(line) // a failed write cannot be logged
	}
}

// report writes a log-dropped line for n lines.
func (s *Sink) report(n int64) {
	text, err := json.Marshal(map[string]any{"event": LinesDropped, "msg": Catalogue[LinesDropped].Name, "lines": n, "time": time.Now()})
	if err != nil {
		return // plain values always marshal
	}
	_, _ = s.w.Write(append(text, '\n')) // a failed write cannot be logged
}
