package claims

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"celerybank/internal/mesh"
	"celerybank/internal/peer"
	"celerybank/internal/proxy"
	"celerybank/internal/verdict"
)

// BenchmarkHolderBytes measures the heap bytes per stored claim.
func BenchmarkHolderBytes(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				t := newTable(maxHeldClaims, disabledRules{})
				p := t.shard(0)
				p.seats[0] = &seat{record: 1, active: true, claims: map[Key]tableEntry{}}
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				for i := 0; i < n; {
					k := KeyOf("orders", fmt.Sprint(i))
					k[0], k[1], k[2], k[3], k[4], k[5], k[6], k[7] = 0, 0, 0, 0, 0, 0, byte(i>>8)&0xf0, 0
					t.grant(&GrantRequest{Record: 1, Key: k, Claim: ID(i + 1), Owner: "10.0.1.1:7000"})
					i++
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(t.held.Load()), "B/claim")
				runtime.KeepAlive(t)
			}
		})
	}
}

// BenchmarkClaim measures a claim over loopback TCP with three holders, all of them remote.
func BenchmarkClaim(b *testing.B) {
	var bytes, messages atomic.Int64
	count := func(method string, in bool, n int) {
		if !in {
			bytes.Add(int64(n))
			messages.Add(1)
		}
	}
	var holders []string
	var sources []*fakeSource
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range 4 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		addr := l.Addr().String()
		src := &fakeSource{state: mesh.Empty(), changed: make(chan struct{})}
		pool := peer.NewPool(peer.TCP{}, nil, count)
		h := newHolder(addr, src, pool, nil, 1<<30, disabledRules{})
		c := NewClaimant(h, src, pool)
		s := peer.NewServer(nil, count)
		if err := s.Register("Claims", NewService(ctx, h, c)); err != nil {
			b.Fatal(err)
		}
		go func() { _ = s.Serve(ctx, l) }()
		h.start()
		if holders, sources = append(holders, addr), append(sources, src); len(holders) < 4 {
			defer pool.Close()
			continue
		}
		st := *mesh.Empty()
		st.Version, st.Groups = 1, make([]mesh.Group, mesh.ClaimGroups)
		for g := range st.Groups {
			st.Groups[g] = mesh.Group{Record: 1, Created: 1, Seats: [3]string(holders[:3]), Since: [3]int64{1, 1, 1}}
		}
		for _, src := range sources {
			src.set(&st)
		}
		measureClaims(b, ctx, c, &bytes, &messages)
		pool.Close()
	}
}

func measureClaims(b *testing.B, ctx context.Context, c *Claimant, bytes, messages *atomic.Int64) {
	done := &proxy.Response{Verdict: verdict.Ran, Status: 200, Body: []byte("{}")}
	for range 10 { // opens the connections
		if _, refused := c.Claim(ctx, "orders", fmt.Sprint(time.Now().UnixNano()), 1); refused != nil {
			time.Sleep(100 * time.Millisecond)
		}
	}
	bytes.Store(0)
	messages.Store(0)
	i := 0
	for b.Loop() {
		i++
		got, refused := c.Claim(ctx, "orders", fmt.Sprintf("order-%d-%d", b.N, i), 1)
		if refused != nil {
			b.Fatal(refused.Response(ctx))
		}
		got.Finish(done)
	}
	time.Sleep(50 * time.Millisecond)
	b.ReportMetric(float64(bytes.Load())/float64(i), "B/claim")
	b.ReportMetric(float64(messages.Load())/float64(i), "messages/claim")
}
