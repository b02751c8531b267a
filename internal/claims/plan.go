package claims

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"celerybank/internal/mesh"
)

// Sizes of seat records.
const (
	// maxItems bounds the groups of one record.
	maxItems = 512
	// maxMoves bounds the seats moved at once whose holders live.
	maxMoves = 64
	// moveWork bounds the nodes compared in one round in search of a better holder.
	moveWork = 16_000
)

// candidate is a node that may hold seats.
type candidate struct {
	addr, zone, region string
	// eligible nodes get new seats; others only keep theirs.
	eligible bool
}

// view is what the judge knows when it plans.
type view struct {
	groups []mesh.Group
	nodes  map[string]candidate
	list   []candidate
	// dead reports whether a holder has been gone long enough to be replaced.
	dead func(addr string) bool
}

// planner builds one record.
type planner struct {
	view
	load   map[string]int
	change mesh.SeatChange
	index  map[string]int
}

func newPlanner(v view) *planner {
	p := &planner{view: v, load: map[string]int{}, index: map[string]int{}}
	for i := range v.groups {
		for _, s := range v.groups[i].Holders() {
			p.load[s]++
		}
	}
	return p
}

// node returns the index of addr in the record.
func (p *planner) node(addr string) int {
	i, ok := p.index[addr]
	if !ok {
		i = len(p.change.Nodes)
		p.index[addr] = i
		p.change.Nodes = append(p.change.Nodes, addr)
	}
	return i
}

// full reports whether the record has as many groups as it may.
func (p *planner) full() bool { return len(p.change.Items) >= maxItems }

// rating orders nodes for a seat; the lowest is best.
type rating struct {
	sameRegion, sameZone, load int
	rank                       uint64
}

func (r rating) compare(o rating) int {
	return cmp.Or(r.spread(o), cmp.Compare(r.load, o.load), cmp.Compare(o.rank, r.rank))
}

// spread compares how well two nodes keep the holders apart.
func (r rating) spread(o rating) int {
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

// best returns the best eligible node that is not among others.
func (p *planner) best(group int, others []string) (string, rating) {
	addr, top := "", rating{}
	for _, c := range p.list {
		if !c.eligible || slices.Contains(others, c.addr) {
			continue
		}
		if r := p.rate(group, c, others); addr == "" || r.compare(top) < 0 {
			addr, top = c.addr, r
		}
	}
	return addr, top
}

// found fills the seats of groups that have none.
func (p *planner) found() {
	for g := 0; g < mesh.ClaimGroups && !p.full(); g++ {
		if p.groups != nil && p.groups[g].Record != 0 {
			continue
		}
		var holders []string
		item := mesh.SeatItem{Group: g, Op: mesh.SeatsCreate}
		for len(holders) < mesh.SeatsPerGroup {
			addr, _ := p.best(g, holders)
			if addr == "" {
				break
			}
			holders = append(holders, addr)
			p.load[addr]++
			item.Nodes = append(item.Nodes, p.node(addr))
		}
		if len(holders) == 0 {
			return
		}
		p.change.Items = append(p.change.Items, item)
	}
}

// replace plans for each group at most one change: seats whose holder is dead, and
// vacant ones.
func (p *planner) replace() {
	for g := range p.groups {
		group := &p.groups[g]
		if group.Record == 0 || p.full() {
			continue
		}
		for seat, addr := range group.Seats {
			if (group.Joining == 0 || group.Joining == seat+1) && (addr == "" || p.dead(addr)) && p.othersLive(group, seat) {
				p.replaceSeat(g, group, seat)
				break
			}
		}
	}
}

// move plans moves of seats whose holders live, from group start on, and returns
// where the next round goes on. It does so only while nothing is joining.
func (p *planner) move(start int) int {
	for i := range p.groups {
		if p.groups[i].Joining != 0 {
			return start
		}
	}
	g := start
	for work := 0; work < moveWork && len(p.change.Items) < maxMoves; {
		group := &p.groups[g]
		for seat := range group.Seats {
			work += len(p.list)
			if group.Record != 0 && group.Seats[seat] != "" && p.othersLive(group, seat) && p.better(g, group, seat) {
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

// othersLive reports whether all other holders live: without them a new one cannot
// get its memory.
func (p *planner) othersLive(group *mesh.Group, seat int) bool {
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
	addr, _ := p.best(g, append(otherHolders(group, seat), group.Seats[seat]))
	if addr == "" {
		return
	}
	p.load[group.Seats[seat]]--
	p.load[addr]++
	p.change.Items = append(p.change.Items, mesh.SeatItem{Group: g, Prev: group.Record, Op: mesh.SeatReplace,
		Nodes: []int{p.node(addr)}, Seat: seat})
}

// better reports whether the seat would be better held by another node: in another
// availability zone, by one that stays, or by one that holds far fewer seats.
func (p *planner) better(g int, group *mesh.Group, seat int) bool {
	others := otherHolders(group, seat)
	addr, top := p.best(g, append(others, group.Seats[seat]))
	if addr == "" {
		return false
	}
	holder := p.nodes[group.Seats[seat]]
	now := p.rate(g, holder, others)
	spread := top.spread(now)
	if spread != 0 {
		return spread < 0
	}
	return !holder.eligible || now.load > 2*(top.load+1)
}

// countStuck counts the groups that have lost a majority's memory for now.
func (p *planner) countStuck() int {
	n := 0
	for i := range p.groups {
		lost := 0
		for _, addr := range p.groups[i].Holders() {
			if p.dead(addr) {
				lost++
			}
		}
		if lost > 1 {
			n++
		}
	}
	return n
}
