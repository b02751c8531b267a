package claims

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"celerybank/internal/events"
	"celerybank/internal/mesh"
)

// PeerClient calls methods of peers.
type PeerClient interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// Holder stores the claims of the groups in which this node has a seat.
type Holder struct {
	addr    string
	process ID
	// ctx ends with Run; no message is sent after that.
	ctx            context.Context
	cancel         context.CancelFunc
	source         StateSource
	peers          PeerClient
	events         *events.Recorder
	table          *table
	mu             sync.Mutex // serializes sync and guards the fields below
	syncedVersion  int64
	groups         []mesh.Group
	started        bool
	initialVersion int64
}

// NewHolder returns the holder of the node with peer address addr.
func NewHolder(addr string, source StateSource, peers PeerClient, ev *events.Recorder) *Holder {
	return newHolder(addr, source, peers, ev, maxHeldClaims, disabledRules{})
}

func newHolder(addr string, source StateSource, peers PeerClient, ev *events.Recorder, limit int64, disabled disabledRules) *Holder {
	ctx, cancel := context.WithCancel(context.Background())
	return &Holder{addr: addr, process: newID(), ctx: ctx, cancel: cancel, source: source, peers: peers, events: ev, table: newTable(limit, disabled)}
}

// Run waits for synced, then follows the seat records and recovers the claims of this
// node's seats, until ctx ends. synced must be closed only when the state is at least as
// new as the log was when the process started: seats assigned by then abstain at first, and
// no seat record that the previous process at this address had applied is missing.
func (h *Holder) Run(ctx context.Context, synced <-chan struct{}) error {
	defer context.AfterFunc(ctx, h.cancel)()
	defer h.cancel()
	select {
	case <-synced:
	case <-ctx.Done():
		return nil
	}
	h.start()
	var wg conc.WaitGroup
	wg.Go(func() { h.followChanges(ctx) })
	wg.Go(func() { h.recoverLoop(ctx) })
	wg.Go(func() { runEvery(ctx, sweepInterval, h.table.sweep) })
	wg.Wait()
	return nil
}

// runEvery calls f at each tick until ctx ends.
func runEvery(ctx context.Context, interval time.Duration, f func()) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			f()
		}
	}
}

// start records the current state version and applies the seats. Seats up to that version
// may have been used by a previous process at this address.
func (h *Holder) start() {
	h.mu.Lock()
	h.started, h.initialVersion = true, h.source.State().Version
	h.mu.Unlock()
	h.sync()
}

func (h *Holder) isStarted() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.started
}

// sync applies the newest seat records.
func (h *Holder) sync() {
	h.mu.Lock()
	defer h.mu.Unlock()
	st := h.source.State()
	if !h.started || st.Version <= h.syncedVersion || st.Groups == nil {
		return
	}
	h.table.sync(h.groups, st.Groups, h.addr, h.initialVersion)
	h.syncedVersion, h.groups = st.Version, st.Groups
}

func (h *Holder) followChanges(ctx context.Context) {
	for {
		changed := h.source.Changed()
		h.sync()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// recoverLoop runs recovery rounds, backing off while they make no progress.
func (h *Holder) recoverLoop(ctx context.Context) {
	interval, changes := recoverInterval, int64(0)
	for {
		timer := time.NewTimer(interval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		interval = min(2*interval, maxRecoverInterval)
		if latest := h.table.seatChanges.Load(); !h.recover(ctx) || latest != changes {
			interval, changes = recoverInterval, latest
		}
	}
}

// recover copies from the other holders what this node's seats lack and activates the seats
// that are complete. It reports whether it called others without activating any seat.
func (h *Holder) recover(ctx context.Context) bool {
	var wg conc.WaitGroup
	tasks := h.table.copyTasks()
	for addr, batch := range tasks {
		wg.Go(func() { h.copyFrom(ctx, addr, batch) })
	}
	wg.Wait()
	groups := h.table.activate()
	if len(groups) > 0 {
		h.events.Emit(events.ClaimSeatsActive, events.Fields{"groups": len(groups), "claims": h.table.held.Load()})
	}
	return len(tasks) > 0 && len(groups) == 0
}

// copyFrom performs all copy tasks for one holder, in batches of equal kind.
func (h *Holder) copyFrom(ctx context.Context, addr string, tasks []copyTask) {
	for len(tasks) > 0 && ctx.Err() == nil {
		n := 1
		for n < len(tasks) && n < maxGroupsPerCopy && tasks[n].confirm == tasks[0].confirm {
			n++
		}
		if !h.copyBatch(ctx, addr, tasks[:n]) {
			return
		}
		tasks = tasks[n:]
	}
}

func (h *Holder) copyBatch(ctx context.Context, addr string, tasks []copyTask) bool {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	args := CopyRequest{Confirm: tasks[0].confirm}
	for _, task := range tasks {
		args.Groups = append(args.Groups, task.GroupRecord)
	}
	var reply CopyReply
	if err := h.peers.Call(ctx, addr, "Claims.Copy", &args, &reply); err != nil || len(reply.Groups) != len(tasks) {
		return false
	}
	for i, task := range tasks {
		h.table.recordCopy(addr, task, reply.Process, reply.Groups[i])
	}
	return true
}
