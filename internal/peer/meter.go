package peer

import (
	"io"
	"maps"
	"net"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// Link says whether a connection leaves the availability zone.
type Link uint8

// Links. LinkUnknown is the link to a host that is not a member yet.
const (
	LinkUnknown Link = iota
	LinkSameZone
	LinkCrossZone
	links
)

var linkNames = [links]string{"unknown", "zone", "cross"}

// sentKind is the kind of a frame.
type sentKind uint8

const (
	kindRequest sentKind = iota
	kindReply
	kindNotification
	kindHeartbeat
	sentKinds
)

var kindNames = [sentKinds]string{"request", "reply", "notification", "heartbeat"}

// maxMetered bounds the methods that are counted by name: a peer chooses the name in the reply to an unknown
// method.
const maxMetered = 64

// otherMethods is the name under which the methods beyond maxMetered are counted.
const otherMethods = "other"

// Meter counts the frames written to peers by method, kind and link. The counts are in the frames' bytes, without
// those of TCP and IP.
type Meter struct {
	// link returns the link to the host with an IP address.
	link func(ip string) Link
	set  *metrics.Set

	// mu guards changes of methods, which are read without it.
	mu      sync.Mutex
	methods atomic.Pointer[map[string]*sentCounters]
}

// sentCounters are the counters of one method. A counter is created when it is first used.
type sentCounters [links][sentKinds]atomic.Pointer[sentCounter]

type sentCounter struct{ bytes, frames *metrics.Counter }

// NewMeter returns a Meter that finds the link to a host by its IP address with link.
func NewMeter(link func(ip string) Link) *Meter {
	m := &Meter{link: link, set: metrics.NewSet()}
	m.methods.Store(&map[string]*sentCounters{})
	return m
}

// WriteMetrics writes the counts in the Prometheus text format.
func (m *Meter) WriteMetrics(w io.Writer) { m.set.WritePrometheus(w) }

// conn returns the meter of one connection to the peer at addr; replies is set on the side that accepted it. It is
// nil if m is nil.
func (m *Meter) conn(addr string, replies bool) *connMeter {
	if m == nil {
		return nil
	}
	if host, _, err := net.SplitHostPort(addr); err == nil {
		addr = host
	}
	return &connMeter{meter: m, ip: addr, replies: replies}
}

// connMeter counts the frames written to one connection.
type connMeter struct {
	meter   *Meter
	ip      string
	replies bool
	link    atomic.Uint32
}

// linkNow returns the link of the connection.
func (c *connMeter) linkNow() Link {
	if c == nil {
		return LinkUnknown
	}
	link := Link(c.link.Load())
	if link == LinkUnknown {
		link = c.meter.link(c.ip)
		c.link.Store(uint32(link))
	}
	return link
}

// sent counts a frame of n bytes.
func (c *connMeter) sent(h *header, n int) {
	if c == nil {
		return
	}
	link := c.linkNow()
	kind := kindRequest
	switch {
	case h.Method == pingMethod:
		kind = kindHeartbeat
	case h.Seq == notifySeq:
		kind = kindNotification
	case c.replies:
		kind = kindReply
	}
	counter := c.meter.counter(h.Method, link, kind)
	counter.bytes.Add(n)
	counter.frames.Inc()
}

// counter returns the counter of a method, a link and a kind. It takes no lock and does not allocate once it exists.
func (m *Meter) counter(method string, link Link, kind sentKind) *sentCounter {
	counters := (*m.methods.Load())[method]
	if counters == nil {
		method, counters = m.add(method)
	}
	c := counters[link][kind].Load()
	if c == nil {
		labels := `{method="` + method + `",kind="` + kindNames[kind] + `",link="` + linkNames[link] + `"}`
		c = &sentCounter{bytes: m.set.GetOrCreateCounter("celerybank_peer_sent_bytes_total" + labels),
			frames: m.set.GetOrCreateCounter("celerybank_peer_sent_frames_total" + labels)}
		counters[link][kind].Store(c)
	}
	return c
}

// add returns the counters of a method and the name under which it is counted.
func (m *Meter) add(method string) (string, *sentCounters) {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := *m.methods.Load()
	if len(old) >= maxMetered && old[method] == nil {
		method = otherMethods
	}
	if c := old[method]; c != nil {
		return method, c
	}
	next, c := maps.Clone(old), &sentCounters{}
	next[method] = c
	m.methods.Store(&next)
	return method, c
}
