package distribution

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"celerybank/internal/configlog"
	"celerybank/internal/duration"
	"celerybank/internal/events"
	"celerybank/internal/mesh"
	"celerybank/internal/snapshot"
)

const (
	// readersPerZone is the number of nodes in each availability zone that read the log;
	// with two, one may fail.
	readersPerZone = 2
	// readWait is how long a read of the log waits for new entries, and readTimeout how long such a read may take
	// in addition. One that gets no response blocks a log reader for both; together they must stay below the
	// time within which a version has to be in force, 4 s. A slow log is read without waiting.
	readWait    = 1500 * time.Millisecond
	readTimeout = time.Second
	// readLimit is the maximum number of entries in one read or batch.
	readLimit = 512
	// readPause is the pause after a read that returned a partial page, or that did not
	// wait for new entries.
	readPause = 50 * time.Millisecond
	// retryDelay is the mean time from the start of a failed read to the start of the next; it doubles up to
	// maxRetryDelay.
	retryDelay    = 250 * time.Millisecond
	maxRetryDelay = 1500 * time.Millisecond
	// roleCheckInterval is the mean time between checks whether this node is a log reader.
	roleCheckInterval = time.Second
	// lostRetention is how long records that a restored log has lost stay in force unless they are
	// written again. A longer time keeps a lost withdrawal in force for longer, a shorter one lets an
	// older configuration come back while an operator still writes.
	lostRetention = 5 * time.Second
	// readerSilenceLimit is the time without a sign of any log reader after which a node
	// reads the log itself, and the minimum time between two such reads.
	readerSilenceLimit = 30 * time.Second
)

// follow reads the log continuously while this node is one of its zone's log readers,
// and about every readerSilenceLimit while no log reader is known to be reading.
func (d *Distributor) follow(ctx context.Context) {
	if !duration.Sleep(ctx, startReaderWait/2+rand.N(startReaderWait)) { // lets membership converge and peers deliver their records first
		return
	}
	delay := retryDelay
	for ctx.Err() == nil {
		wait := readWait
		if !d.IsLogReader() {
			if !d.shouldReadDirectly() {
				if !duration.Sleep(ctx, roleCheckInterval/2+rand.N(roleCheckInterval)) {
					return
				}
				continue
			}
			wait = 0
		}
		if d.logDown.Load() {
			wait = 0
		}
		start := time.Now()
		n, err := d.read(ctx, wait)
		pause := time.Duration(0)
		switch {
		case err != nil:
			pause = duration.RetryPause(delay, start)
			delay = min(2*delay, maxRetryDelay)
		case n > 0 && n < readLimit:
			pause, delay = readPause, retryDelay
		case wait == 0:
			pause, delay = readPause, retryDelay
		default:
			delay = retryDelay
		}
		if !duration.Sleep(ctx, pause) {
			return
		}
	}
}

// shouldReadDirectly reports whether no log reader was seen for readerSilenceLimit. Once
// it has returned true, it returns false for one to two times that limit (jittered).
func (d *Distributor) shouldReadDirectly() bool {
	now := time.Now().UnixMilli()
	if now-d.readerSeen.Load() < readerSilenceLimit.Milliseconds() || now < d.nextDirectRead.Load() {
		return false
	}
	d.nextDirectRead.Store(now + readerSilenceLimit.Milliseconds() + rand.Int64N(readerSilenceLimit.Milliseconds()))
	return true
}

// IsLogReader reports whether this node is one of its zone's log readers.
func (d *Distributor) IsLogReader() bool {
	self := d.members.Self()
	for _, addr := range readersOf(self.Zone, d.members.Alive()) {
		if addr == self.Addr {
			return true
		}
	}
	return false
}

// read reads one page of the log, applies it and returns its number of entries.
func (d *Distributor) read(ctx context.Context, wait time.Duration) (int, error) {
	from := configlog.OffsetOf(d.store.State().Version) + 1
	d.observeReader(time.Now())
	d.reads.Add(1)
	readCtx := ctx
	if wait > 0 {
		var cancel context.CancelFunc
		readCtx, cancel = context.WithTimeout(ctx, wait+readTimeout)
		defer cancel()
	}
	page, err := d.log.Read(readCtx, configlog.MeshStream, from, readLimit, wait)
	if ctx.Err() != nil {
		return 0, ctx.Err()
	}
	d.recordLogStatus(err)
	if err != nil {
		return 0, err
	}
	d.observeReader(time.Now())
	if st := d.store.State(); page.Era > configlog.EraOf(st.Version) {
		return 0, d.adoptEra(ctx, st, page)
	}
	if page.Next < from {
		d.reportLogBehind(page.Next - 1)
		return 0, errors.New("log head is older than this node's version")
	}
	page = page.Versions()
	if from = d.store.State().Version + 1; page.First > from {
		return 0, d.restore(ctx, page)
	}
	d.store.ApplyEntries(page.Entries)
	return len(page.Entries), nil
}

// errLostInForce reports that this node keeps a state of which the log has lost records.
var errLostInForce = errors.New("log came back from an older copy; its lost records stay in force for now")

// adoptEra installs the state of a log that came back from an older copy. What the log lost stays in
// force until all of it is written again, for at most lostRetention; then the log decides.
func (d *Distributor) adoptEra(ctx context.Context, st *mesh.State, page configlog.Page) error {
	if d.restoredEra != page.Era {
		d.restoredEra, d.restoredAt = page.Era, time.Now()
		d.events.Emit(events.StoreRestored, events.Fields{"era": page.Era, "before": configlog.EraOf(st.Version), "next": page.Next, "position": configlog.OffsetOf(st.Version)})
	}
	restored, err := snapshot.Replay(ctx, d.log, mesh.Empty(), nil)
	if err != nil {
		return err
	}
	if time.Since(d.restoredAt) < lostRetention && len(st.LostSubjects(restored)) > 0 {
		return errLostInForce
	}
	d.store.Install(restored, "log")
	return nil
}

// restore installs the newest snapshot in the log. It is needed when the log has dropped
// records that this node has not applied; page begins with the oldest that it retains.
func (d *Distributor) restore(ctx context.Context, page configlog.Page) error {
	d.events.Emit(events.PrefixLost, events.Fields{"version": d.store.State().Version, "first": page.First})
	st, err := snapshot.NewestBefore(ctx, d.log, page)
	if err != nil {
		return err
	}
	d.store.Install(st, "log")
	return nil
}

// reportLogBehind emits SourceBehind, once in the lifetime of the process.
func (d *Distributor) reportLogBehind(head int64) {
	if d.logBehind.CompareAndSwap(false, true) {
		d.events.Emit(events.SourceBehind, events.Fields{"version": d.store.State().Version, "head": head})
	}
}

// recordLogStatus records whether the last read of the log succeeded and emits an event
// when that changes.
func (d *Distributor) recordLogStatus(err error) {
	if d.logDown.Swap(err != nil) == (err != nil) {
		return
	}
	if err != nil {
		d.events.Emit(events.SourceUnavailable, events.Fields{"reason": err.Error()})
		return
	}
	d.events.Emit(events.SourceAvailable, events.Fields{"version": d.store.State().Version})
}
