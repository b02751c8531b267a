package usage

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc/pool"

	"celerybank/internal/duration"
	"celerybank/internal/gossip"
)

// Timing and limits of a Collector.
const (
	// pullInterval is the time between two pulls from a host. When a host dies, the counts since the last one are lost.
	pullInterval = time.Second
	// pullTimeout bounds one pull; hosts with little processor time answer late.
	pullTimeout = 600 * time.Millisecond
	// maxConcurrentPulls bounds the pulls in progress.
	maxConcurrentPulls = 16
	// groupSize is the mean number of hosts above which a zone is divided; groups differ in size, and have 64 at most as a rule.
	groupSize = 48
	// maxWindows is the maximum number of windows in one request.
	maxWindows = 16
)

// Collector holds the counts of a group of hosts of its zone. A group has two: the first by rank pulls from all hosts of the
// group, the second from the first only, whose own counts nobody else would have.
type Collector struct {
	Config
	zone    string
	counter *Counter

	mu sync.Mutex
	// hosts has the counts of each process of a host, by address.
	hosts map[string][]*series
	// inherited has the other collectors of the group whose counts of ended processes this node has got.
	inherited map[string]bool
}

// NewCollector returns the collector of a node in a zone, whose own counts are in counter.
func NewCollector(c Config, zone string, counter *Counter) *Collector {
	return &Collector{Config: c, zone: zone, counter: counter, hosts: map[string][]*series{}, inherited: map[string]bool{}}
}

// group identifies a group of hosts.
type group struct {
	zone string
	// of is the number of groups in the zone, a power of two, so that it seldom changes.
	of, index int
}

// contains reports whether a host of the group's zone is in the group. Groups never overlap, whatever members a node knows.
func (g group) contains(addr string) bool {
	return xxhash.Sum64String("usage-group/"+addr)%uint64(g.of) == uint64(g.index)
}

// collectors returns the nodes that collect for the group, the first by rank first.
func (g group) collectors(members []gossip.Member) []string {
	return ranked("usage-collector/", members, func(m *gossip.Member) bool { return m.Zone == g.zone && g.contains(m.Addr) })
}

// groupsOf returns the number of groups of a zone with n hosts.
func groupsOf(n int) int {
	groups := 1
	for groups*groupSize < n {
		groups *= 2
	}
	return groups
}

// groupAt returns the group of this node.
func (c *Collector) groupAt(members []gossip.Member) group {
	n := 0
	for i := range members {
		if members[i].Zone == c.zone {
			n++
		}
	}
	g := group{zone: c.zone, of: groupsOf(n)}
	for !g.contains(c.Addr) {
		g.index++
	}
	return g
}

// Run pulls the counts that this node collects, until ctx ends.
func (c *Collector) Run(ctx context.Context) error {
	// Nodes start together; their pulls must not.
	rng := rand.New(rand.NewPCG(c.counter.process, 0))
	for duration.Sleep(ctx, pullInterval*7/8+time.Duration(rng.Int64N(int64(pullInterval)/4))) {
		members := c.Members.Alive()
		g := c.groupAt(members)
		c.inherit(ctx, g, members)
		c.pullAll(ctx, c.targets(g, members))
		c.expire()
	}
	return nil
}

// targets returns the hosts that this node pulls from regularly.
func (c *Collector) targets(g group, members []gossip.Member) []string {
	collectors := g.collectors(members)
	switch slices.Index(collectors, c.Addr) {
	case 0:
		return hostsOf(members, g)
	case 1:
		return collectors[:1]
	default:
		return nil
	}
}

// hostsOf returns the live hosts of a group.
func hostsOf(members []gossip.Member, g group) []string {
	var out []string
	for i := range members {
		if m := &members[i]; m.Zone == g.zone && g.contains(m.Addr) {
			out = append(out, m.Addr)
		}
	}
	return out
}

// pullAll pulls from hosts and returns when all have answered or failed.
func (c *Collector) pullAll(ctx context.Context, hosts []string) {
	p := pool.New().WithMaxGoroutines(maxConcurrentPulls)
	for _, addr := range hosts {
		p.Go(func() { c.pull(ctx, addr) })
	}
	p.Wait()
}

