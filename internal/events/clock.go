package events

import (
	"sync/atomic"
	"time"
)

// maxDrift is the maximum by which stamps of peers can advance this clock ahead of the wall clock. A host
// whose clock is further ahead does not distort the timelines of the others.
const maxDrift = time.Minute

// Clock is a hybrid logical clock (Kulkarni, Demirbas et al. 2014). Its stamps are Unix nanoseconds close
// to the wall clock, and an event that a message caused has a later stamp than the message, even if the
// wall clocks of the hosts differ. A nil *Clock returns stamp 0.
type Clock struct{ last atomic.Int64 }

// Now returns a stamp that is later than all stamps returned or observed before.
func (c *Clock) Now() int64 {
	if c == nil {
		return 0
	}
	for {
		last := c.last.Load()
		next := max(time.Now().UnixNano(), last+1)
		if c.last.CompareAndSwap(last, next) {
			return next
		}
	}
}

// Observe advances the clock to the stamp of a received message. A stamp more than maxDrift ahead of the
// wall clock is ignored.
func (c *Clock) Observe(stamp int64) {
	if c == nil || stamp > time.Now().Add(maxDrift).UnixNano() {
		return
	}
	for {
		last := c.last.Load()
		if stamp <= last || c.last.CompareAndSwap(last, stamp) {
			return
		}
	}
}
