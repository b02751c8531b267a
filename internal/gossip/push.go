package gossip

import (
	"context"
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"celerybank/internal/duration"
)

// Push rounds: each node sends an update a number of times that grows with the logarithm
// of the number of members (SWIM, section 4.1).
const (
	// pushInterval is the time between two rounds of pushes. Less spreads updates sooner and sends smaller messages,
	// each of which costs a node about as much as a hundred updates.
	pushInterval = 200 * time.Millisecond
	// urgentInterval is the time after a round from which a new urgent update is sent, so that it does not wait in each
	// node on its way until a round about others is due.
	urgentInterval = 50 * time.Millisecond
	pushTimeout    = 500 * time.Millisecond
	pushFanout     = 4
	// pushBytes bounds the updates in one push, before compression.
	pushBytes = 3 << 10
	// An update that each of n nodes sends ln(n)+c times misses a fraction e^-c of them on
	// average (Demers et al. 1987, section 1.4), which the exchange of digests repairs. For
	// urgent updates c is high enough that pushes alone reach practically all nodes.
	transmitsUrgent = 9
	transmitsOther  = 4
	// longQueue is the number of queued updates above which each is sent less often, down
	// to minTransmits: for many updates, as after a mass restart, the exchange of digests
	// needs fewer bytes.
	longQueue    = 128
	minTransmits = 3
)

// Approximate sizes on the wire, in bytes.
const (
	suspectSize = 48
	memberSize  = 60
	// messageOverhead is the size of a message between nodes without its updates.
	messageOverhead = 48
	// probeSize is the size of a message with the sender's entry and without updates, replySize that of an
	// empty reply, addrSize that of an address.
	probeSize = 130
	replySize = 24
	addrSize  = 18
)

// Fractions of Config.BytesPerSecond; the rest is for configuration and claims.
const (
	pushShare   = 0.20
	repairShare = 0.35
	// burstSeconds is the capacity of a limiter, in seconds of its rate.
	burstSeconds = 3
)

// newLimiter returns a limiter of share*bytesPerSecond bytes per second. bytesPerSecond 0
// means no limit.
func newLimiter(bytesPerSecond int, share float64) *rate.Limiter {
	if bytesPerSecond <= 0 {
		return rate.NewLimiter(rate.Inf, math.MaxInt32)
	}
	r := share * float64(bytesPerSecond)
	return rate.NewLimiter(rate.Limit(r), int(burstSeconds*r))
}

// charge takes n bytes that are sent in any case from l, unless it is overdrawn: then they only delay
// what can wait.
func charge(l *rate.Limiter, n int) {
	if !overdrawn(l) {
		consume(l, n)
	}
}

// consume takes n bytes from l; the balance may become negative.
func consume(l *rate.Limiter, n int) {
	if l.Limit() == rate.Inf {
		return
	}
	for ; n > 0; n -= l.Burst() {
		l.ReserveN(time.Now(), min(n, l.Burst()))
	}
}

// hasBudget reports whether the balance of l is positive.
func hasBudget(l *rate.Limiter) bool { return l.Limit() == rate.Inf || l.Tokens() > 0 }

// overdrawn reports whether the balance of l is negative by more than a full burst.
func overdrawn(l *rate.Limiter) bool {
	return l.Limit() != rate.Inf && l.Tokens() < -float64(l.Burst())
}

// enqueue queues the entry x for other members. m.mu is held.
func (m *Members) enqueue(x Member, class int) {
	if class == classUrgent {
		m.signalUrgent()
	}
	u := x.Upstream
	size := memberSize + len(x.Addr) + len(x.Name) + len(x.Zone) + len(x.Region) + len(u.Service) + len(u.Version) + len(u.Instance)
	m.queue.add(&item{addr: x.Addr, class: class, size: size, far: x.Addr == m.self.Addr || m.relays(class)})
}

// transmitLimits returns how many times an update of each class is sent, given the
// current length of the queue.
func (m *Members) transmitLimits() (limits [classes]int) {
	n := int(math.Ceil(math.Log(float64(len(m.order) + 1))))
	limits = [classes]int{n + transmitsUrgent, n + transmitsOther, n + transmitsOther}
	if queued := m.queue.len(); queued > longQueue {
		for c := range limits {
			limits[c] = max(limits[c]*longQueue/queued, minTransmits)
		}
	}
	return limits
}

// dequeueUpdates returns a payload of up to about maxBytes of queued updates, before
// compression, and counts them as sent the given number of times. It returns nil if there
// are none. m.mu is held.
func (m *Members) dequeueUpdates(maxBytes, times int) []byte {
	if m.queue.len() == 0 {
		return nil
	}
	return m.encodeItems(m.queue.dequeue(maxBytes, times, m.transmitLimits()))
}

// encodeItems returns the payload with queued updates, nil if there are none. m.mu is held.
func (m *Members) encodeItems(items []*item) []byte {
	var u updates
	for _, i := range items {
		switch {
		case i.suspect != nil:
			u.Suspects = append(u.Suspects, *i.suspect)
		case i.addr != "":
			if e := m.all[i.addr]; e != nil {
				x := e.Member
				if x.Status == Suspect || x.Status == Dead {
					x.Status = Alive // each node decides on suspicion and death itself
				}
				u.Members = append(u.Members, toWire(x))
			}
		default:
			if f, ok := m.facts.byKey[i.fact]; ok {
				u.Facts = append(u.Facts, factToWire(f))
			}
		}
	}
	return u.encode()
}

