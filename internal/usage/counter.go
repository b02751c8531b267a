package usage

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Sizes of a Counter.
const (
	// bucketWidth is the resolution of the counts. A bucket belongs to the window in which its middle lies, so that a request is
	// attributed with an error of half of it at most.
	bucketWidth = 50 * time.Millisecond
	// retention is how long counts are kept: a successor of the holder asks for them again.
	retention   = 30 * time.Second
	bucketCount = int64(retention / bucketWidth)
	// counterShards is the number of parts with a lock each, by workspace.
	counterShards = 8
	// searchLength is the number of entries of a bucket that are searched for a workspace, so that a request costs the same however
	// many workspaces there are. A workspace may have several entries.
	searchLength = 16
	// maxKeptEntries is the capacity up to which a bucket is reused.
	maxKeptEntries = 256
)

// Counter counts the requests that this host's upstream begins to run. It keeps them for the retention time.
type Counter struct {
	clock Clock
	start time.Time
	// suspended is by how much the boot-time clock is ahead of the monotonic clock of the Go runtime, in nanoseconds.
	suspended atomic.Int64
	process   uint64
	shards    [counterShards]counterShard
}

type counterShard struct {
	mu sync.Mutex
	// sealed is the last bucket that was handed out; it does not change any more.
	sealed  int64
	buckets [bucketCount]bucket
}

// bucket has the counts of one interval. number counts intervals since the start of the process.
type bucket struct {
	number int64
	counts []workspaceCount
}

type workspaceCount struct {
	workspace string
	n         int64
}

// NewCounter returns a counter of a process, which process identifies.
func NewCounter(clock Clock, process uint64) *Counter {
	c := &Counter{clock: clock, process: process, start: time.Now().Add(-clock.Boot())}
	for i := range c.shards {
		c.shards[i].sealed = -1
	}
	return c
}

// Resync measures for how long the process was suspended. Call it often, and when the process was resumed.
func (c *Counter) Resync() {
	c.suspended.Store(int64(max(0, c.clock.Boot()-time.Since(c.start))))
}

// Begin counts a request of a workspace that the upstream began to run at a time.
func (c *Counter) Begin(workspace string, at time.Time) { c.add(workspace, at, 1) }

// Revoke takes back what Begin counted: the upstream has refused the request without running it.
func (c *Counter) Revoke(workspace string, at time.Time) { c.add(workspace, at, -1) }

func (c *Counter) add(workspace string, at time.Time, n int64) {
	elapsed := at.Sub(c.start) + time.Duration(c.suspended.Load())
	c.shards[xxhash.Sum64String(workspace)%counterShards].add(workspace, int64(elapsed/bucketWidth), n)
}

func (s *counterShard) add(workspace string, number, n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	number = max(number, s.sealed+1) // a bucket that was handed out does not change
	b := &s.buckets[number%bucketCount]
	switch {
	case b.number > number:
		return // older than the retention time
	case b.number < number:
		b.reset(number)
	}
	for i := len(b.counts) - 1; i >= max(0, len(b.counts)-searchLength); i-- {
		if b.counts[i].workspace == workspace {
			b.counts[i].n += n
			return
		}
	}
	b.counts = append(b.counts, workspaceCount{workspace, n})
}

func (b *bucket) reset(number int64) {
	b.number = number
	clear(b.counts)
	if b.counts = b.counts[:0]; cap(b.counts) > maxKeptEntries {
		b.counts = nil
	}
}

// snapshot returns the buckets after a number that are over. With final it returns the current one too, for a process that
// stops.
func (c *Counter) snapshot(after int64, final bool) *Counts {
	c.Resync()
	elapsed := c.clock.Boot()
	last := int64(elapsed/bucketWidth) - 1
	if final {
		last++
	}
	after = max(after, last-bucketCount, -1)
	out := &Counts{Process: c.process, Last: max(last, after), Elapsed: elapsed.Microseconds(), Wall: c.clock.Wall.UnixMicro()}
	names := nameTable{}
	for i := range c.shards {
		c.shards[i].read(after, last, func(number int64, w workspaceCount) {
			out.Entries = append(out.Entries, number, names.index(w.workspace), w.n)
		})
	}
	out.Names = names.list
	return out
}

// read seals the buckets up to last and calls f with the counts in those after a number.
func (s *counterShard) read(after, last int64, f func(number int64, w workspaceCount)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sealed = max(s.sealed, last)
	for number := after + 1; number <= last; number++ {
		if b := &s.buckets[number%bucketCount]; b.number == number {
			for _, w := range b.counts {
				f(number, w)
			}
		}
	}
}

// nameTable numbers the names in a message.
type nameTable struct {
	list    []string
	numbers map[string]int64
}

func (t *nameTable) index(name string) int64 {
	if i, ok := t.numbers[name]; ok {
		return i
	}
	if t.numbers == nil {
		t.numbers = map[string]int64{}
	}
	i := int64(len(t.list))
	t.list, t.numbers[name] = append(t.list, name), i
	return i
}
