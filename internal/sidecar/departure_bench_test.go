package sidecar

import (
	"context"
	"fmt"
	"testing"

	"celerybank/platform/counterpart"
)

// BenchmarkConfirmedDeparture measures the time from the notice that an upstream ends to its confirmation.
func BenchmarkConfirmedDeparture(b *testing.B) {
	m := startMesh(b, "a", "b", "b", "c")
	m.config(1, "/one/")
	for _, h := range m.hosts {
		eventually(b, "all nodes are members", func() bool { return h.node.aliveMembers() == len(m.hosts) })
	}
	h := m.hosts[0]
	for i := range b.N {
		b.StopTimer()
		h.instance = fmt.Sprint("i-", i)
		h.announce(false)
		b.StartTimer()
		if err := counterpart.AnnounceEnd(context.Background(), h.addr(counterpart.ControlPort), h.instance, 1); err != nil {
			b.Fatal(err)
		}
	}
}
