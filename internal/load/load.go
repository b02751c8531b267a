// Package load generates requests as callers send them: in an open loop at a constant rate, so that a
// slow response delays no later request. It checks each response against its request.
package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"celerybank/internal/httpresponse"
	"celerybank/internal/proxy"
	standin "celerybank/internal/standin/upstream"
	"celerybank/internal/upstream"
	"celerybank/internal/verdict"
)

// RequestKind is one kind of request in a mix.
type RequestKind struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	// Weight is relative to the sum of the weights in the mix.
	Weight int `json:"weight"`
	// Keyed requests carry an Idempotency-Key and are retried if there was no response or it had another verdict
	// than verdict.Ran.
	Keyed bool `json:"keyed"`
}

// Config holds the options of a load run.
type Config struct {
	// Targets are the addresses (IP:port) where nodes or upstreams accept requests of callers; each
	// request goes to a random one, each of its retries to the next in the list.
	Targets []string
	// Rate is in requests per second.
	Rate     float64
	Duration time.Duration
	Timeout  time.Duration
	// Delay simulates the one-way network latency between callers and nodes.
	Delay time.Duration
	// Resends is the maximum number of retries of a keyed request.
	Resends int
	Mix     []RequestKind
	Seed    uint64
	// Prefix begins the idempotency keys, to keep those of different runs distinct.
	Prefix string
	// Progress, if set, receives a status line once per second.
	Progress io.Writer
}

// maxConnsPerTarget bounds the connections to each target; each request in flight uses one.
const maxConnsPerTarget = 4096

// Run sends requests of the mix until the duration has passed or ctx ends, and returns the report.
// Latencies are measured from the scheduled time of a request, which avoids coordinated omission.
func Run(ctx context.Context, cfg Config) Report {
	r := &runner{cfg: cfg, rec: newRecorder(), client: &fasthttp.Client{MaxConnsPerHost: maxConnsPerTarget,
		MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true, Transport: httpresponse.Transport{}}}
	rng := rand.New(rand.NewPCG(cfg.Seed, cfg.Seed+1))
	stopProgress := r.progress()
	var wg conc.WaitGroup
	total := totalWeight(cfg.Mix)
	start := time.Now()
	for i := 0; ; i++ {
		at := start.Add(time.Duration(float64(i) / cfg.Rate * float64(time.Second)))
		if at.Sub(start) >= cfg.Duration || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(at))
		kind, seed := pick(cfg.Mix, total, rng), rng.Uint64()
		wg.Go(func() { r.run(kind, i, seed, at) })
	}
	wg.Wait()
	stopProgress()
	return r.rec.finish(start)
}

// totalWeight returns the sum of the weights in mix.
func totalWeight(mix []RequestKind) int {
	total := 0
	for _, c := range mix {
		total += c.Weight
	}
	return total
}

// pick returns a random element of mix, with probabilities in proportion to the weights.
func pick(mix []RequestKind, total int, rng *rand.Rand) RequestKind {
	n := rng.IntN(total)
	for _, c := range mix {
		if n -= c.Weight; n < 0 {
			return c
		}
	}
	return mix[0]
}

type runner struct {
	cfg    Config
	client *fasthttp.Client
	rec    *recorder
}

// progress writes a status line once per second until the returned function is called.
func (r *runner) progress() (stop func()) {
	if r.cfg.Progress == nil {
		return func() {}
	}
	done := make(chan struct{})
	var once sync.Once
	go func() {
		tick := time.NewTicker(time.Second)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				fmt.Fprintf(r.cfg.Progress, "\r%s", r.rec.status())
			case <-done:
				fmt.Fprintln(r.cfg.Progress)
				return
			}
		}
	}()
	return func() { once.Do(func() { close(done) }) }
}

// result is the outcome of one attempt.
type result struct {
	status  int
	verdict verdict.Verdict
	// known is false if the response had no verdict.
	known  bool
	reason string
	// wrong is true if the response belongs to another request.
	wrong bool
	err   error
}

// retryable reports whether a keyed request has to be retried: there was no response, or its verdict is
// not verdict.Ran. A response without a verdict is final.
func (r result) retryable() bool {
	return r.err != nil || (r.known && r.verdict != verdict.Ran)
}

// run sends request number i, with its retries, and records the outcome. at is its scheduled time.
func (r *runner) run(kind RequestKind, i int, seed uint64, at time.Time) {
	id := fmt.Sprintf("%s%d-%x", r.cfg.Prefix, i, seed)
	var res result
	resent := 0
	for n := 0; ; n++ {
		target := r.cfg.Targets[(seed+uint64(n))%uint64(len(r.cfg.Targets))]
		attempt := fmt.Sprintf("%s/%d", id, n)
		res = r.send(target, kind, id, attempt)
		r.rec.attempt(kind, id, attempt, res)
		if !kind.Keyed || !res.retryable() || n >= r.cfg.Resends {
			break
		}
		resent++
	}
	r.rec.request(kind, res, resent, at)
}

// send makes one attempt at a request.
func (r *runner) send(target string, kind RequestKind, id, attempt string) result {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(kind.Method)
	req.SetRequestURI("http://" + target + kind.Path)
	req.Header.SetHost(kind.Service)
	req.UseHostHeader = true
	req.Header.Set(standin.EchoHeader, id)
	req.Header.Set(standin.AttemptHeader, attempt)
	if kind.Keyed {
		req.Header.Set(proxy.KeyHeader, id)
	}
	req.Header.Set(upstream.TimeoutHeader, fmt.Sprint(r.cfg.Timeout.Milliseconds()))
	sleep(r.cfg.Delay)
	err := r.client.DoTimeout(req, resp, r.cfg.Timeout+time.Second)
	sleep(r.cfg.Delay)
	if err != nil {
		return result{err: err}
	}
	res := result{status: resp.StatusCode(), reason: string(resp.Header.Peek(proxy.ReasonHeader))}
	res.verdict, res.known = verdict.Parse(string(resp.Header.Peek(verdict.Header)))
	if res.status == fasthttp.StatusOK {
		res.wrong = !isOwnResponse(resp.Body(), kind, id)
	}
	return res
}

func sleep(d time.Duration) {
	if d > 0 {
		time.Sleep(d)
	}
}

// isOwnResponse reports whether body is the response to this request, by the request data that it echoes.
func isOwnResponse(body []byte, kind RequestKind, id string) bool {
	var got struct{ Service, Path, Echo string }
	return json.Unmarshal(body, &got) == nil && got.Echo == id && got.Service == kind.Service && got.Path == kind.Path
}
