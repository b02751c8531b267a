package proxy

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"celerybank/internal/events"
	"celerybank/internal/faultnet"
	"celerybank/internal/peer"
	"celerybank/internal/verdict"
)

const (
	fateEntry = "10.0.0.1"
	fateOwner = "10.0.0.2"
	fateAddr  = fateOwner + ":7000"
)

// fateMesh is an entry node and an owner whose process is replaced at times, on a network that injects faults.
type fateMesh struct {
	net      *faultnet.Network
	pool     *peer.Pool
	disabled disabledRules
	stop     context.CancelFunc

	mu   sync.Mutex
	runs map[string]int
	next uint64
}

// slowRunner runs each request for a time that its body gives, and counts the runs.
type slowRunner struct{ m *fateMesh }

func (r slowRunner) Handle(ctx context.Context, req *Request) *Response {
	r.m.mu.Lock()
	r.m.runs[req.RequestID]++
	r.m.mu.Unlock()
	time.Sleep(time.Duration(len(req.Body)) * time.Millisecond)
	return &Response{Verdict: verdict.Ran, Status: 200, Body: []byte(req.RequestID)}
}

func newFateMesh(disabled disabledRules) *fateMesh {
	m := &fateMesh{net: faultnet.New(), disabled: disabled, runs: map[string]int{}, next: FirstID()}
	m.net.SetLatency(func(_, _ string) time.Duration { return time.Millisecond })
	m.pool = peer.NewPool(m.net.Host(fateEntry), events.New("entry", "z", nil), nil)
	m.startOwner()
	return m
}

// startOwner starts a process of the owner.
func (m *fateMesh) startOwner() {
	var ctx context.Context
	ctx, m.stop = context.WithCancel(context.Background())
	server := peer.NewServer(events.New("owner", "z", nil), nil)
	service := NewService(ctx, slowRunner{m}, server.Process())
	service.calls.disabled = m.disabled
	if err := server.Register("Proxy", service); err != nil {
		panic(err)
	}
	l, err := m.net.Host(fateOwner).Listen(fateAddr)
	if err != nil {
		panic(err)
	}
	go func() { _ = server.Serve(ctx, l) }()
}

// restartOwner kills the owner's process and starts another one.
func (m *fateMesh) restartOwner() {
	m.stop()
	m.net.Kill(fateOwner)
	time.Sleep(time.Millisecond)
	m.startOwner()
}

// call sends one request that runs for d and returns its ID and the response.
func (m *fateMesh) call(d time.Duration, idempotent bool) (string, *Response) {
	m.mu.Lock()
	m.next++
	id := m.next
	m.mu.Unlock()
	r := &Request{ID: id, Entry: fateEntry + ":7000", RequestID: fmt.Sprint("r-", id), Body: make([]byte, d/time.Millisecond), Idempotent: idempotent}
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	return r.RequestID, CallOwner(ctx, m.pool, fateAddr, r)
}

func (m *fateMesh) close() {
	m.pool.Close()
	m.stop()
	time.Sleep(2 * fenceRetention) // messages in transit arrive, and handlers end
}

// A request on a connection that goes silent before it arrives is answered "may have run" after its time, or not
// sent elsewhere; one whose response is lost on the way is given up although the response is there.
func TestFateOfCallsOnASilentConnection(t *testing.T) {
	for _, c := range []struct {
		name    string
		run     time.Duration
		cut     time.Duration // after the call was sent; negative: before
		verdict verdict.Verdict
		reason  Reason
	}{
		{"never arrived", 100 * time.Millisecond, -time.Millisecond, verdict.NotRun, ReasonNeverArrived},
		{"running", 300 * time.Millisecond, 20 * time.Millisecond, verdict.Ran, ReasonNone},
		{"ended, response lost", 10 * time.Millisecond, 5 * time.Millisecond, verdict.Ran, ReasonNone},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newFateMesh(disabledRules{})
				defer m.close()
				m.call(0, false) // opens the connection
				time.Sleep(time.Second)
				start := time.Now()
				time.AfterFunc(max(c.cut, 0), func() { m.net.Blackhole(fateEntry, fateOwner) })
				if c.cut < 0 {
					time.Sleep(-c.cut)
				}
				id, res := m.call(c.run, false)
				if res.Verdict != c.verdict || res.Reason != c.reason || (c.verdict == verdict.Ran && string(res.Body) != id) {
					t.Errorf("got verdict %v, reason %q, body %q, want %v, %q and the own body", res.Verdict, res.Reason, res.Body, c.verdict, c.reason)
				}
				if took := time.Since(start); took > c.run+150*time.Millisecond {
					t.Errorf("took %v, want at most %v", took, c.run+150*time.Millisecond)
				}
			})
		})
	}
}

