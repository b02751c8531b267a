package soak

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// For each promise one broken behaviour that the checker must catch, and the same course kept
// within its bounds, which it must let pass.
func TestCheckerCatchesEachBrokenPromise(t *testing.T) {
	run := func(c *Checker, id string) {
		c.Ran(Run{ID: id, Instance: "i-1", Host: "h1", Service: "stock", Zone: "a"})
	}
	configured := func(c *Checker, service string) { c.Configured(map[string]string{"/p/": service})() }
	cases := map[Promise]func(c *Checker, breaks bool){
		WholeAnswers: func(c *Checker, breaks bool) {
			c.Sent("r1", "h1", "/p/", true)
			c.Answered("r1", Reply{Status: 200, Own: !breaks})
		},
		RunsOnce: func(c *Checker, breaks bool) {
			c.Sent("r1", "h1", "/p/", !breaks)
			run(c, "r1")
			run(c, "r1")
		},
		TrueRefusals: func(c *Checker, breaks bool) {
			c.Sent("r1", "h1", "/p/", false)
			if breaks {
				run(c, "r1")
			}
			c.Answered("r1", Reply{Status: 503, NotRun: true})
		},
		Leaving: func(c *Checker, breaks bool) {
			c.Acknowledged("i-1")
			if breaks {
				time.Sleep(drainWithin + time.Millisecond)
			}
			c.Sent("r1", "h1", "/p/", true)
			run(c, "r1")
		},
		ZonesOut: func(c *Checker, breaks bool) {
			c.ZoneOut("a")
			time.Sleep(zoneWithin + time.Millisecond)
			if !breaks {
				c.ZoneIn("a")
			}
			c.Sent("r1", "h1", "/p/", true)
			run(c, "r1")
		},
		ColdBound: func(c *Checker, breaks bool) {
			c.Cold("i-1", time.Now().Add(time.Minute))
			for i := range 40 {
				id := fmt.Sprint("r", i)
				c.Sent(id, "h1", "/p/", true)
				run(c, id)
				c.Answered(id, Reply{Status: 200, Own: true})
				if !breaks {
					time.Sleep(time.Second / coldPerS)
				}
			}
		},
		NewestConfig: func(c *Checker, breaks bool) {
			configured(c, "orders")
			if breaks {
				time.Sleep(configWithin + time.Millisecond)
			}
			c.Sent("r1", "h1", "/p/", true)
			run(c, "r1")
		},
		PlannedStops: func(c *Checker, breaks bool) {
			defer c.Disturb(Planned, "h1")()
			c.Sent("r1", "h1", "/p/", true)
			if breaks {
				run(c, "r1")
			}
			c.Cut("r1", true)
		},
		KeptRequests: func(c *Checker, breaks bool) {
			if !breaks {
				c.Disturb(Unplanned, "h2")()
			}
			for i := range lostAllowed + 1 {
				id := fmt.Sprint("r", i)
				c.Sent(id, "h1", "/p/", true)
				run(c, id)
				c.Cut(id, true)
			}
		},
		BadVersions: func(c *Checker, breaks bool) {
			defer c.BadVersion("stock", "v2")(false)
			for i := range 2 * badSlack {
				id := fmt.Sprint("r", i)
				c.Sent(id, "h1", "/p/", true)
				version := "v1"
				if breaks || i%4 == 0 {
					version = "v2"
				}
				c.Ran(Run{ID: id, Instance: "i-1", Host: "h1", Service: "stock", Zone: "a", Version: version})
				c.Answered(id, Reply{Status: 200, Own: true})
			}
		},
		Serves: func(c *Checker, breaks bool) {
			defer c.Disturb(Unplanned, "")() // whatever happens, a whole run serves something
			for i := range leastRequests {
				id := fmt.Sprint("r", i)
				c.Sent(id, "h1", "/p/", true)
				if !breaks || i == 0 {
					c.Answered(id, Reply{Status: 200, Own: true})
				}
			}
		},
		Recovers: func(c *Checker, breaks bool) {
			c.Disturb(Loss, "")()
			time.Sleep(recoverWithin + time.Millisecond)
			for i := range leastRequests {
				id := fmt.Sprint("r", i)
				c.Sent(id, "h1", "/p/", true)
				if !breaks {
					c.Answered(id, Reply{Status: 200, Own: true})
				}
			}
		},
	}
	for promise, course := range cases {
		for _, breaks := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, broken: %v", promise, breaks), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := NewChecker()
					configured(c, "stock")
					course(c, breaks)
					found, _ := c.Finish()
					if !breaks && len(found) > 0 {
						t.Errorf("kept, but %v", found)
					}
					if breaks && (len(found) == 0 || found[0].Promise != promise) {
						t.Errorf("broken, but %v", found)
					}
				})
			})
		}
	}
}

// A disturbance of a host or of the store stretches or lifts the bounds in time, not the others.
func TestDisturbancesLiftBoundsInTimeOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewChecker()
		c.Configured(map[string]string{"/p/": "stock"})()
		defer c.Disturb(Unplanned, "h1")()
		c.Configured(map[string]string{"/p/": "orders"})()
		time.Sleep(configWithin + time.Second)
		c.Sent("r1", "h1", "/p/", false)
		c.Ran(Run{ID: "r1", Instance: "i-1", Host: "h2", Service: "stock", Zone: "a"})
		if found, _ := c.Finish(); len(found) > 0 {
			t.Fatalf("%v", found)
		}
		c.Ran(Run{ID: "r1", Instance: "i-2", Host: "h2", Service: "orders", Zone: "a"})
		if found, _ := c.Finish(); len(found) != 1 || found[0].Promise != RunsOnce {
			t.Errorf("%v", found)
		}
	})
}

func TestCompletedBadVersionIsCaught(t *testing.T) {
	c := NewChecker()
	c.BadVersion("stock", "v2")(true)
	if found, _ := c.Finish(); len(found) != 1 || found[0].Promise != BadVersions {
		t.Errorf("%v", found)
	}
}
