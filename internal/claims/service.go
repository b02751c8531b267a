package claims

import "context"

// Service is the RPC service for claimants, other holders and the coordinator.
type Service struct {
	ctx      context.Context
	holder   *Holder
	claimant *Claimant
}

// NewService returns the RPC service; ctx ends with the process.
func NewService(ctx context.Context, h *Holder, c *Claimant) *Service { return &Service{ctx, h, c} }

// grant handles a grant request. If the claimant has a newer seat record, it first applies
// the newest state of this node.
func (h *Holder) grant(g *GrantRequest) GrantReply {
	out := h.table.grant(g)
	if out.Status == Behind {
		h.sync()
		out = h.table.grant(g)
	}
	return out
}

// Grant stores a claim if the key is free.
func (s *Service) Grant(args *GrantRequest, reply *GrantReply) error {
	*reply = s.holder.grant(args)
	return nil
}

// End records the verdict on a claim.
func (s *Service) End(args *EndNotice, _ *Empty) error {
	s.holder.table.end(args)
	return nil
}

// Copy returns the unexpired claims of groups.
func (s *Service) Copy(args *CopyRequest, reply *CopyReply) error {
	s.holder.sync()
	reply.Process = s.holder.process
	reply.Groups = s.holder.table.copyGroups(args)
	return nil
}

// Ask returns the outcome of a claim of this node.
func (s *Service) Ask(args *OutcomeQuery, reply *OutcomeReply) error {
	*reply = s.claimant.handleOutcomeQuery(s.ctx, args)
	return nil
}

// Active returns the groups in which this holder's seat is active.
func (s *Service) Active(args *ActiveQuery, reply *ActiveReply) error {
	s.holder.sync()
	reply.Ready = s.holder.isStarted()
	reply.Groups = s.holder.table.activeGroups(args.Groups)
	return nil
}
