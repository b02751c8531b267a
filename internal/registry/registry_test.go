package registry

import (
	"testing"
	"testing/synctest"
	"time"

	"celerybank/internal/departure"
)

const addr = "10.0.0.1:8000"

func announcement(instance string, sequence, born int64) Announcement {
	return Announcement{Instance: instance, Service: "stock", Address: addr, Version: "v1", Slots: 4, Sequence: sequence, Born: born}
}

// departures keeps notices in memory only.
type departures struct {
	known   bool
	notices []departure.Notice
}

func (d *departures) Record(n departure.Notice)    { d.notices = append(d.notices, n) }
func (d *departures) Covers(int64, time.Time) bool { return d.known }
func (d *departures) Stage(instance string, born int64) (stage departure.Stage) {
	for _, n := range d.notices {
		if n.Instance == instance && born <= n.Born {
			stage = max(stage, n.Stage)
		}
	}
	return stage
}

// newTestRegistry returns a registry and the arguments of its last onChange.
func newTestRegistry() (*Registry, *Upstream, *bool) {
	var u Upstream
	var present bool
	r := New("stock", addr, time.Second, &departures{known: true}, nil, func(x Upstream, p bool) { u, present = x, p })
	return r, &u, &present
}

func TestLateAnnouncementsOfDeadProcessesAreIgnored(t *testing.T) {
	r, u, _ := newTestRegistry()
	r.Announce(announcement("i-1", 5, 100))
	r.Announce(announcement("i-2", 1, 200)) // started after i-1 crashed
	r.Announce(announcement("i-1", 6, 100)) // delayed by a partition
	if u.Instance != "i-2" {
		t.Errorf("current instance: got %s, want i-2", u.Instance)
	}
	late := announcement("i-2", 1, 200)
	late.Slots = 9
	r.Announce(late)
	if u.Slots != 4 {
		t.Errorf("announcement with a repeated sequence number was applied: got %d slots, want 4", u.Slots)
	}
}

func TestReusedInstanceNameIsANewProcess(t *testing.T) {
	r, u, present := newTestRegistry()
	r.Announce(announcement("i-1", 50, 100))
	r.Announce(announcement("i-1", 1, 300))
	if u.Born != 300 || !*present {
		t.Errorf("got %+v, present %v; want Born 300, present", u, *present)
	}
	r.End("i-1", 100) // of the earlier process
	if u.State != Ready {
		t.Errorf("state after the end of the earlier process: got %v, want %v", u.State, Ready)
	}
}

func TestDrainingIsNotReverted(t *testing.T) {
	for name, end := range map[string]func(*Registry){
		"draining": func(r *Registry) { a := announcement("i-1", 2, 100); a.State = Draining; r.Announce(a) },
		"ended":    func(r *Registry) { r.End("i-1", 0) },
	} {
		r, u, _ := newTestRegistry()
		r.Announce(announcement("i-1", 1, 100))
		end(r)
		if u.State == Ready {
			t.Errorf("%s: got state Ready", name)
		}
		r.Announce(announcement("i-1", 9, 100))
		if u.State == Ready {
			t.Errorf("%s: got state Ready after a late announcement", name)
		}
	}
	r, _, present := newTestRegistry()
	r.End("i-1", 100) // before any announcement, as after a restart of the node
	r.Announce(announcement("i-1", 9, 100))
	if *present {
		t.Error("a process that announced its end is present")
	}
}

func TestForeignUpstreamIsRefused(t *testing.T) {
	r, _, present := newTestRegistry()
	other := announcement("i-1", 1, 100)
	other.Service = "orders"
	if r.Announce(other) || *present {
		t.Error("an upstream of another service was accepted")
	}
	other = announcement("i-1", 1, 100)
	other.Address = "10.0.0.2:8000"
	if r.Announce(other) || *present {
		t.Error("an upstream at another address was accepted")
	}
}

func TestSilentUpstreamExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _, present := newTestRegistry()
		r.Announce(announcement("i-1", 1, 100))
		time.Sleep(3 * time.Second) // announcements may be seconds late
		if r.Expire(); !*present {
			t.Error("expired after 3 intervals, want present")
		}
		time.Sleep(2 * time.Second)
		if r.Expire(); *present {
			t.Error("present after 5 intervals, want expired")
		}
	})
}

