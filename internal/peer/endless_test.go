package peer

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"celerybank/internal/events"
	"celerybank/internal/faultnet"
	"celerybank/internal/membudget"
)

// largeFrames writes frames of the maximum size, without a valid header, at 64 MB/s until the connection is closed.
func largeFrames(c net.Conn) {
	block := make([]byte, 64<<10)
	_, err := c.Write(binary.BigEndian.AppendUint32(nil, MaxFrame))
	for err == nil {
		_, err = c.Write(block)
		time.Sleep(time.Millisecond)
	}
}

// Many peers send large frames at the same time, without end. What is read must stay within the memory, the frames that do
// not fit must end their connections, and the calls of other peers must be answered.
func TestEndlessFramesLeaveOtherPeersServed(t *testing.T) {
	const connections, limit, calls = 40, 8 << 20, 50
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, nil)
		defer p.stop()
		memory := membudget.New(limit)
		p.server.SetMemory(memory)
		ctx, cancel := context.WithCancel(t.Context())
		var senders sync.WaitGroup
		for i := range connections {
			senders.Go(func() {
				for ctx.Err() == nil {
					c, err := p.net.Host(fmt.Sprint("10.0.1.", i)).Dial(ctx, addrB)
					if err != nil {
						return
					}
					stop := context.AfterFunc(ctx, func() { _ = c.Close() })
					largeFrames(c)
					stop()
					_ = c.Close()
				}
			})
		}
		for range calls {
			if text, err := p.say("a", 0, time.Second); text != "a" || err != nil {
				t.Errorf("call beside endless frames: got %q, %v, want %q", text, err, "a")
			}
			if used := memory.Used(); used > limit {
				t.Fatalf("frames hold %d bytes, want at most %d", used, limit)
			}
			time.Sleep(10 * time.Millisecond)
		}
		cancel()
		senders.Wait()
		synctest.Wait()
		if used := memory.Used(); used != 0 {
			t.Errorf("%d bytes were not returned, want 0", used)
		}
	})
}

// Calls with large arguments wait for their replies. Their memory counts until the replies are sent; calls for which none is
// left are not run.
func TestArgumentsOfRunningCallsCount(t *testing.T) {
	const limit, size = 1 << 20, 300 << 10
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, nil)
		defer p.stop()
		memory := membudget.New(limit)
		p.server.SetMemory(memory)
		var callers sync.WaitGroup
		for i := range 10 {
			callers.Go(func() {
				pool := NewPool(p.net.Host(fmt.Sprint("10.0.1.", i)), p.events, nil)
				defer pool.Close()
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				_ = pool.Call(ctx, addrB, "Proxy.Say", &Message{Wait: time.Second, Bytes: make([]byte, size)}, &Message{})
			})
		}
		time.Sleep(500 * time.Millisecond)
		if used := memory.Used(); used < size || used > limit {
			t.Errorf("calls in progress hold %d bytes, want %d to %d", used, size, limit)
		}
		if text, err := p.say("a", 0, time.Second); text != "a" || err != nil {
			t.Errorf("a small call: got %q, %v, want %q", text, err, "a")
		}
		callers.Wait()
		time.Sleep(2 * time.Second)
		if used := memory.Used(); used != 0 {
			t.Errorf("%d bytes were not returned, want 0", used)
		}
	})
}

// A peer responds to calls with frames without end.
func TestEndlessRepliesLeaveOtherPeersReached(t *testing.T) {
	const peers, limit = 20, 4 << 20
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, nil)
		defer p.stop()
		memory := membudget.New(limit)
		p.pool.SetMemory(memory)
		var faulty sync.WaitGroup
		var listeners []net.Listener
		for i := range peers {
			l, err := p.net.Host(fmt.Sprint("10.0.1.", i)).Listen(fmt.Sprintf("10.0.1.%d:7000", i))
			if err != nil {
				t.Fatal(err)
			}
			listeners = append(listeners, l)
			faulty.Go(func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					faulty.Go(func() { defer c.Close(); largeFrames(c) })
				}
			})
		}
		var calls sync.WaitGroup
		for i := range peers {
			calls.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				if err := p.pool.Call(ctx, fmt.Sprintf("10.0.1.%d:7000", i), "Proxy.Say", &Message{}, &Message{}); err == nil {
					t.Error("a call to a faulty peer succeeded")
				}
			})
		}
		for range 20 {
			if text, err := p.say("a", 0, time.Second); text != "a" || err != nil {
				t.Errorf("call beside endless replies: got %q, %v, want %q", text, err, "a")
			}
			if used := memory.Used(); used > limit {
				t.Fatalf("frames hold %d bytes, want at most %d", used, limit)
			}
		}
		calls.Wait()
		p.pool.Close()
		for _, l := range listeners {
			_ = l.Close()
		}
		faulty.Wait()
	})
}

// failingListener fails to accept a few times, as when the process is out of file descriptors.
type failingListener struct {
	net.Listener
	failures int
}

type temporaryError struct{}

func (temporaryError) Error() string { return "too many open files" }

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, temporaryError{}
	}
	return l.Listener.Accept()
}

// Many connections at once exhaust the file descriptors. The server must accept again afterwards.
func TestServerAcceptsAfterFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := faultnet.New()
		ev := events.New("n", "z", nil)
		s := NewServer(ev, nil)
		if err := s.Register("Proxy", echo{}); err != nil {
			t.Fatal(err)
		}
		l, err := network.Host("10.0.0.2").Listen(addrB)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- s.Serve(ctx, &failingListener{l, 3}) }()
		pool := NewPool(network.Host("10.0.0.1"), ev, nil)
		var out Message
		if err := pool.Call(t.Context(), addrB, "Proxy.Say", &Message{Text: "a"}, &out); err != nil || out.Text != "a" {
			t.Errorf("got %q, %v, want %q", out.Text, err, "a")
		}
		pool.Close()
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}
