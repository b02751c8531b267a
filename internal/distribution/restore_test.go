package distribution_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"celerybank/internal/configlog"
	"celerybank/internal/inventory"
	"celerybank/internal/testmesh"
)

// lostRetention is the time for which records that the log lost may stay in force.
const lostRetention = 5 * time.Second

// number returns the number of the inventory in force on a host, 0 for none.
func number(h *testmesh.Host) int {
	services := h.Node.Store().State().Inventory.Services
	if len(services) == 0 {
		return 0
	}
	return int(services[0].SlowStart.D() / time.Millisecond)
}

// A configuration that a restored log has lost gives way to an older one, or the one that an operator writes
// right after the return is in force too late.
func TestLostConfigurationStaysInForceUntilItIsWrittenAgain(t *testing.T) {
	for _, after := range []time.Duration{100 * time.Millisecond, time.Second, 3 * time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := testmesh.New(t)
				defer m.Stop()
				startNodes(m, 3, 3)
				m.WaitForVersion(20*time.Second, m.Publish(testInventory(1), inventory.Rules{}))
				kept := m.Log.Copy()
				m.WaitForVersion(convergenceLimit, m.Publish(testInventory(2), inventory.Rules{}))
				m.WaitForVersion(convergenceLimit, m.Publish(testInventory(3), inventory.Rules{}))
				m.Log.Restore(kept)
				published := time.Now().Add(after)
				wrote := false
				for now := time.Now(); now.Before(published.Add(convergenceLimit)); now = time.Now() {
					if !wrote && !now.Before(published) {
						m.Publish(testInventory(4), inventory.Rules{})
						wrote = true
					}
					for _, h := range m.Hosts {
						if n := number(h); n < 3 {
							t.Fatalf("%s: inventory %d in force %v before 4 is published, 3 was", h.IP, n, published.Sub(now))
						}
					}
					time.Sleep(50 * time.Millisecond)
				}
				for _, h := range m.Hosts {
					if n := number(h); n != 4 {
						t.Errorf("%s: inventory %d in force %v after 4 was published", h.IP, n, convergenceLimit)
					}
				}
			})
		})
	}
}

// A lost record that nobody writes again stays in force for ever, so that nodes differ from the log.
func TestLostConfigurationThatIsNotWrittenAgainEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := testmesh.New(t)
		defer m.Stop()
		startNodes(m, 3, 3)
		m.WaitForVersion(20*time.Second, m.Publish(testInventory(1), inventory.Rules{}))
		kept := m.Log.Copy()
		m.WaitForVersion(convergenceLimit, m.Publish(testInventory(2), inventory.Rules{}))
		m.Log.Restore(kept)
		time.Sleep(lostRetention + convergenceLimit)
		for _, h := range m.Hosts {
			if n := number(h); n != 1 {
				t.Errorf("%s: inventory %d in force %v after the log came back with 1", h.IP, n, lostRetention+convergenceLimit)
			}
		}
	})
}

// A node that starts after the return takes the lost version from a peer, or its offset for the newest.
func TestNodeThatStartsAfterARestorationEndsOnTheNewest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := testmesh.New(t)
		defer m.Stop()
		startNodes(m, 3, 2)
		m.WaitForVersion(20*time.Second, m.Publish(testInventory(1), inventory.Rules{}))
		kept := m.Log.Copy()
		for n := 2; n <= 4; n++ {
			m.WaitForVersion(convergenceLimit, m.Publish(testInventory(n), inventory.Rules{}))
		}
		m.Log.Restore(kept)
		v := m.Publish(testInventory(5), inventory.Rules{})
		m.Start(1, 9)
		time.Sleep(20 * time.Second)
		m.WaitForVersion(convergenceLimit, v)
		for _, h := range m.Hosts {
			if n := number(h); n != 5 {
				t.Errorf("%s: inventory %d in force, want 5", h.IP, n)
			}
		}
	})
}

// Random publications, restorations and restarts in any order end on different configurations, or one process goes back.
func TestRestorationsOfTheLogEndOnTheNewest(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 12
	properties := gopter.NewProperties(parameters)
	properties.Property("all nodes end on the newest configuration and none goes back", prop.ForAll(func(seed uint64, steps []int) string {
		failure := ""
		synctest.Test(t, func(t *testing.T) {
			m := testmesh.New(t)
			defer m.Stop()
			startNodes(m, 2, 3)
			failure = playRestorations(m, rand.New(rand.NewPCG(seed, 1)), steps)
		})
		return failure
	}, gen.UInt64(), gen.SliceOfN(12, gen.IntRange(0, 5))))
	properties.TestingRun(t)
}

// playRestorations takes the steps and returns what went wrong, or an empty text. Operators write the newest
// configuration again right after each restoration.
func playRestorations(m *testmesh.Mesh, r *rand.Rand, steps []int) string {
	n := 1
	newest := m.Publish(testInventory(n), inventory.Rules{})
	m.WaitForVersion(20*time.Second, newest)
	copies := []configlog.Copy{m.Log.Copy()}
	highest := map[*testmesh.Host]int{}
	wait := func(d time.Duration) string {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			for _, h := range m.Hosts {
				if got := number(h); got < highest[h] && isReady(h) {
					return h.IP + " went back from " + strconv.Itoa(highest[h]) + " to " + strconv.Itoa(got)
				}
				highest[h] = max(highest[h], number(h))
			}
		}
		return ""
	}
	for _, step := range steps {
		switch step {
		case 0:
			m.Log.Restore(copies[r.IntN(len(copies))])
			fallthrough
		case 1, 2:
			n++
			newest = m.Publish(testInventory(n), inventory.Rules{})
		case 3:
			copies = append(copies, m.Log.Copy())
		case 4:
			z, h := 1+r.IntN(2), 1+r.IntN(3)
			m.Hosts[testmesh.IP(z, h)].KillNode()
			m.Start(z, h)
		}
		if failure := wait(time.Duration(r.Int64N(int64(3 * time.Second)))); failure != "" {
			return failure
		}
	}
	if failure := wait(20 * time.Second); failure != "" {
		return failure
	}
	for _, h := range m.Hosts {
		if got := number(h); got != n || version(h) < newest {
			return h.IP + " ended on " + strconv.Itoa(got) + ", newest is " + strconv.Itoa(n)
		}
	}
	return ""
}
