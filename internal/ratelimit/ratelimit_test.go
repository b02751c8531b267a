package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// What an upstream that names a limit tolerates: in any window one and a half times the limit and some requests more,
// from some time after it first named the limit.
const (
	window    = 4 * time.Second
	overshoot = 1.5
	slack     = 5
	contact   = 3 * time.Second
)

const workTime = 100 * time.Millisecond

// fleet simulates the entry nodes of a mesh, the owner of one upstream and the upstream, in steps of one millisecond.
type fleet struct {
	r        *rand.Rand
	now      time.Time
	owner    *Limiter // nil while the owner's process is down
	ownerUp  time.Time
	inFlight []sentRequest
	// heard is what each node has heard from the upstream.
	heard   []Heard
	limit   func(now time.Time) float64
	arrived []time.Time
	refused int
}

// sentRequest is a request in flight.
type sentRequest struct {
	at   time.Time
	from int // the entry node
}

// request offers one request of a node to the owner.
func (f *fleet) request(from int) {
	if f.owner != nil {
		f.owner.Learn(f.heard[from].Hint(f.now), f.now)
	}
	if f.owner == nil || len(f.inFlight) >= f.owner.InFlight(9) || f.owner.Wait(f.now, 0) > 0 {
		f.refused++
		return
	}
	f.owner.Count(f.now)
	f.arrived = append(f.arrived, f.now)
	f.inFlight = append(f.inFlight, sentRequest{f.now, from})
}

// respond delivers the responses that are due. The process that sent a request may have ended meanwhile.
func (f *fleet) respond() {
	for len(f.inFlight) > 0 && f.now.Sub(f.inFlight[0].at) >= workTime {
		sent := f.inFlight[0]
		f.inFlight = f.inFlight[1:]
		if f.owner == nil || sent.at.Before(f.ownerUp) {
			continue
		}
		f.owner.Observe(f.limit(f.now), sent.at, f.now)
		f.heard[sent.from].Record(f.owner.Hint(), f.now)
	}
}

// restart kills the owner's process; another one starts after down.
func (f *fleet) restart(down time.Duration) {
	f.owner, f.ownerUp = nil, f.now.Add(down)
}

// run simulates d, in which nodes offer rate requests per second together.
func (f *fleet) run(d time.Duration, rate float64) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(time.Millisecond) {
		if f.owner == nil && !f.now.Before(f.ownerUp) {
			limiter := New()
			f.owner, f.inFlight = &limiter, nil // its connections are new: what was in flight does not count
		}
		f.respond()
		n := int(rate / 1000)
		if f.r.Float64() < rate/1000-float64(n) {
			n++
		}
		for range n {
			f.request(f.r.IntN(len(f.heard)))
		}
	}
}

// most returns the largest number of requests in a window from a time on, and the total from then on.
func (f *fleet) most(from time.Time) (most, total int) {
	var in []time.Time
	for _, at := range f.arrived {
		if at.Before(from) {
			continue
		}
		total++
		in = append(in, at)
		for at.Sub(in[0]) > window {
			in = in[1:]
		}
		most = max(most, len(in))
	}
	return most, total
}

// A limit holds for the requests of all nodes together, whatever their number, while the owner restarts again and again,
// nodes that know nothing join, and others are cut off and come back with all their requests at once. It must not leave
// the upstream idle either.
func TestNamedLimitHoldsForAllNodesTogether(t *testing.T) {
	for _, nodes := range []int{3, 16, 300, 19_000} {
		for _, limit := range []float64{0, 0.5, 2, 13.8, 60} {
			t.Run(fmt.Sprint(nodes, " nodes, limit ", limit), func(t *testing.T) {
				start, limiter := time.Unix(1000, 0), New()
				f := &fleet{r: rand.New(rand.NewPCG(uint64(nodes), 1)), now: start, owner: &limiter, ownerUp: start, heard: make([]Heard, nodes)}
				f.limit = func(time.Time) float64 { return -1 }
				demand := max(100, 2*float64(nodes))
				f.run(2*time.Second, demand)
				f.limit = func(time.Time) float64 { return limit }
				named := f.now
				f.run(6*time.Second, demand)
				for range 4 {
					f.restart(time.Duration(f.r.IntN(800)) * time.Millisecond)
					f.run(1500*time.Millisecond, demand)
					for n := range nodes { // all come back at once
						f.request(n)
					}
				}
				f.heard = append(f.heard, make([]Heard, nodes)...) // as many nodes join, and know nothing
				f.run(6*time.Second, 2*demand)
				most, total := f.most(named.Add(contact))
				if bound := overshoot*limit*window.Seconds() + slack; float64(most) > bound {
					t.Errorf("the upstream got %d requests in %v, want at most %v", most, window, bound)
				}
				// Each restart costs the time until the new process is up and has got its first response.
				served := f.now.Sub(named.Add(contact)) - 4*(800*time.Millisecond+workTime+time.Second)
				if least := 0.8*limit*served.Seconds() - 1; float64(total) < least {
					t.Errorf("the upstream got %d requests, want at least %.0f", total, least)
				}
				f.limit = func(time.Time) float64 { return -1 }
				f.run(5*time.Second, demand) // the limit is lifted
				if f.owner.Rate() != 0 {
					t.Error("the limit still holds, want it lifted by a response without one")
				}
			})
		}
	}
}

// A response to a request from before a limit was named does not lift it.
func TestOlderResponseDoesNotLiftALimit(t *testing.T) {
	start := time.Unix(1000, 0)
	l := &Limiter{}
	l.Observe(-1, start, start.Add(workTime))
	l.Observe(7, start.Add(workTime), start.Add(3*workTime))
	if l.Observe(-1, start.Add(2*workTime), start.Add(4*workTime)) || l.Rate() != 7 {
		t.Errorf("got a limit of %v, want 7", l.Rate())
	}
	if !l.Observe(-1, start.Add(5*workTime), start.Add(6*workTime)) || l.Rate() != 0 {
		t.Errorf("got a limit of %v, want none", l.Rate())
	}
}

// Whatever the arrivals and however the limit changes, no window gets more than the highest limit named allows.
func TestWindowNeverExceedsTheLimit(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(11))
	properties.Property("no window gets more than allowed", prop.ForAll(func(gaps []int, limits []int) bool {
		now := time.Unix(1000, 0)
		l, highest := &Limiter{}, 0
		var sent []time.Time
		for i, gap := range gaps {
			if i%400 == 0 {
				limit := limits[i/400%len(limits)]
				l.Observe(float64(limit), now, now)
				highest = max(highest, limit)
			}
			now = now.Add(time.Duration(gap) * time.Millisecond)
			if l.Wait(now, 0) > 0 {
				continue
			}
			l.Count(now)
			sent = append(sent, now)
		}
		for i := range sent {
			n := 0
			for _, at := range sent[i:] {
				if at.Sub(sent[i]) < window {
					n++
				}
			}
			if float64(n) > overshoot*float64(highest)*window.Seconds()+slack {
				return false
			}
		}
		return true
	}, gen.SliceOfN(4000, gen.IntRange(0, 5)), gen.SliceOfN(10, gen.IntRange(1, 40))))
	properties.TestingRun(t)
}
