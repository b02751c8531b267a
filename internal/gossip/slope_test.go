package gossip

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
)

// TestSlopes measures traffic and convergence times by mesh size, from which
// docs/design/membership.md extrapolates to 19,000 members. Run it with
// SLOPES=64,200,600 go test -run TestSlopes -v ./internal/gossip.
func TestSlopes(t *testing.T) {
	if os.Getenv("SLOPES") == "" {
		t.Skip("measurement only: set SLOPES to a comma-separated list of mesh sizes")
	}
	fmt.Println("members  idle B/s  churn B/s  leave  death  restart-time  restart-peak B/s over 10 s  restart bytes/node")
	for size := range strings.SplitSeq(os.Getenv("SLOPES"), ",") {
		n, err := strconv.Atoi(size)
		if err != nil {
			t.Fatal(err)
		}
		synctest.Test(t, func(t *testing.T) { measure(newCluster(t), n) })
	}
}

func measure(c *cluster, n int) {
	defer c.stopAll()
	c.fill(n, 9)
	time.Sleep(10 * time.Second)
	start := time.Now()
	time.Sleep(time.Minute)
	idle := c.meanRate(start)
	// Churn: one restart every 43 s, about 2,000 per day at any size.
	start = time.Now()
	for k := range 7 {
		addr := address(1+k, 3)
		c.members[addr].Leave(context.Background())
		c.kill(addr)
		time.Sleep(3 * time.Second)
		c.start(addr)
		time.Sleep(40 * time.Second)
	}
	churn := c.meanRate(start)
	leaver := c.members[address(2, 2)]
	leaver.Leave(context.Background())
	leave := c.eventually(5*time.Second, "all members list the node as left", func() bool { return c.allOthers(leaver.addr, func(e *entry) bool { return e.Status == Left }) })
	c.kill(leaver.addr)
	c.start(leaver.addr)
	c.eventually(time.Minute, "all members converge", c.converged)
	victim := address(3, 2)
	c.kill(victim)
	death := c.eventually(time.Minute, "all members list the node as dead", func() bool { return c.allOthers(victim, func(e *entry) bool { return e.Status == Dead }) })
	c.start(victim)
	c.eventually(time.Minute, "all members converge", c.converged)
	time.Sleep(10 * time.Second)
	start = time.Now()
	for k := 0; k < n; k += 2 {
		c.kill(address(1+k%9, 1+k/9))
	}
	time.Sleep(2 * time.Second)
	for k := 0; k < n; k += 2 {
		c.start(address(1+k%9, 1+k/9))
	}
	massRestart := c.eventually(2*time.Minute, "all members converge", c.converged)
	perNode := c.meanRate(start) * time.Since(start).Seconds()
	fmt.Printf("%7d  %8.0f  %9.0f  %v  %v  %v  %d  %.0f\n", n, idle, churn, leave, death, massRestart, c.peakRate(start, 10), perNode)
}

// meanRate returns the mean rate at which a member has sent since from, in bytes per second.
func (c *cluster) meanRate(from time.Time) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	first, n := int64(from.Sub(c.started)/time.Second), 0
	for _, seconds := range c.bytes {
		for s, b := range seconds {
			if s >= first {
				n += b
			}
		}
	}
	return float64(n) / float64(len(c.members)) / time.Since(from).Seconds()
}

// benchMembers returns a list of n members that is not running.
func benchMembers(n int) *Members {
	m := New(Config{Self: Member{Addr: address(1, 1), Zone: "zone-1"}, Peers: discardClient{}, BytesPerSecond: 17_000})
	for k := 1; k < n; k++ {
		m.mergeMember(benchMember(k), false)
	}
	m.rebuild()
	return m
}

