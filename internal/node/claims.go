package node

import (
	"context"

	"celerybank/internal/claims"
	"celerybank/internal/configlog"
)

// claimDuty is the node's part in running keyed requests at most once.
type claimDuty struct {
	holder   *claims.Holder
	claimant *claims.Claimant
	judge    *claims.Coordinator
}

func (n *Node) newClaims(log configlog.Log) *claimDuty {
	addr := n.cfg.Listen.Peers
	holder := claims.NewHolder(addr, n.store, n.pool, n.events)
	return &claimDuty{
		holder:   holder,
		claimant: claims.NewClaimant(holder, n.store, n.pool),
		judge:    claims.NewCoordinator(log, n.store, n.pool, n.members, n.events),
	}
}

func (n *Node) runHolder(ctx context.Context) error {
	return n.claims.holder.Run(ctx, n.spread.Synced())
}

func (n *Node) runJudge(ctx context.Context) error { return n.claims.judge.Run(ctx, n.spread.Synced()) }
