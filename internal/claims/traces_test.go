package claims

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"celerybank/internal/mesh"
)

// Each trace leads to a second run in the exhaustive model of the protocol if one rule is
// removed. The implementation must run the key twice without the rule, and must not with
// it.
var traces = map[string]struct {
	without disabledRules
	play    func(tc *testCluster, newFirst, newSecond func(record int64) *steppedClaimant)
}{
	"window": {disabledRules{window: true}, func(tc *testCluster, newFirst, newSecond func(int64) *steppedClaimant) {
		r := tc.group().Record
		c1 := newFirst(r)
		c1.requestGrant("b")
		tc.restart("b")
		time.Sleep(recoveryDelay)
		tc.copyFrom("b", "c")
		tc.copyFrom("b", "a")
		tc.confirmAndActivate("b")
		c1.requestGrant("c")
		c1.runIfGranted()
		c2 := newSecond(r)
		c2.requestGrant("b")
		c2.requestGrant("a")
		c2.runIfGranted()
	}},
	"recoveryDelay": {disabledRules{recoveryDelay: true}, func(tc *testCluster, newFirst, newSecond func(int64) *steppedClaimant) {
		r := tc.group().Record
		c1 := newFirst(r)
		c1.requestGrant("b")
		tc.restart("b")
		tc.copyFrom("b", "c")
		tc.copyFrom("b", "a")
		tc.confirmAndActivate("b")
		c1.requestGrant("c")
		c1.runIfGranted()
		c2 := newSecond(r)
		c2.requestGrant("b")
		c2.requestGrant("a")
		c2.runIfGranted()
	}},
	"fence": {disabledRules{fence: true}, func(tc *testCluster, newFirst, newSecond func(int64) *steppedClaimant) {
		r := tc.group().Record
		tc.replace("b", "d")
		tc.syncNode("d")
		time.Sleep(recoveryDelay)
		tc.copyFrom("d", "a")
		tc.copyFrom("d", "c")
		tc.confirmAndActivate("d")
		c1 := newFirst(r)
		c1.requestGrant("b")
		c1.requestGrant("a")
		c1.runIfGranted()
		c2 := newSecond(tc.group().Record)
		c2.requestGrant("d")
		c2.requestGrant("c")
		c2.runIfGranted()
	}},
	"allCopies": {disabledRules{allCopies: true}, func(tc *testCluster, newFirst, newSecond func(int64) *steppedClaimant) {
		r := tc.group().Record
		c1 := newFirst(r)
		c1.requestGrant("a")
		tc.restart("a")
		c1.requestGrant("b")
		c1.runIfGranted()
		time.Sleep(recoveryDelay)
		tc.copyFrom("a", "c")
		tc.confirmAndActivate("a")
		c2 := newSecond(r)
		c2.requestGrant("a")
		c2.requestGrant("c")
		c2.runIfGranted()
	}},
	"abstain": {disabledRules{abstain: true}, func(tc *testCluster, newFirst, newSecond func(int64) *steppedClaimant) {
		r := tc.group().Record
		c1 := newFirst(r)
		c1.requestGrant("b")
		tc.restart("b")
		c1.requestGrant("a")
		c1.runIfGranted()
		c2 := newSecond(r)
		c2.requestGrant("b")
		c2.requestGrant("c")
		c2.runIfGranted()
	}},
	"activeSource": {disabledRules{activeSource: true}, func(tc *testCluster, newFirst, newSecond func(int64) *steppedClaimant) {
		r := tc.group().Record
		c1 := newFirst(r)
		c1.requestGrant("b")
		tc.restart("b")
		c1.requestGrant("a")
		tc.restart("a")
		c1.runIfGranted()
		time.Sleep(recoveryDelay)
		tc.copyFrom("a", "b")
		tc.copyFrom("a", "c")
		tc.confirmAndActivate("a")
		c2 := newSecond(r)
		c2.requestGrant("a")
		c2.requestGrant("c")
		c2.runIfGranted()
	}},
	"block": {disabledRules{block: true}, func(tc *testCluster, newFirst, newSecond func(int64) *steppedClaimant) {
		r := tc.group().Record
		c1 := newFirst(r)
		c1.requestGrant("b")
		tc.restart("b")
		c1.requestGrant("c")
		c1.runIfGranted()
		time.Sleep(recoveryDelay)
		c2 := newSecond(r)
		c2.requestGrant("a")
		tc.copyFrom("b", "a")
		tc.copyFrom("b", "c")
		tc.confirmAndActivate("b")
		c2.requestGrant("b")
		c2.runIfGranted()
	}},
	// The node starts from an older seat record than the previous process had applied. The
	// confirmation after the last copy must prevent a second run even then.
	"confirmation against a forgotten record": {disabledRules{confirm: true}, func(tc *testCluster, newFirst, newSecond func(int64) *steppedClaimant) {
		before := tc.log
		r := tc.group().Record
		tc.replace("b", "d")
		tc.syncNode("a")
		tc.syncNode("d")
		time.Sleep(recoveryDelay)
		tc.copyFrom("d", "a")
		tc.start("a", before)
		time.Sleep(recoveryDelay)
		tc.copyFrom("a", "b")
		tc.copyFrom("a", "c")
		tc.confirmAndActivate("a")
		tc.syncNode("c")
		tc.copyFrom("d", "c")
		tc.confirmAndActivate("d")
		c1 := newFirst(r)
		c1.requestGrant("b")
		c1.requestGrant("a")
		c1.runIfGranted()
		c2 := newSecond(tc.group().Record)
		c2.requestGrant("d")
		c2.requestGrant("c")
		c2.runIfGranted()
	}},
}

