package delivery

import (
	"strings"
	"time"

	"celerybank/internal/calltree"
	"celerybank/internal/events"
	"celerybank/internal/proxy"
	"celerybank/internal/verdict"
)

// parentID returns the ID of the request for which an upstream sends the child request with this ID. Upstreams prefix the ID
// of a child request with that of its parent and a dot.
func parentID(id string) (parent string, ok bool) {
	i := strings.LastIndexByte(id, '.')
	if i <= 0 {
		return "", false
	}
	return id[:i], true
}

// Parent reports whether the request with this ID is a child request, sent by the upstream of this host
// for a request that it is running, and whether that parent is a retry.
func (o *Owner) Parent(id string) (found, retry bool) {
	parent, ok := parentID(id)
	if !ok {
		return false, false
	}
	return o.running.find(parent)
}

// ParentOf returns the route of the request that this host's upstream is running and for which it sends the request with
// this ID, and the rank of the request that began their call tree.
func (o *Owner) ParentOf(id string) (route string, rootRank int, ok bool) {
	parent, ok := parentID(id)
	if !ok {
		return "", 0, false
	}
	return o.running.origin(parent)
}

// RecordChild records what became of a child request of a run of the route, where runs are admitted by it: without that, no route
// is limited, and LimitedRoutes must not count any.
func (o *Owner) RecordChild(route string, c calltree.Child) {
	if o.AdmitByChildren {
		o.trees.Record(route, c, time.Now())
	}
}

// admitRun decides whether the children of a request that is no child itself can be served.
func (o *Owner) admitRun(req *proxy.Request) calltree.Admission {
	if _, child := proxy.RootRank(req.Rank); child || !o.AdmitByChildren {
		return calltree.Admission{OK: true}
	}
	return o.trees.Admit(req.Route, time.Now())
}

// startRun decides anew once the request has a slot.
func (o *Owner) startRun(req *proxy.Request, a calltree.Admission) calltree.Admission {
	if _, child := proxy.RootRank(req.Rank); child || !o.AdmitByChildren {
		return a
	}
	return o.trees.Start(req.Route, a, time.Now())
}

// rootPressure returns the pressure that the response to a child reports, in thousandths: that at this upstream, or at
// the services that it calls itself for such requests. 0 means that it is not known.
func (o *Owner) rootPressure(req *proxy.Request) int {
	rootRank, child := proxy.RootRank(req.Rank)
	if !child {
		return 0
	}
	pressure := max(o.Gate.RootPressure(rootRank), o.trees.Pressure(req.Route, time.Now()))
	return max(1, int(pressure*proxy.RatioScale))
}

// refuseRun returns the refusal of a request whose children would not be served.
func (o *Owner) refuseRun(req *proxy.Request, a calltree.Admission) *proxy.Response {
	o.dependencyFull.Add(1)
	o.Events.Emit(events.RunRefused, events.Fields{"request": req.RequestID, "service": req.Service, "route": req.Route, "rank": req.Rank,
		"called": a.Service, "pressure": a.Pressure, "rate": a.Rate, "retry_after_ms": a.RetryAfter.Milliseconds()})
	res := proxy.Refusal(verdict.NotRun, proxy.ReasonDependencyFull)
	res.RetryAfter = a.RetryAfter
	return res
}

// Displaced returns the number of queued requests that gave way to others of a better rank.
func (o *Owner) Displaced() int64 { return o.displaced.Load() }

// DependencyFull returns the number of requests that were refused because their children would not be served.
func (o *Owner) DependencyFull() int64 { return o.dependencyFull.Load() }

// LimitedRoutes returns the number of routes whose runs are limited because of their children.
func (o *Owner) LimitedRoutes() int { return o.trees.Limited() }
