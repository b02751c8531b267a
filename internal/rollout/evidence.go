// Package rollout delivers new upstream versions progressively: it raises their share of the
// traffic by the outcomes of real requests, and rolls faulty versions back.
package rollout

import (
	"encoding/binary"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"celerybank/internal/proxy"
	"celerybank/internal/window"
)

// Sizes of the two rings of a route: about a minute in fine buckets, and an hour of history in
// coarse ones.
const (
	fineBuckets    = 64
	fineInterval   = time.Second
	coarseBuckets  = 64
	coarseInterval = time.Minute
)

// Buckets of a latency histogram: bucket i ends at minLatency * 2^((i+1)/2); the last one is open.
const (
	latencyBuckets = 26
	minLatency     = 250 * time.Microsecond
)

// latencyUnit is the unit of summed latencies.
const latencyUnit = 100 * time.Microsecond

// Counters of one bucket of a ring.
const (
	cellTotal = iota
	cellFailed
	cellUnanswered
	cellSum
	cellLatency // the first of latencyBuckets
	cells       = cellLatency + latencyBuckets
)

// Counts are the outcomes of one route of one version within one window.
type Counts struct {
	//lint:ignore U1000 msgpack reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Total uint64
	// Failed counts responses of status 500 and above, and the Unanswered requests.
	Failed     uint64
	Unanswered uint64
	// Busy is the sum of all latencies in units of latencyUnit.
	Busy uint64
	// Latency excludes the responses of a cold upstream.
	Latency Histogram
}

// Histogram counts latencies by bucket; trailing empty buckets are omitted.
type Histogram []uint32

// EncodeMsgpack writes the index of the first non-empty bucket and then the counts as varints. The
// encoding is compact because evidence is most of what a coordinator receives.
func (h Histogram) EncodeMsgpack(enc *msgpack.Encoder) error {
	first := 0
	for first < len(h) && h[first] == 0 {
		first++
	}
	out := make([]byte, 1, 1+2*len(h))
	out[0] = byte(first)
	for _, n := range h[first:] {
		out = binary.AppendUvarint(out, uint64(n))
	}
	return enc.EncodeBytes(out)
}

var errHistogram = errors.New("malformed histogram")

// DecodeMsgpack reads the encoding of EncodeMsgpack. It fails if there are more than
// latencyBuckets buckets or a count exceeds 32 bits.
func (h *Histogram) DecodeMsgpack(dec *msgpack.Decoder) error {
	in, err := dec.DecodeBytes()
	if err != nil {
		return err
	}
	if len(in) == 0 || in[0] > latencyBuckets {
		return errHistogram
	}
	out := make(Histogram, in[0], latencyBuckets)
	for in = in[1:]; len(in) > 0; {
		n, size := binary.Uvarint(in)
		if size <= 0 || n > math.MaxUint32 || len(out) == latencyBuckets {
			return errHistogram
		}
		out, in = append(out, uint32(n)), in[size:]
	}
	*h = out
	return nil
}

// Add adds o to c.
func (c *Counts) Add(o Counts) {
	c.Total, c.Failed, c.Unanswered, c.Busy = c.Total+o.Total, c.Failed+o.Failed, c.Unanswered+o.Unanswered, c.Busy+o.Busy
	for len(c.Latency) < len(o.Latency) {
		c.Latency = append(c.Latency, 0)
	}
	for i, n := range o.Latency {
		c.Latency[i] += n
	}
}

// ratio returns the ratio of failed requests; 0 without requests.
func (c Counts) ratio() float64 { return float64(c.Failed) / float64(max(c.Total, 1)) }

func latencyBucket(d time.Duration) int {
	if d <= minLatency {
		return 0
	}
	return min(latencyBuckets-1, int(2*math.Log2(float64(d)/float64(minLatency))))
}

// latencyBucketEnd returns the upper bound of bucket i.
func latencyBucketEnd(i int) time.Duration {
	return time.Duration(float64(minLatency) * math.Pow(2, float64(i+1)/2))
}

// series holds the counts of one route.
type series struct {
	fine, coarse *window.Ring
	// streak counts consecutive failures.
	streak atomic.Int32
}

func newSeries() *series {
	return &series{fine: window.NewRing(fineBuckets, fineInterval, cells), coarse: window.NewRing(coarseBuckets, coarseInterval, cells)}
}

func (s *series) sum(now time.Time, span time.Duration) Counts {
	ring := s.fine
	if span > ring.Span() {
		ring = s.coarse
	}
	out := make([]uint64, cells)
	ring.Sum(now, span, out)
	c := Counts{Total: out[cellTotal], Failed: out[cellFailed], Unanswered: out[cellUnanswered], Busy: out[cellSum]}
	end := cells
	for end > cellLatency && out[end-1] == 0 {
		end--
	}
	for _, n := range out[cellLatency:end] {
		c.Latency = append(c.Latency, uint32(n))
	}
	return c
}

// alarmStreak is the number of consecutive failures of a route that raises an alarm.
const alarmStreak = 2

