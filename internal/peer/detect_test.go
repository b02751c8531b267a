package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"celerybank/internal/events"
	"celerybank/internal/faultnet"
)

// A connection goes silent for good while its peer lives: the median time until its calls can be sent
// elsewhere has to stay under 100 ms in a zone and 150 ms between zones.
func TestSilentConnectionIsFoundInATenthOfASecond(t *testing.T) {
	for _, c := range []struct{ oneWay, limit time.Duration }{
		{100 * time.Microsecond, 100 * time.Millisecond},
		{1400 * time.Microsecond, 150 * time.Millisecond},
	} {
		t.Run(c.oneWay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPair(t, nil)
				defer p.stop()
				p.net.SetLatency(func(_, _ string) time.Duration { return c.oneWay })
				r := rand.New(rand.NewPCG(1, 1))
				var found []time.Duration
				for range 50 {
					if _, err := p.say("warm", 50*time.Millisecond, time.Second); err != nil {
						t.Fatal(err)
					}
					time.Sleep(rand.N(3 * time.Second))
					p.net.Blackhole("10.0.0.1", "10.0.0.2")
					start := time.Now()
					_, err := p.say("lost", time.Duration(r.Int64N(int64(time.Second))), 10*time.Second)
					var lost *LostError
					if !errors.As(err, &lost) || lost.Process == 0 {
						t.Fatalf("call on a silent connection: got %v, want a LostError with the process", err)
					}
					found = append(found, time.Since(start))
				}
				slices.Sort(found)
				t.Logf("median %v, longest %v", found[len(found)/2], found[len(found)-1])
				if median := found[len(found)/2]; median > c.limit {
					t.Errorf("median time to find a silent connection: %v, limit %v", median, c.limit)
				}
			})
		})
	}
}

// A slow host (its replies held up for up to a quarter of a second, in bursts) is taken for a dead connection,
// and its calls are given up.
func TestSlowPeerIsNoLostConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, nil)
		defer p.stop()
		p.net.SetLatency(func(_, _ string) time.Duration { return 500 * time.Microsecond })
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		for caller := range 4 {
			wg.Go(func() {
				r := rand.New(rand.NewPCG(1, uint64(caller)))
				for ctx.Err() == nil {
					if _, err := p.say("x", time.Duration(r.Int64N(int64(2*time.Second))), 10*time.Second); err != nil && ctx.Err() == nil {
						t.Errorf("call to a slow peer: %v", err)
						return
					}
				}
			})
		}
		r := rand.New(rand.NewPCG(2, 2))
		for start := time.Now(); time.Since(start) < time.Hour; {
			time.Sleep(time.Duration(r.Int64N(int64(2 * time.Second))))
			p.net.Freeze("10.0.0.2", true)
			time.Sleep(time.Duration(r.Int64N(int64(250 * time.Millisecond))))
			p.net.Freeze("10.0.0.2", false)
		}
		cancel()
		wg.Wait()
		if n := p.count(events.PeerSilent); n != 0 {
			t.Errorf("got %d peer-silent events, want none", n)
		}
	})
}

// One connection is found silent: the others of the node, which nobody uses at the moment, are checked at once
// instead of when a call is lost on them.
func TestIdleConnectionsAreCheckedAfterALoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, nil)
		defer p.stop()
		const other = "10.0.0.3:7000"
		s := NewServer(p.events, nil)
		if err := s.Register("Proxy", echo{}); err != nil {
			t.Fatal(err)
		}
		l, err := p.net.Host("10.0.0.3").Listen(other)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() { _ = s.Serve(ctx, l) }()
		say := func(addr string) error {
			return p.pool.Call(ctx, addr, "Proxy.Say", &Message{Text: "x"}, &Message{})
		}
		for _, addr := range []string{addrB, other} {
			if err := say(addr); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(2 * time.Second)
		p.net.Blackhole("10.0.0.1", "10.0.0.2")
		p.net.Blackhole("10.0.0.1", "10.0.0.3")
		if err := say(addrB); err == nil {
			t.Fatal("call on a silent connection succeeded")
		}
		time.Sleep(silenceLimit)
		if err := say(other); err != nil {
			t.Errorf("call on a connection that went silent with another: %v", err)
		}
	})
}

