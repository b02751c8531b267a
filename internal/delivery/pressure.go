package delivery

import (
	"math"
	"time"

	"celerybank/internal/proxy"
)

const (
	// maxRootRanks bounds the number of ranks for which the pressure is kept.
	maxRootRanks = 8
	// pressureWindow is the time over which the arriving work is averaged: some run times of short requests, and short
	// against the time in which callers come back.
	pressureWindow = 300 * time.Millisecond
	// queueRuns is the wait, in mean run times, at which the slots are busy; queuePressure is what each run time more or
	// less adds to the pressure.
	queueRuns, queuePressure = 2, 0.1
)

// rootDemand keeps, for each rank of the roots whose children come in, the demand that goes before them: children of
// roots of this rank and better ones, and direct requests of better ranks. Children take their turns before direct
// requests of any rank, so that a root that started would take the place of a direct request of a better rank. The
// pressure tells the owners of the roots how many to start.
type rootDemand struct{ byRank map[int]*arrivals }

// arrivals is the mean work that arrives, in units of processing time per time. Refused requests count.
type arrivals struct {
	mean float64
	at   time.Time
}

// decay brings the mean up to date.
func (a *arrivals) decay(now time.Time) {
	a.mean *= math.Exp(-float64(now.Sub(a.at)) / float64(pressureWindow))
	a.at = now
}

// beforeChildrenOf reports whether a request goes before children of roots of a rank.
func (r *SlotRequest) beforeChildrenOf(rank int) bool {
	own, child := proxy.RootRank(r.Rank)
	return own < rank || child && own == rank
}

// add counts a request with the given processing time.
func (d *rootDemand) add(r SlotRequest, work time.Duration, now time.Time) {
	if rank, child := proxy.RootRank(r.Rank); child && d.byRank[rank] == nil && len(d.byRank) < maxRootRanks {
		if d.byRank == nil {
			d.byRank = map[int]*arrivals{}
		}
		d.byRank[rank] = &arrivals{at: now}
	}
	for rank, a := range d.byRank {
		if r.beforeChildrenOf(rank) {
			a.decay(now)
			a.mean += float64(work) / float64(pressureWindow)
		}
	}
}

// RootPressure returns the ratio of the demand that goes before children of roots of a rank to what the upstream gets
// through, 0 without such children: above 1, fewer of these roots can be served than arrive. Requests that wait add to it.
func (g *Gate) RootPressure(rank int) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	a := g.roots.byRank[rank]
	if a == nil {
		return 0
	}
	now := time.Now()
	a.decay(now)
	speed, waiting := max(g.speed(now), minSpeed), time.Duration(0)
	for _, w := range g.queue {
		if w.beforeChildrenOf(rank) {
			waiting += g.work.of(w.Route).mean
		}
	}
	runs := float64(waiting) / speed / float64(max(g.work.all.mean, 1))
	return max(0, a.mean/speed+queuePressure*(runs-queueRuns))
}
