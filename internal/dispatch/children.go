package dispatch

import (
	"celerybank/internal/calltree"
	"celerybank/internal/proxy"
	"celerybank/internal/verdict"
)

// Parents knows the requests that the upstream of this host is running, and learns what becomes of their children.
type Parents interface {
	// ParentOf returns the route of the parent of the request with this ID, and the rank of the request that began
	// their call tree.
	ParentOf(id string) (route string, rootRank int, ok bool)
	RecordChild(parentRoute string, c calltree.Child)
}

// childRank ranks child requests before all others: if one is refused, the work already done for its parent is lost. At an
// owner they rank as their roots do among each other (proxy.ChildRank).
const childRank = -1

// parent is the running request that a child request belongs to.
type parent struct {
	route    string
	rootRank int
}

// parentOf returns the parent of a request, or nil.
func (d *Dispatcher) parentOf(req *proxy.Request) *parent {
	if d.Parents == nil {
		return nil
	}
	route, rootRank, ok := d.Parents.ParentOf(req.RequestID)
	if !ok {
		return nil
	}
	return &parent{route, rootRank}
}

// ownerRank returns the rank of a request at its owner.
func (st *requestState) ownerRank() int {
	if st.parent != nil {
		return proxy.ChildRank(st.parent.rootRank)
	}
	return st.req.Rank
}

// recordChild reports what became of a child request.
func (d *Dispatcher) recordChild(st *requestState, res *proxy.Response) {
	if st.parent == nil || !tellsCapacity(res) {
		return
	}
	d.Parents.RecordChild(st.parent.route, calltree.Child{Service: st.req.Service, Failed: res.Reason != proxy.ReasonNone,
		Pressure: float64(res.Pressure) / proxy.RatioScale})
}

// tellsCapacity reports whether the outcome of a child says something about the capacity of the called service: it was
// served, refused, or not answered in its time. Fewer parents do not help against other failures.
func tellsCapacity(res *proxy.Response) bool {
	switch res.Reason {
	case proxy.ReasonNone, proxy.ReasonDeadline:
		return true
	case proxy.ReasonCancelled, proxy.ReasonCrashing, proxy.ReasonBadRequest, proxy.ReasonTooDeep, proxy.ReasonUnknownService:
		return false
	default:
		return res.Verdict == verdict.NotRun
	}
}
