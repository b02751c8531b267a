package operator

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"celerybank/internal/node"
)

// maxStaleNames limits the node names in VersionGroup.Stale.
const maxStaleNames = 20

// VersionGroup describes the nodes that have the same version and readiness.
type VersionGroup struct {
	Version int64 `json:"version"`
	Ready   bool  `json:"ready"`
	Nodes   int   `json:"nodes"`
	// Since is the latest time at which a record took effect on one of the nodes.
	Since time.Time `json:"since"`
	// Zones is the number of nodes by availability zone.
	Zones map[string]int `json:"zones"`
	// Stale has the names of the nodes if they are not ready or have an older version than others.
	// Beyond maxStaleNames, the last element is the number of further nodes as text.
	Stale []string `json:"stale,omitempty"`
}

// ZoneCounts formats Zones as a sorted, comma-separated list of zone=count.
func (g VersionGroup) ZoneCounts() string {
	counts := make([]string, 0, len(g.Zones))
	for _, zone := range slices.Sorted(maps.Keys(g.Zones)) {
		counts = append(counts, fmt.Sprintf("%s=%d", zone, g.Zones[zone]))
	}
	return strings.Join(counts, ",")
}

// GroupByVersion groups nodes by version and readiness: the newest version first, ready nodes before
// others of the same version.
func GroupByVersion(nodes []node.Status) []VersionGroup {
	type key struct {
		version int64
		ready   bool
	}
	groups := map[key]*VersionGroup{}
	newest := int64(0)
	for _, s := range nodes {
		k := key{s.Version, s.Ready}
		if groups[k] == nil {
			groups[k] = &VersionGroup{Version: s.Version, Ready: s.Ready, Zones: map[string]int{}}
		}
		g := groups[k]
		g.Nodes++
		g.Zones[s.Zone]++
		g.Stale = append(g.Stale, s.Name)
		if s.Since.After(g.Since) {
			g.Since = s.Since
		}
		newest = max(newest, s.Version)
	}
	out := make([]VersionGroup, 0, len(groups))
	for _, g := range groups {
		slices.Sort(g.Stale)
		if g.Version == newest && g.Ready {
			g.Stale = nil
		}
		if n := len(g.Stale); n > maxStaleNames {
			g.Stale = append(g.Stale[:maxStaleNames], fmt.Sprintf("and %d more", n-maxStaleNames))
		}
		out = append(out, *g)
	}
	slices.SortFunc(out, func(a, b VersionGroup) int {
		if a.Ready != b.Ready && a.Version == b.Version {
			if a.Ready {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.Version, a.Version)
	})
	return out
}
