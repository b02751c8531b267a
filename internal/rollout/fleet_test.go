package rollout_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"celerybank/internal/configlog"
	"celerybank/internal/inventory"
	"celerybank/internal/mesh"
	"celerybank/internal/proxy"
	standin "celerybank/internal/standin/upstream"
	"celerybank/internal/testmesh"
	"celerybank/internal/verdict"
)

const testZones = 3

// requestTimeout is the timeout of the callers.
const requestTimeout = time.Second

// fleet is a mesh with one service, which has an upstream of an old and a new version in each zone,
// and open-loop callers that send requests through every node.
type fleet struct {
	*testmesh.Mesh
	deadline time.Time         // of the rollout; zero before it began
	version  map[string]string // of the upstream, by IP address
	rng      *rand.Rand
	quit     chan struct{}
	callers  sync.WaitGroup

	mu                   sync.Mutex
	total, lost          int
	newRequests, newLost int
	// lastNew is when the new version last completed a request.
	lastNew time.Time
	// fault is when a request was first lost after the rollout began, firstNew when the new version
	// completed its first request.
	fault, firstNew time.Time
	lostBefore      int
	killed          map[string]bool
	byRoute         map[string]int
	// zoneRequests counts the requests served by the upstreams of each zone.
	zoneRequests map[string]int
}

// traffic is the load of the callers: requests per second, and the paths besides /orders with the
// fraction of the requests that each gets.
type traffic struct {
	rate  float64
	paths map[string]float64
}

func testInventory() inventory.Inventory {
	inv := testmesh.OrdersInventory(testZones)
	inv.Services[0].Routes = append(inv.Services[0].Routes,
		inventory.Route{Name: "rare", Method: "GET", Path: "/rare", Idempotent: true, Timeout: inventory.Duration(2 * time.Second)})
	return inv
}

// withFleet runs test on a fleet with a rollout of v2 that ends after deadline. Each zone has one
// upstream of v1 and one of v2, which has the faults newFaults.
func withFleet(t *testing.T, seed uint64, deadline time.Duration, work time.Duration, load traffic, newFaults standin.Faults, test func(f *fleet), setups ...func(*testmesh.Mesh)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{Mesh: testmesh.New(t), version: map[string]string{}, rng: rand.New(rand.NewPCG(seed, 7)), quit: make(chan struct{}),
			byRoute: map[string]int{}, zoneRequests: map[string]int{}, killed: map[string]bool{}}
		for _, setup := range setups {
			setup(f.Mesh)
		}
		defer f.Stop()
		defer f.stopCallers()
		f.Net.SetLatency(func(from, to string) time.Duration { return 500 * time.Microsecond })
		for z := 1; z <= testZones; z++ {
			f.startUpstream(z, 1, "v1", work, standin.Faults{})
			f.startUpstream(z, 2, "v2", work, newFaults)
		}
		f.WaitForVersion(10*time.Second, f.Publish(testInventory(), inventory.Rules{}))
		time.Sleep(3 * time.Second)
		f.callers.Go(func() { f.send(load) })
		time.Sleep(10 * time.Second)
		f.mu.Lock()
		f.deadline, f.lostBefore = time.Now().Add(deadline), f.lost
		f.mu.Unlock()
		f.WaitForVersion(5*time.Second, f.Publish(testInventory(), inventory.Rules{Rollouts: []inventory.Rollout{{Service: "orders", To: "v2", By: f.deadline}}}))
		test(f)
	})
}

func (f *fleet) startUpstream(z, h int, version string, work time.Duration, faults standin.Faults) {
	f.version[testmesh.IP(z, h)] = version
	f.Start(z, h).StartUpstream(standin.Config{Service: "orders", Version: version, Slots: 10, Work: work, Faults: faults})
}

// setFaults sets the faults of all upstreams of the new version.
func (f *fleet) setFaults(faults standin.Faults) {
	for z := 1; z <= testZones; z++ {
		f.host(z, 2).Upstream.SetFaults(faults)
	}
}