func benchMember(k int) Member {
	ip := fmt.Sprintf("10.%d.%d.%d", 1+k%9, k/9/200, k/9%200+2)
	return Member{Addr: ip + ":7000", Name: "host-" + ip, Zone: fmt.Sprintf("zone-%d", 1+k%9), Region: "region", Admin: ip + ":9000", Callers: ip + ":8080",
		Incarnation: 1_700_000_000_000, Upstream: Upstream{Service: fmt.Sprintf("service-%d", k%800), Version: "v1", Instance: fmt.Sprintf("%016x", xxhash.Sum64String(ip)), Slots: 10, Since: 1_700_000_000_000}}
}

// discardClient is a PeerClient whose RPCs succeed with an empty reply.
type discardClient struct{}

func (discardClient) Call(context.Context, string, string, any, any) error { return nil }

func (discardClient) Notify(context.Context, string, string, any) error { return nil }

// forEachSize runs f as a sub-benchmark for each number of members.
func forEachSize(b *testing.B, f func(b *testing.B, n int)) {
	for _, n := range []int{600, 2_000, 6_000, 19_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { f(b, n) })
	}
}

// BenchmarkProbePeriod measures the work of one probe period: a ping sent, a ping acknowledged
// and an expiry check every 200 ms.
func BenchmarkProbePeriod(b *testing.B) {
	forEachSize(b, func(b *testing.B, n int) {
		m, s := benchMembers(n), NewService(benchMembers(n))
		b.ResetTimer()
		for range b.N {
			m.ping(context.Background(), m.nextTarget(), time.Second)
			self := m.Self()
			_ = s.Ping(&Ping{Self: toWire(self)}, &Ack{})
			for range 5 {
				m.expire(expireInterval)
			}
		}
	})
}

// BenchmarkMergeRestart measures merging the entry of a restarted member, followed by a
// call of Alive.
func BenchmarkMergeRestart(b *testing.B) {
	forEachSize(b, func(b *testing.B, n int) {
		m := benchMembers(n)
		b.ResetTimer()
		for k := range b.N {
			x := benchMember(1 + k%(n-1))
			x.Incarnation += uint64(k + 1)
			m.Merge([]Member{x}, nil)
			m.Alive()
		}
	})
}

// BenchmarkFullPull measures the reply to a node without a list, and reports its size.
func BenchmarkFullPull(b *testing.B) {
	forEachSize(b, func(b *testing.B, n int) {
		m := benchMembers(n)
		bytes, pages := 0, 0
		for range b.N {
			for start := 0; ; pages++ {
				p, next := m.page(nil, start)
				bytes += len(p.encode())
				if start = next; start == 0 {
					break
				}
			}
		}
		b.ReportMetric(float64(bytes)/float64(b.N), "wire-B")
		b.ReportMetric(float64(bytes)/float64(b.N)/float64(n), "wire-B/member")
		b.ReportMetric(float64(pages)/float64(b.N)+1, "pages")
	})
}

// BenchmarkHeap reports the heap per member, including the list that Alive returns.
func BenchmarkHeap(b *testing.B) {
	forEachSize(b, func(b *testing.B, n int) {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		m := New(Config{Self: Member{Addr: address(1, 1), Zone: "zone-1"}, Peers: discardClient{}})
		for _, page := range benchPayloads(n) {
			m.mergePayload(page, false)
		}
		m.newRound()
		m.rebuild()
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "heap-B/member")
		runtime.KeepAlive(m)
	})
}

func benchPayloads(n int) (out [][]byte) {
	for k := 1; k < n; k += 100 {
		var p updates
		for j := k; j < min(n, k+100); j++ {
			p.Members = append(p.Members, toWire(benchMember(j)))
		}
		out = append(out, p.encode())
	}
	return out
}

// Every node keeps its encoder, which must use no more memory than the history of one window
// and one table of 32,768 entries of eight bytes.
func TestPayloadEncoderMemoryIsBounded(t *testing.T) {
	const limit = compressionWindow + 32768*8
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	e := newPayloadEncoder()
	runtime.GC()
	runtime.ReadMemStats(&after)
	if n := int64(after.HeapAlloc) - int64(before.HeapAlloc); n > limit {
		t.Errorf("encoder: got %d bytes of heap, want at most %d", n, limit)
	}
	runtime.KeepAlive(e)
}