// piggyback returns a payload for a ping or its ack, nil if the push budget is used up. It charges
// the budget for both. m.mu is held.
func (m *Members) piggyback() []byte {
	charge(m.push, probeSize)
	if !hasBudget(m.push) {
		return nil
	}
	payload := m.dequeueUpdates(piggybackBytes, 1)
	consume(m.push, len(payload))
	m.metrics.piggybackSent.Add(len(payload))
	return payload
}

// mergePayload applies a payload; if spread is set, newer entries of members are queued
// for other members. An unreadable payload is ignored.
func (m *Members) mergePayload(payload []byte, spread bool) {
	u, err := decodeUpdates(payload)
	if err != nil || u.empty() {
		return
	}
	m.mu.Lock()
	before := m.digest.root
	for i := range u.Members {
		if u.Members[i].valid() {
			m.mergeMember(fromWire(&u.Members[i]), spread)
		}
	}
	for _, s := range u.Suspects {
		m.suspect(s)
	}
	for _, f := range u.Facts {
		m.mergeFact(factFromWire(f))
	}
	if m.digest.root != before {
		m.prober.lastChange = time.Now()
	}
	m.mu.Unlock()
	m.wakePush()
}

func (m *Members) wakePush() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// pushLoop sends queued updates to this node's partners, one round per pushInterval, while
// there are any.
func (m *Members) pushLoop(ctx context.Context) {
	for {
		select {
		case <-m.wake:
		case <-ctx.Done():
			return
		}
		for m.pushRound(ctx) {
			if !m.awaitRound(ctx) {
				return
			}
		}
	}
}

// awaitRound waits until the next round of pushes is due. It returns false if ctx ends first.
func (m *Members) awaitRound(ctx context.Context) bool {
	start, timer := time.Now(), time.NewTimer(pushInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-m.urgent:
		m.signalUrgent() // the round takes it
		return duration.Sleep(ctx, urgentInterval-time.Since(start))
	case <-ctx.Done():
		return false
	}
}

// signalUrgent makes the next round of pushes early.
func (m *Members) signalUrgent() {
	select {
	case m.urgent <- struct{}{}:
	default:
	}
}

// pushRound sends one payload to pushFanout partners, and what other zones get from this node to a gateway of each. It
// reports whether another round is needed.
func (m *Members) pushRound(ctx context.Context) bool {
	size := pushBytes
	if !hasBudget(m.push) {
		if overdrawn(m.push) || len(m.urgent) == 0 {
			return true
		}
		size = piggybackBytes // urgent updates are the first
	}
	peers := m.nextPartners(pushFanout, pushFanout)
	if len(peers) == 0 {
		return false
	}
	m.mu.Lock()
	select {
	case <-m.urgent: // goes with this round
	default:
	}
	items := m.queue.dequeue(size, len(peers), m.transmitLimits())
	payload, far, farPeers := m.encodeItems(items), []byte(nil), []string(nil)
	if items = takeFar(items); len(items) > 0 {
		far, farPeers = m.encodeItems(items), m.farPeers()
	}
	more := m.queue.len() > 0
	m.mu.Unlock()
	m.pushRoundTo(ctx, peers, payload)
	m.pushRoundTo(ctx, farPeers, far)
	return more
}

// takeFar returns the updates that this node has to send to other zones, and marks them as sent there.
func takeFar(items []*item) []*item {
	var out []*item
	for _, i := range items {
		if i.far {
			i.far = false
			out = append(out, i)
		}
	}
	return out
}

// pushRoundTo sends the payload of one round to peers in the background.
func (m *Members) pushRoundTo(ctx context.Context, peers []string, payload []byte) {
	if len(payload) == 0 || len(peers) == 0 {
		return
	}
	bytes := len(peers) * (len(payload) + messageOverhead)
	consume(m.push, bytes)
	m.metrics.pushSent.Add(bytes)
	m.tasks.Go(func() { m.pushTo(ctx, peers, payload) })
}

// pushTo sends payload to all peers, which do not reply: what is lost is repaired.
func (m *Members) pushTo(ctx context.Context, peers []string, payload []byte) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	var sending sync.WaitGroup
	for _, addr := range peers {
		sending.Go(func() { _ = m.cfg.Peers.Notify(ctx, addr, PushMethod, &Push{Updates: payload}) })
	}
	sending.Wait()
}

// send pushes payload to all peers concurrently and waits until they have replied or
// pushTimeout has passed.
func (m *Members) send(ctx context.Context, peers []string, payload []byte) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	done := make(chan struct{}, len(peers))
	for _, addr := range peers {
		go func() {
			_ = m.cfg.Peers.Call(ctx, addr, PushMethod, &Push{Updates: payload}, &Empty{}) // other members spread the updates too
			done <- struct{}{}
		}()
	}
	for range peers {
		<-done
	}
}
