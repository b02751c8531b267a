package rollout

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"celerybank/internal/gossip"
	"celerybank/internal/mesh"
	"celerybank/internal/proxy"
)

// filledRecorder returns a recorder with 2000 requests on each of routes routes, of which 1 % fail.
func filledRecorder(routes int) *Recorder {
	r := NewRecorder()
	r.SetUpstream("v2", time.Time{})
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range routes * 2000 {
		o := proxy.Succeeded
		if rng.IntN(100) == 0 {
			o = proxy.Failed
		}
		r.Observe("v2", fmt.Sprintf("route-%d", i%routes), o, time.Duration(rng.ExpFloat64()*float64(5*time.Millisecond)))
	}
	return r
}

func BenchmarkObserve(b *testing.B) {
	r := filledRecorder(8)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r.Observe("v2", "route-1", proxy.Succeeded, 3*time.Millisecond)
		}
	})
}

// allWindows has a span for each window of a coordinator.
var allWindows = []time.Duration{recentSpan, 30 * time.Second, 10 * time.Minute, historySpan}

// Measures the response of one owner to a coordinator: its size, the time to encode it, and the
// memory that the counts occupy.
func BenchmarkEvidence(b *testing.B) {
	for _, routes := range []int{2, 8, 32} {
		b.Run(fmt.Sprintf("routes=%d", routes), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			r := filledRecorder(routes)
			runtime.GC()
			runtime.ReadMemStats(&after)
			var size int
			for b.Loop() {
				text, err := msgpack.Marshal(r.Evidence(EvidenceRequest{At: time.Now().UnixMilli(), Spans: allWindows}))
				if err != nil {
					b.Fatal(err)
				}
				size = len(text)
			}
			b.ReportMetric(float64(size), "message-bytes")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "state-bytes")
			runtime.KeepAlive(r)
		})
	}
}

// Measures one assessment without the network: summing the evidence of the owners, and the tests.
func BenchmarkAssess(b *testing.B) {
	e := filledRecorder(8).Evidence(EvidenceRequest{At: time.Now().UnixMilli(), Spans: allWindows})
	for _, n := range []int{4, 24, 96} {
		b.Run(fmt.Sprintf("owners=%d", n), func(b *testing.B) {
			for b.Loop() {
				s := &situation{rollout: mesh.Rollout{From: "v1", To: "v2"}, old: tally{}, new: tally{}}
				for i := range n {
					e.Version = []string{"v1", "v2"}[i%2]
					s.addEvidence(gossip.Member{}, e, nil)
				}
				assess(s.old, s.new)
			}
		})
	}
}

type staticMembers []gossip.Member

func (m staticMembers) Self() gossip.Member    { return m[0] }
func (m staticMembers) Alive() []gossip.Member { return m }
func (m staticMembers) SetFact(gossip.Fact)    {}

type staticStore struct{ st *mesh.State }

func (s staticStore) State() *mesh.State { return s.st }

type staticRouter struct{}

func (staticRouter) HasUpstreams(string) bool        { return true }
func (staticRouter) ZoneOrder(string) mesh.ZoneOrder { return mesh.ZoneOrder{} }

// Measures one round of a node that coordinates no rollout, with 19,000 members and rollouts of other
// services.
func BenchmarkIdleRound(b *testing.B) {
	var members staticMembers
	for i := range 19000 {
		members = append(members, gossip.Member{Addr: fmt.Sprintf("10.%d.%d.%d:7000", i>>16, i>>8&255, i&255),
			Upstream: gossip.Upstream{Service: fmt.Sprintf("service-%d", (i+799)%800), Version: "v1"}})
	}
	for _, rollouts := range []int{0, 10, 100} {
		b.Run(fmt.Sprintf("rollouts=%d", rollouts), func(b *testing.B) {
			st := mesh.Empty()
			for i := range rollouts {
				name := fmt.Sprintf("service-%d", i+1)
				st.Rollouts[name+"/v2"] = mesh.Rollout{Service: name, From: "v1", To: "v2", Status: mesh.RolloutRunning}
			}
			c := New(members, staticStore{st}, nil, staticRouter{}, nil, NewRecorder(), NewVetoSet(), nil)
			for b.Loop() {
				c.round(context.Background(), false)
			}
		})
	}
}
