package proxy

// maxRootRank is the largest rank of a root that a child's rank can name.
const maxRootRank = 998

// ChildRank returns the rank of children of a root with the given rank, the request that began their call tree. Children
// rank before all other requests, and among each other as their roots do. The rank of the root has no field of its own: a
// Request is an array on the wire, of which nodes of other versions accept no other number of elements.
func ChildRank(rootRank int) int { return min(max(rootRank, 0), maxRootRank) - (maxRootRank + 2) }

// RootRank returns the rank of the root of a child from its own rank. child is false for the rank of a request that
// is no child. Nodes of an earlier version give all children the rank -1, which names no root; it counts as the best.
func RootRank(rank int) (rootRank int, child bool) {
	switch {
	case rank >= 0:
		return rank, false
	case rank == -1:
		return 0, true
	default:
		return max(rank+maxRootRank+2, 0), true
	}
}
