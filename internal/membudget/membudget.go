// Package membudget bounds the memory of the messages that a node reads from others. A sender may send without end, on many
// connections at the same time; what all messages hold together stays within the budget. When it is exhausted, the
// largest message that is still being read gives way, so that small ones are still read.
package membudget

import (
	"sync"

	"github.com/go-faster/errors"
)

// ErrExhausted reports a message that was given up because the messages being read exceed their memory.
var ErrExhausted = errors.New("messages being read exceed their memory")

// Budget is the memory that messages share. A nil *Budget sets no limit.
type Budget struct {
	limit int64

	mu   sync.Mutex
	used int64
	// reading has the holders that hold bytes of the budget and may be evicted.
	reading map[*Holder]struct{}
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit, reading: map[*Holder]struct{}{}} }

// Used returns the number of bytes that are taken.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Holder holds the memory of one message at a time. Only one goroutine may use it. A nil *Holder has no limit.
type Holder struct {
	budget *Budget
	free   int64
	evict  func()
	// small counts the bytes that did not need the budget, and counted is set once others did.
	small   int64
	counted bool

	// Guarded by budget.mu.
	bytes   int64
	evicted bool
}

// Hold returns a holder without bytes. The first free bytes of each message are not counted: most messages are smaller,
// and their number is bounded by that of the connections. evict is called, from any goroutine, when the message has to give
// way; it must end the reading and not block.
func (b *Budget) Hold(free int64, evict func()) *Holder {
	if b == nil {
		return nil
	}
	return &Holder{budget: b, free: free, evict: evict}
}

// Take takes n bytes for the message. If they are not left, the largest message is evicted; if that is this one, Take
// returns ErrExhausted, and the bytes are not taken.
func (h *Holder) Take(n int64) error {
	switch {
	case h == nil:
		return nil
	case h.small+n <= h.free:
		h.small += n
		return nil
	}
	h.counted = true
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	for !h.evicted && b.used+n > b.limit {
		b.evictLargest(h, n)
	}
	if h.evicted {
		return ErrExhausted
	}
	h.bytes += n
	b.used += n
	b.reading[h] = struct{}{}
	return nil
}

// evictLargest evicts the largest message, taking into account that h needs n more bytes. b.mu is held.
func (b *Budget) evictLargest(h *Holder, n int64) {
	victim := h
	for other := range b.reading {
		if other.bytes > h.bytes+n && (victim == h || other.bytes > victim.bytes) {
			victim = other
		}
	}
	victim.evicted = true
	delete(b.reading, victim)
	if victim == h {
		return
	}
	b.used -= victim.bytes
	victim.bytes = 0
	victim.evict()
}

// Pin protects the message from eviction: it was read completely. It returns ErrExhausted if it is too late.
func (h *Holder) Pin() error {
	if h == nil || !h.counted {
		return nil
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.evicted {
		return ErrExhausted
	}
	delete(h.budget.reading, h)
	return nil
}

// Evicted reports whether the message had to give way.
func (h *Holder) Evicted() bool {
	if h == nil || !h.counted {
		return false
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.evicted
}

// Release returns the memory of the message. The holder may then be used for another one.
func (h *Holder) Release() {
	if h == nil {
		return
	}
	h.small = 0
	if !h.counted {
		return // without the lock that all messages share
	}
	h.counted = false
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	delete(h.budget.reading, h)
	h.budget.used -= h.bytes
	h.bytes, h.evicted = 0, false
}
