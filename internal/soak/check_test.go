package soak

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a checker that misses the violation of an invariant, or reports one that is kept: for
// each invariant it records a sequence of observations that violates it, and one within its bounds.
func TestCheckerDetectsViolations(t *testing.T) {
	run := func(c *Checker, id string) {
		c.ExecutionStarted(Execution{RequestID: id, Instance: "i-1", Host: "h1", Service: "stock", Zone: "a"})
	}
	configured := func(c *Checker, service string) { c.ConfigSent(map[string]string{"/p/": service})() }
	cases := map[Invariant]func(c *Checker, violate bool){
		CompleteResponses: func(c *Checker, violate bool) {
			c.RequestSent("r1", "h1", "/p/", true)
			c.ResponseReceived("r1", Response{Status: 200, Intact: !violate})
		},
		RunsOnce: func(c *Checker, violate bool) {
			c.RequestSent("r1", "h1", "/p/", !violate)
			run(c, "r1")
			run(c, "r1")
		},
		TrueRefusals: func(c *Checker, violate bool) {
			c.RequestSent("r1", "h1", "/p/", false)
			if violate {
				run(c, "r1")
			}
			c.ResponseReceived("r1", Response{Status: 503, NotRun: true})
		},
		Draining: func(c *Checker, violate bool) {
			c.DrainAcknowledged("i-1")
			if violate {
				time.Sleep(drainBound + time.Millisecond)
			}
			c.RequestSent("r1", "h1", "/p/", true)
			run(c, "r1")
		},
		ZonesOut: func(c *Checker, violate bool) {
			c.ZoneOut("a")
			time.Sleep(zoneBound + time.Millisecond)
			if !violate {
				c.ZoneIn("a")
			}
			c.RequestSent("r1", "h1", "/p/", true)
			run(c, "r1")
		},
		ColdBound: func(c *Checker, violate bool) {
			c.ColdStart("i-1", time.Now().Add(time.Minute))
			for i := range 40 {
				id := fmt.Sprint("r", i)
				c.RequestSent(id, "h1", "/p/", true)
				run(c, id)
				c.ResponseReceived(id, Response{Status: 200, Intact: true})
				if !violate {
					time.Sleep(time.Second / coldRate)
				}
			}
		},
		NewestConfig: func(c *Checker, violate bool) {
			configured(c, "orders")
			if violate {
				time.Sleep(configBound + time.Millisecond)
			}
			c.RequestSent("r1", "h1", "/p/", true)
			run(c, "r1")
		},
		PlannedStops: func(c *Checker, violate bool) {
			defer c.Disrupt(PlannedStop, "h1")()
			c.RequestSent("r1", "h1", "/p/", true)
			if violate {
				run(c, "r1")
			}
			c.ConnectionLost("r1", true)
		},
		ReusedConnections: func(c *Checker, violate bool) {
			if !violate {
				c.Disrupt(Unplanned, "h2")()
			}
			for i := range maxLost + 1 {
				id := fmt.Sprint("r", i)
				c.RequestSent(id, "h1", "/p/", true)
				run(c, id)
				c.ConnectionLost(id, true)
			}
		},
		BadVersions: func(c *Checker, violate bool) {
			defer c.BadRollout("stock", "v2")(false)
			for i := range 2 * badSlack {
				id := fmt.Sprint("r", i)
				c.RequestSent(id, "h1", "/p/", true)
				version := "v1"
				if violate || i%4 == 0 {
					version = "v2"
				}
				c.ExecutionStarted(Execution{RequestID: id, Instance: "i-1", Host: "h1", Service: "stock", Zone: "a", Version: version})
				c.ResponseReceived(id, Response{Status: 200, Intact: true})
			}
		},
		Serves: func(c *Checker, violate bool) {
			defer c.Disrupt(Unplanned, "")() // the share of the whole run is checked in spite of disruptions
			for i := range minSample {
				id := fmt.Sprint("r", i)
				c.RequestSent(id, "h1", "/p/", true)
				if !violate || i == 0 {
					c.ResponseReceived(id, Response{Status: 200, Intact: true})
				}
			}
		},
		WithinSlots: func(c *Checker, violate bool) {
			if !violate {
				defer c.Disrupt(PlannedStop, "h1")()
			}
			c.RequestSent("r1", "h1", "/p/", true)
			c.NoSlot("r1", "h1")
		},
		Recovers: func(c *Checker, violate bool) {
			c.Disrupt(TotalOutage, "")()
			time.Sleep(recoveryBound + time.Millisecond)
			for i := range minSample {
				id := fmt.Sprint("r", i)
				c.RequestSent(id, "h1", "/p/", true)
				if !violate {
					c.ResponseReceived(id, Response{Status: 200, Intact: true})
				}
			}
		},
	}
	for invariant, record := range cases {
		for _, violate := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, violated: %v", invariant, violate), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := NewChecker()
					configured(c, "stock")
					record(c, violate)
					found, _ := c.Finish()
					if !violate && len(found) > 0 {
						t.Errorf("violations of a kept invariant: %v", found)
					}
					if violate && (len(found) == 0 || found[0].Invariant != invariant) {
						t.Errorf("violations %v, want one of %q first", found, invariant)
					}
				})
			})
		}
	}
}

// Guards against a disruption that relaxes invariants other than those with a time bound: a request
// that ran twice is a violation although the host is disrupted.
func TestDisruptionsRelaxOnlyTimeBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewChecker()
		c.ConfigSent(map[string]string{"/p/": "stock"})()
		defer c.Disrupt(Unplanned, "h1")()
		c.ConfigSent(map[string]string{"/p/": "orders"})()
		time.Sleep(configBound + time.Second)
		c.RequestSent("r1", "h1", "/p/", false)
		c.ExecutionStarted(Execution{RequestID: "r1", Instance: "i-1", Host: "h2", Service: "stock", Zone: "a"})
		if found, _ := c.Finish(); len(found) > 0 {
			t.Fatalf("violations during a disruption: %v", found)
		}
		c.ExecutionStarted(Execution{RequestID: "r1", Instance: "i-2", Host: "h2", Service: "orders", Zone: "a"})
		if found, _ := c.Finish(); len(found) != 1 || found[0].Invariant != RunsOnce {
			t.Errorf("violations %v, want one of %q", found, RunsOnce)
		}
	})
}

func TestCompletedBadRolloutIsViolation(t *testing.T) {
	c := NewChecker()
	c.BadRollout("stock", "v2")(true)
	if found, _ := c.Finish(); len(found) != 1 || found[0].Invariant != BadVersions {
		t.Errorf("violations %v, want one of %q", found, BadVersions)
	}
}