// The owner's process is killed with calls in flight. What became of them is not known: an answer "not run" would be a guess.
func TestFateOfCallsOfAKilledProcessIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newFateMesh(disabledRules{})
		defer m.close()
		m.call(0, false)
		time.AfterFunc(50*time.Millisecond, m.restartOwner)
		if _, res := m.call(time.Second, false); res.Verdict != verdict.MayHaveRun || res.Reason != ReasonPeerLost {
			t.Errorf("got verdict %v, reason %q, want %v, %q", res.Verdict, res.Reason, verdict.MayHaveRun, ReasonPeerLost)
		}
	})
}

// faultStep applies one random fault to the network or the owner.
func (m *fateMesh) faultStep(r *rand.Rand, step int) {
	switch step {
	case 0, 1:
		m.net.Blackhole(fateEntry, fateOwner)
	case 2:
		m.net.CloseConns(fateEntry, fateAddr)
	case 3:
		m.restartOwner()
	case 4: // what is sent now arrives late, and what is sent later overtakes it on another connection
		m.net.SetLatency(func(_, _ string) time.Duration { return 1500 * time.Millisecond })
		time.Sleep(time.Duration(r.Int64N(int64(60 * time.Millisecond))))
		m.net.SetLatency(func(_, _ string) time.Duration { return time.Millisecond })
	case 5:
		m.net.Freeze(fateOwner, true)
		time.Sleep(time.Duration(r.Int64N(int64(900 * time.Millisecond))))
		m.net.Freeze(fateOwner, false)
	}
}

// playFaults sends requests while faults happen, and returns the first broken promise, or an empty text.
func playFaults(disabled disabledRules, seed uint64, steps []int) (failure string) {
	m := newFateMesh(disabled)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var mu sync.Mutex
	verdicts := map[string]verdict.Verdict{}
	for caller := range 6 {
		wg.Go(func() {
			r := rand.New(rand.NewPCG(seed, uint64(caller)))
			for ctx.Err() == nil {
				id, res := m.call(time.Duration(r.Int64N(int64(300*time.Millisecond))), r.IntN(2) == 0)
				mu.Lock()
				verdicts[id] = res.Verdict
				if res.Status != 0 && string(res.Body) != id {
					failure = fmt.Sprintf("request %s got the response %q", id, res.Body)
				}
				mu.Unlock()
				time.Sleep(time.Duration(r.Int64N(int64(30 * time.Millisecond))))
			}
		})
	}
	r := rand.New(rand.NewPCG(seed, 100))
	for _, step := range steps {
		time.Sleep(time.Duration(r.Int64N(int64(1200 * time.Millisecond))))
		m.faultStep(r, step)
	}
	time.Sleep(time.Second)
	cancel()
	wg.Wait()
	m.close()
	for id, v := range verdicts {
		switch n := m.runs[id]; {
		case n > 1:
			return fmt.Sprintf("request %s ran %d times", id, n)
		case v == verdict.NotRun && n > 0:
			return fmt.Sprintf("request %s has run, and its caller was told that it had not", id)
		case v == verdict.Ran && n == 0:
			return fmt.Sprintf("request %s has not run, and its caller was told that it had", id)
		}
	}
	return failure
}

// Lost, delayed and overtaking messages, silent and closed connections and restarts in any order: a request runs twice, an answer
// reaches another caller, or a "not run" is false. With each rule disabled in turn, the same play must find that.
func TestFatesAreTrue(t *testing.T) {
	play := func(disabled disabledRules, cases int) *gopter.TestResult {
		parameters := gopter.DefaultTestParametersWithSeed(1)
		parameters.MinSuccessfulTests, parameters.MaxShrinkCount = cases, 0
		property := prop.ForAll(func(seed uint64, steps []int) string {
			failure := ""
			synctest.Test(t, func(*testing.T) { failure = playFaults(disabled, seed, steps) })
			return failure
		}, gen.UInt64(), gen.SliceOfN(12, gen.IntRange(0, 5)))
		return property.Check(parameters)
	}
	if res := play(disabledRules{}, 60); !res.Passed() {
		t.Errorf("falsified after %d cases: %v", res.Succeeded, res.Labels)
	}
	for name, disabled := range map[string]disabledRules{"fence": {fence: true}, "process": {process: true}, "memory": {memory: true}} {
		if res := play(disabled, 60); res.Passed() {
			t.Errorf("without the rule %q, %d cases found nothing", name, res.Succeeded)
		} else {
			t.Logf("without the rule %q: %v after %d cases", name, res.Labels, res.Succeeded)
		}
	}
}
