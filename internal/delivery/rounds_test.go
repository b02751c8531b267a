package delivery

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// queuer queues requests at a gate with one slot and records in which order they get it.
type queuer struct {
	t    *testing.T
	gate *Gate
	mu   sync.Mutex
	got  []string
}

// arrivalGap is the time between two arrivals. It exceeds the assumed processing time of the first requests, so that
// the demand stays below what the gate absorbs.
const arrivalGap = 200 * time.Millisecond

func newQueuer(t *testing.T) *queuer {
	q := &queuer{t: t, gate: NewGate()}
	q.gate.Open(1, time.Time{}, 0)
	q.gate.Acquire(t.Context(), SlotRequest{Deadline: time.Now().Add(time.Hour)})
	return q
}

// add queues a request; the returned function withdraws it.
func (q *queuer) add(name, workspace string, rank int) context.CancelFunc {
	ctx, cancel := context.WithCancel(q.t.Context())
	go func() {
		r := SlotRequest{Rank: rank, Workspace: workspace, Deadline: time.Now().Add(time.Hour), WaitToDeadline: true}
		if _, ok := q.gate.Acquire(ctx, r); ok {
			q.mu.Lock()
			q.got = append(q.got, name)
			q.mu.Unlock()
		}
	}()
	synctest.Wait()
	time.Sleep(arrivalGap)
	return cancel
}

// next returns the names of the next n requests that get the slot.
func (q *queuer) next(n int) string {
	q.mu.Lock()
	first := len(q.got)
	q.mu.Unlock()
	for range n {
		q.gate.Release("", time.Millisecond)
		synctest.Wait()
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return strings.Join(q.got[first:], " ")
}

// One workspace with many requests took all turns of a rank.
func TestWorkspacesHaveTurnsInRounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueuer(t)
		for i := range 4 {
			q.add(fmt.Sprint("a", i), "a", 1)
		}
		q.add("b0", "b", 1)
		q.add("b1", "b", 1)
		q.add("n0", "", 1)
		q.add("z0", "a", 0)
		if got := q.next(4); got != "z0 a0 b0 n0" {
			t.Errorf("first round: got %s, want the higher rank, then each workspace once", got)
		}
		q.add("c0", "c", 1)
		if got := q.next(2); got != "c0 a1" {
			t.Errorf("a workspace without a turn in this round: got %s, want it before the second round", got)
		}
		if got := q.next(3); got != "b1 a2 a3" {
			t.Errorf("last rounds: got %s", got)
		}
	})
}

// A workspace whose requests were withdrawn must not wait for the turns of these.
func TestWithdrawnRequestsLeaveTheirTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueuer(t)
		var withdraw []context.CancelFunc
		for i := range 3 {
			withdraw = append(withdraw, q.add(fmt.Sprint("a", i), "a", 1))
		}
		for i := range 3 {
			q.add(fmt.Sprint("b", i), "b", 1)
		}
		withdraw[0]()
		withdraw[1]()
		synctest.Wait()
		if got := q.next(4); got != "a2 b0 b1 b2" {
			t.Errorf("got %s, want a2 in the first round", got)
		}
	})
}

// Without workspaces the order must be that of ranks and arrivals, whatever leaves the queue.
func TestWithoutWorkspacesTheOrderIsThatOfArrivals(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			r, q := rand.New(rand.NewPCG(seed, 0)), newQueuer(t)
			type waiting struct {
				name     string
				rank     int
				withdraw context.CancelFunc
			}
			var want []waiting
			for i := range 60 {
				switch n := len(want); {
				case n > 0 && r.IntN(4) == 0:
					if got := q.next(1); got != want[0].name {
						t.Fatalf("seed %d: got %s, want %s", seed, got, want[0].name)
					}
					want = want[1:]
				case n > 0 && r.IntN(4) == 0:
					k := r.IntN(n)
					want[k].withdraw()
					synctest.Wait()
					want = slices.Delete(want, k, k+1)
				default:
					w := waiting{name: fmt.Sprint(i), rank: r.IntN(3)}
					w.withdraw = q.add(w.name, "", w.rank)
					want = append(want, w)
					slices.SortStableFunc(want, func(a, b waiting) int { return a.rank - b.rank })
				}
			}
			for _, w := range want {
				if got := q.next(1); got != w.name {
					t.Fatalf("seed %d: got %s, want %s", seed, got, w.name)
				}
			}
		})
	}
}

// Under overload by one workspace, the others must be served as if it were not there.
func TestOneWorkspaceDoesNotStarveOthers(t *testing.T) {
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			work := 90 * time.Millisecond
			greedy := simRoute{name: "greedy", workspace: "greedy", rank: 1, rate: rateFor(2, work), work: work, deadline: time.Second, spread: 0.3, repeats: 2}
			list := []simRoute{greedy}
			for i := range 20 {
				small := greedy
				small.name = fmt.Sprint("small", i)
				small.workspace, small.rate = small.name, rateFor(0.5/20, work)
				list = append(list, small)
			}
			got := simulate(t, seed, overloadSlots, overloadSpan, nil, nil, list...)
			all, least := 0, 1.0
			for name, r := range got {
				all += r.served
				if name != "greedy" {
					least = min(least, r.ratio())
				}
			}
			t.Logf("seed %d: greedy %.3f, least of the others %.3f, served %d", seed, got["greedy"].ratio(), least, all)
			if least < 0.9 {
				t.Errorf("seed %d: a small workspace was served %.3f, want at least 0.9", seed, least)
			}
			if capacity := overloadSpan.Seconds() * rateFor(1, work); float64(all) < 0.95*capacity {
				t.Errorf("seed %d: %d requests were served, want at least 0.95 of %.0f", seed, all, capacity)
			}
		})
	}
}
