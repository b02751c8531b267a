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

// versionKind is a kind of new version, with the traffic of its service.
type versionKind struct {
	name    string
	healthy bool
	load    traffic
	work    time.Duration
	// atOnce are the faults from the start, later those from a share of one half on.
	atOnce, later standin.Faults
}

var versionKinds = []versionKind{
	{name: "good", healthy: true, load: busyTraffic, work: testWork},
	{name: "good, little traffic", healthy: true, load: traffic{rate: 0.5}, work: testWork},
	{name: "good, rare route", healthy: true, load: traffic{rate: 50, paths: map[string]float64{"/rare": 0.005}}, work: testWork},
	{name: "fails at once", load: busyTraffic, work: testWork, atOnce: standin.Faults{FailShare: 1}},
	{name: "fails 3 in 10", load: busyTraffic, work: testWork, atOnce: standin.Faults{FailShare: 0.3}},
	{name: "fails later", load: busyTraffic, work: testWork, later: standin.Faults{FailShare: 0.5}},
	{name: "fails under load", load: busyTraffic, work: 100 * time.Millisecond, atOnce: standin.Faults{FailAbove: 5}},
	{name: "fails on one route", load: traffic{rate: 100, paths: map[string]float64{"/rare": 0.02}}, work: testWork, atOnce: standin.Faults{FailShare: 1, FailRoute: "/rare"}},
	{name: "slow", load: busyTraffic, work: testWork, atOnce: standin.Faults{Slow: 30 * time.Millisecond}},
	{name: "leaves requests unanswered", load: busyTraffic, work: testWork, atOnce: standin.Faults{Slow: time.Hour}},
	{name: "fails, little traffic", load: traffic{rate: 0.5}, work: testWork, atOnce: standin.Faults{FailShare: 1}},
}

// result has the outcomes of the rollouts of one kind. Its figures are reported by the benchmark.
type result struct {
	Kind           string
	Good           bool
	Total, Correct int
	// StopMedian and StopWorst are the times from the fault to the last request of a faulty version, in
	// seconds.
	StopMedian, StopWorst float64
	LostMedian, LostWorst int
	stops                 []float64
	losses                []int
}

func (r *result) add(right bool, stop time.Duration, lost int) {
	r.Total++
	if right {
		r.Correct++
	}
	r.stops, r.losses = append(r.stops, stop.Seconds()), append(r.losses, lost)
	slices.Sort(r.stops)
	slices.Sort(r.losses)
	r.LostMedian, r.LostWorst = r.losses[r.Total/2], r.losses[r.Total-1]
	if !r.Good {
		r.StopMedian, r.StopWorst = r.stops[r.Total/2], r.stops[r.Total-1]
	}
}

func (k versionKind) run(t *testing.T, seed uint64, r *result) {
	withFleet(t, seed, time.Minute, k.work, k.load, k.atOnce, func(f *fleet) {
		var fault time.Time
		if k.later != (standin.Faults{}) {
			f.Eventually(time.Minute, "half of the traffic", func() bool { return f.rollout().Share >= mesh.FullShare/2 })
			time.Sleep(time.Second)
			fault = time.Now()
			f.setFaults(k.later)
		}
		f.Eventually(time.Minute+reactionTime, "the end of the rollout", func() bool { return f.rollout().Status != mesh.RolloutRunning })
		status := f.rollout().Status
		time.Sleep(reactionTime)
		f.mu.Lock()
		defer f.mu.Unlock()
		right := (k.healthy && status == mesh.RolloutCompleted && !f.rollout().Ended.After(f.deadline)) || (!k.healthy && status == mesh.RolloutRolledBack)
		if fault.IsZero() {
			fault = f.fault
		}
		if fault.IsZero() {
			fault = f.firstNew
		}
		r.add(right, max(0, f.lastNew.Sub(fault)), f.lost-f.lostBefore)
		if !right {
			t.Logf("%s, seed %d: %s: %s", k.name, seed, status, f.rollout().Reason)
		}
	})
}

// measurement is one line of the benchmark's JSON output.
type measurement struct {
	Name   string   `json:"name"`
	Value  float64  `json:"value"`
	Unit   string   `json:"unit"`
	Target *float64 `json:"target,omitempty"`
	Note   string   `json:"note,omitempty"`
}

func (r result) String() string {
	return fmt.Sprintf("%s: right %d of %d, last request %.1f s after the fault (worst %.1f s), %d requests lost (worst %d)",
		r.Kind, r.Correct, r.Total, r.StopMedian, r.StopWorst, r.LostMedian, r.LostWorst)
}

// seedCount returns the number of seeds of each kind: CELERYBANK_SEEDS, or benchSeeds for the
// benchmark, else one.
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

// Rollouts of healthy versions must complete in time, and those of each kind of faulty version must
// be rolled back. With CELERYBANK_BENCH set the figures are printed as JSON, one object per line;
// CELERYBANK_SEEDS sets the number of rollouts of each kind.
func TestBenchVersions(t *testing.T) {
	t.Parallel()
	var healthy, faulty, healthyCorrect, faultyCorrect int
	var lines []measurement
	for _, k := range versionKinds {
		r := result{Kind: k.name, Good: k.healthy}
		for seed := range seedCount() {
			k.run(t, uint64(100+seed), &r)
		}
		t.Log(r)
		if k.healthy {
			healthy, healthyCorrect = healthy+r.Total, healthyCorrect+r.Correct
			continue
		}
		faulty, faultyCorrect = faulty+r.Total, faultyCorrect+r.Correct
		name := "bad_version_" + strings.NewReplacer(" ", "_", ",", "").Replace(k.name)
		lines = append(lines, measurement{Name: name + "_share_zero", Value: r.StopMedian, Unit: "s", Note: r.String()},
			measurement{Name: name + "_calls_lost", Value: float64(r.LostMedian), Unit: "calls"})
	}
	if healthyCorrect < healthy || faultyCorrect < faulty {
		t.Errorf("%d of %d healthy versions completed in time, %d of %d faulty versions rolled back; want all", healthyCorrect, healthy, faultyCorrect, faulty)
	}
	if os.Getenv("CELERYBANK_BENCH") == "" {
		return
	}
	of := func(name string, right, all int) measurement {
		target := float64(all)
		return measurement{Name: name, Value: float64(right), Unit: fmt.Sprintf("of %d", all), Target: &target}
	}
	lines = append(lines, of("good_versions_in_time", healthyCorrect, healthy), of("bad_versions_taken_back", faultyCorrect, faulty))
	for _, l := range lines {
		text, err := json.Marshal(l)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Printf("%s\n", text)
	}
}
