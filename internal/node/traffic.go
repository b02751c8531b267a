package node

import (
	"strings"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// traffic counts the bytes between nodes by RPC service (the metric label duty) and direction.
type traffic struct {
	set      *metrics.Set
	counters sync.Map // trafficKey to *metrics.Counter
}

func newTraffic() *traffic { return &traffic{set: metrics.NewSet()} }

type trafficKey struct {
	service string
	in      bool
}

// count adds n bytes of a call of method, which has the form Service.Method. It implements peer.Traffic.
func (t *traffic) count(method string, in bool, n int) {
	service, _, _ := strings.Cut(method, ".")
	key := trafficKey{service, in}
	if c, ok := t.counters.Load(key); ok {
		c.(*metrics.Counter).Add(n)
		return
	}
	direction := "out"
	if in {
		direction = "in"
	}
	c := t.set.GetOrCreateCounter(`celerybank_peer_bytes_total{duty="` + strings.ToLower(service) + `",direction="` + direction + `"}`)
	t.counters.Store(key, c)
	c.Add(n)
}
