package claims

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"celerybank/internal/mesh"
)

// Bounds of seat records.
const (
	// maxGroupsPerRecord bounds the groups of one record.
	maxGroupsPerRecord = 512
	// maxMoves bounds the seats of alive holders that move in one record.
	maxMoves = 64
	// maxMoveComparisons bounds the candidates compared in one round in search of better
	// holders.
	maxMoveComparisons = 16_000
)

// candidate is an alive node.
type candidate struct {
	addr, zone, region string
	// eligible nodes may be assigned new seats; others only keep theirs.
	eligible bool
}

// view is the coordinator's input to the planner.
type view struct {
	groups     []mesh.Group
	nodes      map[string]candidate
	candidates []candidate
	// dead reports whether a holder has been absent long enough to be replaced.
	dead func(addr string) bool
}

// planner builds one seat record.
type planner struct {
	view
	load        map[string]int
	change      mesh.SeatChange
	nodeIndexes map[string]int
}

func newPlanner(v view) *planner {
	p := &planner{view: v, load: map[string]int{}, nodeIndexes: map[string]int{}}
	for i := range v.groups {
		for _, s := range v.groups[i].Holders() {
			p.load[s]++
		}
	}
	return p
}

// nodeIndex returns the index of addr in the record's node list, adding it if necessary.
func (p *planner) nodeIndex(addr string) int {
	i, ok := p.nodeIndexes[addr]
	if !ok {
		i = len(p.change.Nodes)
		p.nodeIndexes[addr] = i
		p.change.Nodes = append(p.change.Nodes, addr)
	}
	return i
}

// full reports whether the record has reached maxGroupsPerRecord.
func (p *planner) full() bool { return len(p.change.Items) >= maxGroupsPerRecord }

// rating orders candidates for a seat; the lowest is best.
type rating struct {
	sameRegion, sameZone, load int
	rank                       uint64
}

func (r rating) compare(o rating) int {
	return cmp.Or(r.compareSpread(o), cmp.Compare(r.load, o.load), cmp.Compare(o.rank, r.rank))
}

// compareSpread compares how well two candidates keep a group's holders in different
// availability zones and regions.
func (r rating) compareSpread(o rating) int {
	return cmp.Or(cmp.Compare(r.sameZone, o.sameZone), cmp.Compare(r.sameRegion, o.sameRegion))
}

func (p *planner) rate(group int, c candidate, others []string) rating {
	r := rating{load: p.load[c.addr], rank: xxhash.Sum64String("seat/" + strconv.Itoa(group) + "/" + c.addr)}
	for _, addr := range others {
		o := p.nodes[addr]
		if o.zone == c.zone {
			r.sameZone++
		}
		if o.region == c.region {
			r.sameRegion++
		}
	}
	return r
}

// bestCandidate returns the best eligible node that is not in others, or "" if there is
// none.
func (p *planner) bestCandidate(group int, others []string) (string, rating) {
	addr, top := "", rating{}
	for _, c := range p.candidates {
		if !c.eligible || slices.Contains(others, c.addr) {
			continue
		}
		if r := p.rate(group, c, others); addr == "" || r.compare(top) < 0 {
			addr, top = c.addr, r
		}
	}
	return addr, top
}

// createGroups plans the first seats of groups that have none.
func (p *planner) createGroups() {
	for g := 0; g < mesh.ClaimGroups && !p.full(); g++ {
		if p.groups != nil && p.groups[g].Record != 0 {
			continue
		}
		var holders []string
		item := mesh.SeatItem{Group: g, Op: mesh.SeatsCreate}
		for len(holders) < mesh.SeatsPerGroup {
			addr, _ := p.bestCandidate(g, holders)
			if addr == "" {
				break
			}
			holders = append(holders, addr)
			p.load[addr]++
			item.Nodes = append(item.Nodes, p.nodeIndex(addr))
		}
		if len(holders) == 0 {
			return
		}
		p.change.Items = append(p.change.Items, item)
	}
}

// replaceHolders plans at most one change for each group: a new holder for a seat that is
// vacant or whose holder is dead.
func (p *planner) replaceHolders() {
	for g := range p.groups {
		group := &p.groups[g]
		if group.Record == 0 || p.full() {
			continue
		}
		for seat, addr := range group.Seats {
			if (group.Joining == 0 || group.Joining == seat+1) && (addr == "" || p.dead(addr)) && p.othersAlive(group, seat) {
				p.replaceSeat(g, group, seat)
				break
			}
		}
	}
}

// moveSeats plans moves of seats whose holders are alive to better holders, starting at
// group start, and returns the group where the next round continues. It plans none while
// any seat is joining.
func (p *planner) moveSeats(start int) int {
	for i := range p.groups {
		if p.groups[i].Joining != 0 {
			return start
		}
	}
	g := start
	for comparisons := 0; comparisons < maxMoveComparisons && len(p.change.Items) < maxMoves; {
		group := &p.groups[g]
		for seat := range group.Seats {
			comparisons += len(p.candidates)
			if group.Record != 0 && group.Seats[seat] != "" && p.othersAlive(group, seat) && p.hasBetterHolder(g, group, seat) {
				p.replaceSeat(g, group, seat)
				break
			}
		}
		if g = (g + 1) % len(p.groups); g == start {
			break
		}
	}
	return g
}

// othersAlive reports whether the group has other holders and all are alive: a new holder
// has to copy the claims from all of them.
func (p *planner) othersAlive(group *mesh.Group, seat int) bool {
	n := 0
	for _, addr := range otherHolders(group, seat) {
		if _, ok := p.nodes[addr]; !ok {
			return false
		}
		n++
	}
	return n > 0
}

func otherHolders(group *mesh.Group, seat int) []string {
	var out []string
	for i, addr := range group.Seats {
		if i != seat && addr != "" {
			out = append(out, addr)
		}
	}
	return out
}

func (p *planner) replaceSeat(g int, group *mesh.Group, seat int) {
	addr, _ := p.bestCandidate(g, append(otherHolders(group, seat), group.Seats[seat]))
	if addr == "" {
		return
	}
	p.load[group.Seats[seat]]--
	p.load[addr]++
	p.change.Items = append(p.change.Items, mesh.SeatItem{Group: g, Prev: group.Record, Op: mesh.SeatReplace,
		Nodes: []int{p.nodeIndex(addr)}, Seat: seat})
}

// hasBetterHolder reports whether another node would hold the seat better: one that spreads
// the holders better, one that is eligible where the holder is not, or one with far fewer
// seats.
func (p *planner) hasBetterHolder(g int, group *mesh.Group, seat int) bool {
	others := otherHolders(group, seat)
	addr, top := p.bestCandidate(g, append(others, group.Seats[seat]))
	if addr == "" {
		return false
	}
	holder := p.nodes[group.Seats[seat]]
	current := p.rate(g, holder, others)
	spread := top.compareSpread(current)
	if spread != 0 {
		return spread < 0
	}
	return !holder.eligible || current.load > 2*(top.load+1)
}

// countStuck returns the number of groups with more than one dead holder. They have lost
// their majority, and none of their seats can be replaced until a holder returns.
func (p *planner) countStuck() int {
	n := 0
	for i := range p.groups {
		dead := 0
		for _, addr := range p.groups[i].Holders() {
			if p.dead(addr) {
				dead++
			}
		}
		if dead > 1 {
			n++
		}
	}
	return n
}
