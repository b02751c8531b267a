package proxy

import (
	"context"
	"testing"

	"github.com/go-faster/errors"

	"celerybank/internal/peer"
	"celerybank/internal/verdict"
)

// failingPeers fails all calls.
type failingPeers struct{ err error }

func (p failingPeers) Call(context.Context, string, string, any, any) error { return p.err }

// Guards against a request that is called not-run although it may have run and its response was dropped, and against one that was
// refused for lack of memory and counts as run.
func TestVerdictWithoutMemory(t *testing.T) {
	for _, c := range []struct {
		err    error
		v      verdict.Verdict
		reason Reason
	}{
		{peer.ErrRefused, verdict.NotRun, ReasonNoMemory},
		{errors.Wrap(peer.ErrRefused, "peer"), verdict.NotRun, ReasonNoMemory},
		{peer.ErrNoMemory, verdict.MayHaveRun, ReasonResponseTooLarge},
	} {
		if res := CallOwner(t.Context(), failingPeers{c.err}, "10.0.0.2:7000", &Request{}); res.Verdict != c.v || res.Reason != c.reason {
			t.Errorf("%v: got %v, %s, want %v, %s", c.err, res.Verdict, res.Reason, c.v, c.reason)
		}
	}
}
