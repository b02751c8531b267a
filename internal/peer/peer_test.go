package peer

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"net/rpc"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"celerybank/internal/events"
	"celerybank/internal/faultnet"
)

const addrB = "10.0.0.2:7000"

// echo is the service that tests call: one method replies with the text after a delay, the others fail
// to send their reply.
type echo struct{}

type Message struct {
	Text  string
	Wait  time.Duration
	Bytes []byte
}

func (echo) Say(in, out *Message) error {
	time.Sleep(in.Wait)
	out.Text = in.Text
	return nil
}

func (echo) Large(_, out *Message) error {
	out.Bytes = make([]byte, MaxFrame+1)
	return nil
}

type Unencodable struct{ C chan int }

func (echo) Unencodable(_ *Message, out *Unencodable) error {
	out.C = make(chan int)
	return nil
}

// pair is a server at addrB and a pool on another host, connected by a network that injects faults.
type pair struct {
	net    *faultnet.Network
	events *events.Recorder
	server *Server
	pool   *Pool
	stop   func()

	mu    sync.Mutex
	noted []string
}

// notes returns the texts of the notifications that the server has received.
func (p *pair) notes() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.noted)
}

func newPair(t *testing.T, traffic Traffic) *pair {
	p := &pair{net: faultnet.New(), events: events.New("n", "z", nil)}
	s := NewServer(p.events, nil)
	p.server = s
	if err := s.Register("Proxy", echo{}); err != nil {
		t.Fatal(err)
	}
	s.OnNotify("Note", func(decode func(any) error) error {
		var m Message
		err := decode(&m)
		p.mu.Lock()
		p.noted = append(p.noted, m.Text)
		p.mu.Unlock()
		return err
	})
	l, err := p.net.Host("10.0.0.2").Listen(addrB)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = s.Serve(ctx, l) })
	p.pool = NewPool(p.net.Host("10.0.0.1"), p.events, traffic)
	p.stop = func() {
		p.pool.Close()
		cancel()
		wg.Wait()
		time.Sleep(5 * time.Second) // for handlers that are still in their delay
	}
	return p
}

func (p *pair) say(text string, wait, timeout time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var out Message
	err := p.pool.Call(ctx, addrB, "Proxy.Say", &Message{Text: text, Wait: wait}, &out)
	return out.Text, err
}

func (p *pair) count(code events.Code) (n int) {
	for _, e := range p.events.Since(0) {
		if e.Code == code {
			n++
		}
	}
	return n
}

// Replies arrive in a different order than the calls, some after the call has timed out; each call gets
// its own reply. A body that cannot be encoded, sent or decoded fails no other call.
func TestEveryCallerGetsItsOwnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, nil)
		defer p.stop()
		var wg sync.WaitGroup
		for i := range 200 {
			wg.Go(func() {
				wait := time.Duration(i*37%200)*10*time.Millisecond + 5*time.Millisecond
				text, err := p.say(fmt.Sprint(i), wait, time.Second)
				if late := wait >= time.Second; late != (err != nil) || (!late && text != fmt.Sprint(i)) {
					t.Errorf("call %d with a reply after %v: got %q, %v", i, wait, text, err)
				}
			})
		}
		time.Sleep(time.Millisecond)
		var out Message
		var serverErr rpc.ServerError
		for _, method := range []string{"Proxy.Large", "Proxy.Unencodable", "Proxy.Absent"} {
			if err := p.pool.Call(context.Background(), addrB, method, &Message{}, &out); !errors.As(err, &serverErr) {
				t.Errorf("%s: got %v, want an rpc.ServerError", method, err)
			}
		}
		if err := p.pool.Call(context.Background(), addrB, "Proxy.Say", "not a message", &out); !errors.As(err, &serverErr) {
			t.Errorf("argument that cannot be decoded: got %v, want an rpc.ServerError", err)
		}
		if err := p.pool.Call(context.Background(), addrB, "Proxy.Say", &Message{Text: "x"}, new(int)); err == nil {
			t.Error("reply that cannot be decoded: got no error")
		}
		if err := p.pool.Call(context.Background(), addrB, "Proxy.Say", &Message{Bytes: make([]byte, MaxFrame+1)}, &out); !errors.Is(err, ErrTooLarge) {
			t.Errorf("argument over the size limit: got %v, want ErrTooLarge", err)
		}
		wg.Wait()
	})
}

// A connection stops delivering bytes with calls in flight: the calls fail within a second, and the
// next call uses a new connection.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, nil)
		defer p.stop()
		if _, err := p.say("a", 0, time.Second); err != nil {
			t.Fatal(err)
		}
		for _, idle := range []time.Duration{0, idleTimeout / 2} {
			time.Sleep(idle)
			p.net.Blackhole("10.0.0.1", "10.0.0.2")
			start := time.Now()
			if _, err := p.say("b", 0, time.Minute); err == nil || errors.Is(err, ErrNotSent) {
				t.Errorf("call on an unresponsive connection: got %v, want an error other than ErrNotSent", err)
			}
			if took := time.Since(start); took > time.Second {
				t.Errorf("failed after %v, want at most 1s", took)
			}
			if text, err := p.say("c", 2*time.Second, time.Minute); text != "c" {
				t.Errorf("call on the new connection: got %q, %v, want %q", text, err, "c")
			}
		}
		if got := p.count(events.PeerSilent); got != 2 {
			t.Errorf("got %d peer-silent events, want 2", got)
		}
	})
}

