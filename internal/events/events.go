// Package events records the numbered events of a process: one JSON log line
// and one entry of the time line for each.
package events

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Fields carries the particulars of one event. Keys are snake_case.
type Fields map[string]any

// Event is one entry of a process's time line.
type Event struct {
	// Time is the host's wall clock when the event was recorded.
	Time time.Time `json:"time"`
	// Stamp orders the events of all processes; see Clock.
	Stamp int64 `json:"stamp"`
	// Node is the name of the process's host, from its settings.
	Node string `json:"node"`
	// Zone is the availability zone of the host.
	Zone string `json:"zone,omitempty"`
	// Seq counts the events of one process from 1; it orders events with equal times.
	Seq    uint64 `json:"seq"`
	Code   Code   `json:"code"`
	Name   string `json:"name"`
	Fields Fields `json:"fields,omitempty"`
}

// ringSize bounds the time line that a process keeps, in events.
const ringSize = 2048

// Recorder keeps the latest events of one process and writes them to its log.
// A nil *Recorder discards events.
type Recorder struct {
	node, zone string
	log        *logrus.Logger
	clock      Clock

	served served

	mu    sync.Mutex
	limit limiter
	seq   uint64
	ring  []Event
	subs  []func(Event)
}

// New returns a recorder for the process named node in zone. A nil log writes no lines.
func New(node, zone string, log *logrus.Logger) *Recorder {
	return &Recorder{node: node, zone: zone, log: log, limit: limiter{perSecond: LinesPerSecond}}
}

// Limit changes what is written from now on.
func (r *Recorder) Limit(l Limits) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limit.perSecond = l.LinesPerSecond
	r.served.every.Store(int64(l.ServedEvery))
}

// Sample reports whether a request that went well gets a line of its own.
func (r *Recorder) Sample() bool { return r != nil && r.served.sample() }

// Subscribe calls f for each later event, in order, while the recorder's lock is held:
// f must not block and must not emit.
func (r *Recorder) Subscribe(f func(Event)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subs = append(r.subs, f)
}

// Clock returns the clock that stamps the events; nil without a recorder.
func (r *Recorder) Clock() *Clock {
	if r == nil {
		return nil
	}
	return &r.clock
}

// Emit records one event.
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
	allowed, left := r.limit.allow(code, e.Time)
	r.mu.Unlock()
	if r.log == nil {
		return
	}
	for other, n := range left {
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

// Since returns the kept events with a sequence number above seq, oldest first.
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
