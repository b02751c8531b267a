package rollout_test

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"celerybank/internal/mesh"
	standin "celerybank/internal/standin/upstream"
)

// versionKind is one kind of new version and the traffic that it meets.
type versionKind struct {
	name string
	good bool
	load traffic
	work time.Duration
	// atOnce holds from the start, later from the moment when half of the traffic is moved.
	atOnce, later standin.Faults
}

var versionKinds = []versionKind{
	{name: "good", good: true, load: busy, work: testWork},
	{name: "good, little traffic", good: true, load: traffic{rate: 0.5}, work: testWork},
	{name: "good, rare route", good: true, load: traffic{rate: 50, paths: map[string]float64{"/rare": 0.005}}, work: testWork},
	{name: "fails at once", load: busy, work: testWork, atOnce: standin.Faults{FailShare: 1}},
	{name: "fails 3 in 10", load: busy, work: testWork, atOnce: standin.Faults{FailShare: 0.3}},
	{name: "fails later", load: busy, work: testWork, later: standin.Faults{FailShare: 0.5}},
	{name: "fails under load", load: busy, work: 100 * time.Millisecond, atOnce: standin.Faults{FailAbove: 5}},
	{name: "fails on one route", load: traffic{rate: 100, paths: map[string]float64{"/rare": 0.02}}, work: testWork, atOnce: standin.Faults{FailShare: 1, FailRoute: "/rare"}},
	{name: "slow", load: busy, work: testWork, atOnce: standin.Faults{Slow: 30 * time.Millisecond}},
	{name: "leaves requests unanswered", load: busy, work: testWork, atOnce: standin.Faults{Slow: time.Hour}},
	{name: "fails, little traffic", load: traffic{rate: 0.5}, work: testWork, atOnce: standin.Faults{FailShare: 1}},
}

// result is what became of the versions of one kind.
type result struct {
	Kind      string
	Good      bool
	Of, Right int
	// ZeroMedian is the time from the fault to the last call of a bad version, in seconds.
	ZeroMedian, ZeroWorst float64
	LostMedian, LostWorst int
	zeros                 []float64
	losses                []int
}

func (r *result) add(right bool, zero time.Duration, lost int) {
	r.Of++
	if right {
		r.Right++
	}
	r.zeros, r.losses = append(r.zeros, zero.Seconds()), append(r.losses, lost)
	slices.Sort(r.zeros)
	slices.Sort(r.losses)
	r.LostMedian, r.LostWorst = r.losses[r.Of/2], r.losses[r.Of-1]
	if !r.Good {
		r.ZeroMedian, r.ZeroWorst = r.zeros[r.Of/2], r.zeros[r.Of-1]
	}
}

func (k versionKind) run(t *testing.T, seed uint64, r *result) {
	withFleet(t, seed, time.Minute, k.work, k.load, k.atOnce, func(f *fleet) {
		var fault time.Time
		if k.later != (standin.Faults{}) {
			f.Eventually(time.Minute, "half of the traffic", func() bool { return f.move().Share >= mesh.FullShare/2 })
			time.Sleep(time.Second)
			fault = time.Now()
			f.setFaults(k.later)
		}
		f.Eventually(time.Minute+soon, "an end", func() bool { return f.move().Status != mesh.MoveRunning })
		status := f.move().Status
		time.Sleep(soon)
		f.mu.Lock()
		defer f.mu.Unlock()
		right := (k.good && status == mesh.MoveDone && !f.move().Ended.After(f.by)) || (!k.good && status == mesh.MoveTakenBack)
		if fault.IsZero() {
			fault = f.fault
		}
		if fault.IsZero() {
			fault = f.firstNew
		}
		r.add(right, max(0, f.lastNew.Sub(fault)), f.lost-f.lostBefore)
		if !right {
			t.Logf("%s, seed %d: %s: %s", k.name, seed, status, f.move().Reason)
		}
	})
}

// measurement is one line of the benchmark's output.
type measurement struct {
	Name   string   `json:"name"`
	Value  float64  `json:"value"`
	Unit   string   `json:"unit"`
	Target *float64 `json:"target,omitempty"`
	Note   string   `json:"note,omitempty"`
}

func (r result) String() string {
	return fmt.Sprintf("%s: right %d of %d, share zero after %.1f s (worst %.1f s), %d calls lost (worst %d)",
		r.Kind, r.Right, r.Of, r.ZeroMedian, r.ZeroWorst, r.LostMedian, r.LostWorst)
}

// seedCount is one seed of each kind, and more for the benchmark.
func seedCount() int {
	if n, err := strconv.Atoi(os.Getenv("CELERYBANK_SEEDS")); err == nil {
		return n
	}
	if os.Getenv("CELERYBANK_BENCH") != "" {
		return benchSeeds
	}
	return 1
}

const benchSeeds = 5

// Good versions are done in time and bad ones of each kind are taken back. With
// CELERYBANK_BENCH set the figures are printed as JSON, one object a line;
// CELERYBANK_SEEDS says how many versions of each kind there are.
func TestBenchVersions(t *testing.T) {
	t.Parallel()
	var good, bad, goodRight, badRight int
	var lines []measurement
	for _, k := range versionKinds {
		r := result{Kind: k.name, Good: k.good}
		for seed := range seedCount() {
			k.run(t, uint64(100+seed), &r)
		}
		t.Log(r)
		if k.good {
			good, goodRight = good+r.Of, goodRight+r.Right
			continue
		}
		bad, badRight = bad+r.Of, badRight+r.Right
		name := "bad_version_" + strings.NewReplacer(" ", "_", ",", "").Replace(k.name)
		lines = append(lines, measurement{Name: name + "_share_zero", Value: r.ZeroMedian, Unit: "s", Note: r.String()},
			measurement{Name: name + "_calls_lost", Value: float64(r.LostMedian), Unit: "calls"})
	}
	if goodRight < good || badRight < bad {
		t.Errorf("good in time %d of %d, bad taken back %d of %d", goodRight, good, badRight, bad)
	}
	if os.Getenv("CELERYBANK_BENCH") == "" {
		return
	}
	of := func(name string, right, all int) measurement {
		target := float64(all)
		return measurement{Name: name, Value: float64(right), Unit: fmt.Sprintf("of %d", all), Target: &target}
	}
	lines = append(lines, of("good_versions_in_time", goodRight, good), of("bad_versions_taken_back", badRight, bad))
	for _, l := range lines {
		text, err := json.Marshal(l)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Printf("%s\n", text)
	}
}
