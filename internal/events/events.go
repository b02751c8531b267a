// Package events records the numbered events of a process. Each event is written as a JSON log line and
// kept in the timeline of the process.
package events

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Fields has the details of one event. Keys are in snake_case.
type Fields map[string]any

// Event is one entry of a process's timeline.
type Event struct {
	// Time is the host's wall clock when the event was recorded.
	Time time.Time `json:"time"`
	// Stamp orders the events of all processes causally; see Clock.
	Stamp int64 `json:"stamp"`
	// Node is the name of the node, from its settings.
	Node string `json:"node"`
	// Zone is the availability zone of the host.
	Zone string `json:"zone,omitempty"`
	// Seq numbers the events of one process from 1.
	Seq    uint64 `json:"seq"`
	Code   Code   `json:"code"`
	Name   string `json:"name"`
	Fields Fields `json:"fields,omitempty"`
}

// ringSize is the maximum number of events in the timeline of a process.
const ringSize = 2048

// Recorder keeps the latest events of one process and writes all events to its log, within limits.
// A nil *Recorder discards events.
type Recorder struct {
	node, zone string
	log        *logrus.Logger
	clock      Clock

	sampler sampler

	mu    sync.Mutex
	limit limiter
	seq   uint64
	ring  []Event
	subs  []func(Event)
}

// New returns a recorder for the node with this name and availability zone. With a nil log it writes no
// lines.
func New(node, zone string, log *logrus.Logger) *Recorder {
	return &Recorder{node: node, zone: zone, log: log, limit: limiter{perSecond: LinesPerSecond}}
}

// SetLimits replaces the limits on log lines.
func (r *Recorder) SetLimits(l Limits) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limit.perSecond = l.LinesPerSecond
	r.sampler.every.Store(int64(l.ServedEvery))
}

// SampleServed reports whether the log line of the next served request is to be written.
func (r *Recorder) SampleServed() bool { return r != nil && r.sampler.sample() }

// Subscribe registers f, which is called for each later event in order. The recorder's lock is held during
// the call: f must not block and must not emit events.
func (r *Recorder) Subscribe(f func(Event)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subs = append(r.subs, f)
}

// Clock returns the clock that stamps the events, or nil for a nil recorder.
func (r *Recorder) Clock() *Clock {
	if r == nil {
		return nil
	}
	return &r.clock
}

// Emit records one event: it adds the event to the timeline, calls the subscribers and writes the log line
// unless the event is over its limit.
func (r *Recorder) Emit(code Code, fields Fields) {
	if r == nil {
		return
	}
	def := Catalogue[code]
	r.mu.Lock()
	r.seq++
	e := Event{Time: time.Now(), Stamp: r.clock.Now(), Node: r.node, Zone: r.zone, Seq: r.seq, Code: code, Name: def.Name, Fields: fields}
	if len(r.ring) == ringSize {
		copy(r.ring, r.ring[1:])
		r.ring = r.ring[:ringSize-1]
	}
	r.ring = append(r.ring, e)
	for _, f := range r.subs {
		f(e)
	}
	allowed, omitted := r.limit.allow(code, e.Time)
	r.mu.Unlock()
	if r.log == nil {
		return
	}
	for other, n := range omitted {
		r.write(LinesLimited, Fields{"of": Catalogue[other].Name, "left_out": n})
	}
	if allowed {
		r.write(code, fields)
	}
}

// write writes one log line.
func (r *Recorder) write(code Code, fields Fields) {
	def := Catalogue[code]
	r.log.WithFields(logrus.Fields(fields)).
		WithFields(logrus.Fields{"event": int(code), "node": r.node, "zone": r.zone}).
		Log(def.Level, def.Name)
}

// Since returns the events of the timeline with a sequence number greater than seq, oldest first.
func (r *Recorder) Since(seq uint64) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Event
	for _, e := range r.ring {
		if e.Seq > seq {
			out = append(out, e)
		}
	}
	return out
}
