package orders

import (
	"sync"
	"time"
)

// storeOutage counts the calls to the store that failed since the last one that succeeded.
type storeOutage struct {
	mu    sync.Mutex
	calls int
	// since is when the first of the failed calls began.
	since time.Time
}

// fail counts a failed call that began at start and reports whether it is the first.
func (o *storeOutage) fail(start time.Time) (first bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.calls++; o.calls == 1 {
		o.since = start
	}
	return o.calls == 1
}

// end returns the number of failed calls and when the first began, and forgets them.
func (o *storeOutage) end() (calls int, since time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	calls, since = o.calls, o.since
	o.calls = 0
	return calls, since
}

// ongoing reports whether the last call failed.
func (o *storeOutage) ongoing() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.calls > 0
}
