package distribution

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"celerybank/internal/configlog"
	"celerybank/internal/events"
	"celerybank/internal/gossip"
	"celerybank/internal/inventory"
	"celerybank/internal/mesh"
)

// fleet is a set of distributors with a fixed membership. Calls between them are delayed
// by the latency between their zones.
type fleet struct {
	log     *configlog.Memory
	nodes   map[string]*Distributor
	members []gossip.Member
	batches atomic.Int64
	stop    context.CancelFunc
	done    sync.WaitGroup
}

type fleetMember struct {
	*fleet
	self gossip.Member
}

func (m fleetMember) Self() gossip.Member    { return m.self }
func (m fleetMember) Alive() []gossip.Member { return m.members }

// Call implements PeerClient.
func (m fleetMember) Call(_ context.Context, addr, method string, args, reply any) error {
	d := m.nodes[addr]
	latency := 1500 * time.Microsecond
	if d.members.Self().Zone == m.self.Zone {
		latency = 100 * time.Microsecond
	}
	time.Sleep(latency)
	defer time.Sleep(latency)
	s := NewService(d)
	switch method {
	case "Distribution.News":
		update := args.(*Update)
		if update.Batch != nil {
			m.batches.Add(1)
		}
		return s.News(update, reply.(*UpdateReply))
	case "Distribution.Pull":
		pullReply := reply.(*PullReply)
		err := s.Pull(args.(*Digest), pullReply)
		if pullReply.Batch != nil {
			m.batches.Add(1)
		}
		return err
	case "Distribution.Head":
		return s.Head(args.(*HeadArgs), reply.(*HeadReply))
	case "Distribution.Report":
		return s.Report(args.(*ReportArgs), reply.(*ReportReply))
	case "Distribution.Recall":
		return s.Recall(args.(*RecallArgs), reply.(*RecallReply))
	}
	return errors.New(method)
}

// zones is the number of availability zones of a fleet.
const zones = 4

// newFleet starts n distributors, spread evenly over the zones.
func newFleet(n, fanout, inline, bytesPerSecond int) *fleet {
	f := &fleet{log: configlog.NewMemory(), nodes: map[string]*Distributor{}}
	for i := range n {
		f.members = append(f.members, gossip.Member{Addr: fmt.Sprintf("10.0.%d.%d:7000", i%zones, i/zones), Zone: fmt.Sprint(i % zones)})
	}
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	for _, self := range f.members {
		ev := events.New(self.Addr, self.Zone, nil)
		d := New(NewStore(ev), f.log, fleetMember{f, self}, fleetMember{f, self}, bytesPerSecond, ev)
		d.fanout, d.inline = fanout, inline
		f.nodes[self.Addr] = d
	}
	for _, d := range f.nodes {
		f.done.Go(func() { _ = d.Run(ctx) })
	}
	return f
}

func (f *fleet) shutdown() {
	f.stop()
	f.done.Wait()
	time.Sleep(5 * time.Second) // lets calls in flight end
}

// publish appends an inventory that depends on n and returns the state with it applied to st.
func (f *fleet) publish(t *testing.T, st *mesh.State, n int) *mesh.State {
	t.Helper()
	inv := inventory.Inventory{Mesh: "test", Zones: []inventory.Zone{{Name: "z"}}, Services: []inventory.Service{
		{Name: "stock", InitialVersion: "v1", SlowStart: inventory.Duration(n), Routes: []inventory.Route{
			{Name: "show", Method: "GET", Path: "/items", Idempotent: true}, {Name: "place", Method: "POST", Path: "/items"}}}}}
	rec, err := configlog.NewRecord(mesh.KindConfig, mesh.SubjectConfig, st.Current[mesh.SubjectConfig], "test", st.Difference(inv, inventory.Rules{}))
	if err != nil {
		t.Fatal(err)
	}
	data, err := json.Marshal(rec)
	if err != nil {
		t.Fatal(err)
	}
	offset, err := f.log.Append(context.Background(), configlog.MeshStream, data)
	if err != nil {
		t.Fatal(err)
	}
	next, _, err := st.Apply(configlog.Entry{Offset: offset, Data: data})
	if err != nil {
		t.Fatal(err)
	}
	return next
}

// spentBytes returns the bytes sent by all nodes, and by the node that sent most.
func (f *fleet) spentBytes() (sum, most int64) {
	for _, d := range f.nodes {
		own := int64(0)
		for p := range d.budget.spentBytes {
			own += d.budget.spentBytes[p].Load()
		}
		sum, most = sum+own, max(most, own)
	}
	return sum, most
}

// waitForVersion returns the times that the nodes took to reach version, in ascending
// order, and fails the test after limit.
func (f *fleet) waitForVersion(t *testing.T, version int64, limit time.Duration) []time.Duration {
	t.Helper()
	began := time.Now()
	var took []time.Duration
	pending := map[string]bool{}
	for addr := range f.nodes {
		pending[addr] = true
	}
	for len(pending) > 0 {
		for addr := range pending {
			if f.nodes[addr].store.State().Version >= version {
				took = append(took, time.Since(began))
				delete(pending, addr)
			}
		}
		if time.Since(began) > limit {
			t.Fatalf("%d of %d nodes have not reached version %d after %v", len(pending), len(f.nodes), version, limit)
		}
		time.Sleep(time.Millisecond)
	}
	slices.Sort(took)
	return took
}

