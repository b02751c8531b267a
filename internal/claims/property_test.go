package claims

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// simulation applies randomly drawn operations on one key: claimants that start, request
// grants, run or abandon their request, processes that restart, apply records, copy claims
// and activate seats, seats that are replaced, and time that passes. It records when a
// claimant ran and a trace of the operations.
type simulation struct {
	*testCluster
	claimants []*steppedClaimant
	ranAt     []time.Time
	trace     []string
}

var testNodes = []string{"a", "b", "c", "d", "e"}

func (sim *simulation) logf(format string, args ...any) {
	sim.trace = append(sim.trace, fmt.Sprintf(format, args...))
}

// inactiveHolders returns the nodes with an inactive seat, or all holders if there is none.
func (sim *simulation) inactiveHolders() []string {
	var out []string
	for _, addr := range testNodes {
		if sim.nodes[addr].holder.table.countSeats(false) > 0 {
			out = append(out, addr)
		}
	}
	if out == nil {
		g := sim.group()
		return g.Holders()
	}
	return out
}

// Positions in a round: first grant requests mix with restarts and replacements, then
// holders recover, then a later claimant claims the same key.
const (
	roundOps     = 32
	recoverAt    = 8
	laterClaimAt = 21
	roundEndAt   = 30
)

// step applies the operation at a position of the round; n selects the operation, i and j
// its operands.
func (sim *simulation) step(position, n, i, j int) {
	switch {
	case position == 0 || position == laterClaimAt:
		st := sim.nodes[testNodes[i%len(testNodes)]].State()
		c := sim.newClaimant(st.Groups[testGroup].Record)
		c.attempt.holders = st.Groups[testGroup].Seats[:]
		sim.claimants = append(sim.claimants, c)
		sim.logf("claimant %d starts", len(sim.claimants)-1)
	case position < recoverAt:
		sim.injectFault(n, i, j)
	case position == recoverAt:
		sim.wait(recoveryDelay, n < 50)
	case position < laterClaimAt:
		sim.stepRecovery(n, i, j)
	case position < roundEndAt:
		sim.requestLateGrant(n, i, j)
	case position == roundEndAt:
		sim.abandon(i % len(sim.claimants))
	default:
		sim.wait(Lifetime+recoveryDelay, n < 3)
	}
}

func (sim *simulation) wait(d time.Duration, apply bool) {
	if apply {
		time.Sleep(d)
		sim.logf("%v elapse", d)
	}
}

func (sim *simulation) injectFault(n, i, j int) {
	holder, node := sim.group().Seats[i%3], testNodes[j%len(testNodes)]
	switch {
	case n < 30:
		sim.requestGrant(len(sim.claimants)-1, i)
	case n < 50:
		sim.restart(holder)
		sim.logf("%s restarts", holder)
	case n < 70:
		sim.syncNode(node)
		sim.logf("%s applies the log", node)
	default:
		sim.replace(holder, node)
		sim.syncNode(node)
		sim.logf("log: %s replaced by %s, seats now %v", holder, node, sim.group().Seats)
	}
}

func (sim *simulation) stepRecovery(n, i, j int) {
	inactive := sim.inactiveHolders()
	recovering, node := inactive[i%len(inactive)], testNodes[j%len(testNodes)]
	switch {
	case n < 25:
		sim.copyFrom(recovering, sim.group().Seats[j%3])
		sim.logf("%s copies from %s", recovering, sim.group().Seats[j%3])
	case n < 60:
		for _, from := range sim.group().Seats {
			sim.copyFrom(recovering, from)
		}
		sim.logf("%s copies from all, active: %v", recovering, sim.confirmAndActivate(recovering))
	case n < 75:
		sim.logf("%s active: %v", recovering, sim.confirmAndActivate(recovering))
	case n < 90:
		sim.syncNode(node)
		sim.logf("%s applies the log", node)
	default:
		sim.requestGrant(len(sim.claimants)-1, i)
	}
}

func (sim *simulation) requestLateGrant(n, i, j int) {
	last := len(sim.claimants) - 1
	if n < 45 {
		last--
	}
	sim.requestGrant(last, i)
}

// requestGrant sends one grant request of claimant n.
func (sim *simulation) requestGrant(n, i int) {
	c := sim.claimants[n]
	to := c.attempt.holders[i%3]
	sim.logf("claimant %d requests a grant from %s: %v", n, to, c.requestGrant(to))
	if !c.ran && c.runIfGranted() {
		sim.ranAt = append(sim.ranAt, time.Now())
		sim.logf("claimant %d runs", n)
	}
}

// abandon makes a claimant that has not run release its grants.
func (sim *simulation) abandon(n int) {
	c := sim.claimants[n]
	if c.ran {
		return
	}
	for _, s := range sim.nodes {
		s.holder.table.end(&EndNotice{Key: KeyOf("orders", testKey), Claim: c.attempt.id})
	}
	c.attempt.started = c.attempt.started.Add(-Lifetime) // its grants no longer count, so it never runs
	sim.logf("claimant %d abandons its request", n)
}

// ranTwice reports whether two runs were closer together than the lifetime of a claim.
func (sim *simulation) ranTwice() bool {
	for i := 1; i < len(sim.ranAt); i++ {
		if sim.ranAt[i].Sub(sim.ranAt[i-1]) < Lifetime-grantWindow {
			return true
		}
	}
	return false
}

// simulate returns the trace if the key ran twice, else nil.
func simulate(t *testing.T, r disabledRules, ops []int) (trace []string) {
	synctest.Test(t, func(t *testing.T) {
		sim := &simulation{testCluster: newTestCluster(t, r, testNodes...)}
		for i, n := range ops {
			sim.step(i%roundOps, n%100, n/100%100, n/10000%100)
		}
		if sim.ranTwice() {
			trace = sim.trace
		}
	})
	return trace
}

const (
	propertySeed    = 20260101
	propertySamples = 2000
	propertyOps     = 2 * roundOps
)

func claimProperty(t *testing.T, r disabledRules, samples int) *gopter.TestResult {
	params := gopter.DefaultTestParameters()
	params.Rng.Seed(propertySeed)
	params.MinSuccessfulTests = samples
	params.MaxShrinkCount = 0
	p := prop.ForAll(func(ops []int) string {
		if trace := simulate(t, r, ops); trace != nil {
			return fmt.Sprint(trace)
		}
		return ""
	}, gen.SliceOfN(propertyOps, gen.IntRange(0, 999_999)))
	return p.Check(params)
}

func TestNoInterleavingRunsAKeyTwice(t *testing.T) {
	if res := claimProperty(t, disabledRules{}, 300); !res.Passed() {
		t.Fatalf("a key ran twice: %+v, operations %v", res, res.Args)
	}
}

// Without any one of these rules the same interleavings lead to a second run.
// TestModelTraces covers the other rules.
func TestInterleavingsNeedTheRules(t *testing.T) {
	for name, r := range map[string]disabledRules{"fence": {fence: true}, "abstain": {abstain: true},
		"allCopies": {allCopies: true}, "activeSource": {activeSource: true}} {
		if res := claimProperty(t, r, propertySamples); res.Passed() {
			t.Errorf("%s: no second run in %d interleavings without the rule, want one", name, propertySamples)
		}
	}
}
