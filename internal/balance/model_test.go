package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"celerybank/internal/gossip"
	"celerybank/internal/proxy"
)

// Parameters of the model: three zones, in each some upstreams of six slots whose speed differs by 0.5 to 1.5, and some
// entry nodes that know only what the owners tell them.
const (
	modelOwners  = 8
	modelEntries = 6
	modelSlots   = 6
	modelWork    = 140 * time.Millisecond
	modelTimeout = 1200 * time.Millisecond
	modelTransit = 500 * time.Microsecond // one way to another zone
	modelOffers  = 4
)

// modelOwner is an upstream with its owner: it runs as many requests as it has slots, in order of arrival.
type modelOwner struct {
	zone, addr string
	slots      chan struct{}
	work       time.Duration
	mu         sync.Mutex
	present    int
	ran        int
}

// handle runs a request if a slot is free, or waits for one if only is set.
func (o *modelOwner) handle(only bool, deadline time.Time) (ok bool, took time.Duration) {
	o.mu.Lock()
	if o.present >= modelSlots && !only {
		o.mu.Unlock()
		return false, 0
	}
	o.present++
	o.mu.Unlock()
	defer func() { o.mu.Lock(); o.present--; o.mu.Unlock() }()
	timer := time.NewTimer(time.Until(deadline) - o.work)
	defer timer.Stop()
	select {
	case o.slots <- struct{}{}:
	case <-timer.C:
		return false, 0
	}
	time.Sleep(o.work)
	<-o.slots
	o.mu.Lock()
	o.ran++
	o.mu.Unlock()
	return true, o.work
}

func (o *modelOwner) load() proxy.Load {
	o.mu.Lock()
	defer o.mu.Unlock()
	return proxy.Load{InUse: o.present, Limit: modelSlots, MeanTime: o.work, Slowness: int(proxy.RatioScale * o.work / modelWork)}
}

// model is a run with its counts by zone of the caller.
type model struct {
	mu      sync.Mutex
	owners  []*modelOwner
	entries map[string][]*Balancer
	// cut is a zone that is cut off from the others.
	cut string
	// arrived, served and crossed count requests, and those sent to another zone at least once, by zone of the caller.
	arrived, served, crossed map[string]int
	// crossedAt counts the requests that crossed by second.
	crossedAt map[int]int
	started   time.Time
}

func newModel(ownersOf map[string]int) *model {
	m := &model{entries: map[string][]*Balancer{}, arrived: map[string]int{}, served: map[string]int{}, crossed: map[string]int{}, crossedAt: map[int]int{}, started: time.Now()}
	for _, zone := range []string{"a", "b", "c"} {
		for range modelEntries {
			m.entries[zone] = append(m.entries[zone], New(zone))
		}
	}
	for _, zone := range []string{"a", "b", "c"} {
		for i := range ownersOf[zone] {
			speed := 0.5 + float64(i)/float64(max(ownersOf[zone]-1, 1))
			o := &modelOwner{zone: zone, addr: fmt.Sprintf("10.%d.0.%d:7000", zone[0], i), slots: make(chan struct{}, modelSlots), work: time.Duration(float64(modelWork) / speed)}
			m.owners = append(m.owners, o)
			for _, list := range m.entries {
				for _, b := range list {
					b.Update(gossip.Member{Addr: o.addr, Zone: zone, Upstream: gossip.Upstream{Service: "p", Version: "v", Instance: o.addr, Slots: modelSlots}})
				}
			}
		}
	}
	return m
}

func (m *model) owner(e *Endpoint) *modelOwner {
	return m.owners[slices.IndexFunc(m.owners, func(o *modelOwner) bool { return o.addr == e.Addr })]
}

// request carries one request of a caller in zone as the dispatcher does.
func (m *model) request(zone string, b *Balancer) {
	deadline := time.Now().Add(modelTimeout)
	c := Criteria{Service: "p", Route: "r", Left: modelTimeout}
	crossed := false
	for n := range modelOffers {
		choice := b.Pick(c)
		if choice.Endpoint == nil || n == modelOffers-1 {
			c.Tried = nil
			choice = b.Pick(c)
			choice.Only = true
		}
		e := choice.Endpoint
		if e == nil {
			break
		}
		c.Tried = append(c.Tried, e)
		far := e.Zone != zone
		crossed = crossed || far
		ok, answered := m.offer(b, e, far, choice.Only, deadline)
		if answered && ok {
			m.mu.Lock()
			m.served[zone]++
			m.mu.Unlock()
		}
		if ok || time.Now().After(deadline) {
			break
		}
	}
	if crossed {
		m.mu.Lock()
		m.crossed[zone]++
		m.crossedAt[int(time.Since(m.started)/time.Second)]++
		m.mu.Unlock()
	}
}