// Recorder counts outcomes of requests at their owner. Observe takes no lock for a known route.
// resetMu serializes SetUpstream.
type Recorder struct {
	version    atomic.Pointer[string]
	routes     sync.Map // route name to *series
	warmAt     atomic.Int64
	alarm      chan struct{}
	resetMu    sync.Mutex
	requests   atomic.Uint64
	failed     atomic.Uint64
	unanswered atomic.Uint64
}

// NewRecorder returns a recorder without counts.
func NewRecorder() *Recorder { return &Recorder{alarm: make(chan struct{}, 1)} }

// SetUpstream sets the version of the upstream and the time until which it is cold. A change of
// the version drops the counts.
func (r *Recorder) SetUpstream(version string, warmAt time.Time) {
	r.resetMu.Lock()
	defer r.resetMu.Unlock()
	r.warmAt.Store(warmAt.UnixNano())
	if old := r.version.Load(); old != nil && *old == version {
		return
	}
	r.routes.Clear()
	r.version.Store(&version)
}

// Observe counts one request; it implements proxy.Observer. Requests of another version than the
// current one are ignored.
func (r *Recorder) Observe(version, route string, o proxy.Outcome, latency time.Duration) {
	if v := r.version.Load(); v == nil || *v != version {
		return
	}
	found, ok := r.routes.Load(route)
	if !ok {
		found, _ = r.routes.LoadOrStore(route, newSeries())
	}
	s := found.(*series)
	now := time.Now()
	cold := now.UnixNano() < r.warmAt.Load()
	observe(s.fine.At(now), o, latency, cold)
	observe(s.coarse.At(now), o, latency, cold)
	r.requests.Add(1)
	if o == proxy.Succeeded {
		s.streak.Store(0)
		return
	}
	r.countFailure(s, o)
}

func observe(b window.Bucket, o proxy.Outcome, latency time.Duration, cold bool) {
	b.Add(cellTotal, 1)
	b.Add(cellSum, uint32(latency/latencyUnit))
	if o == proxy.Failed || o == proxy.Unanswered {
		b.Add(cellFailed, 1)
	}
	if o == proxy.Unanswered {
		b.Add(cellUnanswered, 1)
	}
	if !cold {
		b.Add(cellLatency+latencyBucket(latency), 1)
	}
}

func (r *Recorder) countFailure(s *series, o proxy.Outcome) {
	if o == proxy.Abandoned {
		return
	}
	r.failed.Add(1)
	if o == proxy.Unanswered {
		r.unanswered.Add(1)
	}
	if s.streak.Add(1) < alarmStreak {
		return
	}
	select {
	case r.alarm <- struct{}{}:
	default:
	}
}

// Totals returns the number of requests since the process started, and how many of them failed and
// got no response.
func (r *Recorder) Totals() (requests, failed, unanswered uint64) {
	return r.requests.Load(), r.failed.Load(), r.unanswered.Load()
}

// EvidenceRequest asks an owner for its counts over windows that end at one time.
type EvidenceRequest struct {
	Service string `msgpack:"s"`
	// At is the coordinator's time in Unix milliseconds, so that all owners sum the same intervals.
	At int64 `msgpack:"a"`
	// Spans are the lengths of the windows.
	Spans []time.Duration `msgpack:"w"`
}

// Evidence is the counts of one owner: the version of its upstream, and the counts by route.
type Evidence struct {
	Version string          `msgpack:"v"`
	Routes  []RouteEvidence `msgpack:"r"`
}

// RouteEvidence has the counts of one route, one for each span of the request.
type RouteEvidence struct {
	Route  string   `msgpack:"n"`
	Counts []Counts `msgpack:"c"`
}

// Approximate sizes of encoded evidence in bytes, without names and histograms.
const (
	routeBytes  = 16
	countsBytes = 12
)

// size returns the approximate size of the encoded evidence in bytes.
func (e Evidence) size() int {
	n := 0
	for _, r := range e.Routes {
		n += routeBytes + len(r.Route)
		for _, c := range r.Counts {
			n += countsBytes + len(c.Latency)
		}
	}
	return n
}

// maxSkew is the clock difference up to which an owner uses the coordinator's time.
const maxSkew = 500 * time.Millisecond

// Evidence returns the counts over the windows of a. If the clocks differ by maxSkew or more, the
// windows end at the local time.
func (r *Recorder) Evidence(a EvidenceRequest) Evidence {
	var out Evidence
	if v := r.version.Load(); v != nil {
		out.Version = *v
	}
	now := time.Now()
	if behind := now.Sub(time.UnixMilli(a.At)); behind.Abs() < maxSkew {
		now = now.Add(-behind)
	}
	r.routes.Range(func(route, found any) bool {
		e := RouteEvidence{Route: route.(string)}
		for _, span := range a.Spans {
			e.Counts = append(e.Counts, found.(*series).sum(now, span))
		}
		out.Routes = append(out.Routes, e)
		return true
	})
	return out
}

// Service serves the RPCs of coordinators.
type Service struct{ recorder *Recorder }

// NewService returns the RPC service of r.
func NewService(r *Recorder) *Service { return &Service{r} }

// Evidence returns the counts of this owner.
func (s *Service) Evidence(args *EvidenceRequest, reply *Evidence) error {
	*reply = s.recorder.Evidence(*args)
	return nil
}
