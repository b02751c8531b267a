package testmesh

import "context"

// StopNode ends the node as a planned stop does and returns the calls that were cut;
// the upstream lives on.
func (h *Host) StopNode(ctx context.Context) int64 {
	cut := h.Node.Drain(ctx)
	h.KillNode()
	return cut
}

// StopUpstream ends the upstream as a planned stop does and returns the requests that were cut.
func (h *Host) StopUpstream(ctx context.Context) int {
	cut := h.Node.DrainUpstream(ctx, h.Upstream.Report().Instance)
	h.KillUpstream()
	return cut
}
