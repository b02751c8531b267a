package routes

import (
	"testing"
	"time"
)

// config returns a configuration with one route per prefix.
func config(prefixes ...string) *Config {
	c := &Config{Version: 1, Services: []Service{{Name: "a"}, {Name: "b"}}}
	for _, p := range prefixes {
		c.Routes = append(c.Routes, Route{Name: p, Host: "shop.example", Prefix: p, Targets: []Target{{"a", 1}}, Timeout: time.Second, LatencyTarget: time.Second, Attempts: 1})
	}
	return c
}

func TestLongestPrefixMatches(t *testing.T) {
	table := NewTable(config("/a/", "/a/b/", "/c/"))
	for _, c := range []struct{ host, path, want string }{
		{"shop.example", "/a/x", "/a/"}, {"shop.example", "/a/b/x", "/a/b/"}, {"SHOP.example:80", "/c/", "/c/"},
		{"shop.example", "/a", ""}, {"shop.example", "/d/", ""}, {"other.example", "/a/x", ""},
	} {
		got := ""
		if r := table.Match(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s: got route %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

// Each target of a weighted route must get its share of the range of random numbers.
func TestTargetsGetTrafficByWeight(t *testing.T) {
	r := Route{Targets: []Target{{"a", 90}, {"b", 10}, {"none", 0}}}
	count := map[string]int{}
	const draws = 1000
	for i := range draws {
		count[r.serviceAt(float64(i)/draws)]++
	}
	if count["a"] != 900 || count["b"] != 100 {
		t.Errorf("got %v, want 900 of a and 100 of b", count)
	}
}
