package distribution_test

import (
	"testing"
	"testing/synctest"
	"time"

	"celerybank/internal/testmesh"
)

// A node that was alone in its mesh slept past the end of its search for a log reader, and admitted requests only
// seconds later.
func TestLoneNodeIsReadyWhenItsSearchForAReaderEnds(t *testing.T) {
	const limit = 3100 * time.Millisecond // the longest search is 3 s
	latest, late := time.Duration(0), 0
	const starts = 200
	for range starts {
		synctest.Test(t, func(t *testing.T) {
			m := testmesh.New(t)
			defer m.Stop()
			began := time.Now()
			h := m.Start(1, 1)
			select {
			case <-h.Node.Ready():
			case <-time.After(10 * time.Second):
			}
			took := time.Since(began)
			latest = max(latest, took)
			if took > limit {
				late++
			}
		})
	}
	t.Logf("the last of %d was ready after %v", starts, latest)
	if late > 0 {
		t.Errorf("%d of %d lone nodes were ready after more than %v, the last after %v", late, starts, limit, latest)
	}
}