// pull adds the new counts of a host. After a failure the next round asks again.
func (c *Collector) pull(ctx context.Context, addr string) {
	q := c.next(addr)
	if addr == c.Addr {
		c.merge(addr, c.counter.pull(q), false)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	reply := &Counts{}
	if c.Peers.Call(ctx, addr, "Usage.Pull", q, reply) == nil {
		c.merge(addr, reply, false)
	}
}

// next returns the request for what is not known of a host yet.
func (c *Collector) next(addr string) *PullRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.hosts[addr]; len(s) > 0 {
		newest := s[len(s)-1]
		return &PullRequest{Process: newest.process, After: newest.last}
	}
	return &PullRequest{After: -1}
}

// merge adds counts of a process of a host. ended is set if the process has handed them over.
func (c *Collector) merge(addr string, counts *Counts, ended bool) {
	now := c.Clock.Boot()
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.hosts[addr]
	i := slices.IndexFunc(list, func(s *series) bool { return s.process == counts.Process })
	if i < 0 {
		if i = len(list); ended {
			i = 0 // the newest process is the last
		}
		list = slices.Insert(list, i, &series{process: counts.Process, last: -1})
		c.hosts[addr] = list
	}
	list[i].merge(counts, now)
	list[i].ended = ended
}

// expire drops counts older than the retention time.
func (c *Collector) expire() {
	before := c.Clock.Boot() - retention
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, list := range c.hosts {
		list = slices.DeleteFunc(list, func(s *series) bool { return s.expire(before) })
		if c.hosts[addr] = list; len(list) == 0 {
			delete(c.hosts, addr)
		}
	}
}

var errRequest = errors.New("usage: invalid request for counts")

// collect sums the counts of a group in windows. Counts that are not known up to the end of the last window are pulled first.
func (c *Collector) collect(q *CollectRequest, reply *CollectReply) error {
	now := c.Clock.Boot()
	if q.Groups < 1 || q.Group < 0 || q.Group >= q.Groups || len(q.Windows)%2 != 0 || len(q.Windows) > 2*maxWindows {
		return errRequest
	}
	bounds := make([]time.Duration, len(q.Windows))
	var end time.Duration
	for i, age := range q.Windows {
		bounds[i] = now - time.Duration(age)*time.Microsecond
		end = max(end, bounds[i])
	}
	g := group{zone: c.zone, of: q.Groups, index: q.Group}
	members := c.Members.Alive()
	hosts := hostsOf(members, g)
	c.inherit(context.Background(), g, members)
	c.pullAll(context.Background(), c.uncovered(hosts, end))
	reply.Hosts, reply.Missing = len(hosts), c.uncovered(hosts, end)
	c.sum(g, bounds, reply)
	reply.Wall = c.Clock.Wall.Add(c.Clock.Boot()).UnixMicro()
	return nil
}

// uncovered returns those of the hosts whose counts are not known up to a time.
func (c *Collector) uncovered(hosts []string, end time.Duration) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for _, addr := range hosts {
		list := c.hosts[addr]
		if len(list) == 0 || list[len(list)-1].ended || list[len(list)-1].covered() < end {
			out = append(out, addr)
		}
	}
	return out
}

// sum adds up the counts of a group. bounds has the beginning and the end of each window.
func (c *Collector) sum(g group, bounds []time.Duration, reply *CollectReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	names := nameTable{}
	windows := make([]map[int64]int64, len(bounds)/2)
	for i := range windows {
		windows[i] = map[int64]int64{}
	}
	for addr, list := range c.hosts {
		if !g.contains(addr) {
			continue
		}
		for _, s := range list {
			s.addTo(windows, bounds, &names)
		}
		newest := list[len(list)-1]
		reply.Offsets = append(reply.Offsets, newest.wall.Add(-newest.zero).Sub(c.Clock.Wall).Milliseconds())
	}
	reply.Names = names.list
	for _, w := range windows {
		row := make([]int64, len(names.list))
		for name, n := range w {
			row[name] = n
		}
		reply.Counts = append(reply.Counts, row)
	}
}

func (s *series) addTo(windows []map[int64]int64, bounds []time.Duration, names *nameTable) {
	for _, e := range s.counts {
		at := s.middle(e.bucket)
		for i := range windows {
			if at >= bounds[2*i] && at < bounds[2*i+1] {
				windows[i][names.index(e.workspace)] += e.n
			}
		}
	}
}