func (m *model) offer(b *Balancer, e *Endpoint, far, only bool, deadline time.Time) (ok, answered bool) {
	o := m.owner(e)
	e.Begin()
	defer e.End()
	m.mu.Lock()
	lost := m.cut != "" && far && (m.cut == e.Zone || m.cut == b.zone)
	m.mu.Unlock()
	if lost {
		time.Sleep(200 * time.Millisecond)
		b.RecordNoResponse(e, time.Now())
		e.RecordUnreachable(time.Now())
		return false, false
	}
	if far {
		time.Sleep(modelTransit)
		defer time.Sleep(modelTransit)
	}
	ok, took := o.handle(only, deadline)
	b.RecordResponse(e)
	e.UpdateLoad(o.load(), time.Now())
	if ok {
		mean := b.MeanProcessingTime("p", "r")
		b.RecordProcessingTime("p", "r", took)
		e.RecordSpeed("r", took, mean, time.Now())
	}
	return ok, true
}

// capacity returns the requests per second that the upstreams of a zone can run.
func (m *model) capacity(zone string) (rate float64) {
	for _, o := range m.owners {
		if o.zone == zone {
			rate += modelSlots / o.work.Seconds()
		}
	}
	return rate
}

// run sends requests for the duration; rate returns those per second of a zone at a time since the start.
func (m *model) run(d time.Duration, rate func(zone string, at float64) float64) {
	var wg sync.WaitGroup
	for i, zone := range []string{"a", "b", "c"} {
		wg.Go(func() {
			rng, start := rand.New(rand.NewPCG(uint64(i), 7)), time.Now()
			for time.Since(start) < d {
				r := rate(zone, time.Since(start).Seconds())
				if r <= 0 {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				time.Sleep(time.Duration(rng.ExpFloat64() / r * float64(time.Second)))
				b := m.entries[zone][rng.IntN(modelEntries)]
				m.mu.Lock()
				m.arrived[zone]++
				m.mu.Unlock()
				wg.Go(func() { m.request(zone, b) })
			}
		})
	}
	wg.Wait()
}

// shares returns the fractions of the requests of all zones that were served and that crossed.
func (m *model) shares() (served, crossed float64) {
	n := 0
	for zone := range m.arrived {
		n += m.arrived[zone]
		served += float64(m.served[zone])
		crossed += float64(m.crossed[zone])
	}
	return served / float64(n), crossed / float64(n)
}

// crossedFrom returns the number of requests that crossed from a second on.
func (m *model) crossedFrom(second int) (n int) {
	for s, count := range m.crossedAt {
		if s >= second {
			n += count
		}
	}
	return n
}

var evenOwners = map[string]int{"a": modelOwners, "b": modelOwners, "c": modelOwners}

func withModel(t *testing.T, ownersOf map[string]int, f func(*model)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) { f(newModel(ownersOf)) })
}

// Guards against requests that cross zones while their own zone has room.
func TestModelCalmZonesKeepTheirRequests(t *testing.T) {
	withModel(t, evenOwners, func(m *model) {
		m.run(20*time.Second, func(zone string, _ float64) float64 { return 0.6 * m.capacity(zone) })
		served, _ := m.shares()
		late := m.crossedFrom(3) // the nodes learn the speeds first
		t.Logf("served %.4f, crossed %v, after 3 s %d", served, m.crossed, late)
		if all := m.arrived["a"] + m.arrived["b"] + m.arrived["c"]; served < 0.999 || late > all/200 {
			t.Errorf("served %.4f, %d crossed, want all and at most one in 200", served, late)
		}
	})
}

