package distribution

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc/pool"

	"celerybank/internal/duration"
	"celerybank/internal/gossip"
)

const (
	// Each node has witnesses in its own zone, so that the nodes of a partitioned zone can
	// restart, and in other zones, for the case that all nodes of the zone fail at once.
	sameZoneWitnesses  = 3
	otherZoneWitnesses = 2
	// witnessQuorum is the number of witnesses that have to reply; one of them has to
	// have a report.
	witnessQuorum = 2
	// reportDelay is the delay from a change to its report, so that one report covers
	// several changes.
	reportDelay = 200 * time.Millisecond
	// reportInterval is the mean time between reports without a change, which serve
	// witnesses that are new or have restarted.
	reportInterval = 10 * time.Second
	// maxReports limits the addresses whose versions a witness stores.
	maxReports = 4096
)

// peerVersions holds the reported versions of the nodes for which this node is a witness.
type peerVersions struct {
	mu     sync.Mutex
	byAddr map[string]int64
}

// record stores version for addr unless a higher one is stored.
func (r *peerVersions) record(addr string, version int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.byAddr[addr]; !known && len(r.byAddr) >= maxReports {
		for other := range r.byAddr {
			delete(r.byAddr, other) // evicts an arbitrary one; each address has five witnesses
			break
		}
	}
	r.byAddr[addr] = max(r.byAddr[addr], version)
}

func (r *peerVersions) lookup(addr string) (int64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v, ok := r.byAddr[addr]
	return v, ok
}

// witnessesOf returns the witnesses of the node at addr in zone: the highest-ranked
// members by rendezvous hashing, sameZoneWitnesses of zone and otherZoneWitnesses of others.
func witnessesOf(addr, zone string, members []gossip.Member) []string {
	ranked := slices.DeleteFunc(slices.Clone(members), func(m gossip.Member) bool { return m.Addr == addr })
	rank := func(m gossip.Member) uint64 { return xxhash.Sum64String("witness/" + addr + "/" + m.Addr) }
	slices.SortFunc(ranked, func(a, b gossip.Member) int { return cmp.Compare(rank(a), rank(b)) })
	var out []string
	sameZone, otherZones := 0, 0
	for _, m := range ranked {
		switch {
		case m.Zone == zone && sameZone < sameZoneWitnesses:
			sameZone++
		case m.Zone != zone && otherZones < otherZoneWitnesses:
			otherZones++
		default:
			continue
		}
		out = append(out, m.Addr)
	}
	return out
}

func (d *Distributor) witnesses() []string {
	self := d.members.Self()
	return witnessesOf(self.Addr, self.Zone, d.members.Alive())
}

// reportVersions reports this node's version to its witnesses, after each change and at
// intervals, until ctx ends.
func (d *Distributor) reportVersions(ctx context.Context) {
	for {
		changed := d.store.Changed()
		d.reportVersion(ctx)
		timer := time.NewTimer(reportInterval/2 + rand.N(reportInterval))
		select {
		case <-changed:
			timer.Stop()
			if !duration.Sleep(ctx, reportDelay) {
				return
			}
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// reportVersion reports this node's version to its witnesses once.
func (d *Distributor) reportVersion(ctx context.Context) {
	version := d.store.State().Version
	if version == 0 || !d.admitting.Load() {
		return // a node that does not admit requests yet may still be older than its previous process
	}
	p := pool.New()
	for _, addr := range d.witnesses() {
		p.Go(func() {
			d.budget.charge(purposeWitness, 0)
			_ = d.call(ctx, addr, "Report", &ReportArgs{Addr: d.members.Self().Addr, Version: version}, &ReportReply{}) // repeated after reportInterval
		})
	}
	p.Wait()
}

// recallVersion asks the witnesses for the highest version that the previous process at
// this address reported. ok is false unless a quorum replied and one of them has a report.
func (d *Distributor) recallVersion(ctx context.Context) (version int64, ok bool) {
	called := d.witnesses()
	p := pool.NewWithResults[*RecallReply]()
	for _, addr := range called {
		p.Go(func() *RecallReply {
			var reply RecallReply
			d.budget.charge(purposeWitness, 0)
			if d.call(ctx, addr, "Recall", &RecallArgs{Addr: d.members.Self().Addr}, &reply) != nil {
				return nil
			}
			return &reply
		})
	}
	replied := 0
	for _, r := range p.Wait() {
		if r == nil {
			continue
		}
		replied++
		version = max(version, r.Version)
		ok = ok || r.Known
	}
	return version, ok && replied >= min(witnessQuorum, len(called))
}
