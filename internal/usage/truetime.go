package usage

import (
	"slices"
	"time"
)

// trueTime estimates the true time: the median of the hosts' clocks, as a third of them may be wrong by seconds.
type trueTime struct {
	known bool
	// offset is by how much the true time is ahead of this process's own clock.
	offset time.Duration
}

// maxJitter is the change of the median that is ignored: with each change, requests at the end of a window are counted twice or not
// at all.
const maxJitter = 20 * time.Millisecond

// learn sets the estimate from the offsets of the hosts' clocks against that of this process.
func (t *trueTime) learn(offsets []time.Duration) {
	if len(offsets) == 0 {
		return
	}
	slices.Sort(offsets)
	median := offsets[len(offsets)/2]
	if !t.known || (median-t.offset).Abs() > maxJitter {
		t.known, t.offset = true, median
	}
}

// at returns the true time since 1970 at a time of the process's clock.
func (t *trueTime) at(c Clock, boot time.Duration) time.Duration {
	return time.Duration(c.Wall.UnixNano()) + boot + t.offset
}

// window returns the window in which a true time lies.
func window(at, length time.Duration) int64 { return int64(at / length) }