// variant is a setting of the push: the fanout, and the largest content in an update in bytes.
type variant struct{ fanout, inline int }

var allVariants = flag.Bool("variants", false, "measure alternative fanouts and inline sizes instead of the current ones")

// convergenceLimit is the required time within which a version is in force on every node.
const convergenceLimit = 4 * time.Second

// Each of a series of changes reaches every node within convergenceLimit, at several fleet
// sizes, and the reads of the log at rest do not grow with the fleet. The test log shows
// convergence times and bytes per node; with -variants, those of alternative settings.
func TestConvergenceBySize(t *testing.T) {
	for _, n := range []int{16, 64, 200} {
		variants := []variant{{updateFanout, maxInlineBytes}}
		if *allVariants {
			variants = []variant{{2, 0}, {3, 0}, {4, 0}, {6, 0}, {8, 0}, {4, 4096}, {6, 4096}}
		}
		for _, variant := range variants {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(n, variant.fanout, variant.inline, 17_000)
				defer f.shutdown()
				st := f.publish(t, mesh.Empty(), 0)
				f.waitForVersion(t, st.Version, 30*time.Second)
				time.Sleep(20 * time.Second)
				sentBefore, _ := f.spentBytes()
				reads := f.log.Stats().Reads[configlog.MeshStream]
				time.Sleep(20 * time.Second)
				idle, _ := f.spentBytes()
				reads = f.log.Stats().Reads[configlog.MeshStream] - reads
				idle = (idle - sentBefore) / int64(n) / 20
				var took []time.Duration
				f.batches.Store(0)
				sentBefore, _ = f.spentBytes()
				began := time.Now()
				const changes = 10
				for i := range changes {
					time.Sleep(777 * time.Millisecond)
					st = f.publish(t, st, i+1)
					took = append(took, f.waitForVersion(t, st.Version, convergenceLimit)...)
				}
				now, _ := f.spentBytes()
				now -= idle * int64(n) * int64(time.Since(began).Seconds())
				slices.Sort(took)
				t.Logf("n=%d fanout=%d inline=%d: p50 %v p99 %v max %v; %.2f batches and %d bytes per node and change; at rest %d bytes/s per node, %.1f log reads/s in total",
					n, variant.fanout, variant.inline, took[len(took)/2], took[len(took)*99/100], took[len(took)-1],
					float64(f.batches.Load())/float64(n*changes), (now-sentBefore)/int64(n*changes), idle, float64(reads)/20)
				if reads > 20*readersPerZone*zones {
					t.Errorf("%d nodes: %d log reads in 20 s at rest, want at most %d", n, reads, 20*readersPerZone*zones)
				}
			})
		}
	}
}

// A burst of publications reaches every node within convergenceLimit, and no node sends
// more bytes than its bandwidth budget allows.
func TestBurstStaysWithinTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n, bytesPerSecond, burst = 64, 17_000, 300
		f := newFleet(n, updateFanout, maxInlineBytes, bytesPerSecond)
		defer f.shutdown()
		st := f.publish(t, mesh.Empty(), 0)
		f.waitForVersion(t, st.Version, 30*time.Second)
		time.Sleep(time.Minute)
		_, before := f.spentBytes()
		began := time.Now()
		for i := range burst {
			st = f.publish(t, st, i+1)
		}
		took := f.waitForVersion(t, st.Version, convergenceLimit)
		time.Sleep(10 * time.Second)
		_, after := f.spentBytes()
		allowed := int64(budgetBurst) + int64(time.Since(began).Seconds()*bytesPerSecond*budgetPercent/100)
		t.Logf("%d records on all nodes after %v; maximum sent by one node: %d bytes, budget %d", burst, took[n-1], after-before, allowed)
		if after-before > allowed {
			t.Errorf("a node sent %d bytes in %v, budget %d", after-before, time.Since(began), allowed)
		}
	})
}

// A node that receives more pulls than its bandwidth budget allows serves some of them and
// replies Busy to the others.
func TestPullRepliesStayWithinTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bytesPerSecond, records, seconds = 17_000, 400, 30
		f := newFleet(1, updateFanout, maxInlineBytes, bytesPerSecond)
		defer f.shutdown()
		st := mesh.Empty()
		for i := range records {
			st = f.publish(t, st, i)
		}
		f.waitForVersion(t, st.Version, 10*time.Second)
		d := f.nodes[f.members[0].Addr]
		served, busy := 0, 0
		for range seconds * 100 {
			reply := d.pullReply(Digest{From: "10.0.0.99:7000"})
			if reply.Busy {
				busy++
			} else {
				served += len(reply.Batch.Packed)
			}
			time.Sleep(10 * time.Millisecond)
		}
		if allowed := budgetBurst + seconds*bytesPerSecond*budgetPercent/100 + batchBytes; served > allowed || busy == 0 || served == 0 {
			t.Errorf("sent %d bytes, want 1 to %d; %d busy replies, want some", served, allowed, busy)
		}
	})
}
