package distribution

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"celerybank/internal/duration"
	"celerybank/internal/events"
	"celerybank/internal/gossip"
)

const (
	// startReaderWait is how long a starting node looks for a log reader before it reads
	// the log's head itself; jitter adds up to as much again.
	startReaderWait = 1500 * time.Millisecond
	// startRetryDelay is the first pause between two attempts of start; it doubles up to
	// maxStartRetryDelay.
	startRetryDelay    = 50 * time.Millisecond
	maxStartRetryDelay = 2 * time.Second
)

// Proofs that the node's version is no older than that of the previous process at its
// address, as the event Admitting states them.
const (
	proofLogHead   = "log-head"
	proofWitnesses = "witnesses"
)

// start lets the node admit requests once its version is proved to be no older than that
// of the previous process at its address. It returns when the node has caught up with the
// log's head as read after the start.
func (d *Distributor) start(ctx context.Context) {
	readerDeadline := time.Now().Add(startReaderWait + rand.N(startReaderWait))
	pause := startRetryDelay
	head, logDown := unknownHead, false
	for {
		pastReaderDeadline := !time.Now().Before(readerDeadline)
		if head == unknownHead {
			head, logDown = d.queryHead(ctx, pastReaderDeadline)
		}
		if head != unknownHead && d.catchUp(ctx, head) {
			d.admit(proofLogHead)
			d.reportVersion(ctx)
			close(d.synced)
			return
		}
		if v, ok := d.recallIf(ctx, !d.admitting.Load() && (logDown || pastReaderDeadline)); ok && d.catchUp(ctx, v) {
			d.admit(proofWitnesses)
			d.reportVersion(ctx)
		}
		sleep := pause/2 + rand.N(pause)
		if !pastReaderDeadline {
			sleep = min(sleep, time.Until(readerDeadline))
		}
		if !duration.Sleep(ctx, sleep) {
			return
		}
		pause = min(2*pause, maxStartRetryDelay)
	}
}

// recallIf calls recallVersion if needed is true. start needs it only when the log's head
// is not available in time.
func (d *Distributor) recallIf(ctx context.Context, needed bool) (int64, bool) {
	if !needed {
		return 0, false
	}
	return d.recallVersion(ctx)
}

// admit closes the ready channel on its first call; by is the proof.
func (d *Distributor) admit(by string) {
	if d.admitting.CompareAndSwap(false, true) {
		d.events.Emit(events.Admitting, events.Fields{"version": d.store.State().Version, "by": by})
		close(d.ready)
	}
}

// catchUp reports whether the store has version need, after a pull from a random peer if
// it did not have it before.
func (d *Distributor) catchUp(ctx context.Context, need int64) bool {
	if d.store.State().Version >= need {
		return true
	}
	if peer, ok := d.randomPeer(); ok {
		d.pullAll(ctx, peer)
	}
	return d.store.State().Version >= need
}

// unknownHead means that the log's head could not be determined.
const unknownHead int64 = -1

// queryHead returns the log's head as read after this call, or unknownHead; logDown means
// that the log could not be read. The zone's log readers are called first. The node reads
// the log itself if it is a log reader that has peers, or after the reader deadline.
func (d *Distributor) queryHead(ctx context.Context, pastReaderDeadline bool) (head int64, logDown bool) {
	self := d.members.Self()
	called := map[string]bool{self.Addr: true}
	candidates := readersOf(self.Zone, d.members.Alive())
	isReader := slices.Contains(candidates, self.Addr)
	for i := 0; i < len(candidates) && len(called) <= 2*readersPerZone; i++ {
		if called[candidates[i]] {
			continue
		}
		called[candidates[i]] = true
		var reply HeadReply
		d.budget.charge(purposeHead, 0)
		switch err := d.call(ctx, candidates[i], "Head", &HeadArgs{}, &reply); {
		case err != nil:
		case reply.NotReader:
			candidates = append(candidates, reply.Readers...)
		case !reply.Down:
			return reply.Head, false
		default:
			return unknownHead, true
		}
	}
	if !pastReaderDeadline && (!isReader || len(d.members.Alive()) == 1) {
		return unknownHead, false
	}
	head, err := d.headReader.fetch(ctx)
	d.recordLogStatus(err)
	if err != nil {
		return unknownHead, true
	}
	return head, false
}

// readersOf returns the addresses of the log readers of a zone: its highest-ranked
// members by rendezvous hashing (Thaler and Ravishankar 1998).
func readersOf(zone string, members []gossip.Member) []string {
	rank := func(m gossip.Member) uint64 { return xxhash.Sum64String("reader/" + zone + "/" + m.Addr) }
	ranked := slices.DeleteFunc(slices.Clone(members), func(m gossip.Member) bool { return m.Zone != zone })
	slices.SortFunc(ranked, func(a, b gossip.Member) int { return cmp.Compare(rank(a), rank(b)) })
	out := make([]string, 0, readersPerZone)
	for _, m := range ranked[:min(readersPerZone, len(ranked))] {
		out = append(out, m.Addr)
	}
	return out
}
