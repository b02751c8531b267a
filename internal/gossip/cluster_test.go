package gossip

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"celerybank/internal/configlog"
	"celerybank/internal/duration"
	"celerybank/internal/events"
)

// frameOverhead is the size of the frames' lengths and headers of one RPC, in bytes.
const frameOverhead = 60

// linkDelay is the one-way latency between the members of a cluster.
const linkDelay = time.Millisecond

// cluster runs many Members in one process. They are connected by function calls that
// encode their messages, so that a test can run hundreds.
type cluster struct {
	t       testing.TB
	log     *configlog.Memory
	budget  int // Config.BytesPerSecond of new members
	seeds   []string
	mu      sync.Mutex
	members map[string]*testMember
	cut     func(from, to string) bool // whether the link is cut; nil cuts none
	changed chan struct{}              // closed when cut changes
	bytes   map[string]map[int64]int   // by sender and second
	cross   map[string]int             // bytes between zones, by method
	started time.Time
}

// testMember is a running or killed member of a cluster.
type testMember struct {
	*Members
	addr         string
	stop         context.CancelFunc
	running      bool
	done         sync.WaitGroup
	declaredDead []string // addresses that this list declared dead
}

func newCluster(t testing.TB) *cluster {
	return &cluster{t: t, log: configlog.NewMemory(), budget: 17_000, seeds: []string{address(1, 1), address(2, 1)},
		members: map[string]*testMember{}, changed: make(chan struct{}), bytes: map[string]map[int64]int{}, cross: map[string]int{}, started: time.Now()}
}

func address(zone, host int) string {
	return fmt.Sprintf("10.%d.%d.%d:7000", zone, host/200, host%200+1)
}

func zoneOf(addr string) string { return strings.SplitN(addr, ".", 3)[1] }

// start starts a new member at addr.
func (c *cluster) start(addr string) *testMember {
	i := &testMember{addr: addr, running: true}
	ip := strings.TrimSuffix(addr, ":7000")
	i.Members = New(Config{Seeds: c.seeds, Peers: &link{c, i}, Log: c.log, BytesPerSecond: c.budget, Events: events.New(addr, zoneOf(addr), nil),
		Self: Member{Addr: addr, Name: "host-" + ip, Zone: "zone-" + zoneOf(addr), Region: "region", Admin: ip + ":9000", Callers: ip + ":8080",
			Upstream: Upstream{Service: "orders", Version: "v1", Instance: fmt.Sprintf("%016x", xxhash.Sum64String(ip)), Slots: 10, Since: time.Now().UnixMilli()}}})
	i.Subscribe(func(x Member) {
		if x.Status == Dead {
			i.declaredDead = append(i.declaredDead, x.Addr)
		}
	})
	var ctx context.Context
	ctx, i.stop = context.WithCancel(context.Background())
	c.mu.Lock()
	c.members[addr] = i
	c.mu.Unlock()
	i.done.Go(func() { _ = i.Run(ctx) })
	return i
}

// fill starts n members in the given number of zones and waits until they have converged.
func (c *cluster) fill(n, zones int) {
	for k := range n {
		c.start(address(1+k%zones, 1+k/zones))
	}
	c.eventually(time.Minute, "all members converge", c.converged)
	time.Sleep(5 * time.Second)
}

func (c *cluster) kill(addr string) {
	i := c.members[addr]
	c.mu.Lock()
	i.running = false
	c.mu.Unlock()
	i.stop()
}

func (c *cluster) stopAll() {
	for _, i := range c.members {
		c.kill(i.addr)
	}
	for _, i := range c.members {
		i.done.Wait()
	}
}

func (c *cluster) setCut(cut func(from, to string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
	close(c.changed)
	c.changed = make(chan struct{})
}

// eventually waits until ok returns true and returns how long that took. The test fails
// if it takes longer than limit.
func (c *cluster) eventually(limit time.Duration, what string, ok func() bool) time.Duration {
	c.t.Helper()
	start := time.Now()
	for ; !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Since(start) > limit {
			c.t.Fatalf("condition not met within %v: %s", limit, what)
		}
	}
	return time.Since(start)
}

// running returns the members that have not been killed.
func (c *cluster) running() (out []*testMember) {
	for _, i := range c.members {
		if i.running {
			out = append(out, i)
		}
	}
	return out
}

// converged reports whether every running member lists exactly the running members as
// alive, each with its current incarnation.
func (c *cluster) converged() bool {
	members := c.running()
	incarnation := make(map[string]uint64, len(members))
	for _, i := range members {
		incarnation[i.addr] = i.Self().Incarnation
	}
	for _, i := range members {
		if !agrees(i, incarnation) {
			return false
		}
	}
	return true
}

func agrees(i *testMember, incarnation map[string]uint64) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	n := 0
	for _, e := range i.all {
		if e.Status != Alive {
			continue
		}
		if n++; incarnation[e.Addr] != e.Incarnation {
			return false
		}
	}
	return n == len(incarnation)
}

