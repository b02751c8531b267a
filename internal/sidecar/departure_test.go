package sidecar

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"celerybank/internal/configlog"
	"celerybank/internal/peer"
	"celerybank/platform/counterpart"
)

// killable is the network of a node that can be killed: its connections and listeners close, and it opens no more.
type killable struct {
	peer.TCP

	mu     sync.Mutex
	open   []interface{ Close() error }
	killed bool
}

var errKilled = errors.New("process killed")

func (k *killable) Dial(ctx context.Context, addr string) (net.Conn, error) {
	c, err := k.TCP.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return c, k.track(c)
}

func (k *killable) Listen(addr string) (net.Listener, error) {
	l, err := k.TCP.Listen(addr)
	if err != nil {
		return nil, err
	}
	return trackedListener{l, k}, k.track(l)
}

func (k *killable) track(c interface{ Close() error }) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.killed {
		_ = c.Close()
		return errKilled
	}
	k.open = append(k.open, c)
	return nil
}

func (k *killable) kill() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.killed = true
	for _, c := range k.open {
		_ = c.Close()
	}
}

// trackedListener tracks the connections that it accepts.
type trackedListener struct {
	net.Listener
	network *killable
}

func (l trackedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return c, l.network.track(c)
}

// kill ends the node of a host without a graceful stop.
func (h *host) kill() {
	h.network.kill()
	h.stop()
}

// announcements sends announcements of the host's upstream every 100 ms until the function that it returns is called.
func (h *host) announcements() (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() {
		tick := time.NewTicker(100 * time.Millisecond)
		defer tick.Stop()
		for {
			h.announce(false)
			select {
			case <-tick.C:
			case <-ctx.Done():
				return
			}
		}
	})
	return func() { cancel(); done.Wait() }
}

// A node confirms that its upstream leaves, and its process ends. An announcement that the upstream sent before it left
// arrives at the next process, before or after that knows the other nodes, and must not bring the upstream back.
func TestConfirmedDepartureBindsTheNextProcess(t *testing.T) {
	leave := map[string]func(h *host) bool{
		"draining": func(h *host) bool { return h.announce(true) },
		"ended": func(h *host) bool {
			return counterpart.AnnounceEnd(context.Background(), h.addr(counterpart.ControlPort), h.instance, 1) == nil
		},
	}
	end := map[string]func(h *host){
		"killed":  (*host).kill,
		"stopped": func(h *host) { h.stop(); <-h.ended },
	}
	for _, c := range []struct {
		leave, end string
		storeAway  bool
	}{
		{"ended", "killed", false}, {"ended", "stopped", false}, {"draining", "killed", false},
		{"draining", "stopped", true}, {"ended", "killed", true},
	} {
		name := c.leave + " " + c.end
		if c.storeAway {
			name += " without the store"
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := startMesh(t, "a", "b", "b")
			near, leaving := m.hosts[0], m.hosts[1]
			m.config(1, "/one/")
			for _, h := range m.hosts {
				stop := h.announcements()
				eventually(t, "the upstream serves", func() bool { return h.node.members.Self().Upstream.Instance != "" })
				eventually(t, "all nodes are members, and this one is ready", func() bool { return h.node.aliveMembers() == len(m.hosts) && h.ready() })
				stop()
			}
			late := leaving.sequence + 1 // sent before the departure
			leaving.sequence++
			leaving.leaving.Store(true)
			if !leave[c.leave](leaving) {
				t.Fatal("the departure was not confirmed")
			}
			m.log.SetFaults(configlog.Faults{Outage: c.storeAway})
			end[c.end](leaving)
			m.startNode(leaving)
			ran := leaving.runs.Load()
			eventually(t, "the late announcement arrives", func() bool { leaving.sequence = late - 1; return leaving.announce(false) })
			if c.end == "stopped" {
				m.log.SetFaults(configlog.Faults{}) // a node that has left the mesh finds it through the store only
			}
			eventually(t, "the next process is ready", func() bool { return leaving.ready() && near.node.aliveMembers() == len(m.hosts) })
			<-leaving.node.members.FactsSynced()
			if up := leaving.node.members.Self().Upstream; up.Instance != "" {
				t.Errorf("the next process announces the upstream %s, which has left", up.Instance)
			}
			for range 20 {
				near.get("/one/x")
			}
			if n := leaving.runs.Load() - ran; n != 0 {
				t.Errorf("%d requests ran at an upstream whose departure was confirmed, want 0", n)
			}
		})
	}
}
