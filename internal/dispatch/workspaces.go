package dispatch

import (
	"slices"

	"celerybank/internal/proxy"
	"celerybank/internal/routes"
	"celerybank/internal/verdict"
)

// WithheldField is a header field that ReadRequest of the platform took out of a request, as it concerns keys and workspaces.
// It reaches the upstream only if the configuration has no workspaces.
type WithheldField struct {
	// Index is the position of the field in the complete header.
	Index int
	Field proxy.Field
}

// authorize returns the workspace of a request, nil if the request needs none, or the refusal if the request needs a key and has
// no valid one, or none can be told valid. route is nil if none matches; such a request needs a key, so that only its holders learn which routes exist.
func (d *Dispatcher) authorize(t *routes.Table, route *routes.Route, child bool, req *proxy.Request, from Caller) (*routes.Workspace, *proxy.Response) {
	switch {
	case !t.HasWorkspaces():
		restore(req, from.Withheld)
		return nil, nil
	case child, route != nil && route.Public, from.KeyCount == 0 && d.Owner.Abandoned(req.RequestID):
		return nil, nil
	}
	if d.KeysConfirmed != nil && !d.KeysConfirmed() {
		res := proxy.Refusal(verdict.NotRun, proxy.ReasonUnconfirmed)
		res.RetryAfter = jitter(unconfirmedRetry)
		return nil, res
	}
	var workspace *routes.Workspace
	if from.KeyCount == 1 {
		workspace = t.Workspace(from.Key)
	}
	if workspace == nil {
		return nil, proxy.Refusal(verdict.NotRun, proxy.ReasonUnauthorized)
	}
	return workspace, nil
}

// restore puts withheld fields back to their places in the header.
func restore(req *proxy.Request, withheld []WithheldField) {
	for _, w := range withheld {
		req.Header = slices.Insert(req.Header, w.Index, w.Field)
	}
}

// setWorkspace makes a request one of the workspace, whose priority precedes that of the route.
func setWorkspace(req *proxy.Request, w *routes.Workspace) {
	req.Workspace = w.Name
	if w.Priority != nil {
		req.Rank = *w.Priority
	}
}
