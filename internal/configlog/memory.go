package configlog

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// ErrOutage is returned by Memory while Faults.Outage is set.
var ErrOutage = errors.New("log service: outage")

// ErrLostReply is returned by Memory for an append that took effect but whose reply is lost.
var ErrLostReply = errors.New("log service: reply lost")

// Memory is a Log in memory for the log service stand-in and for tests. It can inject
// outages, delays and lost replies, and limit retention.
type Memory struct {
	mu             sync.Mutex
	streams        map[string]*memoryStream
	changed        chan struct{}
	faults         Faults
	countedAppends int // appends while Faults.LoseReplyEvery is set
	stats          Stats
	// era counts the restorations from a copy, from 1 on.
	era int64
}

// Faults configures the faults that a Memory injects.
type Faults struct {
	// Outage makes every call fail.
	Outage bool `json:"outage"`
	// Delay is added to every call.
	Delay time.Duration `json:"delay_ns"`
	// LoseReplyEvery makes every n-th append return ErrLostReply after it took effect; 0 disables it.
	LoseReplyEvery int `json:"lose_every"`
	// Retain is the number of records that each stream retains: 0 for all, negative for none.
	Retain int `json:"retain"`
}

// Stats has the number of appends and reads by stream.
type Stats struct {
	Appends map[string]int64 `json:"appends"`
	Reads   map[string]int64 `json:"reads"`
}

type memoryStream struct {
	first   int64
	entries []Entry
}

// NewMemory returns an empty log that injects no faults.
func NewMemory() *Memory {
	return &Memory{streams: map[string]*memoryStream{}, changed: make(chan struct{}), era: 1,
		stats: Stats{Appends: map[string]int64{}, Reads: map[string]int64{}}}
}

// Copy is the content of a Memory at one time.
type Copy struct{ streams map[string]memoryStream }

// Copy returns a copy of the content.
func (m *Memory) Copy() Copy {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := Copy{streams: map[string]memoryStream{}}
	for name, s := range m.streams {
		out.streams[name] = memoryStream{first: s.first, entries: slices.Clone(s.entries)}
	}
	return out
}

// Restore replaces the content by that of a copy: later records are lost and their offsets are assigned again.
func (m *Memory) Restore(c Copy) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.streams = map[string]*memoryStream{}
	for name, s := range c.streams {
		m.streams[name] = &memoryStream{first: s.first, entries: slices.Clone(s.entries)}
	}
	m.era++
	m.notifyChanged()
}

// Era returns the number of restorations, plus one.
func (m *Memory) Era() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.era
}

// SetFaults replaces the injected faults and applies the new retention to all streams.
func (m *Memory) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
	for _, s := range m.streams {
		m.trim(s)
	}
	m.notifyChanged()
}

// Faults returns the injected faults.
func (m *Memory) Faults() Faults {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults
}

// Stats returns a copy of the statistics.
func (m *Memory) Stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := Stats{Appends: map[string]int64{}, Reads: map[string]int64{}}
	for k, v := range m.stats.Appends {
		out.Appends[k] = v
	}
	for k, v := range m.stats.Reads {
		out.Reads[k] = v
	}
	return out
}

func (m *Memory) stream(name string) *memoryStream {
	s := m.streams[name]
	if s == nil {
		s = &memoryStream{first: 1}
		m.streams[name] = s
	}
	return s
}

// trim drops the records of s beyond the retention. The caller holds m.mu.
func (m *Memory) trim(s *memoryStream) {
	if n := len(s.entries) - max(m.faults.Retain, 0); m.faults.Retain != 0 && n > 0 {
		s.first += int64(n)
		s.entries = append([]Entry(nil), s.entries[n:]...)
	}
}

// notifyChanged unblocks waiting reads. The caller holds m.mu.
func (m *Memory) notifyChanged() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// injectFaults waits for the configured delay and returns ErrOutage during an outage.
func (m *Memory) injectFaults(ctx context.Context) error {
	f := m.Faults()
	if f.Delay > 0 {
		t := time.NewTimer(f.Delay)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if f.Outage {
		return ErrOutage
	}
	return ctx.Err()
}

// Append implements Log.
func (m *Memory) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	return m.AppendAll(ctx, stream, AnyOffset, data)
}

// AnyOffset makes AppendAll append at the end of the stream unconditionally.
const AnyOffset = -1

// ErrOffsetMismatch is returned by AppendAll when the next offset of the stream is not the expected one.
var ErrOffsetMismatch = errors.New("log service: next offset of the stream is not the expected one")

// AppendAll atomically appends records if the next offset of the stream is at, and returns
// the offset of the first. Otherwise it returns the next offset and ErrOffsetMismatch.
func (m *Memory) AppendAll(ctx context.Context, stream string, at int64, records ...[]byte) (int64, error) {
	if err := m.injectFaults(ctx); err != nil {
		return 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.stream(stream)
	offset := s.first + int64(len(s.entries))
	if at != AnyOffset && at != offset {
		return offset, ErrOffsetMismatch
	}
	for i, data := range records {
		s.entries = append(s.entries, Entry{Offset: offset + int64(i), Data: append([]byte(nil), data...)})
	}
	m.trim(s)
	m.stats.Appends[stream]++
	m.notifyChanged()
	if m.faults.LoseReplyEvery > 0 {
		m.countedAppends++
		if m.countedAppends%m.faults.LoseReplyEvery == 0 {
			return 0, ErrLostReply
		}
	}
	return offset, nil
}

// Read implements Log.
func (m *Memory) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Page, error) {
	if err := m.injectFaults(ctx); err != nil {
		return Page{}, err
	}
	var deadline <-chan time.Time
	if wait > 0 {
		t := time.NewTimer(wait)
		defer t.Stop()
		deadline = t.C
	}
	m.mu.Lock()
	m.stats.Reads[stream]++
	era := m.era
	for {
		if m.faults.Outage {
			m.mu.Unlock()
			return Page{}, ErrOutage
		}
		p := m.page(stream, from, limit)
		changed := m.changed
		m.mu.Unlock()
		if len(p.Entries) > 0 || deadline == nil || p.Era != era {
			return p, nil
		}
		select {
		case <-changed:
		case <-deadline:
			deadline = nil
		case <-ctx.Done():
			return Page{}, ctx.Err()
		}
		m.mu.Lock()
	}
}

func (m *Memory) page(stream string, from int64, limit int) Page {
	s := m.stream(stream)
	p := Page{Era: m.era, First: s.first, Next: s.first + int64(len(s.entries))}
	start := max(from, s.first)
	for o := start; o < p.Next && len(p.Entries) < limit; o++ {
		p.Entries = append(p.Entries, s.entries[o-s.first])
	}
	return p
}
