package orders

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"celerybank/internal/duration"
	"celerybank/internal/events"
	"celerybank/internal/gossip"
)

// Update advertises the position up to which the sender has the records. It carries the new records
// if they are small; otherwise the receiver pulls them from the node From.
type Update struct {
	From string `msgpack:"f,omitempty"`
	Era  int64  `msgpack:"e,omitempty"`
	Next int64  `msgpack:"x"`
	// Start is the position from which Batch has all records.
	Start int64 `msgpack:"b"`
	Batch Batch `msgpack:"n"`
	// Age is the time since a reader was last known to be working, in milliseconds.
	Age int64 `msgpack:"a"`
}

// PullRequest is the request for the records from position Next on. Age is as in Update.
type PullRequest struct {
	Era  int64 `msgpack:"e,omitempty"`
	Next int64 `msgpack:"n"`
	// Digest is the hash of the orders in force; 0 if the node names none.
	Digest uint64 `msgpack:"d,omitempty"`
	Age    int64  `msgpack:"a"`
	// Confirm asks for the age of the confirmation.
	Confirm bool `msgpack:"c,omitempty"`
}

// PullReply carries the records from the requested position on; its Batch tells only the age of the era if the sender has no
// newer ones. Age is as in Update.
type PullReply struct {
	Batch Batch `msgpack:"b"`
	Age   int64 `msgpack:"a"`
	// Differs is set if other orders are in force at the sender although it has the same position.
	Differs bool `msgpack:"d,omitempty"`
	// Confirmed is the age of the sender's confirmation in milliseconds, at least 1; 0 if it has none.
	Confirmed int64 `msgpack:"c,omitempty"`
}

// Empty is a response without content.
type Empty struct{}

// readerAge returns the time since a reader was last known to be working, in milliseconds.
func (f *Follower) readerAge() int64 { return time.Now().UnixMilli() - f.readerSeen.Load() }

