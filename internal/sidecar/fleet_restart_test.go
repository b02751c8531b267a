package sidecar

import (
	"context"
	"sync"
	"testing"
	"time"

	"celerybank/internal/configlog"
	"celerybank/platform/counterpart"
)

// each runs f for all hosts at the same time and waits for that.
func (m *mesh) each(f func(h *host)) {
	var all sync.WaitGroup
	for _, h := range m.hosts {
		all.Go(func() { f(h) })
	}
	all.Wait()
}

// settle waits until all nodes are ready members and all upstreams are listed. Each upstream announces itself twice.
func (m *mesh) settle() {
	for _, h := range m.hosts {
		for range 2 {
			eventually(m.t, "the announcement is acknowledged", func() bool { return h.announce(false) })
		}
		eventually(m.t, "all nodes are members, and this one is ready", func() bool { return h.node.aliveMembers() == len(m.hosts) && h.ready() })
		eventually(m.t, "the upstream is listed", func() bool { return h.node.members.Self().Upstream.Instance == h.instance })
	}
}

// All nodes end after one of them confirmed that its upstream leaves, so that no node remembers it. An announcement that the
// upstream sent before arrives late. It must not get requests: neither once the members are complete, nor after that.
func TestConfirmedDepartureBindsAfterAllNodesEnded(t *testing.T) {
	refusesLeft := func(h *host) {
		for range 100 {
			if up := h.node.members.Self().Upstream; up.Instance != "" {
				h.t.Errorf("the next process announces the upstream %s, which has left", up.Instance)
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	// late sends an announcement from before the departure, with the n-th sequence number before it.
	late := func(h *host, n int64) {
		newest := h.sequence
		eventually(h.t, "a late announcement is acknowledged", func() bool {
			h.sequence = newest - n - 1
			return h.announce(false)
		})
		h.sequence = newest
		refusesLeft(h)
	}
	synced := func(h *host) { <-h.node.members.FactsSynced() }
	restart := func(m *mesh) { m.each(m.startNode) }
	kill := func(m *mesh) { m.each((*host).kill) }
	for name, run := range map[string]func(m *mesh, leaving *host){
		"killed": func(m *mesh, leaving *host) {
			kill(m)
			restart(m)
			late(leaving, 1)
			synced(leaving)
		},
		"stopped": func(m *mesh, leaving *host) {
			m.each(func(h *host) { h.stop(); <-h.ended })
			restart(m)
			late(leaving, 1)
			synced(leaving)
		},
		"two late announcements": func(m *mesh, leaving *host) {
			kill(m)
			restart(m)
			late(leaving, 2)
			time.Sleep(leaving.node.settings.AnnounceInterval)
			late(leaving, 1)
			synced(leaving)
		},
		"late after the start-up period": func(m *mesh, leaving *host) {
			kill(m)
			restart(m)
			synced(leaving)
			late(leaving, 1)
		},
		"store silent at the restart": func(m *mesh, leaving *host) {
			kill(m)
			m.log.SetFaults(configlog.Faults{Outage: true})
			restart(m)
			late(leaving, 2)
			time.Sleep(leaving.node.settings.AnnounceInterval)
			late(leaving, 1)
			m.log.SetFaults(configlog.Faults{})
			synced(leaving)
		},
		"started after the others": func(m *mesh, leaving *host) {
			kill(m)
			m.each(func(h *host) {
				if h != leaving {
					m.startNode(h)
					synced(h)
				}
			})
			m.startNode(leaving)
			late(leaving, 1)
			synced(leaving)
		},
		"killed again": func(m *mesh, leaving *host) {
			kill(m)
			restart(m)
			m.each(synced)
			leaving.kill()
			m.startNode(leaving)
			late(leaving, 1)
			synced(leaving)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := startMesh(t, "a", "b", "b")
			near, leaving := m.hosts[0], m.hosts[1]
			m.config(1, "/one/")
			m.settle()
			leaving.leaving.Store(true)
			if err := counterpart.AnnounceEnd(context.Background(), leaving.addr(counterpart.ControlPort), leaving.instance, 1); err != nil {
				t.Fatal("the departure was not confirmed:", err)
			}
			ran := leaving.runs.Load()
			run(m, leaving)
			eventually(t, "the next process is ready", func() bool { return leaving.ready() && near.node.aliveMembers() == len(m.hosts) })
			refusesLeft(leaving)
			for range 20 {
				near.get("/one/x")
			}
			if n := leaving.runs.Load() - ran; n != 0 {
				t.Errorf("%d requests ran at an upstream whose departure was confirmed, want 0", n)
			}
		})
	}
}

// All nodes are killed and started again. Upstreams that live must be served although they announce themselves once only, as slow
// ones do, and while one of them fails its health checks at first.
func TestUpstreamsServeAfterAllNodesEnded(t *testing.T) {
	t.Parallel()
	m := startMesh(t, "a", "b", "b")
	m.config(1, "/one/")
	m.settle()
	m.each((*host).kill)
	m.each(m.startNode)
	busy := m.hosts[2]
	busy.leaving.Store(true) // fails its health checks
	for _, h := range m.hosts {
		eventually(t, "the announcement is acknowledged", func() bool { return h.announce(false) })
		if h != busy {
			eventually(t, "the upstream is listed", func() bool { return h.node.members.Self().Upstream.Instance == h.instance })
		}
	}
	checks := busy.checks.Load()
	eventually(t, "two health checks fail", func() bool { return busy.checks.Load() >= checks+2 })
	if up := busy.node.members.Self().Upstream; up.Instance != "" {
		t.Errorf("the upstream %s is listed although it fails its health checks", up.Instance)
	}
	busy.leaving.Store(false)
	eventually(t, "the upstream is listed", func() bool { return busy.node.members.Self().Upstream.Instance == busy.instance })
	for _, h := range m.hosts {
		eventually(t, "served", func() bool { status, _ := h.get("/one/x"); return status == 200 })
	}
}