// An announcement of another writer lacks the start of the process. It ended the cold phase of the upstream, and the next one that the
// upstream sent did not bring it back.
func TestAnnouncementWithoutStartIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, instance := range []string{"i-1", "i-2"} {
			for _, state := range []State{Ready, Draining} {
				r, u, present := newTestRegistry()
				a := announcement("i-1", 5, 100)
				a.ColdFor = 3 * time.Second
				r.Announce(a)
				other := announcement(instance, 6, 0)
				other.State = state
				if r.Announce(other) || u.Instance != "i-1" || u.State != Ready || u.ColdUntil != time.Now().Add(a.ColdFor) {
					t.Errorf("%s, state %v, without a start: acknowledged or applied: %+v", instance, state, u)
				}
				if r.Announce(announcement("i-1", 6, 100)); !*present || u.Sequence != 6 {
					t.Errorf("after one without a start: got %+v, want sequence 6 of i-1", u)
				}
			}
		}
		r, u, present := newTestRegistry()
		if r.Announce(announcement("i-1", 1, 0)); !*present || u.Instance != "i-1" {
			t.Error("an upstream that announces no start is not accepted")
		}
	})
}

// An upstream handed over by a predecessor is current, and cold, until it announces itself.
// It is not adopted once it has announced its end.
func TestAdoptedUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		predecessor, _, _ := newTestRegistry()
		predecessor.Announce(announcement("i-1", 5, 100))
		handedOver, ok := predecessor.HandOver()
		if !ok || predecessor.Announce(announcement("i-1", 6, 100)) || predecessor.End("i-1", 100) {
			t.Error("acknowledged after the hand-over")
		}
		r, u, present := newTestRegistry()
		if !r.Adopt(handedOver.Announcement) || !*present || u.Instance != "i-1" || !u.ColdUntil.After(time.Now()) {
			t.Errorf("not adopted as cold: %+v", u)
		}
		r.Announce(announcement("i-1", 5, 100)) // delayed; sent before the hand-over
		if r.Announce(announcement("i-1", 6, 100)); u.ColdUntil.After(time.Now()) {
			t.Error("cold after the upstream announced that it is warm")
		}
		r.End("i-1", 100)
		if r.Adopt(handedOver.Announcement) || u.State != Gone {
			t.Error("adopted after its end")
		}
		endedFirst, _, adopted := newTestRegistry()
		endedFirst.End("i-1", 100)
		if endedFirst.Adopt(handedOver.Announcement) || *adopted {
			t.Error("adopted after it announced its end to this process")
		}
		draining, _, _ := newTestRegistry()
		a := announcement("i-1", 1, 100)
		a.State = Draining
		draining.Announce(a)
		if _, ok := draining.HandOver(); ok {
			t.Error("a draining upstream was handed over")
		}
	})
}

// An upstream says in a response that it leaves, and later announcements of it still say that it is ready.
func TestLeaveInAResponseIsNotReverted(t *testing.T) {
	r, u, _ := newTestRegistry()
	r.Announce(announcement("i-1", 1, 100))
	r.Leave("i-1", 90) // an earlier process
	if u.State != Ready {
		t.Errorf("got state %v after an earlier process left, want %v", u.State, Ready)
	}
	r.Leave("i-1", 100)
	r.Announce(announcement("i-1", 2, 100))
	if u.State != Draining {
		t.Errorf("got state %v, want %v", u.State, Draining)
	}
	r.Announce(announcement("i-1", 1, 200))
	if u.State != Ready {
		t.Errorf("got state %v of the next process, want %v", u.State, Ready)
	}
}

