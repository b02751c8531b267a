package distribution

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"celerybank/internal/duration"
	"celerybank/internal/gossip"
	"celerybank/internal/snapshot"
)

const (
	// updateFanout is the number of peers to which a node sends each new version.
	updateFanout = 6
	// maxInlineBytes is the largest content that an update includes; peers pull larger
	// content. With zero, updates carry the version only, and each node receives each
	// record once (lazy push; Leitão, Pereira and Rodrigues 2007).
	maxInlineBytes = 0
	// maxUpdatesInFlight limits concurrent outgoing updates; updates above the limit are
	// dropped, and repair delivers the records.
	maxUpdatesInFlight = 16
	// pullWorkers is the number of workers that pull from the peers in hints, one peer at
	// a time each.
	pullWorkers = 2
	// hintQueueSize is the number of hints that may wait for a worker.
	hintQueueSize = 16
	// batchBytes limits the content of one batch before compression; a single record may
	// exceed it.
	batchBytes = 256 << 10
	// maxConsecutivePulls limits the batches that are pulled from one peer in a row.
	maxConsecutivePulls = 64
)

// hint states that the peer at addr has a version that this node lacks.
type hint struct {
	addr    string
	version int64
}

// pushUpdates sends each new version to random peers, half of them in its own zone,
// until ctx ends.
func (d *Distributor) pushUpdates(ctx context.Context) {
	var sending conc.WaitGroup
	defer sending.Wait()
	sent := d.store.State().Version
	for {
		changed := d.store.Changed()
		if v := d.store.State().Version; v > sent {
			update := d.update(sent)
			sent = v
			for _, addr := range d.pushTargets(d.fanout) {
				d.sendUpdate(ctx, &sending, addr, update)
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// update returns the message that notifies peers of the current version. sent is the
// version of the previous update.
func (d *Distributor) update(sent int64) *Update {
	u := &Update{Digest: d.digest()}
	if d.inline == 0 {
		return u
	}
	entries, before, after, ok := d.store.After(sent, readLimit, d.inline)
	if ok && len(entries) > 0 {
		if b, err := newBatch(before, after, entries); err == nil && len(b.Packed) <= d.inline {
			u.Batch = b
		}
	}
	return u
}

// sendUpdate sends u to addr in the background. It drops the update when too many are in
// flight or when the bandwidth budget is exhausted.
func (d *Distributor) sendUpdate(ctx context.Context, sending *conc.WaitGroup, addr string, u *Update) {
	size := 0
	if u.Batch != nil {
		size = len(u.Batch.Packed)
	}
	select {
	case d.inflight <- struct{}{}:
	default:
		return
	}
	if !d.budget.trySpend(purposeUpdate, size) {
		<-d.inflight
		return
	}
	sending.Go(func() {
		defer func() { <-d.inflight }()
		_ = d.call(ctx, addr, "News", u, &UpdateReply{}) // repair delivers what is lost
	})
}

// pushTargets returns up to n random peers, half of them in its own zone if it has enough.
func (d *Distributor) pushTargets(n int) []string {
	self := d.members.Self()
	var sameZone, otherZones []string
	for _, m := range d.members.Alive() {
		switch {
		case m.Addr == self.Addr:
		case m.Zone == self.Zone:
			sameZone = append(sameZone, m.Addr)
		default:
			otherZones = append(otherZones, m.Addr)
		}
	}
	shuffle(sameZone)
	shuffle(otherZones)
	out := slices.Clone(sameZone[:min(len(sameZone), n/2)])
	out = append(out, otherZones[:min(len(otherZones), n-len(out))]...)
	rest := sameZone[min(len(sameZone), n/2):]
	return append(out, rest[:min(len(rest), n-len(out))]...)
}

func shuffle(s []string) { rand.Shuffle(len(s), func(i, j int) { s[i], s[j] = s[j], s[i] }) }

func (d *Distributor) randomPeer() (string, bool) {
	self := d.members.Self().Addr
	peers := slices.DeleteFunc(slices.Clone(d.members.Alive()), func(m gossip.Member) bool { return m.Addr == self })
	if len(peers) == 0 {
		return "", false
	}
	return peers[rand.IntN(len(peers))].Addr, true
}

// repair exchanges versions with a random peer at intervals and pulls missing records.
func (d *Distributor) repair(ctx context.Context) {
	for duration.Sleep(ctx, repairInterval/2+rand.N(repairInterval)) {
		if peer, ok := d.randomPeer(); ok {
			d.pullAll(ctx, peer)
		}
	}
}

// followHints pulls from the peers named in hints until ctx ends.
func (d *Distributor) followHints(ctx context.Context) {
	for {
		select {
		case h := <-d.hints:
			if h.version > d.store.State().Version {
				d.pullAll(ctx, h.addr)
			}
		case <-ctx.Done():
			return
		}
	}
}

// observeDigest handles a peer's digest: it queues a hint if the peer has a newer version,
// and compares the chain hashes otherwise.
func (d *Distributor) observeDigest(peer Digest) {
	d.observeReader(time.Now().Add(-time.Duration(peer.ReaderAge) * time.Millisecond))
	if peer.Version <= d.store.State().Version {
		d.store.CheckChain(peer)
		return
	}
	select {
	case d.hints <- hint{peer.From, peer.Version}:
	default: // the queue is full; repair pulls the records later
	}
}

// pullAll pulls from addr until this node has its version, a pull fails or brings no
// progress, or maxConsecutivePulls is reached.
func (d *Distributor) pullAll(ctx context.Context, addr string) {
	for range maxConsecutivePulls {
		more, err := d.pull(ctx, addr)
		if err != nil || !more {
			return // a later hint or repair pulls the rest
		}
	}
}

// pull performs one pull from addr; more means that it made progress and that addr has
// further records.
func (d *Distributor) pull(ctx context.Context, addr string) (more bool, err error) {
	var reply PullReply
	args := d.digest()
	d.budget.charge(purposePull, 0)
	if err := d.call(ctx, addr, "Pull", &args, &reply); err != nil {
		return false, err
	}
	d.observeReader(time.Now().Add(-time.Duration(reply.Digest.ReaderAge) * time.Millisecond))
	advanced := false
	if len(reply.Snapshot) > 0 {
		advanced = d.store.InstallPacked(addr, reply.Snapshot, snapshot.Unpack)
	}
	if reply.Batch != nil {
		advanced = d.store.ApplyBatch(addr, reply.Batch) > 0 || advanced
	}
	if reply.Digest.Version <= d.store.State().Version {
		d.store.CheckChain(reply.Digest)
	}
	return advanced && reply.Digest.Version > d.store.State().Version, nil
}

// pullReply returns the reply to a peer's pull: records, a snapshot, or Busy.
func (d *Distributor) pullReply(args Digest) PullReply {
	d.observeDigest(args)
	reply := PullReply{Digest: d.digest()}
	if args.Version >= reply.Digest.Version {
		d.budget.charge(purposePull, 0)
		return reply
	}
	entries, before, after, ok := d.store.After(args.Version, readLimit, batchBytes)
	if ok {
		b, err := newBatch(before, after, entries)
		if reply.Busy = err != nil || !d.budget.trySpend(purposePull, len(b.Packed)); !reply.Busy {
			reply.Batch = b
		}
		return reply
	}
	packedState, err := d.packedState()
	if reply.Busy = err != nil || !d.budget.trySpend(purposeSnapshot, len(packedState)); !reply.Busy {
		reply.Snapshot = packedState
	}
	return reply
}

// packedState returns the packed snapshot of the current state, cached by version.
func (d *Distributor) packedState() ([]byte, error) {
	d.packMu.Lock()
	defer d.packMu.Unlock()
	st := d.store.State()
	if d.packedVersion == st.Version && d.packedBytes != nil {
		return d.packedBytes, nil
	}
	b, err := snapshot.Pack(st)
	if err == nil {
		d.packedVersion, d.packedBytes = st.Version, b
	}
	return b, err
}
