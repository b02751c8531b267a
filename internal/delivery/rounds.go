package delivery

import (
	"cmp"
	"slices"
)

// rounds orders the queued requests of one rank so that one workspace with many requests cannot take the turns of the others: in
// each round, every waiting workspace has one turn. A round ends when a workspace has its second turn, which it gets only if no
// other waits for its first. Requests without a workspace count as those of one workspace, so that they keep the order of their
// arrival where no request has a workspace.
type rounds map[int]*round

// round is the current round of one rank.
type round struct {
	number int
	// had are the workspaces that had their turn.
	had map[string]bool
}

// start records the turn of a request.
func (r rounds) start(q SlotRequest) {
	current := r[q.Rank]
	if current == nil {
		current = &round{had: map[string]bool{}}
		r[q.Rank] = current
	}
	if current.had[q.Workspace] {
		current.number++
		clear(current.had)
	}
	current.had[q.Workspace] = true
}

// of returns the round of a request that has ahead queued requests of its workspace and rank before it. It stays the same while
// those have their turns.
func (r rounds) of(q SlotRequest, ahead int) int {
	current := r[q.Rank]
	switch {
	case current == nil:
		return ahead
	case current.had[q.Workspace]:
		ahead++
	}
	return current.number + ahead
}

// compareTurns orders queued requests by rank, then by round.
func compareTurns(a, b *queuedRequest) int {
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.round, b.round))
}

// turnOf sets the round of a request that arrives, and returns its place in the queue: after those of its round.
func (g *Gate) turnOf(w *queuedRequest) int {
	ahead := 0
	for _, other := range g.queue {
		if other.Rank == w.Rank && other.Workspace == w.Workspace {
			ahead++
		}
	}
	w.round = g.rounds.of(w.SlotRequest, ahead)
	turn := len(g.queue)
	for turn > 0 && compareTurns(w, g.queue[turn-1]) < 0 {
		turn--
	}
	return turn
}

// closeGaps gives the turns of requests that have left the queue unserved to later ones of the same workspaces.
func (g *Gate) closeGaps() {
	type queueOf struct {
		rank      int
		workspace string
	}
	ahead := map[queueOf]int{}
	moved := false
	for _, w := range g.queue {
		of := queueOf{w.Rank, w.Workspace}
		round := g.rounds.of(w.SlotRequest, ahead[of])
		ahead[of]++
		moved = moved || round != w.round
		w.round = round
	}
	if moved {
		slices.SortFunc(g.queue, func(a, b *queuedRequest) int {
			return cmp.Or(compareTurns(a, b), cmp.Compare(a.arrival, b.arrival))
		})
	}
}
