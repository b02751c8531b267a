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
}

func (o *others) PublishFact(f gossip.Fact)          { o.held = append(o.held, f) }
func (o *others) SubscribeFacts(f func(gossip.Fact)) { o.subs = append(o.subs, f) }
func (o *others) FactsSynced() <-chan struct{}       { return o.synced }

// restart returns the members as the next process of the host sees them before it knows any facts.
func (o *others) restart() *others { return &others{held: o.held, synced: make(chan struct{})} }

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
		mesh := (&others{}).restart()
		first := New(host, mesh, nil)
		first.Record(Notice{Instance: "i-1", Born: 100, Stage: Draining})
		first.Record(Notice{Instance: "i-1", Born: 100, Stage: Ended})
		first.Record(Notice{Instance: "i-1", Born: 100, Stage: Draining}) // late
		for restart := range 2 {
			mesh = mesh.restart()
			next := New(host, mesh, nil)
			if next.Known() {
				t.Fatalf("restart %d: departures are known before any node was heard of", restart)
			}
			ctx, stop := context.WithCancel(t.Context())
			var departed []Notice
			known := 0
			go func() { _ = next.Run(ctx, func(n Notice) { departed = append(departed, n) }, func() { known++ }) }()
			mesh.sync()
			synctest.Wait()
			if got := next.Stage("i-1", 100); got != Ended || !next.Known() || known != 1 {
				t.Errorf("restart %d: stage %v, known %v and reported %d times; want %v, true and once", restart, got, next.Known(), known, Ended)
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
