package usage

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"celerybank/internal/duration"
	"celerybank/internal/orders"
	"celerybank/internal/standin/usageapi"
)

// thaw is the time after a resume or a healed link in which late calls do not count.
const thaw = 300 * time.Millisecond

// Report implements API.
func (n *fakeNode) Report(ctx context.Context, generation uint64, r Report) error {
	n.wait()
	if err := ctx.Err(); err != nil {
		return err
	}
	f := n.fleet
	f.mu.Lock()
	reached := f.reaches(n.addr, "api") && n.dead.IsZero()
	excused := time.Since(f.healed[n.addr]) < thaw
	fault := f.apiFault
	f.mu.Unlock()
	if !reached {
		<-ctx.Done()
		return errUnreachable
	}
	took := runTime
	if fault != nil {
		var err error
		if took, err = fault(); err != nil {
			duration.Sleep(ctx, took)
			return err
		}
	}
	counts := map[string]int64{}
	for w, c := range r.Counts {
		counts[w] = c
	}
	accepted := f.api.Receive(usageapi.Call{At: time.Now(), Host: n.addr, Holder: n.addr, Generation: generation, Window: r.Window, Counts: counts, Excused: excused})
	switch {
	case !duration.Sleep(ctx, took):
		return ctx.Err() // accepted, but the answer comes too late
	case !accepted:
		return ErrAnswered
	}
	return nil
}

// fakeStore is the store, with faults.
type fakeStore struct {
	fleet  *fleet
	mu     sync.Mutex
	record []byte
	end    orders.Position
	// loss is the share of calls that fail; half of the failing appends take effect.
	loss           float64
	appends, reads int
}

var errLost = errors.New("response lost")

// nodeStore is the store as one node reaches it.
type nodeStore struct{ n *fakeNode }

// enter waits for a call to reach the store, and reports whether it fails.
func (s nodeStore) enter(ctx context.Context) (fails bool, err error) {
	s.n.wait()
	f := s.n.fleet
	f.mu.Lock()
	reached := f.reaches(s.n.addr, "store")
	fails = f.rng.Float64() < f.store.loss
	f.mu.Unlock()
	if !reached {
		<-ctx.Done()
		return true, ctx.Err()
	}
	time.Sleep(4 * latency)
	return fails, ctx.Err()
}

func (s nodeStore) Read(ctx context.Context) ([]byte, orders.Position, error) {
	fails, err := s.enter(ctx)
	st := s.n.fleet.store
	st.mu.Lock()
	defer st.mu.Unlock()
	st.reads++
	if err == nil && fails {
		err = errLost
	}
	return st.record, st.end, err
}

func (s nodeStore) Write(ctx context.Context, record []byte, at orders.Position) (orders.Position, error) {
	fails, err := s.enter(ctx)
	st := s.n.fleet.store
	st.mu.Lock()
	defer st.mu.Unlock()
	st.appends++
	switch {
	case err != nil:
		return orders.Position{}, err
	case fails && st.appends%2 == 0:
		return orders.Position{}, errLost // before it took effect
	case at != st.end:
		return orders.Position{}, ErrConflict
	}
	st.record = record
	st.end.Offset++
	if fails {
		return orders.Position{}, errLost
	}
	return st.end, nil
}

// appends returns the number of appends so far.
func (f *fleet) appends() int {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	return f.store.appends
}