// A control call that may be executed twice waits for the next round when its connection is lost.
func TestRepeatingClientCallsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, nil)
		defer p.stop()
		if _, err := p.say("a", 0, time.Second); err != nil {
			t.Fatal(err)
		}
		p.net.Blackhole("10.0.0.1", "10.0.0.2")
		var out Message
		if err := p.pool.Repeating().Call(context.Background(), addrB, "Proxy.Say", &Message{Text: "b"}, &out); err != nil || out.Text != "b" {
			t.Errorf("got %q, %v, want %q", out.Text, err, "b")
		}
	})
}

// A notification on a connection that went silent is lost, and so are all later ones, since nobody waits for a reply.
func TestNotificationsFindASilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, nil)
		defer p.stop()
		notify := func(text string) {
			if err := p.pool.Notify(context.Background(), addrB, "Note", &Message{Text: text}); err != nil {
				t.Errorf("notification %q: %v", text, err)
			}
			time.Sleep(time.Second)
		}
		notify("a")
		p.net.Blackhole("10.0.0.1", "10.0.0.2")
		for range 8 {
			notify("lost")
		}
		notify("b")
		if got := p.notes(); len(got) < 2 || got[0] != "a" || got[len(got)-1] != "b" {
			t.Errorf("got the notifications %q, want a at the start and b at the end", got)
		}
	})
}

// countingNetwork counts the dials.
type countingNetwork struct {
	Network
	dials atomic.Int64
}

func (n *countingNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	n.dials.Add(1)
	return n.Network.Dial(ctx, addr)
}

// stallingListener accepts connections whose reads wait while the process stalls; its kernel goes on.
type stallingListener struct {
	net.Listener
	mu      sync.Mutex
	running chan struct{} // closed while the process runs
}

func (l *stallingListener) stall(d time.Duration) {
	stalled := make(chan struct{})
	l.mu.Lock()
	l.running = stalled
	l.mu.Unlock()
	time.AfterFunc(d, func() { close(stalled) })
}

func (l *stallingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return stallingConn{c, l}, err
}

type stallingConn struct {
	net.Conn
	l *stallingListener
}

func (c stallingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.l.mu.Lock()
	running := c.l.running
	c.l.mu.Unlock()
	<-running
	return n, err
}

// A process stalls for half a second: each connection that is to prove it alive is suspected in its turn, so that it wakes
// to a new connection for each tenth of a second from each peer.
func TestStalledPeerGetsOneMoreConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ev, fake := events.New("n", "z", nil), faultnet.New()
		s := NewServer(ev, nil)
		if err := s.Register("Proxy", echo{}); err != nil {
			t.Fatal(err)
		}
		l, err := fake.Host("10.0.0.2").Listen(addrB)
		if err != nil {
			t.Fatal(err)
		}
		stalling := &stallingListener{Listener: l}
		stalling.stall(0)
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = s.Serve(ctx, stalling) }()
		network := &countingNetwork{Network: fake.Host("10.0.0.1")}
		pool := NewPool(network, ev, nil)
		say := func() {
			if err := pool.Call(ctx, addrB, "Proxy.Say", &Message{}, &Message{}); err != nil {
				t.Errorf("call to a stalled process: %v", err)
			}
		}
		say()
		for stalls := int64(1); stalls <= 4; stalls++ {
			time.Sleep(time.Second)
			stalling.stall(500 * time.Millisecond)
			say()
			if dials, most := network.dials.Load(), 1+stalls; dials > most {
				t.Errorf("%d dials after %d stalls, want at most %d", dials, stalls, most)
			}
		}
		pool.Close()
		cancel()
		time.Sleep(time.Second) // for the goroutines of the connections
	})
}
