package snapshot

import (
	"context"
	"encoding/json"
	"math"
	"time"

	"github.com/go-faster/errors"

	"celerybank/internal/configlog"
	"celerybank/internal/mesh"
)

const (
	// partsPerRead is the number of parts that one read requests.
	partsPerRead = 8
	// maxPages limits how far back Newest searches, in reads of partsPerRead parts.
	maxPages = 64
)

// ErrNotFound reports that the stream has no complete snapshot.
var ErrNotFound = errors.New("no complete snapshot in the log")

// Snapshot is a state from the snapshot stream.
type Snapshot struct {
	State     *mesh.State
	CreatedAt time.Time
}

// Newest returns the newest complete snapshot in the log, or ErrNotFound. It reads
// backwards from the end of the stream and skips malformed, altered or incomplete snapshots.
func Newest(ctx context.Context, log configlog.Log) (Snapshot, error) {
	page, err := log.Read(ctx, configlog.SnapshotStream, math.MaxInt64, 1, 0)
	if err != nil {
		return Snapshot{}, err
	}
	parts := newAssembler()
	for end, n := page.Next, 0; end > page.First && n < maxPages; n++ {
		from := max(page.First, end-partsPerRead)
		found, first, err := newestInRange(ctx, log, parts, from, end)
		if err != nil || found.State != nil {
			return found, err
		}
		if first >= end {
			break // the log dropped the remaining records during the search
		}
		end = from
	}
	return Snapshot{}, ErrNotFound
}

// newestInRange reads the records with offsets in [from, end) and returns the newest
// snapshot that they complete. first is the oldest offset that the log has.
func newestInRange(ctx context.Context, log configlog.Log, parts *assembler, from, end int64) (best Snapshot, first int64, err error) {
	for from < end {
		page, err := log.Read(ctx, configlog.SnapshotStream, from, int(end-from), 0)
		if err != nil {
			return best, 0, err
		}
		first = page.First
		if len(page.Entries) == 0 {
			break
		}
		for _, e := range page.Entries {
			st, createdAt, ok := parts.add(e.Data)
			if ok && (best.State == nil || st.Version > best.State.Version || (st.Version == best.State.Version && createdAt.After(best.CreatedAt))) {
				best = Snapshot{st, createdAt}
			}
		}
		from = page.Entries[len(page.Entries)-1].Offset + 1
	}
	return best, first, nil
}

// Append appends a snapshot of st to the stream, one record per part, and returns the bytes
// appended. After an error, some parts may be in the stream; readers skip them.
func Append(ctx context.Context, log configlog.Log, st *mesh.State, now time.Time) (bytes int, err error) {
	parts, err := split(st, now, maxPartBytes)
	if err != nil {
		return 0, err
	}
	for _, p := range parts {
		data, err := json.Marshal(p)
		if err != nil {
			return bytes, err
		}
		if _, err := log.Append(ctx, configlog.SnapshotStream, data); err != nil {
			return bytes, err
		}
		bytes += len(data)
	}
	return bytes, nil
}
