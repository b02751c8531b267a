package load

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"

	"celerybank/internal/verdict"
)

// Latency holds percentiles and the maximum of a latency histogram, in milliseconds.
type Latency struct {
	P50 float64 `json:"p50"`
	P90 float64 `json:"p90"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Report is the outcome of a run.
type Report struct {
	// Requests counts requests with and without a key, but not their retries.
	Requests int64 `json:"calls"`
	// OK counts responses with status 200 that belong to their request.
	OK int64 `json:"ok"`
	// Failed counts responses with any other status.
	Failed int64 `json:"failed"`
	// Wrong counts responses that belong to another request, Missing requests without a response.
	Wrong   int64 `json:"wrong_answers"`
	Missing int64 `json:"missing_answers"`
	// NotRun and MayHaveRun count requests by the verdict of their last response.
	NotRun     int64 `json:"not_run"`
	MayHaveRun int64 `json:"may_have_run"`
	// KeyedRequests counts requests with an idempotency key, KeyedOK those of them in OK.
	KeyedRequests int64 `json:"orders"`
	KeyedOK       int64 `json:"orders_ok"`
	// Resent counts retries.
	Resent int64 `json:"resent"`
	// Check sets Doubled, FalseNotRun and LostRuns from the upstreams' ledgers: keys that ran more than
	// once, attempts that ran despite the verdict not-run, and verdicts ran whose key never ran.
	Doubled     int64 `json:"doubled_runs"`
	FalseNotRun int64 `json:"false_not_run"`
	LostRuns    int64 `json:"ran_without_run"`

	// UnkeyedLatency is the latency of requests without a key, KeyedLatency that of requests with one.
	UnkeyedLatency Latency `json:"lookup_ms"`
	KeyedLatency   Latency `json:"order_ms"`
	// Refusals counts requests by their error, or by status and reason of a response other than 200.
	Refusals    map[string]int64  `json:"refusals"`
	Start       time.Time         `json:"start"`
	Series      []Bucket          `json:"series"`
	notRun, ran map[string]string // idempotency key by attempt
	all         *hdrhistogram.Histogram
}

// Bucket is one interval of the time series.
type Bucket struct {
	// At is the start of the bucket, in seconds since the start of the run.
	At       float64 `json:"at"`
	Requests int64   `json:"calls"`
	OK       int64   `json:"ok"`
	P99      float64 `json:"p99_ms"`

	hist *hdrhistogram.Histogram
}

// bucketWidth is the interval of the time series.
const bucketWidth = 200 * time.Millisecond

// maxLatency is the largest value of the histograms; longer latencies are recorded as this value.
const maxLatency = 60 * time.Second

// histogramDigits is the precision of the histograms, in significant decimal digits.
const histogramDigits = 3

// newHistogram returns an empty histogram of latencies in microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), histogramDigits)
}

// recorder collects the outcomes of concurrent requests.
type recorder struct {
	mu             sync.Mutex
	report         Report
	unkeyed, keyed *hdrhistogram.Histogram
	start          time.Time
	buckets        map[int]*Bucket
}

func newRecorder() *recorder {
	return &recorder{unkeyed: newHistogram(), keyed: newHistogram(), start: time.Now(), buckets: map[int]*Bucket{},
		report: Report{Refusals: map[string]int64{}, notRun: map[string]string{}, ran: map[string]string{}}}
}

// attempt records the verdict of one attempt at a keyed request.
func (r *recorder) attempt(kind RequestKind, id, attempt string, res result) {
	if !kind.Keyed || !res.known || res.err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch res.verdict {
	case verdict.NotRun:
		r.report.notRun[attempt] = id
	case verdict.Ran:
		r.report.ran[attempt] = id
	}
}

// request records the final outcome of a request that was scheduled for the time at.
func (r *recorder) request(kind RequestKind, res result, resent int, at time.Time) {
	latency := min(max(time.Since(at).Microseconds(), 1), maxLatency.Microseconds())
	ok := res.err == nil && !res.wrong && res.status == fasthttp.StatusOK
	r.mu.Lock()
	defer r.mu.Unlock()
	hist := r.unkeyed
	if kind.Keyed {
		hist = r.keyed
		r.report.KeyedRequests++
	}
	_ = hist.RecordValue(latency) // clamped into range
	r.bucket(at, ok, latency)
	r.report.Requests++
	r.report.Resent += int64(resent)
	r.outcome(kind, res, ok)
}

// outcome updates the counters of the report. The caller holds mu.
func (r *recorder) outcome(kind RequestKind, res result, ok bool) {
	rep := &r.report
	switch {
	case ok && kind.Keyed:
		rep.KeyedOK++
		rep.OK++
	case ok:
		rep.OK++
	case res.err != nil:
		rep.Missing++
		rep.Refusals[res.err.Error()]++
	case res.wrong:
		rep.Wrong++
	default:
		rep.Failed++
		rep.Refusals[fmt.Sprintf("%d %s", res.status, res.reason)]++
	}
	if res.err != nil || !res.known {
		return
	}
	switch res.verdict {
	case verdict.NotRun:
		rep.NotRun++
	case verdict.MayHaveRun:
		rep.MayHaveRun++
	}
}

// bucket adds a request with its latency in microseconds to the time series. The caller holds mu.
func (r *recorder) bucket(at time.Time, ok bool, latency int64) {
	i := int(at.Sub(r.start) / bucketWidth)
	b := r.buckets[i]
	if b == nil {
		b = &Bucket{At: (time.Duration(i) * bucketWidth).Seconds(), hist: newHistogram()}
		r.buckets[i] = b
	}
	b.Requests++
	if ok {
		b.OK++
	}
	_ = b.hist.RecordValue(latency) // clamped into range
}

// status returns the counters of the run so far as one line of text.
func (r *recorder) status() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.report
	return fmt.Sprintf("%d requests, %d ok, %d failed, %d wrong, %d missing, p99 %.1f ms ",
		p.Requests, p.OK, p.Failed, p.Wrong, p.Missing, float64(r.unkeyed.ValueAtQuantile(99))/1000)
}

// finish returns the report of a run that started at start.
func (r *recorder) finish(start time.Time) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	rep := r.report
	rep.all = newHistogram()
	rep.all.Merge(r.unkeyed)
	rep.all.Merge(r.keyed)
	rep.Start, rep.UnkeyedLatency, rep.KeyedLatency = start, summary(r.unkeyed), summary(r.keyed)
	for i, found := 0, 0; found < len(r.buckets); i++ {
		b := r.buckets[i]
		if b == nil {
			continue
		}
		found++
		b.P99 = milliseconds(b.hist.ValueAtQuantile(99))
		rep.Series = append(rep.Series, *b)
	}
	return rep
}

// milliseconds converts from microseconds.
func milliseconds(us int64) float64 { return float64(us) / 1000 }

// summary returns the percentiles and the maximum of a histogram in microseconds.
func summary(h *hdrhistogram.Histogram) Latency {
	return Latency{P50: milliseconds(h.ValueAtQuantile(50)), P90: milliseconds(h.ValueAtQuantile(90)),
		P99: milliseconds(h.ValueAtQuantile(99)), Max: milliseconds(h.Max())}
}

// Merge returns the latency over all requests of several runs.
func Merge(reports []Report) Latency {
	all := newHistogram()
	for _, r := range reports {
		all.Merge(r.all)
	}
	return summary(all)
}
