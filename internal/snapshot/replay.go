package snapshot

import (
	"context"

	"github.com/go-faster/errors"

	"celerybank/internal/configlog"
	"celerybank/internal/mesh"
)

// entriesPerRead is the maximum number of entries that one read of Replay returns.
const entriesPerRead = 1000

// Replay applies the records that follow st in the log and returns the newest state. It calls observe,
// unless nil, with each result. If the log has dropped the record after st, Replay continues from the
// newest snapshot, and observe misses the records up to it. If the log came back from an older copy
// since st, Replay starts again with the log's first record.
func Replay(ctx context.Context, log configlog.Log, st *mesh.State, observe func(mesh.Result)) (*mesh.State, error) {
	for {
		page, err := log.Read(ctx, configlog.MeshStream, configlog.OffsetOf(st.Version)+1, entriesPerRead, 0)
		if err != nil {
			return nil, err
		}
		if page.Era > configlog.EraOf(st.Version) {
			st = mesh.Empty().InEra(page.Era)
			continue
		}
		page = page.Versions()
		if page.First > st.Version+1 {
			if st, err = NewestBefore(ctx, log, page); err != nil {
				return nil, err
			}
			continue
		}
		for _, e := range page.Entries {
			next, res, err := st.Apply(e)
			if err != nil {
				return nil, err
			}
			if observe != nil {
				observe(res)
			}
			st = next
		}
		if st.Version >= page.Next-1 {
			return st, nil
		}
	}
}

// NewestBefore returns the state of the newest snapshot in the era of page. It is an error if the log lacks
// records between the snapshot and page, or is older than the snapshot.
func NewestBefore(ctx context.Context, log configlog.Log, page configlog.Page) (*mesh.State, error) {
	snap, err := Newest(ctx, log)
	if err != nil {
		return nil, err
	}
	st := snap.State.InEra(configlog.EraOf(page.First))
	if st.Version+1 < page.First || st.Version >= page.Next {
		return nil, errors.Errorf("the newest snapshot has version %d, but the log has records %d to %d", st.Version, page.First, page.Next-1)
	}
	return st, nil
}
