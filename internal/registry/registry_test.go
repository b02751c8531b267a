package registry

import (
	"testing"
	"testing/synctest"
	"time"
)

const addr = "10.0.0.1:8000"

func announcement(instance string, sequence, born int64) Announcement {
	return Announcement{Instance: instance, Service: "stock", Address: addr, Version: "v1", Slots: 4, Sequence: sequence, Born: born}
}

// follow returns a registry and where the newest state is kept.
func follow() (*Registry, *Upstream, *bool) {
	var u Upstream
	var present bool
	r := New("stock", addr, time.Second, nil, func(x Upstream, p bool) { u, present = x, p })
	return r, &u, &present
}

func TestLateAnnouncementsOfTheDeadAreIgnored(t *testing.T) {
	r, u, _ := follow()
	r.Announce(announcement("i-1", 5, 100))
	r.Announce(announcement("i-2", 1, 200)) // started after i-1 crashed
	r.Announce(announcement("i-1", 6, 100)) // held up by a partition
	if u.Instance != "i-2" {
		t.Errorf("%s is in force", u.Instance)
	}
	late := announcement("i-2", 1, 200)
	late.Slots = 9
	r.Announce(late)
	if u.Slots != 4 {
		t.Error("a repeated sequence number was taken")
	}
}

func TestNameUsedAgainStartsAnew(t *testing.T) {
	r, u, present := follow()
	r.Announce(announcement("i-1", 50, 100))
	r.Announce(announcement("i-1", 1, 300))
	if u.Born != 300 || !*present {
		t.Errorf("%+v", u)
	}
	r.End("i-1", 100) // of the earlier process
	if u.State != Ready {
		t.Error("the end of the earlier process ends the new one")
	}
}

func TestLeavingIsNeverTakenBack(t *testing.T) {
	for name, leave := range map[string]func(*Registry){
		"draining": func(r *Registry) { a := announcement("i-1", 2, 100); a.State = Draining; r.Announce(a) },
		"ended":    func(r *Registry) { r.End("i-1", 0) },
	} {
		r, u, _ := follow()
		r.Announce(announcement("i-1", 1, 100))
		leave(r)
		if u.State == Ready {
			t.Errorf("%s: ready", name)
		}
		r.Announce(announcement("i-1", 9, 100))
		if u.State == Ready {
			t.Errorf("%s: ready again by a late announcement", name)
		}
	}
	r, _, present := follow()
	r.End("i-1", 100) // before any announcement, as after a restart of the node
	r.Announce(announcement("i-1", 9, 100))
	if *present {
		t.Error("a process that said that it ends is in force")
	}
}

func TestForeignUpstreamIsRefused(t *testing.T) {
	r, _, present := follow()
	other := announcement("i-1", 1, 100)
	other.Service = "orders"
	if r.Announce(other) || *present {
		t.Error("an upstream of another service was taken")
	}
	other = announcement("i-1", 1, 100)
	other.Address = "10.0.0.2:8000"
	if r.Announce(other) || *present {
		t.Error("an upstream at another address was taken")
	}
}

func TestSilentUpstreamExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _, present := follow()
		r.Announce(announcement("i-1", 1, 100))
		time.Sleep(3 * time.Second) // announcements may come seconds late
		if r.Expire(); !*present {
			t.Error("expired after three intervals")
		}
		time.Sleep(2 * time.Second)
		if r.Expire(); *present {
			t.Error("in force after five intervals")
		}
	})
}

// What a predecessor hands over holds until the upstream speaks, as cold, and never against it.
func TestAdoptedUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before, _, _ := follow()
		before.Announce(announcement("i-1", 5, 100))
		handed, ok := before.HandOver()
		if !ok || before.Announce(announcement("i-1", 6, 100)) || before.End("i-1", 100) {
			t.Error("acknowledged after the hand-over")
		}
		r, u, present := follow()
		if !r.Adopt(handed.Announcement) || !*present || u.Instance != "i-1" || !u.ColdUntil.After(time.Now()) {
			t.Errorf("not adopted as cold: %+v", u)
		}
		r.Announce(announcement("i-1", 5, 100)) // held up; from before
		if r.Announce(announcement("i-1", 6, 100)); u.ColdUntil.After(time.Now()) {
			t.Error("cold though the upstream said that it is not")
		}
		r.End("i-1", 100)
		if r.Adopt(handed.Announcement) || u.State != Gone {
			t.Error("adopted after its end")
		}
		unknown, _, known := follow()
		unknown.End("i-1", 100)
		if unknown.Adopt(handed.Announcement) || *known {
			t.Error("adopted though it said that it ends")
		}
		leaving, _, _ := follow()
		gone := announcement("i-1", 1, 100)
		gone.State = Draining
		leaving.Announce(gone)
		if _, ok := leaving.HandOver(); ok {
			t.Error("an upstream that leaves is handed over")
		}
	})
}
