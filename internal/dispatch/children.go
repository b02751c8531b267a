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
	if st.parent == nil {
		return
	}
	failed := lacksRoom(res)
	if failed || res.Pressure > 0 {
		d.Parents.RecordChild(st.parent.route, calltree.Child{Service: st.req.Service, Failed: failed,
			Pressure: float64(res.Pressure) / proxy.RatioScale})
	}
}

// lacksRoom reports whether a child was refused because the called service has no room for it. Other failures, as of an
// upstream that rejects or loses a share of its requests, do not become fewer with fewer parents: counted here, they would
// stop the runs of the route one after the other.
func lacksRoom(res *proxy.Response) bool {
	switch res.Reason {
	case proxy.ReasonFull, proxy.ReasonTooLate, proxy.ReasonRateLimited, proxy.ReasonDependencyFull:
		return res.Verdict == verdict.NotRun
	default:
		return false
	}
}
