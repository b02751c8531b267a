package departure

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"celerybank/internal/gossip"
)

// others are the other nodes of a mesh: they hold the facts and hand them to the processes of the host.
type others struct {
	held   []gossip.Fact
	subs   []func(gossip.Fact)
	synced chan struct{}
	// since is from when on they have held all facts.
	since time.Time
}

func (o *others) PublishFact(f gossip.Fact)          { o.held = append(o.held, f) }
func (o *others) SubscribeFacts(f func(gossip.Fact)) { o.subs = append(o.subs, f) }
func (o *others) FactsSynced() <-chan struct{}       { return o.synced }
func (o *others) FactsSince() (time.Time, bool) {
	select {
	case <-o.synced:
		return o.since, true
	default:
		return time.Time{}, false
	}
}

// restart returns the members as the next process of the host sees them before it knows any facts.
func (o *others) restart() *others {
	return &others{held: o.held, synced: make(chan struct{}), since: o.since}
}

// sync hands over all facts.
func (o *others) sync() {
	for _, f := range o.held {
		for _, sub := range o.subs {
			sub(f)
		}
	}
	close(o.synced)
}

const host = "10.0.0.1:7000"

// A departure is confirmed, and the host's process ends once and once more. Each next process must know the departure.
func TestDepartureOutlivesTwoProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mesh := (&others{since: time.Now()}).restart()
		time.Sleep(retention)
		first := New(host, mesh, nil)
		first.Record(Notice{Instance: "i-1", Born: 100, Stage: Draining})
		first.Record(Notice{Instance: "i-1", Born: 100, Stage: Ended})
		first.Record(Notice{Instance: "i-1", Born: 100, Stage: Draining}) // late
		for restart := range 2 {
			mesh = mesh.restart()
			next := New(host, mesh, nil)
			if next.Covers(100, time.Now()) {
				t.Fatalf("restart %d: departures are known before any node was heard of", restart)
			}
			ctx, stop := context.WithCancel(t.Context())
			var departed []Notice
			known := 0
			go func() { _ = next.Run(ctx, func(n Notice) { departed = append(departed, n) }, func() { known++ }) }()
			mesh.sync()
			synctest.Wait()
			covers := next.Covers(100, time.Now())
			if got := next.Stage("i-1", 100); got != Ended || !covers || known != 1 {
				t.Errorf("restart %d: stage %v, known %v and reported %d times; want %v, true and once", restart, got, covers, known, Ended)
			}
			if n := len(departed); n == 0 || departed[n-1].Stage != Ended {
				t.Errorf("restart %d: departures passed on: %+v, want the end of i-1 last", restart, departed)
			}
			if got := next.Stage("i-1", 200); got != None {
				t.Errorf("restart %d: a later process of the name has stage %v, want %v", restart, got, None)
			}
			stop()
			synctest.Wait()
		}
	})
}

// Departures of other hosts must not be taken for those of this one, and a departure that is known is not published again.
func TestOnlyTheOwnHostsDeparturesCount(t *testing.T) {
	mesh := (&others{}).restart()
	other := New("10.0.0.11:7000", mesh, nil)
	New(host, mesh, nil).Record(Notice{Instance: "i-1", Born: 100, Stage: Ended})
	mesh.sync()
	if got := other.Stage("i-1", 100); got != None {
		t.Errorf("stage at another host: got %v, want %v", got, None)
	}
	for range 3 {
		other.Record(Notice{Instance: "i-2", Born: 5, Stage: Draining})
	}
	if n := len(mesh.held); n != 2 {
		t.Errorf("%d facts were published, want 2", n)
	}
}

// Announcements of ends come from outside: their number must not be able to displace the newest ones.
func TestOldestDeparturesAreDroppedFirst(t *testing.T) {
	tracker := New(host, (&others{}).restart(), nil)
	for n := range 2 * maxNotices {
		tracker.Record(Notice{Instance: fmt.Sprint("i-", n), Born: time.Now().UnixMilli(), Stage: Ended})
		if tracker.Stage(fmt.Sprint("i-", n), 1) != Ended || len(tracker.notices) > maxNotices {
			t.Fatalf("after %d notices: the newest is not kept, or %d are, over %d", n+1, len(tracker.notices), maxNotices)
		}
	}
}

// All nodes ended at the same moment and started again, and with them the departures that they held. Nobody may count as known not to
// have left, except processes that are younger than what the nodes hold; however late an announcement arrives before departures would
// have been dropped anyway, and although the others have handed over all that they hold.
func TestDeparturesLostWithAllNodesAreNotKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		old := time.Now().UnixMilli()
		time.Sleep(time.Hour)
		mesh := (&others{}).restart()
		next := New(host, mesh, nil)
		time.Sleep(10 * time.Second)
		mesh.since = time.Now()
		mesh.sync()
		for _, c := range []struct {
			after time.Duration
			born  int64
			known bool
		}{
			{0, old, false}, {0, 0, false}, {retention - time.Second, old, false}, {retention - time.Second, 0, false},
			{retention, old, true}, {retention, 0, true},
			{0, time.Now().UnixMilli(), true},
			{0, time.Now().Add(-10 * time.Second).UnixMilli(), false}, // clocks may differ
		} {
			if got := next.Covers(c.born, next.started.Add(c.after)); got != c.known {
				t.Errorf("announcement %v after the start, of a process that started at %d: got known %v, want %v", c.after, c.born, got, c.known)
			}
		}
		later := New(host, mesh, nil) // alone it knows even less, with the others as much as they do
		if got := later.Covers(old, mesh.since.Add(retention-time.Second)); got {
			t.Error("departures from before the start of the others are known to a node that starts after them")
		}
	})
}
