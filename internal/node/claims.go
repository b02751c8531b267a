package node

import (
	"context"

	"celerybank/internal/claims"
	"celerybank/internal/configlog"
)

// claimRoles holds the node's roles in running requests with an idempotency key at most once.
type claimRoles struct {
	holder      *claims.Holder
	claimant    *claims.Claimant
	coordinator *claims.Coordinator
}

func (n *Node) newClaims(log configlog.Log) *claimRoles {
	addr := n.cfg.Listen.Peers
	holder := claims.NewHolder(addr, n.store, n.pool, n.events)
	return &claimRoles{
		holder:      holder,
		claimant:    claims.NewClaimant(holder, n.store, n.pool),
		coordinator: claims.NewCoordinator(log, n.store, n.pool, n.members, n.events),
	}
}

func (n *Node) runHolder(ctx context.Context) error {
	return n.claims.holder.Run(ctx, n.distributor.Synced())
}

func (n *Node) runCoordinator(ctx context.Context) error {
	return n.claims.coordinator.Run(ctx, n.distributor.Synced())
}
