package operator

import (
	"slices"
	"testing"
	"time"

	"celerybank/internal/node"
)

func TestStaleNodesAreListed(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	got := GroupByVersion([]node.Status{
		{Name: "a", Zone: "z1", Version: 7, Ready: true, Since: at(3)},
		{Name: "b", Zone: "z2", Version: 7, Ready: true, Since: at(5)},
		{Name: "c", Zone: "z1", Version: 6, Ready: true, Since: at(1)},
		{Name: "d", Zone: "z1", Version: 7, Since: at(4)},
	})
	if len(got) != 3 || got[0].Nodes != 2 || !got[0].Since.Equal(at(5)) || got[0].Stale != nil || got[0].ZoneCounts() != "z1=1,z2=1" {
		t.Errorf("got %+v, want 3 groups, the first with the ready nodes a and b at version 7", got)
	}
	if !slices.Equal(got[1].Stale, []string{"d"}) || got[2].Version != 6 || !slices.Equal(got[2].Stale, []string{"c"}) {
		t.Errorf("got %+v, want stale nodes d at version 7 and c at version 6", got[1:])
	}
}
