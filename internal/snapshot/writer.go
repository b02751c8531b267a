package snapshot

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"celerybank/internal/configlog"
	"celerybank/internal/duration"
	"celerybank/internal/events"
	"celerybank/internal/mesh"
)

// A snapshot is due after so many records, or after so much time even without
// records: the stream of snapshots has a horizon too.
const (
	everyRecords = 1000
	everyTime    = time.Hour
	// checkInterval is the time between judgements of one log reader.
	checkInterval = 10 * time.Second
	// jitter spreads the log readers that find a snapshot due at the same time: the
	// first one appends, the others see it.
	jitter = 20 * time.Second
)

// States gives the newest agreed state.
type States interface{ State() *mesh.State }

// Keeper appends snapshots while its node is a log reader.
type Keeper struct {
	log      configlog.Log
	states   States
	isReader func() bool
	events   *events.Recorder
	// version and made are of the newest snapshot seen in the stream; version 0 is none.
	version int64
	made    time.Time
}

// NewKeeper returns a keeper; isReader says whether the node is a log reader now.
func NewKeeper(log configlog.Log, states States, isReader func() bool, ev *events.Recorder) *Keeper {
	return &Keeper{log: log, states: states, isReader: isReader, events: ev}
}

// Run judges and appends until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	for duration.Sleep(ctx, checkInterval/2+rand.N(checkInterval)) {
		if !k.isReader() || !k.due() {
			continue
		}
		if !duration.Sleep(ctx, rand.N(jitter)) {
			break
		}
		k.keep(ctx)
	}
	return nil
}

func (k *Keeper) due() bool {
	version := k.states.State().Version
	if version == 0 {
		return false
	}
	return k.version == 0 || version-k.version >= everyRecords || time.Since(k.made) >= everyTime
}

// keep looks at the stream again and appends a snapshot when it is still due.
func (k *Keeper) keep(ctx context.Context) {
	found, err := Newest(ctx, k.log)
	if err != nil && !errors.Is(err, ErrNone) {
		return // the log is away; the next judgement comes
	}
	if err == nil {
		k.version, k.made = found.State.Version, found.Made
	}
	if !k.due() {
		return
	}
	st, now := k.states.State(), time.Now()
	bytes, err := Append(ctx, k.log, st, now)
	if err != nil {
		k.events.Emit(events.SnapshotFailed, events.Fields{"version": st.Version, "reason": err.Error()})
		return
	}
	k.version, k.made = st.Version, now
	k.events.Emit(events.SnapshotWritten, events.Fields{"version": st.Version, "bytes": bytes})
}