// stuckNetwork is a network whose connections block every write.
type stuckNetwork struct{ Network }

func (stuckNetwork) Dial(context.Context, string) (net.Conn, error) {
	near, _ := net.Pipe()
	return near, nil
}

// A peer that reads nothing blocks a call for a bounded time, and the call fails with ErrNotSent. There
// is one call at a time, because others would wait on a mutex, which synctest does not count as
// durably blocked.
func TestBlockedWriteIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := NewPool(stuckNetwork{}, events.New("n", "z", nil), nil)
		for range 3 {
			start := time.Now()
			err := pool.Call(context.Background(), addrB, "Proxy.Say", &Message{}, &Message{})
			if took := time.Since(start); !errors.Is(err, ErrNotSent) || took > 2*writeTimeout {
				t.Errorf("got %v after %v, want ErrNotSent within %v", err, took, 2*writeTimeout)
			}
		}
		pool.Close()
	})
}

// Malformed data closes its connection with an event; the server keeps serving others.
func TestGarbageEndsOnlyItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, nil)
		defer p.stop()
		for i, frame := range malformedFrames() {
			c, err := p.net.Host("10.0.0.3").Dial(context.Background(), addrB)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = c.Write(frame)
			_ = c.SetReadDeadline(time.Now().Add(time.Second))
			if _, err := c.Read(make([]byte, 1)); err == nil || errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("frame %d: connection not closed: %v", i, err)
			}
			if text, err := p.say("a", 0, time.Second); text != "a" {
				t.Errorf("call after frame %d: got %q, %v, want %q", i, text, err, "a")
			}
		}
		if got, want := p.count(events.PeerFrameMalformed), len(malformedFrames()); got != want {
			t.Errorf("got %d peer-frame-malformed events, want %d", got, want)
		}
	})
}

// malformedFrames returns data that no peer sends: frames that are too long or have no valid header.
func malformedFrames() [][]byte {
	frame := func(b []byte) []byte {
		return append(binary.BigEndian.AppendUint32(nil, uint32(len(b))), b...)
	}
	return [][]byte{[]byte("GET / HTTP/1.1\r\n\r\n"), binary.BigEndian.AppendUint32(nil, MaxFrame+1),
		frame([]byte{0xc1}), frame(nil), frame(bytes.Repeat([]byte{0x81}, 100)), frame([]byte{0xdf, 0xff, 0xff, 0xff, 0xff})}
}

// FuzzFrame reads arbitrary bytes as frames: the codec must not panic, and must not buffer much more
// than has arrived.
func FuzzFrame(f *testing.F) {
	var valid frameBuffer
	if err := valid.encode(&header{Method: "Proxy.Say", Seq: 7}, &Message{Text: "a", Bytes: []byte("b")}, nil); err != nil {
		f.Fatal(err)
	}
	f.Add(valid.b)
	f.Add(valid.b[:len(valid.b)-1])
	f.Add(append(bytes.Clone(valid.b), valid.b...))
	for _, g := range malformedFrames() {
		f.Add(g)
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		near, far := net.Pipe()
		go func() {
			_, _ = far.Write(in)
			_ = far.Close()
		}()
		c := newCodec(near, nil, nil, nil)
		for {
			if _, err := c.readHeader(); err != nil {
				break
			}
			var m Message
			_ = c.readBody(&m) // an undecodable body fails only its own call
			if cap(c.buf) > len(in)+2*readChunkSize {
				t.Fatalf("buffer of %d bytes for %d received, want at most %d", cap(c.buf), len(in), len(in)+2*readChunkSize)
			}
		}
		_ = near.Close()
	})
}

// On forty connections with a slow call each, heartbeats must stay below a quarter of the control
// traffic budget of 17 KB/s.
func TestHeartbeatsStayWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const connections, span = 40, 10
		var sent atomic.Int64
		p := newPair(t, func(method string, _ bool, n int) {
			if strings.HasPrefix(method, "Peer.") {
				sent.Add(int64(n))
			}
		})
		defer p.stop()
		if _, err := p.say("slow", span*time.Second, time.Minute); err != nil {
			t.Fatal(err)
		}
		perSecond := sent.Load() * connections / span
		t.Logf("%d bytes/s for %d connections", perSecond, connections)
		if perSecond > 17_000/4 {
			t.Errorf("heartbeats take %d bytes/s, want at most %d", perSecond, 17_000/4)
		}
	})
}
