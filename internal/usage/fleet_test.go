package usage

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"celerybank/internal/duration"
	"celerybank/internal/events"
	"celerybank/internal/gossip"
	"celerybank/internal/standin/usageapi"
)

// Timing of the fleet of the tests.
const (
	testWindow  = 5 * time.Second
	testDelay   = 10 * time.Second
	testLease   = 3 * time.Second
	latency     = 2 * time.Millisecond
	detectDelay = 2500 * time.Millisecond // until a node counts as dead
	factDelay   = 300 * time.Millisecond  // until a fact has spread
	runTime     = 2 * time.Millisecond    // time of the fake API
)

// fleet is a mesh of nodes with a store and an API, in the virtual time of a test.
type fleet struct {
	t     *testing.T
	ctx   context.Context
	stop  context.CancelFunc
	rng   *rand.Rand
	store *fakeStore
	api   *usageapi.API
	tasks sync.WaitGroup

	mu    sync.Mutex
	nodes []*fakeNode
	// cut has the pairs of hosts, and of hosts and "store" or "api", that cannot reach each other.
	cut map[[2]string]bool
	// healed is when the link of a host was last restored, or the host resumed.
	healed map[string]time.Time
	// apiFault returns a fault of a call, and how long the call takes.
	apiFault func() (time.Duration, error)
	// ran has the requests that upstreams began to run, by window and workspace.
	ran map[int64]map[string]int64
	// events has the events of all nodes.
	events []events.Event
}

// fakeNode is one process on a host.
type fakeNode struct {
	fleet      *fleet
	addr, zone string
	ctx        context.Context
	kill       context.CancelFunc
	started    time.Time
	process    uint64
	counter    *Counter
	collector  *Collector
	reporter   *Reporter
	service    *Service

	// The fields below are guarded by fleet.mu.
	dead     time.Time // zero while it runs
	draining bool
	paused   chan struct{} // nil, or closed when the process resumes
	pausedAt time.Time
	facts    gossip.Fact
}

// newFleet starts n hosts in zones, all at once. A third of the wall clocks are wrong.
func newFleet(t *testing.T, seed uint64, n, zones int) *fleet {
	f := &fleet{t: t, rng: rand.New(rand.NewPCG(seed, 1)), api: &usageapi.API{Lease: testLease, PerSecond: 2}, cut: map[[2]string]bool{}, healed: map[string]time.Time{}, ran: map[int64]map[string]int64{}}
	f.store = &fakeStore{fleet: f}
	f.ctx, f.stop = context.WithCancel(t.Context())
	for i := range n {
		f.start(fmt.Sprintf("10.0.%d.%d:7000", i%zones, i), fmt.Sprintf("zone-%d", i%zones))
	}
	return f
}

// start starts a process on a host.
func (f *fleet) start(addr, zone string) *fakeNode {
	f.mu.Lock()
	wrong := time.Duration(0)
	if f.rng.IntN(3) == 0 {
		wrong = time.Duration(f.rng.Int64N(int64(8*time.Second))) - 4*time.Second
	}
	n := &fakeNode{fleet: f, addr: addr, zone: zone, started: time.Now(), process: f.rng.Uint64() | 1}
	n.ctx, n.kill = context.WithCancel(f.ctx)
	f.mu.Unlock()
	rec := events.New(addr, zone, nil)
	rec.Subscribe(func(e events.Event) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.events = append(f.events, e)
	})
	c := Config{Addr: addr, Members: n, Peers: n, Store: nodeStore{n}, API: n, Events: rec, Window: testWindow, Delay: testDelay, Lease: testLease,
		CallInterval: 500 * time.Millisecond, Clock: Clock{Boot: n.boot, Wall: time.Now().Add(wrong)}}
	n.counter = NewCounter(c.Clock, n.process)
	n.collector = NewCollector(c, zone, n.counter)
	synced := make(chan struct{})
	n.reporter = NewReporter(c, zone, n.process, n.collector, synced)
	n.service = NewService(n.counter, n.collector)
	f.mu.Lock()
	f.nodes = append(f.nodes, n)
	f.mu.Unlock()
	f.tasks.Go(func() { _ = n.collector.Run(n.ctx) })
	f.tasks.Go(func() { _ = n.reporter.Run(n.ctx) })
	f.tasks.Go(func() {
		if duration.Sleep(n.ctx, 500*time.Millisecond) && n.learnFacts() {
			close(synced) // stays open while all nodes have just started
		}
	})
	return n
}

