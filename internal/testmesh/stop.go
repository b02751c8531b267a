package testmesh

import "context"

// StopNode stops the node gracefully and returns the number of requests that were cut off.
// The upstream keeps running.
func (h *Host) StopNode(ctx context.Context) int64 {
	cut := h.Node.Drain(ctx)
	h.KillNode()
	return cut
}

// StopUpstream stops the upstream gracefully and returns the number of requests that were cut off.
func (h *Host) StopUpstream(ctx context.Context) int {
	cut := h.Node.DrainUpstream(ctx, h.Upstream.Report().Instance)
	h.KillUpstream()
	return cut
}