// The predecessor of this process may have confirmed that an upstream leaves. While the departures are unknown, announcements
// may be late ones of that upstream, however many arrive and however long they are held.
func TestAnnouncementsAreHeldWhileDeparturesAreUnknown(t *testing.T) {
	const interval = time.Second
	left := departure.Notice{Instance: "i-1", Born: 100, Stage: departure.Ended}
	for name, c := range map[string]struct {
		then    func(r *Registry, d *departures)
		present bool
	}{
		"nothing more":   {func(*Registry, *departures) {}, false},
		"a repeated one": {func(r *Registry, _ *departures) { time.Sleep(interval); r.Announce(announcement("i-1", 5, 100)) }, false},
		"an earlier one": {func(r *Registry, _ *departures) { time.Sleep(interval); r.Announce(announcement("i-1", 4, 100)) }, false},
		"two late ones":  {func(r *Registry, _ *departures) { r.Announce(announcement("i-1", 6, 100)) }, false},
		"a later one":    {func(r *Registry, _ *departures) { time.Sleep(interval); r.Announce(announcement("i-1", 6, 100)) }, false},
		"many later ones": {func(r *Registry, _ *departures) {
			for n := range int64(50) {
				time.Sleep(interval)
				r.Expire()
				r.Announce(announcement("i-1", 6+n, 100))
			}
		}, false},
		"the departures of others only": {func(r *Registry, _ *departures) { r.ReleaseCovered() }, false},
		"the departures, it has left": {func(r *Registry, d *departures) {
			d.Record(left)
			d.known = true
			r.ReleaseCovered()
		}, false},
		"the departures, it has not left": {func(r *Registry, d *departures) { d.known = true; r.ReleaseCovered() }, true},
		"one when departures are known": {func(r *Registry, d *departures) {
			d.known = true
			r.Announce(announcement("i-1", 6, 100))
		}, true},
		"a health check":                     {func(r *Registry, _ *departures) { r.ReleaseServing(announcement("i-1", 5, 100)) }, true},
		"a health check of another process":  {func(r *Registry, _ *departures) { r.ReleaseServing(announcement("i-2", 1, 200)) }, false},
		"a health check of an earlier start": {func(r *Registry, _ *departures) { r.ReleaseServing(announcement("i-1", 5, 99)) }, false},
		"a health check, then its end": {func(r *Registry, d *departures) {
			r.End("i-1", 0)
			r.ReleaseServing(announcement("i-1", 5, 100))
		}, false},
		"a health check after the lease": {func(r *Registry, _ *departures) {
			time.Sleep(leaseIntervals * interval)
			r.Expire()
			r.ReleaseServing(announcement("i-1", 5, 100))
		}, false},
		"a health check of a slow one": {func(r *Registry, _ *departures) {
			for n := range int64(3) {
				time.Sleep((leaseIntervals - 1) * interval)
				r.Expire()
				r.Announce(announcement("i-1", 6+n, 100))
			}
			r.ReleaseServing(announcement("i-1", 6, 100))
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := &departures{}
				present := false
				r := New("stock", addr, interval, d, nil, func(_ Upstream, p bool) { present = p })
				if !r.Announce(announcement("i-1", 5, 100)) || present {
					t.Fatalf("first announcement: present %v, want acknowledged and not present", present)
				}
				c.then(r, d)
				if present != c.present {
					t.Errorf("present: got %v, want %v", present, c.present)
				}
			})
		})
	}
}

// The end of an upstream is confirmed by a process to which it never announced itself, and which is not told its start.
func TestEndWithoutStartCoversEarlierProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, u, present := newTestRegistry()
		born := time.Now().UnixMilli()
		time.Sleep(time.Second)
		r.End("i-1", 0)
		r.Announce(announcement("i-1", 9, born))
		if *present {
			t.Error("a process that announced its end is present")
		}
		time.Sleep(time.Second)
		next := time.Now().UnixMilli()
		r.Announce(announcement("i-1", 1, next))
		if !*present || u.Born != next {
			t.Errorf("present %v, born %d; want the later process of the same name, born %d", *present, u.Born, next)
		}
	})
}

// A predecessor's departure becomes known after the upstream was accepted.
func TestLateKnownDepartureClosesTheUpstream(t *testing.T) {
	r, u, _ := newTestRegistry()
	r.Announce(announcement("i-1", 5, 100))
	r.Departed(departure.Notice{Instance: "i-1", Born: 100, Stage: departure.Draining})
	if u.State != Draining {
		t.Errorf("state: got %v, want %v", u.State, Draining)
	}
	r.Announce(announcement("i-2", 1, 300))
	r.Departed(departure.Notice{Instance: "i-2", Born: 200, Stage: departure.Ended}) // of an earlier process with the name
	if u.State != Ready || u.Instance != "i-2" {
		t.Errorf("got %s in state %v, want i-2 in state %v", u.Instance, u.State, Ready)
	}
}
