package usage

import "time"

// series has the counts of one process of a host, as a collector holds them.
type series struct {
	process uint64
	// zero is the collector's clock when the process started: the lowest of all estimates, as a reply that was on its way for
	// longer gives a higher one.
	zero time.Duration
	// wall is the wall clock of the host at zero.
	wall time.Time
	// last is the last bucket that is known.
	last   int64
	counts []bucketCountEntry
	// heard is when the last reply came.
	heard time.Duration
	// ended is set if the process has handed its counts over.
	ended bool
}

type bucketCountEntry struct {
	bucket    int64
	workspace string
	n         int64
}

// merge adds counts that arrived at a time of the collector's clock.
func (s *series) merge(c *Counts, now time.Duration) {
	zero := now - time.Duration(c.Elapsed)*time.Microsecond
	if s.heard == 0 || zero < s.zero {
		s.zero = zero
	}
	s.wall, s.heard = time.UnixMicro(c.Wall), now
	for i := 0; i+2 < len(c.Entries); i += 3 {
		bucket, name, n := c.Entries[i], c.Entries[i+1], c.Entries[i+2]
		if bucket <= s.last || name < 0 || name >= int64(len(c.Names)) {
			continue // known already, or malformed
		}
		s.counts = append(s.counts, bucketCountEntry{bucket, c.Names[name], n})
	}
	s.last = max(s.last, c.Last)
}

// covered returns the time up to which the counts are known.
func (s *series) covered() time.Duration { return s.zero + time.Duration(s.last+1)*bucketWidth }

// middle returns the middle of a bucket in the collector's clock.
func (s *series) middle(bucket int64) time.Duration {
	return s.zero + time.Duration(bucket)*bucketWidth + bucketWidth/2
}

// expire drops the counts before a time and reports whether none are left.
func (s *series) expire(before time.Duration) (empty bool) {
	kept := s.counts[:0]
	for _, e := range s.counts {
		if s.middle(e.bucket) >= before {
			kept = append(kept, e)
		}
	}
	clear(s.counts[len(kept):])
	s.counts = kept
	return len(kept) == 0 && s.heard < before
}

// export returns the counts as the process itself would send them at a time of the collector's clock.
func (s *series) export(now time.Duration) *Counts {
	out := &Counts{Process: s.process, Elapsed: (now - s.zero).Microseconds(), Wall: s.wall.UnixMicro(), Last: s.last}
	names := nameTable{}
	for _, e := range s.counts {
		out.Entries = append(out.Entries, e.bucket, names.index(e.workspace), e.n)
	}
	out.Names = names.list
	return out
}