// learnFacts takes the fact that other nodes have, and reports whether there is one.
func (n *fakeNode) learnFacts() bool {
	n.fleet.mu.Lock()
	var newest gossip.Fact
	for _, other := range n.fleet.nodes {
		if other.facts.Seq > newest.Seq && n.fleet.reaches(n.addr, other.addr) {
			newest = other.facts
		}
	}
	n.fleet.mu.Unlock()
	n.deliver(newest)
	return newest.Seq > 0
}

func (n *fakeNode) deliver(fact gossip.Fact) {
	n.wait()
	n.fleet.mu.Lock()
	newer := fact.Seq > n.facts.Seq && n.dead.IsZero()
	if newer {
		n.facts = fact
	}
	n.fleet.mu.Unlock()
	if newer {
		n.reporter.ObserveFact(fact)
	}
}

// boot is the boot-time clock.
func (n *fakeNode) boot() time.Duration { return time.Since(n.started) }

// wait blocks while the process is paused. It must not be called with a mutex locked, as virtual time would stop.
func (n *fakeNode) wait() {
	n.fleet.mu.Lock()
	paused := n.paused
	n.fleet.mu.Unlock()
	if paused != nil {
		select {
		case <-paused:
		case <-n.ctx.Done():
		}
	}
}

// reaches reports whether two ends are connected. f.mu is held.
func (f *fleet) reaches(a, b string) bool { return !f.cut[[2]string{a, b}] && !f.cut[[2]string{b, a}] }

// setCut cuts or heals the link between two ends.
func (f *fleet) setCut(a, b string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[[2]string{a, b}] = cut
	if !cut {
		f.healed[a] = time.Now()
	}
}

// Alive implements Members: hosts that can be reached, and others until they are detected.
func (n *fakeNode) Alive() []gossip.Member {
	n.wait()
	f := n.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	byAddr := map[string]*fakeNode{}
	var order []string
	for _, m := range f.nodes {
		if byAddr[m.addr] == nil {
			order = append(order, m.addr)
		}
		byAddr[m.addr] = m
	}
	var out []gossip.Member
	for _, addr := range order {
		m := byAddr[addr]
		gone := !m.dead.IsZero() && (time.Since(m.dead) > detectDelay || m.draining)
		silent := m.paused != nil && m != n && time.Since(m.pausedAt) > detectDelay
		if !gone && !silent && f.reaches(n.addr, m.addr) {
			out = append(out, gossip.Member{Addr: addr, Zone: m.zone, Draining: m.draining})
		}
	}
	return out
}

// SetFact implements Members.
func (n *fakeNode) SetFact(fact gossip.Fact) {
	n.deliver(fact)
	f := n.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.nodes {
		if m != n && f.reaches(n.addr, m.addr) {
			time.AfterFunc(factDelay, func() { m.deliver(fact) })
		}
	}
}

var errUnreachable = errors.New("unreachable")

// Call implements Peers.
func (n *fakeNode) Call(ctx context.Context, addr, method string, args, reply any) error {
	n.wait()
	var to *fakeNode
	f := n.fleet
	f.mu.Lock()
	for _, m := range f.nodes {
		if m.addr == addr && m.dead.IsZero() && m.paused == nil && f.reaches(n.addr, addr) {
			to = m
		}
	}
	f.mu.Unlock()
	if to == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(latency)
	defer time.Sleep(latency)
	switch method {
	case "Usage.Pull":
		return to.service.Pull(args.(*PullRequest), reply.(*Counts))
	case "Usage.Collect":
		return to.service.Collect(args.(*CollectRequest), reply.(*CollectReply))
	case "Usage.Ended":
		return to.service.Ended(args.(*EndedRequest), reply.(*HandOver))
	default:
		return to.service.HandOver(args.(*HandOver), &Empty{})
	}
}

// load makes the live hosts run requests at a rate per second, for a time.
func (f *fleet) load(perSecond float64, length time.Duration) {
	end := time.Now().Add(length)
	for i := 0; time.Now().Before(end); i++ {
		time.Sleep(time.Duration(float64(time.Second) / perSecond))
		f.mu.Lock()
		var live []*fakeNode
		for _, n := range f.nodes {
			if n.dead.IsZero() && n.paused == nil {
				live = append(live, n)
			}
		}
		if len(live) == 0 {
			f.mu.Unlock()
			continue
		}
		n, w := live[f.rng.IntN(len(live))], fmt.Sprintf("w%d", f.rng.IntN(3))
		k := window(time.Duration(time.Now().UnixNano()), testWindow)
		if f.ran[k] == nil {
			f.ran[k] = map[string]int64{}
		}
		f.ran[k][w]++
		f.mu.Unlock()
		n.counter.Begin(w, time.Now())
	}
}

