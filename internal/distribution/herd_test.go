package distribution_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"celerybank/internal/configlog"
	"celerybank/internal/inventory"
	"celerybank/internal/testmesh"
)

// Half of the nodes are killed and restarted at once. The load on the log must stay below
// one read and one append per restarted node and second.
func TestMassRestartBoundsLogLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := testmesh.New(t)
		defer m.Stop()
		const zones, perZone = 4, 16
		startNodes(m, zones, perZone)
		m.WaitForVersion(30*time.Second, m.Publish(testmesh.OrdersInventory(zones), inventory.Rules{}))
		time.Sleep(30 * time.Second)
		for z := 1; z <= zones; z++ {
			for h := 1; h <= perZone; h += 2 {
				m.Hosts[testmesh.IP(z, h)].Kill()
			}
		}
		time.Sleep(3 * time.Second)
		count := func() (reads, appends int64) {
			for _, n := range m.Log.Stats().Reads {
				reads += n
			}
			for _, n := range m.Log.Stats().Appends {
				appends += n
			}
			return reads, appends
		}
		reads, appends := count()
		for z := 1; z <= zones; z++ {
			for h := 1; h <= perZone; h += 2 {
				m.Start(z, h)
			}
		}
		peakReads, peakAppends := int64(0), int64(0)
		began := time.Now()
		for range 20 {
			time.Sleep(time.Second)
			r, a := count()
			peakReads, peakAppends = max(peakReads, r-reads), max(peakAppends, a-appends)
			reads, appends = r, a
		}
		m.WaitForVersion(time.Second, 1)
		t.Logf("maximum per second: %d log reads, %d log appends; measured for %v", peakReads, peakAppends, time.Since(began))
		// With less than one read for each restarted node, the load does not grow with the fleet.
		if peakReads >= zones*perZone/2 || peakAppends >= zones*perZone/2 {
			t.Errorf("%d log reads and %d log appends in one second, want less than %d each", peakReads, peakAppends, zones*perZone/2)
		}
	})
}

// Half of the nodes restart during a log outage. None may admit requests at an older
// version, and calls to the log must be fewer than one per restarted node and second. At
// least half of the nodes admit requests during the outage; the others, whose witnesses
// were restarted too, do so after it.
func TestHerdInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := testmesh.New(t)
		defer m.Stop()
		const zones, perZone = 4, 16
		var down atomic.Bool
		var attempts atomic.Int64
		m.Wrap = func(_ string, log configlog.Log) configlog.Log {
			return hostLog{log, func() bool {
				attempts.Add(1)
				return down.Load()
			}}
		}
		startNodes(m, zones, perZone)
		m.WaitForVersion(30*time.Second, m.Publish(testInventory(1), inventory.Rules{}))
		newest := m.Publish(testInventory(2), inventory.Rules{})
		m.WaitForVersion(convergenceLimit, newest)
		time.Sleep(15 * time.Second)
		down.Store(true)
		var restartedHosts []*testmesh.Host
		for z := 1; z <= zones; z++ {
			for h := 2; h <= perZone; h += 2 {
				m.Hosts[testmesh.IP(z, h)].Kill()
				restartedHosts = append(restartedHosts, m.Hosts[testmesh.IP(z, h)])
			}
		}
		time.Sleep(time.Second)
		for _, h := range restartedHosts {
			var z, n int
			if _, err := fmt.Sscanf(h.IP, "10.0.%d.%d", &z, &n); err != nil {
				t.Fatal(err)
			}
			m.Start(z, n)
		}
		peak := int64(0)
		for range 20 {
			before := attempts.Load()
			time.Sleep(time.Second)
			peak = max(peak, attempts.Load()-before)
			for _, h := range restartedHosts {
				if isReady(h) && version(h) < newest {
					t.Fatalf("%s admits requests at version %d, want %d", h.IP, version(h), newest)
				}
			}
		}
		admitting := 0
		for _, h := range restartedHosts {
			if isReady(h) {
				admitting++
			}
		}
		t.Logf("%d of %d nodes admit requests during the outage; maximum per second: %d calls to the log", admitting, len(restartedHosts), peak)
		if peak >= int64(len(restartedHosts)) {
			t.Errorf("%d calls to the log in one second, want less than %d", peak, len(restartedHosts))
		}
		if admitting < len(restartedHosts)/2 {
			t.Errorf("%d of %d restarted nodes admit requests, want at least half", admitting, len(restartedHosts))
		}
		down.Store(false)
		m.WaitForVersion(convergenceLimit, newest)
	})
}
