package usage

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"

	"celerybank/internal/events"
	"celerybank/internal/gossip"
)

// Timing of the holder.
const (
	// settleTime is the time after the end of a window at which it is collected: by then the collectors have pulled once more.
	settleTime = pullInterval + 200*time.Millisecond
	// collectTimeout bounds a call to a collector, which pulls itself from hosts that it has no news of.
	collectTimeout = pullTimeout + 600*time.Millisecond
	// collectRetry is the time between two attempts to get counts that are missing.
	collectRetry = time.Second
	// collectAttempts is the number of collectors of a group that are asked in one attempt.
	collectAttempts = 2
	// reportAge is the age at which a window is given up.
	reportAge = time.Minute
)

// collectDue collects the windows that have ended.
func (r *Reporter) collectDue(ctx context.Context) {
	now := r.Clock.Boot()
	if now < r.retryCollect {
		return
	}
	if !r.time.known {
		r.learnTime(ctx)
		return
	}
	due := r.due(r.time.at(r.Clock, now))
	if len(due) == 0 {
		return
	}
	got := r.collect(ctx, due)
	late := r.time.at(r.Clock, r.Clock.Boot()) - r.windowEnd(due[0])
	if len(got.missing) > 0 && late < r.Delay/2 {
		r.retryCollect = now + collectRetry
		return
	}
	if r.isolated(got.hosts) {
		r.release(ctx)
		return
	}
	if len(got.missing) > 0 {
		r.counts.incomplete.Add(1)
		r.Events.Emit(events.UsageIncomplete, events.Fields{"window": due[0], "windows": len(due), "missing": len(got.missing), "first": got.missing[0], "hosts": got.hosts})
	}
	for i, k := range due {
		maps.DeleteFunc(got.counts[i], func(_ string, n int64) bool { return n <= 0 })
		if len(got.counts[i]) > 0 {
			r.unwritten = append(r.unwritten, Report{Window: k, Counts: got.counts[i]})
		}
	}
	r.next = due[len(due)-1] + 1
}

// isolated reports whether this node has lost sight of most hosts. Another node may see them, and must not find the windows closed; if
// none does, the next holder accepts what it sees.
func (r *Reporter) isolated(hosts int) bool {
	if 2*hosts < r.rec.Hosts {
		r.rec.Hosts = 0
		return true
	}
	r.rec.Hosts = hosts
	return false
}

// learnTime asks the collectors for the hosts' clocks, and sets the first window to collect: the oldest of which counts are held
// and that no earlier holder has reported.
func (r *Reporter) learnTime(ctx context.Context) {
	r.collect(ctx, nil)
	now := r.Clock.Boot()
	if !r.time.known {
		r.retryCollect = now + collectRetry
		return
	}
	oldest := window(r.time.at(r.Clock, now)-retention+2*time.Second, r.Window) + 1
	r.next = max(oldest, r.rec.Through+1)
}

func (r *Reporter) windowEnd(k int64) time.Duration { return time.Duration(k+1) * r.Window }

// due returns the windows to collect at a true time.
func (r *Reporter) due(now time.Duration) []int64 {
	if held := window(now-retention, r.Window) + 1; r.next < held {
		r.Events.Emit(events.UsageMissed, events.Fields{"window": r.next, "windows": held - r.next, "reason": "the counts are no longer held"})
		r.next = held
	}
	var out []int64
	for k := r.next; r.windowEnd(k)+settleTime <= now && len(out) < maxWindows; k++ {
		out = append(out, k)
	}
	return out
}

// collected is the sum over all groups.
type collected struct {
	counts  []map[string]int64
	missing []string
	hosts   int
}

// collect asks one collector of each group for windows, and takes the true time from their replies.
func (r *Reporter) collect(ctx context.Context, windows []int64) collected {
	out := collected{counts: make([]map[string]int64, len(windows))}
	for i := range out.counts {
		out.counts[i] = map[string]int64{}
	}
	var offsets []time.Duration
	var mu sync.Mutex
	members := r.Members.Alive()
	p := pool.New().WithMaxGoroutines(maxConcurrentPulls)
	for _, g := range groups(members) {
		p.Go(func() {
			reply, received, err := r.ask(ctx, g, members, windows)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				hosts := hostsOf(members, g)
				out.missing, out.hosts = append(out.missing, hosts...), out.hosts+len(hosts)
				return
			}
			out.add(reply)
			ahead := time.UnixMicro(reply.Wall).Sub(r.Clock.Wall.Add(received))
			for _, ms := range reply.Offsets {
				offsets = append(offsets, ahead+time.Duration(ms)*time.Millisecond)
			}
		})
	}
	p.Wait()
	r.time.learn(offsets)
	slices.Sort(out.missing)
	return out
}

// groups returns all groups with a live host.
func groups(members []gossip.Member) []group {
	sizes := map[string]int{}
	for i := range members {
		sizes[members[i].Zone]++
	}
	var out []group
	for zone, n := range sizes {
		for i, of := 0, groupsOf(n); i < of; i++ {
			if g := (group{zone, of, i}); slices.ContainsFunc(members, func(m gossip.Member) bool { return m.Zone == zone && g.contains(m.Addr) }) {
				out = append(out, g)
			}
		}
	}
	return out
}

// ask asks the collectors of a group in turn. It returns the first reply and when it came.
func (r *Reporter) ask(ctx context.Context, g group, members []gossip.Member, windows []int64) (reply *CollectReply, received time.Duration, err error) {
	collectors := g.collectors(members)
	if len(collectors) == 0 {
		collectors = hostsOf(members, g) // all are draining
	}
	for _, addr := range collectors[:min(collectAttempts, len(collectors))] {
		if reply, err = r.askOne(ctx, addr, g, windows); err == nil {
			return reply, r.Clock.Boot(), nil
		}
	}
	return nil, 0, err
}

func (r *Reporter) askOne(ctx context.Context, addr string, g group, windows []int64) (*CollectReply, error) {
	q := &CollectRequest{Groups: g.of, Group: g.index}
	now := r.time.at(r.Clock, r.Clock.Boot())
	for _, k := range windows {
		end := r.windowEnd(k)
		q.Windows = append(q.Windows, (now - end + r.Window).Microseconds(), (now - end).Microseconds())
	}
	reply := &CollectReply{}
	if addr == r.Addr {
		return reply, r.collector.collect(q, reply)
	}
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	r.counts.collects.Add(1)
	return reply, r.Peers.Call(ctx, addr, "Usage.Collect", q, reply)
}

// add adds the reply of a group.
func (c *collected) add(reply *CollectReply) {
	c.hosts += reply.Hosts
	c.missing = append(c.missing, reply.Missing...)
	for i, row := range reply.Counts {
		for j, n := range row {
			if i < len(c.counts) && j < len(reply.Names) && n != 0 {
				c.counts[i][reply.Names[j]] += n
			}
		}
	}
}