// push advertises each change to random nodes of the own zone.
func (f *Follower) push(ctx context.Context) {
	sent := f.replica.View().position()
	for {
		changed := f.replica.Changed()
		if now := f.replica.View().position(); now.Compare(sent) > 0 {
			update := f.update(sent, now)
			sent = now
			for _, addr := range f.randomZonePeers(pushFanout) {
				go f.call(ctx, addr, "News", update, &Empty{}) // repair compensates for a lost call
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// update returns the update about the records between two positions.
func (f *Follower) update(sent, now Position) *Update {
	u := &Update{From: f.members.Self().Addr, Era: now.Era, Next: now.Offset, Start: sent.Offset, Age: f.readerAge()}
	batch := f.replica.After(sent.Offset)
	if now.Era != sent.Era {
		batch = f.replica.All()
	}
	if batch.bytes() <= maxInlineBytes {
		u.Batch = batch
	}
	return u
}

func (f *Follower) call(ctx context.Context, addr, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	return f.peers.Call(ctx, addr, "Orders."+method, args, reply)
}

// randomZonePeers returns the addresses of up to n random other nodes of the own zone.
func (f *Follower) randomZonePeers(n int) []string {
	var sameZone []string
	near := f.near(true)
	for _, m := range f.members.Alive() {
		if near(&m) {
			sameZone = append(sameZone, m.Addr)
		}
	}
	rand.Shuffle(len(sameZone), func(i, j int) { sameZone[i], sameZone[j] = sameZone[j], sameZone[i] })
	return sameZone[:min(n, len(sameZone))]
}

// near returns a filter of the other nodes that are in the own zone, or that are not.
func (f *Follower) near(sameZone bool) func(*gossip.Member) bool {
	self := f.members.Self()
	return func(m *gossip.Member) bool { return m.Addr != self.Addr && (m.Zone == self.Zone) == sameZone }
}

// repair periodically compares positions with peers and pulls missing records. Each time a candidate
// contacts the readers of its zone, and others a random node of it; every crossZonePeriod times, and
// while the store is unreachable each time, a node of another zone is contacted as well.
func (f *Follower) repair(ctx context.Context) {
	var exchanges conc.WaitGroup
	defer exchanges.Wait()
	sameZone, otherZones := f.near(true), f.near(false)
	for turn := rand.IntN(crossZonePeriod); duration.Sleep(ctx, f.repairPause()); turn++ {
		alive := f.members.Alive()
		f.contacts.keep(alive)
		checked := f.readersToCheck(alive)
		for _, addr := range checked {
			exchanges.Go(func() { f.pull(ctx, addr) })
		}
		alone := !slices.ContainsFunc(alive, func(m gossip.Member) bool { return sameZone(&m) })
		if len(checked) == 0 && !alone {
			exchanges.Go(func() { f.pullFromAny(ctx, alive, sameZone) })
		}
		if turn%crossZonePeriod == 0 || f.outage.ongoing() || alone {
			exchanges.Go(func() { f.pullFromAny(ctx, alive, otherZones) })
		}
		if f.needsConfirmation() {
			exchanges.Go(func() { f.pullConfirmation(ctx, alive, turn) })
		}
	}
}

// maxExchangeTries is the number of peers that one exchange tries until one responds.
const maxExchangeTries = 3

// pullFromAny exchanges with a random one of the nodes that accept allows, and with others if it does not respond.
func (f *Follower) pullFromAny(ctx context.Context, nodes []gossip.Member, accept func(*gossip.Member) bool) {
	last := ""
	for range maxExchangeTries {
		addr := f.contacts.pick(nodes, accept)
		if addr == last || f.pull(ctx, addr) || ctx.Err() != nil {
			return // an empty address means that there is no node
		}
		last = addr
	}
}

// repairPause returns the randomized time until the next exchange.
func (f *Follower) repairPause() time.Duration {
	mean := repairInterval
	if f.outage.ongoing() {
		mean = storeDownRepairInterval
	}
	return mean*3/4 + rand.N(mean/2)
}

// pull fetches the missing records from a peer and reports whether it responded.
func (f *Follower) pull(ctx context.Context, addr string) bool {
	var reply PullReply
	view, start := f.replica.View(), time.Now()
	request := &PullRequest{Era: view.Era, Next: view.Next, Digest: f.replica.Digest(), Age: f.readerAge(), Confirm: f.confirmWithin > 0}
	err := f.call(ctx, addr, "Pull", request, &reply)
	if ctx.Err() != nil {
		return false
	}
	f.contacts.record(addr, err == nil)
	if err != nil {
		f.events.Emit(events.ExchangeFailed, events.Fields{"peer": addr, "reason": err.Error(), "position": f.replica.View().Next})
		return false
	}
	f.observeReader(time.Duration(reply.Age) * time.Millisecond)
	f.replica.Apply(reply.Batch, addr)
	f.confirmPull(&reply, start)
	f.noteDifference(reply.Differs)
	return true
}

// Service serves the RPCs of peers.
type Service struct{ f *Follower }

// NewService returns the RPC service of f.
func NewService(f *Follower) *Service { return &Service{f} }

// News handles an update. It applies the batch unless records before it are missing here,
// or pulls the records if the update carries none.
func (s *Service) News(n *Update, _ *Empty) error {
	s.f.observeReader(time.Duration(n.Age) * time.Millisecond)
	known, now := s.f.replica.View().position(), Position{n.Era, n.Next}
	if n.Era == 0 {
		now.Era = known.Era // a node that names no era
	}
	switch {
	case now.Compare(known) <= 0:
	case n.Batch.Next == 0:
		s.f.fetch(n.From)
	case n.Batch.Full || now.Era == known.Era && n.Start <= known.Offset:
		s.f.replica.Apply(n.Batch, "push")
	}
	return nil
}

// fetch pulls advertised records from a peer in the background, one pull at a time. Updates
// that arrive meanwhile are most likely about the same records; repair fetches what was missed.
func (f *Follower) fetch(from string) {
	if f.fetching.Swap(true) {
		return
	}
	go func() {
		defer f.fetching.Store(false)
		f.pull(context.Background(), from) // limited by exchangeTimeout
	}()
}

// noteDifference records that a node with the same position has other orders in force, unless exchanges settle that.
func (f *Follower) noteDifference(differs bool) {
	if differs && !f.replica.Reconciles() {
		f.differs.Store(true)
	}
}

// differs reports whether a node has the same position, but other orders in force.
func (r *Replica) differs(a *PullRequest) bool {
	view := r.View()
	return a.Era == view.Era && a.Next == view.Next && a.Digest != 0 && a.Digest != r.Digest()
}

// missing returns the records that a node may lack; if there are none, a batch without a position that tells the age of the era.
func (r *Replica) missing(a *PullRequest) Batch {
	view := r.View()
	switch {
	case a.Era > view.Era:
	case a.Next == 0 && view.Next > 0, a.Era != 0 && a.Era < view.Era:
		return r.All()
	case a.Next < view.Next:
		return r.After(a.Next)
	case r.differs(a) && r.Reconciles():
		batch := r.All()
		batch.Full, batch.Merge = false, true
		return batch
	}
	return Batch{Era: view.Era, EraAge: r.EraAge()}
}

// Pull returns the records that the calling node is missing.
func (s *Service) Pull(a *PullRequest, reply *PullReply) error {
	s.f.observeReader(time.Duration(a.Age) * time.Millisecond)
	reply.Age = s.f.readerAge()
	reply.Confirmed = s.f.confirmationFor(a)
	reply.Batch = s.f.replica.missing(a)
	reply.Differs = s.f.replica.differs(a)
	s.f.noteDifference(reply.Differs)
	return nil
}