func (f *fleet) host(z, h int) *testmesh.Host { return f.Hosts[testmesh.IP(z, h)] }

// stopCallers stops the callers and waits for the requests in flight.
func (f *fleet) stopCallers() {
	close(f.quit)
	f.callers.Wait()
}

func (f *fleet) send(load traffic) {
	for {
		select {
		case <-f.quit:
			return
		case <-time.After(time.Duration(f.rng.ExpFloat64() / load.rate * float64(time.Second))):
		}
		path, at := "/orders", f.rng.Float64()
		for p, weight := range load.paths {
			if at < weight {
				path = p
			}
		}
		entry := f.host(1+f.rng.IntN(testZones), 1+f.rng.IntN(2))
		if f.isKilled(entry) {
			continue
		}
		f.callers.Go(func() { f.record(path, entry.Get("orders", path, requestTimeout)) })
	}
}

func (f *fleet) isKilled(h *testmesh.Host) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.killed[h.IP]
}

// kill kills a host after no caller sends requests to it any more.
func (f *fleet) kill(h *testmesh.Host) {
	f.mu.Lock()
	f.killed[h.IP] = true
	f.mu.Unlock()
	time.Sleep(requestTimeout)
	h.Kill()
}

func (f *fleet) record(path string, a *proxy.Response) {
	isLost := a.Verdict != verdict.Ran || a.Status != 200
	ip := ""
	for _, h := range a.Header {
		if h.Name == standin.InstanceHeader {
			ip, _, _ = strings.Cut(h.Value, "/")
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.total++
	if isLost {
		f.lost++
		if f.fault.IsZero() && !f.deadline.IsZero() {
			f.fault = time.Now()
		}
	}
	if ip != "" {
		f.zoneRequests[f.Hosts[ip].Zone]++
	}
	if f.version[ip] == "v2" {
		f.newRequests++
		f.lastNew = time.Now()
		if f.firstNew.IsZero() {
			f.firstNew = f.lastNew
		}
		f.byRoute[path]++
		if isLost {
			f.newLost++
		}
	}
}

// rollout returns the state of the rollout at node (1,1).
func (f *fleet) rollout() mesh.Rollout {
	return f.host(1, 1).Node.Store().State().Rollouts["orders/v2"]
}

// waitForEnd waits until the rollout has ended with status and all nodes have applied that. It
// fails the test if the rollout is rolled back instead.
func (f *fleet) waitForEnd(limit time.Duration, status mesh.RolloutStatus) {
	f.T.Helper()
	f.Eventually(limit, "rollout "+string(status), func() bool {
		now := f.rollout().Status
		return now == status || now == mesh.RolloutRolledBack
	})
	if r := f.rollout(); r.Status != status {
		f.T.Fatalf("rollout is %s at share %d: %s; want %s", r.Status, r.Share, r.Reason, status)
	}
	f.WaitForVersion(3*time.Second, f.rollout().Changed)
}

// counters is a snapshot of the fleet's counts.
type counters struct {
	total, lost, newRequests, newLost int
	lastNew                           time.Time
}

func (f *fleet) counts() counters {
	f.mu.Lock()
	defer f.mu.Unlock()
	return counters{f.total, f.lost, f.newRequests, f.newLost, f.lastNew}
}

// expectNoRequests fails the test if the new version gets requests between settle and settle+watch
// from now.
func (f *fleet) expectNoRequests(settle, watch time.Duration) {
	f.T.Helper()
	time.Sleep(settle)
	before := f.counts().newRequests
	time.Sleep(watch)
	if after := f.counts().newRequests; after != before {
		f.T.Errorf("the faulty version got %d requests within %v, want 0", after-before, watch)
	}
}

func (f *fleet) summary() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.rollout()
	return fmt.Sprintf("%s share %d: %s; %d requests, %d lost, v2 got %d and lost %d", r.Status, r.Share, r.Reason, f.total, f.lost, f.newRequests, f.newLost)
}

func (f *fleet) setOutage(on bool) { f.Log.SetFaults(configlog.Faults{Outage: on}) }
