package delivery

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"celerybank/internal/proxy"
)

// A queued request of a lower priority held the place for which one of a higher priority was refused. It gives way when
// the queue is at its bound, is told so at once, and has not run. Children and requests of the same rank do not.
func TestLowestRankGivesWayAtTheBound(t *testing.T) {
	for _, c := range []struct { // ranks
		name             string
		queued, newcomer int
		displaced        bool
	}{
		{"higher priority", 2, 1, true},
		{"child of a better root", 2, proxy.ChildRank(1), true},
		{"child of a worse root", 1, proxy.ChildRank(2), false},
		{"same priority", 1, 1, false},
		{"lower priority", 1, 2, false},
		{"child by a child", proxy.ChildRank(2), proxy.ChildRank(0), false},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := NewGate()
			g.Open(4, time.Time{}, 0)
			for range 4 {
				g.Acquire(t.Context(), slotRequest(0, time.Minute))
			}
			bound := shortQueue(SlotRequest{Rank: c.queued}, 4)
			var mu sync.Mutex
			var refused []Refusal
			for range bound {
				go func() {
					if r, ok := g.Acquire(t.Context(), slotRequest(c.queued, time.Minute)); !ok {
						mu.Lock()
						defer mu.Unlock()
						refused = append(refused, r)
					}
				}()
				synctest.Wait()
			}
			g.mu.Lock()
			g.demand = demand{backlog: time.Minute, at: time.Now()} // the demand stands
			g.mu.Unlock()
			admitted := make(chan bool, 1)
			go func() {
				_, ok := g.Acquire(t.Context(), slotRequest(c.newcomer, time.Minute))
				admitted <- ok
			}()
			synctest.Wait()
			if displaced := len(refused) == 1 && refused[0].Displaced; displaced != c.displaced {
				t.Fatalf("%s: refused in the queue: %+v, want one displaced: %v", c.name, refused, c.displaced)
			}
			if c.displaced && (refused[0].DisplacedBy != 1 || refused[0].RetryAfter <= 0 || refused[0].Reason != proxy.ReasonFull) {
				t.Errorf("%s: got refusal %+v, want %s by rank %d with a RetryAfter", c.name, refused[0], proxy.ReasonFull, c.newcomer)
			}
			if c.displaced {
				g.Release("", initialMeanTime)
				synctest.Wait()
				if len(admitted) != 1 || !<-admitted {
					t.Errorf("%s: the newcomer did not get the next slot", c.name)
				}
			}
			g.Close(proxy.ReasonDraining)
			synctest.Wait()
		})
	}
}
