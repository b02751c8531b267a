package snapshot

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"celerybank/internal/configlog"
	"celerybank/internal/duration"
	"celerybank/internal/events"
	"celerybank/internal/mesh"
)

// A snapshot is due when snapshotRecords records follow the newest one, or when that is
// older than snapshotInterval. The latter also holds without new records, because the log
// drops old records of the snapshot stream too.
const (
	snapshotRecords  = 1000
	snapshotInterval = time.Hour
	// checkInterval is the mean time between two checks by one log reader whether a
	// snapshot is due.
	checkInterval = 10 * time.Second
	// appendJitter is the maximum random delay before a due snapshot is appended. Of the
	// log readers that find it due at the same time, the first appends it, and the others
	// then find it in the stream.
	appendJitter = 20 * time.Second
)

// StateSource returns the newest agreed state.
type StateSource interface{ State() *mesh.State }

// Writer appends snapshots to the snapshot stream while its node is a log reader.
type Writer struct {
	log      configlog.Log
	source   StateSource
	isReader func() bool
	events   *events.Recorder
	// version and createdAt describe the newest known snapshot in the stream; version is 0
	// if none is known.
	version   int64
	createdAt time.Time
}

// NewWriter returns a writer; isReader reports whether the node is currently a log reader.
func NewWriter(log configlog.Log, source StateSource, isReader func() bool, ev *events.Recorder) *Writer {
	return &Writer{log: log, source: source, isReader: isReader, events: ev}
}

// Run appends a snapshot whenever one is due, until ctx ends. It returns nil.
func (w *Writer) Run(ctx context.Context) error {
	for duration.Sleep(ctx, checkInterval/2+rand.N(checkInterval)) {
		if !w.isReader() || !w.due() {
			continue
		}
		if !duration.Sleep(ctx, rand.N(appendJitter)) {
			break
		}
		w.writeIfDue(ctx)
	}
	return nil
}

func (w *Writer) due() bool {
	version := w.source.State().Version
	if version == 0 {
		return false
	}
	return w.version == 0 || version-w.version >= snapshotRecords || time.Since(w.createdAt) >= snapshotInterval
}

// writeIfDue reads the newest snapshot from the stream and appends one if it is still due.
func (w *Writer) writeIfDue(ctx context.Context) {
	found, err := Newest(ctx, w.log)
	if err != nil && !errors.Is(err, ErrNotFound) {
		return // the log is unavailable; retried after checkInterval
	}
	if err == nil {
		w.version, w.createdAt = found.State.Version, found.CreatedAt
	}
	st, now := w.source.State(), time.Now()
	if !w.due() || !w.sameEra(ctx, st) {
		return
	}
	bytes, err := Append(ctx, w.log, st, now)
	if err != nil {
		w.events.Emit(events.SnapshotFailed, events.Fields{"version": st.Version, "reason": err.Error()})
		return
	}
	w.version, w.createdAt = st.Version, now
	w.events.Emit(events.SnapshotWritten, events.Fields{"version": st.Version, "bytes": bytes})
}

// sameEra reports whether the log is in the era of st. A snapshot with records that a restored log has
// lost would hide the records that replaced them.
func (w *Writer) sameEra(ctx context.Context, st *mesh.State) bool {
	page, err := w.log.Read(ctx, configlog.MeshStream, math.MaxInt64, 1, 0)
	return err == nil && (page.Era == 0 || page.Era == configlog.EraOf(st.Version))
}