// holder waits until a node holds the duty and returns it.
func (f *fleet) holder() *fakeNode {
	for range 600 {
		f.mu.Lock()
		nodes := append([]*fakeNode(nil), f.nodes...)
		f.mu.Unlock()
		for _, n := range nodes {
			f.mu.Lock()
			live := n.dead.IsZero() && n.paused == nil
			f.mu.Unlock()
			if live && n.reporter.Status().Holds {
				return n
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.t.Fatal("nobody holds the duty after a minute")
	return nil
}

// setFault makes the API refuse calls with err, or take a time for each.
func (f *fleet) setFault(err error, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.apiFault = func() (time.Duration, error) { return took, err }
}

// setLoss sets the share of calls of the store that fail.
func (f *fleet) setLoss(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.store.loss = share
}

// cutZone cuts a zone off from the others, the store and the API.
func (f *fleet) cutZone(zone string, cut bool) {
	for _, n := range f.unique() {
		if n.zone != zone {
			continue
		}
		f.setCut(n.addr, "store", cut)
		f.setCut(n.addr, "api", cut)
		for _, m := range f.unique() {
			if m.zone != zone {
				f.setCut(n.addr, m.addr, cut)
			}
		}
	}
}

// live returns the processes that run.
func (f *fleet) live() (out []*fakeNode) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		if n.dead.IsZero() {
			out = append(out, n)
		}
	}
	return out
}

// unique returns the first process of each host.
func (f *fleet) unique() (out []*fakeNode) {
	f.mu.Lock()
	defer f.mu.Unlock()
	seen := map[string]bool{}
	for _, n := range f.nodes {
		if !seen[n.addr] {
			out = append(out, n)
		}
		seen[n.addr] = true
	}
	return out
}

// crash ends a process at once.
func (n *fakeNode) crash() {
	n.fleet.mu.Lock()
	n.dead = time.Now()
	n.fleet.mu.Unlock()
	n.kill()
}

// pause stops a process for a time.
func (n *fakeNode) pause(d time.Duration) {
	f := n.fleet
	paused := make(chan struct{})
	f.mu.Lock()
	n.paused, n.pausedAt = paused, time.Now()
	f.mu.Unlock()
	time.Sleep(d)
	f.mu.Lock()
	n.paused = nil
	f.healed[n.addr] = time.Now()
	f.mu.Unlock()
	close(paused)
}

// terminate ends a process gracefully.
func (n *fakeNode) terminate() {
	ctx, cancel := context.WithTimeout(n.ctx, 2*time.Second)
	defer cancel()
	n.reporter.Stop(ctx)
	n.fleet.mu.Lock()
	n.draining = true
	n.fleet.mu.Unlock()
	n.collector.HandOver(ctx)
	n.crash()
}

// finish ends the fleet and checks what the API got. Windows in partial may be missing or wrong; others must be within off of the
// truth, and reported in time.
func (f *fleet) finish(off float64, partial func(k int64) bool) {
	f.t.Helper()
	f.stop()
	f.tasks.Wait()
	for _, v := range f.api.Violations() {
		f.t.Error(v)
	}
	defer f.logTimeline()
	accepted := f.api.Accepted()
	for k, truth := range f.ran {
		call, ok := accepted[k]
		end := time.Unix(0, int64(testWindow)*(k+1))
		switch {
		case partial != nil && partial(k):
			continue
		case !ok:
			f.t.Errorf("window %d, which ended at %v, was not reported", k, end.Format("05.000"))
			continue
		case call.At.After(end.Add(testDelay)):
			f.t.Errorf("window %d was reported %v after its end", k, call.At.Sub(end))
		}
		for w, n := range truth {
			if d := float64(call.Counts[w]-n) / float64(n); d > off || d < -off {
				f.t.Errorf("window %d, %s: reported %d, want %d", k, w, call.Counts[w], n)
			}
		}
	}
}

// logTimeline writes what happened to the log of a test that has failed.
func (f *fleet) logTimeline() {
	if !f.t.Failed() {
		return
	}
	for _, e := range f.events {
		f.t.Logf("%s %s %s %v", e.Time.Format("05.000"), e.Node, e.Name, e.Fields)
	}
	for _, c := range f.api.Calls() {
		f.t.Logf("%s %s reported window %d under %d", c.At.Format("05.000"), c.Host, c.Window, c.Generation)
	}
}

// inFleet runs a test in virtual time.
func inFleet(t *testing.T, test func(t *testing.T)) { t.Helper(); synctest.Test(t, test) }