func TestModelTraces(t *testing.T) {
	for name, tr := range traces {
		play := func(r disabledRules) (runs int) {
			synctest.Test(t, func(t *testing.T) {
				tc := newTestCluster(t, r, "a", "b", "c", "d")
				var all []*steppedClaimant
				tr.play(tc, func(rec int64) *steppedClaimant { all = append(all, tc.newClaimant(rec)); return all[len(all)-1] },
					func(rec int64) *steppedClaimant { all = append(all, tc.newClaimant(rec)); return all[len(all)-1] })
				for _, c := range all {
					if c.ran {
						runs++
					}
				}
			})
			return runs
		}
		t.Run(name, func(t *testing.T) {
			if n := play(disabledRules{}); n > 1 {
				t.Errorf("got %d runs with every rule, want at most 1", n)
			}
			if n := play(tr.without); n != 2 {
				t.Errorf("got %d runs without the rule, want 2: the trace does not exercise it", n)
			}
		})
	}
}

// While a seat is joining, it may be replaced again, but no other seat of the group may.
func TestApplyAcceptsOneReplacementAtATime(t *testing.T) {
	tc := newTestCluster(t, disabledRules{}, "a", "b", "c", "d", "e")
	first := tc.group().Record
	tc.replace("b", "d")
	second := tc.group().Record
	tc.replace("c", "e")
	if g := tc.group(); g.Record != second || g.Seats[2] != "c" {
		t.Fatalf("another seat was replaced while one was joining: got %+v", g)
	}
	tc.replace("d", "e")
	if g := tc.group(); g.Seats[1] != "e" || g.Joining != 2 {
		t.Fatalf("the joining seat was not replaced: got %+v", g)
	}
	tc.append(mesh.SeatChange{Items: []mesh.SeatItem{{Group: testGroup, Prev: second, Op: mesh.SeatActive}}})
	if tc.group().Joining == 0 {
		t.Fatal("a seat was recorded as active under the record of a replaced holder")
	}
	tc.append(mesh.SeatChange{Nodes: []string{"b"}, Items: []mesh.SeatItem{{Group: testGroup, Prev: first, Op: mesh.SeatReplace, Nodes: []int{0}}}})
	if fmt.Sprint(tc.group().Seats) != "[a e c]" {
		t.Fatalf("a change with an outdated Prev took effect: got %+v, want seats [a e c]", tc.group())
	}
}
