package soak

import (
	"reflect"
	"testing"
	"time"
)

// A seed gives the same troubles again, leaves the start and the end calm, and over many seeds
// every kind comes.
func TestPlanFollowsFromItsSeed(t *testing.T) {
	const length = 90 * time.Second
	seen := map[Kind]bool{}
	for seed := range uint64(100) {
		plan := Plan(seed, length, 9, zones)
		if !reflect.DeepEqual(plan, Plan(seed, length, 9, zones)) {
			t.Fatalf("seed %d gives two plans", seed)
		}
		for _, x := range plan {
			seen[x.Kind] = true
			if x.At < calmStart || x.At > length-calmEnd || x.For > longest || len(x.Hosts) == 0 || x.Hosts[len(x.Hosts)-1] > 8 {
				t.Fatalf("seed %d: %v", seed, x)
			}
		}
	}
	for _, k := range kinds {
		if !seen[k] {
			t.Errorf("never: %s", k)
		}
	}
}
