package membudget

import (
	"sync/atomic"
	"time"
)

// Holder holds the memory of one message at a time. Only one goroutine may use it. A nil *Holder has no limit.
type Holder struct {
	budget *Budget
	free   int64
	evict  func()
	// small counts the bytes that did not need the budget, and counted is set once others did.
	small   int64
	counted bool
	// progress is when the message last progressed, in Unix nanoseconds.
	progress atomic.Int64

	// Guarded by budget.whole.mu.
	bytes   int64
	evicted bool
	// lingering is the memory that an evicted message had.
	lingering int64
	// interrupt is closed when the message is evicted while its user waits for others.
	interrupt chan struct{}
}

// Hold returns a holder without bytes. The first free bytes of each message are not counted: most messages are smaller,
// and their number is bounded by that of the connections. evict is called, from any goroutine, when the message has to give
// way; it must end the message and not block.
func (b *Budget) Hold(free int64, evict func()) *Holder {
	if b == nil {
		return nil
	}
	return &Holder{budget: b, free: free, evict: evict}
}

// Take takes n bytes for the message, which progresses by that. If they are not left, messages that hold more and progress less
// are evicted; if there is none, Take returns ErrExhausted, and the bytes are not taken.
func (h *Holder) Take(n int64) error {
	switch {
	case h == nil || n <= 0:
		return nil
	case h.small+n <= h.free:
		h.small += n
		return nil
	}
	h.counted = true
	h.Progress()
	wait, err := h.take(n)
	if !wait {
		return err
	}
	h.awaitRelease()
	if h.Evicted() {
		return ErrExhausted
	}
	return nil
}

// take takes n bytes of the budget. wait is set if evicted messages still occupy much memory.
func (h *Holder) take(n int64) (wait bool, err error) {
	b := h.budget
	b.whole.mu.Lock()
	defer b.whole.mu.Unlock()
	if !b.yield(h, n) {
		return false, ErrExhausted
	}
	h.bytes += n
	b.add(n)
	b.whole.evictable[h] = struct{}{}
	return n > b.whole.limit/smallTakes && b.whole.lingering > b.whole.maxLingering(), nil
}

// Progress records that the message progressed.
func (h *Holder) Progress() {
	if h != nil && h.counted {
		h.progress.Store(time.Now().UnixNano())
	}
}

func (h *Holder) progressed() time.Time { return time.Unix(0, h.progress.Load()) }

// Stalled reports whether the message has not progressed for d. Any goroutine may call it.
func (h *Holder) Stalled(d time.Duration) bool { return time.Since(h.progressed()) > d }

// Pin protects the message from eviction: it was read completely. It returns ErrExhausted if it is too late.
func (h *Holder) Pin() error {
	if h == nil || !h.counted {
		return nil
	}
	whole := h.budget.whole
	whole.mu.Lock()
	defer whole.mu.Unlock()
	if h.evicted {
		return ErrExhausted
	}
	delete(whole.evictable, h)
	return nil
}

// Unpin ends the protection of the message, which waits for its receiver from now on. evict replaces the function that is
// called when it has to give way.
func (h *Holder) Unpin(evict func()) {
	if h == nil || !h.counted {
		return
	}
	h.Progress()
	whole := h.budget.whole
	whole.mu.Lock()
	defer whole.mu.Unlock()
	h.evict = evict
	if !h.evicted && h.bytes > 0 {
		whole.evictable[h] = struct{}{}
	}
}

// Evicted reports whether the message had to give way.
func (h *Holder) Evicted() bool {
	if h == nil || !h.counted {
		return false
	}
	h.budget.whole.mu.Lock()
	defer h.budget.whole.mu.Unlock()
	return h.evicted
}

// Detach moves the memory of the message, protected from eviction, to a new holder, whose user has to release it. The result is
// nil if none was counted or the message had to give way.
func (h *Holder) Detach() *Holder {
	if h == nil || !h.counted {
		return nil
	}
	whole := h.budget.whole
	whole.mu.Lock()
	defer whole.mu.Unlock()
	if h.evicted || h.bytes == 0 {
		return nil
	}
	out := &Holder{budget: h.budget, counted: true, bytes: h.bytes, evict: func() {}}
	delete(whole.evictable, h)
	h.bytes = 0
	return out
}

// MoveTo assigns the memory of the message to another part of the same budget. It may exceed the limit of that part, as the
// whole holds no more than before.
func (h *Holder) MoveTo(part *Budget) {
	if h == nil || !h.counted || part == nil || part.whole != h.budget.whole {
		return
	}
	whole := h.budget.whole
	whole.mu.Lock()
	defer whole.mu.Unlock()
	h.budget.add(-h.bytes)
	h.budget = part
	part.add(h.bytes)
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
	whole := h.budget.whole
	whole.mu.Lock()
	defer whole.mu.Unlock()
	delete(whole.evictable, h)
	h.budget.add(-h.bytes)
	if h.lingering > 0 {
		h.budget.endLingering(h.lingering)
	}
	h.bytes, h.lingering, h.evicted = 0, 0, false
}
