package usage

import (
	"context"
	"slices"
	"time"

	"celerybank/internal/events"
	"celerybank/internal/gossip"
)

// Timing of the nodes that do not hold the duty.
const (
	// startDelay is the age of a process before which it does not try to take the duty: nodes that start together need some time
	// to find each other.
	startDelay = 2 * time.Second
	// standbyDelay is how much longer each further node by rank waits, for a node that cannot reach the store. The first
	// nearStandbys nodes cover the loss of a third of the hosts; the others wait farStandbyDelay, so that a large fleet does not
	// call a store that is down.
	standbyDelay    = 1500 * time.Millisecond
	nearStandbys    = 6
	farStandbyDelay = 10 * time.Second
	// aloneDelay is how much longer a node waits that knows no other: it has neither their counts nor their clocks.
	aloneDelay = 10 * time.Second
	// staleWindows is the number of windows without news from the holder after which another node looks after the duty.
	staleWindows = 3
)

// standBy takes the duty over if nobody does it and it is this node's turn.
func (r *Reporter) standBy(ctx context.Context) {
	now := r.Clock.Boot()
	members := r.Members.Alive()
	vacant, wait := r.vacancy(now, members)
	if !vacant {
		r.vacant, r.candidate = 0, false
		return
	}
	if r.vacant == 0 {
		r.vacant = now
		if s, _ := r.knownState(); s.Holder == "" {
			r.vacant = max(now, startDelay)
		}
	}
	if now < r.vacant+r.turn(members) || now < r.storeRetry {
		return
	}
	if !r.candidate {
		r.observe(ctx)
	}
	if 2*len(members) < r.rec.Hosts {
		wait = max(wait, r.Window+r.Window/2) // this node may be cut off from a holder that writes once a window
	}
	if r.candidate && (r.rec.mayFollow(r.Addr) || r.Clock.Boot() >= r.seen+wait) {
		r.takeOver(ctx)
	}
}

// vacancy reports whether nobody seems to do the duty, and for how long the record must then not change before another node takes
// it over.
func (r *Reporter) vacancy(now time.Duration, members []gossip.Member) (vacant bool, wait time.Duration) {
	s, heard := r.knownState()
	if r.written != 0 && now-r.written < staleWindows*r.Window {
		return false, 0
	}
	short := r.Lease + r.margin()
	// A holder that is cut off from this node may still write, once a window.
	long := max(short, r.Window+r.Window/2)
	switch {
	case s.Holder == "" || s.Yields || s.Holder == r.Addr:
		return true, short
	case !slices.ContainsFunc(members, func(m gossip.Member) bool { return m.Addr == s.Holder }):
		if slices.ContainsFunc(members, func(m gossip.Member) bool { return m.Zone == s.Zone }) {
			return true, short
		}
		return true, long // its zone may be cut off
	case now-heard > staleWindows*r.Window:
		return true, long
	}
	return false, 0
}

// turn returns how long this node leaves the duty to those of higher rank. The last holder comes last.
func (r *Reporter) turn(members []gossip.Member) time.Duration {
	s, _ := r.knownState()
	if s.Holder == r.Addr && !s.Yields {
		return 0 // the last process on this host held it, and the others believe that it still does
	}
	rank := rankOf("usage-holder/", r.Addr, members, func(m *gossip.Member) bool { return m.Addr != s.Holder })
	delay := time.Duration(rank) * standbyDelay
	if rank >= nearStandbys {
		delay = nearStandbys*standbyDelay + time.Duration(rank-nearStandbys)*farStandbyDelay
	}
	if len(members) <= 1 {
		delay += aloneDelay
	}
	return delay
}

// observe reads the record, which must not change until this node takes the duty over.
func (r *Reporter) observe(ctx context.Context) {
	rec, end, err := r.read(ctx)
	if err != nil {
		return
	}
	if r.rec.Generation != 0 && rec.Generation == r.rec.Generation && end != r.end {
		r.written = r.Clock.Boot()
	}
	r.rec, r.end, r.seen, r.candidate = rec, end, r.Clock.Boot(), true
	if rec.Holder == r.Addr && rec.Process == r.process && !rec.Released {
		// An earlier attempt to take over has succeeded without a confirmation.
		r.begin()
	}
}

// takeOver makes this node the holder if the record has not changed since it was read.
func (r *Reporter) takeOver(ctx context.Context) {
	known, _ := r.knownState()
	next := r.rec.successor(r.Addr, r.process, known, r.end.Era)
	text, err := next.encode()
	if err != nil {
		r.storeFailure(err)
		return
	}
	start := r.Clock.Boot()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	r.counts.appends.Add(1)
	end, err := r.Store.Write(ctx, text, r.end)
	r.candidate = false
	if err != nil {
		// Another node was faster, or the holder lives. The next attempt leaves time to hear from it.
		r.vacant = r.Clock.Boot() + r.jitter(time.Second)
		r.storeFailure(err)
		return
	}
	r.storeSuccess()
	r.rec, r.end, r.lease = next, end, start+r.Lease-r.margin()
	r.begin()
}

// begin starts this node's time as the holder. The reports in the record are sent again, as the API may not have got them.
func (r *Reporter) begin() {
	r.holding, r.endKnown, r.candidate, r.vacant, r.written = true, true, false, 0, 0
	r.published = 0
	r.unsent, r.unwritten = slices.Clone(r.rec.Reports), nil
	r.time, r.retryCollect = trueTime{}, 0
	r.next = 0
	r.api = apiState{backoff: apiMinBackoff, next: r.Clock.Boot() + r.CallInterval}
	r.counts.takeovers.Add(1)
	r.Events.Emit(events.UsageHeld, events.Fields{"generation": r.rec.Generation, "through": r.rec.Through, "unsent": len(r.unsent)})
	r.publish()
}
