package soak

import (
	"reflect"
	"testing"
	"time"
)

// Guards against a plan that differs between two runs of a seed, against faults in the fault-free
// start and end, and against a kind of fault that is never drawn.
func TestPlanIsDeterministic(t *testing.T) {
	const length = 90 * time.Second
	drawn := map[Kind]bool{}
	for seed := range uint64(100) {
		plan := Plan(seed, length, 9, zones)
		if !reflect.DeepEqual(plan, Plan(seed, length, 9, zones)) {
			t.Fatalf("seed %d: two plans differ", seed)
		}
		for _, f := range plan {
			drawn[f.Kind] = true
			if f.At < faultFreeStart || f.At > length-faultFreeEnd || f.Duration > maxFaultDuration || len(f.Hosts) == 0 || f.Hosts[len(f.Hosts)-1] > 8 {
				t.Fatalf("seed %d: time, duration or hosts out of range: %v", seed, f)
			}
		}
	}
	for _, k := range append(kinds, StoreRestored, UpstreamMalformed) {
		if !drawn[k] {
			t.Errorf("no seed draws a fault of kind %q", k)
		}
	}
}
