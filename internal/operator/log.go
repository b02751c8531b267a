// Package operator implements the commands of operators: they publish configurations, take
// availability zones out and in, export and import a mesh, and read the state of its nodes.
package operator

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"celerybank/internal/configlog"
	"celerybank/internal/duration"
	"celerybank/internal/inventory"
	"celerybank/internal/mesh"
	"celerybank/internal/snapshot"
)

// confirmTimeout bounds the time for which the append of one record is retried until it is confirmed.
const confirmTimeout = 30 * time.Second

// The delay between two attempts starts at minRetryDelay and doubles up to maxRetryDelay.
const (
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 3 * time.Second
)

// Errors of a record that has no effect or whose effect is unknown.
var (
	// ErrSuperseded means that another record about the same subject was appended first.
	ErrSuperseded = errors.New("superseded by another operator's record; check the current state and try again")
	// ErrRefused means that the record is invalid in the state at its offset.
	ErrRefused = errors.New("refused")
	// ErrOutcomeUnknown means that the log did not confirm the record in time, or that it dropped the
	// record before its effect was read.
	ErrOutcomeUnknown = errors.New("the log service did not confirm the record, which may or may not take effect; try again when the service responds")
)

// LogClient reads and changes the agreed state of one mesh through its log.
type LogClient struct {
	log    configlog.Log
	author string
}

// NewLogClient returns a client that appends records with this author.
func NewLogClient(log configlog.Log, author string) *LogClient { return &LogClient{log, author} }

// State returns the state after the newest record of the log.
func (c *LogClient) State(ctx context.Context) (*mesh.State, error) {
	return c.catchUp(ctx, mesh.Empty(), nil)
}

// catchUp applies the records that follow st; see snapshot.Replay.
func (c *LogClient) catchUp(ctx context.Context, st *mesh.State, observe func(mesh.Result)) (*mesh.State, error) {
	return snapshot.Replay(ctx, c.log, st, observe)
}

// Publish appends inv and rules as the new configuration and returns the version at which they take
// effect. Faults in inv or rules are a fault.List; other errors are those of PublishRecord and
// AppendAndConfirm.
func (c *LogClient) Publish(ctx context.Context, inv inventory.Inventory, rules inventory.Rules) (int64, error) {
	st, err := c.State(ctx)
	if err != nil {
		return 0, err
	}
	rec, err := st.PublishRecord(inv, rules, c.author, time.Now())
	if err != nil {
		return 0, err
	}
	return c.AppendAndConfirm(ctx, st, rec)
}

// OrderZone takes a zone out or in by a record in the log and returns the version at which the order
// takes effect. For errors see AppendAndConfirm.
func (c *LogClient) OrderZone(ctx context.Context, zone string, out bool) (int64, error) {
	st, err := c.State(ctx)
	if err != nil {
		return 0, err
	}
	subject := mesh.ZoneSubject(zone)
	order := mesh.ZoneOrder{Zone: zone, Out: out, Order: st.ZonesOut[zone].Order + 1}
	rec, err := configlog.NewRecord(mesh.KindZone, subject, st.Current[subject], c.author, order)
	if err != nil {
		return 0, err
	}
	return c.AppendAndConfirm(ctx, st, rec)
}

// AppendAndConfirm appends rec, which was created from the state st, until it is found in the log, and
// returns its version. It returns ErrSuperseded or ErrRefused if the record has no effect, and
// ErrOutcomeUnknown if its effect is unknown. The append may be retried after a lost reply, and after the
// log came back from a copy without it, because a record whose ID was read before has no effect.
func (c *LogClient) AppendAndConfirm(ctx context.Context, st *mesh.State, rec configlog.Record) (int64, error) {
	data, err := json.Marshal(rec)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	for delay := minRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		_, appendErr := c.log.Append(ctx, configlog.MeshStream, data)
		var found *mesh.Result
		next, err := c.catchUp(ctx, st, func(r mesh.Result) {
			if r.Record.ID == rec.ID && found == nil {
				found = &r
			}
		})
		if err == nil {
			if offset, ok := next.IDs.Offset(rec.ID); ok {
				return offset, outcomeError(found, next.Current[rec.Subject] == offset)
			}
		}
		restored := err == nil && configlog.EraOf(next.Version) > configlog.EraOf(st.Version)
		if appendErr == nil && err == nil && !restored {
			return 0, errors.New("the log confirmed the append, but a later read does not contain the record")
		}
		if !duration.Sleep(ctx, delay) {
			return 0, ErrOutcomeUnknown
		}
	}
}

// outcomeError returns the error for a record in the log, or nil if the record took effect. result is
// nil if the state was restored from a snapshot that already contains the record. isCurrent reports
// whether the record is the newest of its subject that took effect.
func outcomeError(result *mesh.Result, isCurrent bool) error {
	switch {
	case result == nil && isCurrent:
		return nil
	case result == nil:
		return ErrOutcomeUnknown
	case result.Outcome == mesh.Applied:
		return nil
	case result.Outcome == mesh.Superseded:
		return ErrSuperseded
	default:
		return errors.Wrap(ErrRefused, result.Reason)
	}
}
