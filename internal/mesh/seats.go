package mesh

import (
	"slices"

	"github.com/go-faster/errors"

	"celerybank/internal/configlog"
)

// KindSeats is a record that changes the holders of claim groups; its subject is SubjectSeats.
// One record carries changes of many groups. Each change is checked against its own Prev
// instead of the Prev of the record.
const KindSeats configlog.Kind = "seats"

// SubjectSeats is the subject of KindSeats records.
const SubjectSeats = "seats"

// ClaimGroups is the number of claim groups. It is fixed, because an idempotency key hashes to one of them.
const ClaimGroups = 4096

// SeatsPerGroup is the number of holders of a group, if there are as many nodes.
const SeatsPerGroup = 3

// Group is the assignment of nodes to the seats of one claim group.
type Group struct {
	// Record is the offset of the newest change of the seats. Holders grant claims only to
	// claimants that state the same offset. 0 means that no holder was ever assigned.
	Record int64 `json:"r"`
	// Created is the offset of the record that first assigned holders.
	Created int64 `json:"f"`
	// Seats are the peer addresses of the holders; an empty string is a vacant seat.
	Seats [SeatsPerGroup]string `json:"s"`
	// Since are the offsets of the records that assigned the holders.
	Since [SeatsPerGroup]int64 `json:"t"`
	// Joining is one more than the index of the seat whose holder is not known to have the
	// claims of the group yet, or 0. While it is set, no other seat may be replaced.
	Joining int `json:"j,omitempty"`
}

// Holders returns the peer addresses of the holders, without the vacant seats.
func (g *Group) Holders() []string {
	out := make([]string, 0, SeatsPerGroup)
	for _, s := range g.Seats {
		if s != "" {
			out = append(out, s)
		}
	}
	return out
}

// Quorum returns how many of n holders must grant a claim: a majority, so that any two quorums share a holder.
func Quorum(n int) int { return n/2 + 1 }

// SeatOp is the operation of a SeatItem.
type SeatOp string

const (
	// SeatsCreate assigns the first holders of a group.
	SeatsCreate SeatOp = "found"
	// SeatReplace assigns one seat to another node.
	SeatReplace SeatOp = "replace"
	// SeatActive ends the joining of the holder assigned last: it has received the claims of the group.
	SeatActive SeatOp = "active"
)

// SeatItem changes one group. It has no effect if Prev differs from the Record of the group.
type SeatItem struct {
	Group int    `json:"g"`
	Prev  int64  `json:"p,omitempty"`
	Op    SeatOp `json:"o"`
	// Nodes are indexes into SeatChange.Nodes: all holders for SeatsCreate, one for SeatReplace.
	Nodes []int `json:"n,omitempty"`
	// Seat is the index of the seat that SeatReplace assigns.
	Seat int `json:"i,omitempty"`
}

// SeatChange is the body of a KindSeats record.
type SeatChange struct {
	// Nodes are the peer addresses that Items refer to.
	Nodes []string   `json:"nodes,omitempty"`
	Items []SeatItem `json:"items"`
}

// errSuperseded reports a seat record none of whose items could take effect.
var errSuperseded = errors.New("superseded")

// applySeats applies the items whose Prev is current and skips the others. It returns errSuperseded
// if no item took effect.
func (s *State) applySeats(c SeatChange, offset int64) error {
	if err := c.check(); err != nil {
		return err
	}
	groups := slices.Clone(s.Groups)
	if groups == nil {
		groups = make([]Group, ClaimGroups)
	}
	applied := 0
	for _, item := range c.Items {
		if groups[item.Group].apply(item, c.Nodes, offset) {
			applied++
		}
	}
	if applied == 0 {
		return errSuperseded
	}
	s.Groups = groups
	return nil
}

// check returns an error if c is malformed and so invalid in any state.
func (c SeatChange) check() error {
	for i, item := range c.Items {
		want := map[SeatOp]bool{SeatsCreate: len(item.Nodes) > 0 && len(item.Nodes) <= SeatsPerGroup,
			SeatReplace: len(item.Nodes) == 1, SeatActive: len(item.Nodes) == 0}[item.Op]
		if !want || item.Group < 0 || item.Group >= ClaimGroups || item.Seat < 0 || item.Seat >= SeatsPerGroup {
			return errors.Errorf("items[%d]: malformed seat item", i)
		}
		for _, n := range item.Nodes {
			if n < 0 || n >= len(c.Nodes) || c.Nodes[n] == "" {
				return errors.Errorf("items[%d]: node index %d names no node", i, n)
			}
		}
	}
	return nil
}

// apply applies item, whose nodes index nodes, and reports whether it took effect.
func (g *Group) apply(item SeatItem, nodes []string, offset int64) bool {
	if item.Prev != g.Record || g.Record == offset {
		return false
	}
	switch item.Op {
	case SeatsCreate:
		return g.create(item, nodes, offset)
	case SeatReplace:
		return g.replace(item.Seat, nodes[item.Nodes[0]], offset)
	default:
		if g.Joining == 0 {
			return false
		}
		g.Joining = 0
		return true
	}
}

// create assigns the first holders. It does nothing if the group has had holders or a node is named twice.
func (g *Group) create(item SeatItem, nodes []string, offset int64) bool {
	if g.Record != 0 {
		return false
	}
	next := Group{Record: offset, Created: offset}
	for i, n := range item.Nodes {
		if slices.Contains(next.Seats[:i], nodes[n]) {
			return false
		}
		next.Seats[i], next.Since[i] = nodes[n], offset
	}
	*g = next
	return true
}

// replace assigns a seat to node. While a holder is joining, only its own seat may be
// replaced: the other two holders together have every claim that was granted.
func (g *Group) replace(seat int, node string, offset int64) bool {
	if g.Record == 0 || slices.Contains(g.Seats[:], node) {
		return false
	}
	if g.Joining != 0 && g.Joining != seat+1 {
		return false
	}
	others := len(g.Holders())
	if g.Seats[seat] != "" {
		others--
	}
	if others == 0 {
		return false // no other holder could transfer its claims to the new one
	}
	g.Seats[seat], g.Since[seat] = node, offset
	g.Record, g.Joining = offset, seat+1
	return true
}
