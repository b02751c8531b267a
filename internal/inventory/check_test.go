package inventory

import (
	"strings"
	"testing"
	"time"
)

// validInventory returns an inventory without faults: orders depends on stock.
func validInventory() Inventory {
	route := []Route{{Name: "show", Method: "GET", Path: "/", Idempotent: true}}
	return Inventory{Mesh: "m", Zones: []Zone{{Name: "a"}, {Name: "b"}}, Services: []Service{
		{Name: "orders", InitialVersion: "v1", DependsOn: []string{"stock"}, Routes: route},
		{Name: "stock", InitialVersion: "v1", Routes: route},
	}}
}

func TestRulesAreCheckedAgainstTheInventory(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	later := now.Add(time.Hour)
	for name, tc := range map[string]struct {
		rules Rules
		want  string
	}{
		"valid":                {Rules{Rollouts: []Rollout{{"stock", "v2", later}}, ZonesOut: []string{"a"}}, ""},
		"unknown service":      {Rules{Rollouts: []Rollout{{"stoc", "v2", later}}}, "moves[0].service: unknown service stoc"},
		"completion time past": {Rules{Rollouts: []Rollout{{"stock", "v2", now}}}, "moves[0].by: the time is past"},
		"two rollouts":         {Rules{Rollouts: []Rollout{{"stock", "v2", later}, {"stock", "v3", later}}}, "a second move of service stock"},
		"unknown zone":         {Rules{ZonesOut: []string{"z"}}, "zones_out[0]: unknown availability zone z"},
		"every zone out":       {Rules{ZonesOut: []string{"a", "b"}}, "no availability zone would be left"},
	} {
		t.Run(name, func(t *testing.T) {
			faults := validInventory().CheckRules(tc.rules, now)
			if (tc.want == "") != (faults == nil) || (tc.want != "" && !strings.Contains(faults.Error(), tc.want)) {
				t.Fatalf("CheckRules: got faults %v, want %q", faults, tc.want)
			}
		})
	}
}