// Guards against crossings that serve nobody: all zones are short of capacity.
func TestModelOverloadedZonesKeepTheirRequests(t *testing.T) {
	withModel(t, evenOwners, func(m *model) {
		m.run(20*time.Second, func(zone string, _ float64) float64 { return 1.3 * m.capacity(zone) })
		served, crossed := m.shares()
		t.Logf("served %.4f of a possible %.4f, crossed %.4f", served, 1/1.3, crossed)
		if served < 0.95/1.3 || crossed > 0.02 {
			t.Errorf("served %.4f, crossed %.4f, want %.4f and at most 0.02", served, crossed, 0.95/1.3)
		}
	})
}

// swing returns demand that swings by 0.55 around its mean with a period of 15 s, at other times in each zone.
func swing(m *model, mean float64) func(string, float64) float64 {
	phase := map[string]float64{"a": 0, "b": 2 * math.Pi / 3, "c": 4 * math.Pi / 3}
	return func(zone string, at float64) float64 {
		return mean * m.capacity(zone) * (1 + 0.55*math.Sin(2*math.Pi*at/15+phase[zone]))
	}
}

// Guards against a zone that refuses requests at the peak of its demand while others have room, and against capacity that
// is kept after the peak, or that alternates between zones.
func TestModelZoneAtItsPeakBorrows(t *testing.T) {
	withModel(t, evenOwners, func(m *model) {
		m.run(45*time.Second, swing(m, 0.8))
		served, crossed := m.shares()
		// Of the demand, this much exceeds the capacity of its zone.
		excess := 0.0
		for i := range 1000 {
			excess += max(0, 0.8*(1+0.55*math.Sin(2*math.Pi*float64(i)/1000))-1) / 0.8 / 1000
		}
		t.Logf("served %.4f, crossed %.4f, demand above the capacity of its zone %.4f", served, crossed, excess)
		if served < 0.97 || crossed < excess/2 || crossed > 2*excess {
			t.Errorf("served %.4f, crossed %.4f, want 0.97 and about %.4f", served, crossed, excess)
		}
	})
}

// Guards against requests that find no upstream when their own zone has none of the service.
func TestModelZoneWithoutUpstreamsIsServedElsewhere(t *testing.T) {
	withModel(t, map[string]int{"b": modelOwners, "c": modelOwners}, func(m *model) {
		m.run(15*time.Second, func(string, float64) float64 { return 0.25 * m.capacity("b") })
		served, _ := m.shares()
		t.Logf("served %.4f, crossed of a %d of %d", served, m.crossed["a"], m.arrived["a"])
		if served < 0.999 || m.crossed["b"]+m.crossed["c"] > m.arrived["b"]/100 {
			t.Errorf("served %.4f, crossed %v of %v, want all, and only those of a", served, m.crossed, m.arrived)
		}
	})
}

// Guards against requests that are sent into a zone which was just cut off, and against a cut zone that serves less than
// it can.
func TestModelCutZoneServesWhatItCan(t *testing.T) {
	withModel(t, evenOwners, func(m *model) {
		time.AfterFunc(10*time.Second, func() { m.mu.Lock(); m.cut = "a"; m.mu.Unlock() })
		m.run(20*time.Second, func(zone string, at float64) float64 {
			if zone == "a" {
				return 1.2 * m.capacity(zone)
			}
			return 0.5 * m.capacity(zone)
		})
		late := m.crossedFrom(13)
		t.Logf("served %v of %v, crossed %v, after the cut %d", m.served, m.arrived, m.crossed, late)
		if late > m.arrived["a"]/50 || float64(m.served["a"]) < 0.85*float64(m.arrived["a"]) || m.served["b"] < m.arrived["b"]*99/100 {
			t.Errorf("served %v of %v, %d crossed after the cut", m.served, m.arrived, late)
		}
	})
}

// Guards against upstreams that get work out of proportion to their speed under load.
func TestModelWorkFollowsSpeed(t *testing.T) {
	withModel(t, evenOwners, func(m *model) {
		m.run(20*time.Second, func(zone string, _ float64) float64 { return 0.95 * m.capacity(zone) })
		for _, o := range m.owners {
			possible := 20 * modelSlots / o.work.Seconds()
			if share := float64(o.ran) / possible; share < 0.6 || share > 1.05 {
				t.Errorf("upstream of %v ran %.2f of what it can, want 0.6 to 1: fast ones are preferred at a load of 0.95", o.work, share)
			}
		}
	})
}