// allOthers reports whether is holds for the entry of addr at all other running members.
func (c *cluster) allOthers(addr string, is func(*entry) bool) bool {
	for _, i := range c.running() {
		if i.addr == addr {
			continue
		}
		i.mu.Lock()
		ok := i.all[addr] != nil && is(i.all[addr])
		i.mu.Unlock()
		if !ok {
			return false
		}
	}
	return true
}

// checkNoneDead fails the test if a running member declared another dead, except allowed.
func (c *cluster) checkNoneDead(allowed ...string) {
	c.t.Helper()
	for _, i := range c.running() {
		i.mu.Lock()
		for _, d := range i.declaredDead {
			if len(allowed) == 0 || d != allowed[0] {
				c.t.Errorf("%s declared %s dead, which is running", i.addr, d)
			}
		}
		i.mu.Unlock()
	}
}

// sumCounter returns the sum of a counter over the running members.
func (c *cluster) sumCounter(of func(*counters) uint64) (n uint64) {
	for _, i := range c.running() {
		n += of(i.metrics)
	}
	return n
}

// peakRate returns the highest rate at which a member sent since from, in bytes per second
// averaged over a window in seconds.
func (c *cluster) peakRate(from time.Time, window int64) (peak int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first, last := int64(from.Sub(c.started)/time.Second), int64(time.Since(c.started)/time.Second)
	for _, seconds := range c.bytes {
		for s := first; s <= last; s++ {
			n := 0
			for w := s; w < s+window; w++ {
				n += seconds[w]
			}
			peak = max(peak, n/int(window))
		}
	}
	return peak
}

// link is the connection of one member to the others. It implements PeerClient.
type link struct {
	c    *cluster
	from *testMember
}

var errRefused = errors.New("connection refused")

// Call performs an RPC to the member at addr. It fails if either end has been killed, and
// blocks while the link is cut.
func (l *link) Call(ctx context.Context, addr, method string, args, reply any) error {
	response, err := l.deliver(ctx, addr, method, args)
	if err != nil {
		return err
	}
	l.account(addr, l.from.addr, method, len(response)+frameOverhead/2)
	if _, err := l.traverse(ctx, addr, l.from.addr); err != nil {
		return err
	}
	return msgpack.Unmarshal(response, reply)
}

// Notify delivers a message without a reply.
func (l *link) Notify(ctx context.Context, addr, method string, args any) error {
	_, err := l.deliver(ctx, addr, method, args)
	return err
}

// deliver carries a message to the member at addr, which handles it, and returns the response.
func (l *link) deliver(ctx context.Context, addr, method string, args any) ([]byte, error) {
	to, err := l.traverse(ctx, l.from.addr, addr)
	if err != nil {
		return nil, err
	}
	raw, err := msgpack.Marshal(args)
	if err != nil {
		return nil, err
	}
	l.account(l.from.addr, addr, method, len(raw)+frameOverhead/2)
	return dispatch(NewService(to.Members), method, raw)
}

// traverse waits for the latency, and while the link is cut, until ctx ends.
func (l *link) traverse(ctx context.Context, from, to string) (*testMember, error) {
	if !duration.Sleep(ctx, linkDelay) {
		return nil, ctx.Err()
	}
	for {
		l.c.mu.Lock()
		blocked, changed, target := l.c.cut != nil && l.c.cut(from, to), l.c.changed, l.c.members[to]
		alive := l.from.running && target != nil && target.running
		l.c.mu.Unlock()
		if !blocked {
			if !alive {
				return nil, errRefused
			}
			return target, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// account records that sender sent n bytes of a method to receiver now.
func (l *link) account(sender, receiver, method string, n int) {
	l.c.mu.Lock()
	defer l.c.mu.Unlock()
	if zoneOf(sender) != zoneOf(receiver) {
		l.c.cross[method] += n
	}
	if l.c.bytes[sender] == nil {
		l.c.bytes[sender] = map[int64]int{}
	}
	l.c.bytes[sender][int64(time.Since(l.c.started)/time.Second)] += n
}

func dispatch(s *Service, method string, raw []byte) ([]byte, error) {
	switch method {
	case "Gossip.Ping":
		return call(raw, s.Ping)
	case "Gossip.PingFor":
		return call(raw, s.PingFor)
	case "Gossip.Push":
		return call(raw, s.Push)
	case "Gossip.Pull":
		return call(raw, s.Pull)
	default:
		return call(raw, s.QueryAlive)
	}
}

func call[A, R any](raw []byte, f func(*A, *R) error) ([]byte, error) {
	var args A
	var reply R
	if err := msgpack.Unmarshal(raw, &args); err != nil {
		return nil, err
	}
	if err := f(&args, &reply); err != nil {
		return nil, err
	}
	return msgpack.Marshal(&reply)
}
