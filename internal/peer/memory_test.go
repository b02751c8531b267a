package peer

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"celerybank/internal/membudget"
)

// Blob is a message that holds memory of the budget.
type Blob struct {
	Bytes []byte
	// Reply is the size of the reply in bytes, which comes after Wait.
	Reply int
	Wait  time.Duration

	held *membudget.Holder
}

func (b *Blob) Hold(held *membudget.Holder) { b.held = held }
func (b *Blob) ReleaseMemory()              { b.held.Release() }
func (b *Blob) FrameSize() int              { return len(b.Bytes) }

// blobs is the service that tests call with large messages.
type blobs struct{ ran atomic.Int64 }

func (s *blobs) Send(in, out *Blob) error {
	s.ran.Add(1)
	time.Sleep(in.Wait)
	out.Bytes = make([]byte, in.Reply)
	return nil
}

const (
	blobLimit = 1 << 20
	blobSize  = 500 << 10
)

// withBlobs runs a test with a pair whose server has the service of blobs, and returns memory after it.
func withBlobs(t *testing.T, test func(t *testing.T, p *pair, s *blobs, memory *membudget.Budget)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p, s, memory := newPair(t, nil), &blobs{}, membudget.New(blobLimit)
		if err := p.server.Register("Blobs", s); err != nil {
			t.Fatal(err)
		}
		test(t, p, s, memory)
		p.stop()
		if used := memory.Used(); used != 0 {
			t.Errorf("%d bytes were not returned, want 0", used)
		}
	})
}

// fill takes most of the memory until release is called.
func fill(t *testing.T, memory *membudget.Budget) (release func()) {
	t.Helper()
	held := memory.Hold(0, func() { t.Error("a message in use was evicted") })
	if err := errors.Join(held.Take(blobLimit-blobSize/2), held.Pin()); err != nil {
		t.Fatal(err)
	}
	return held.Release
}

func (p *pair) send(args *Blob, timeout time.Duration) (*Blob, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	out := &Blob{}
	return out, p.pool.Call(ctx, addrB, "Blobs.Send", args, out)
}

// requireConnection fails the test unless the connection to the peer is still the same and serves calls.
func (p *pair) requireConnection(t *testing.T, want *conn) {
	t.Helper()
	if text, err := p.say("a", 0, time.Second); text != "a" || err != nil {
		t.Errorf("a small call: got %q, %v, want %q", text, err, "a")
	}
	if p.connection() != want {
		t.Error("the connection was replaced, want it to stay")
	}
}

func (p *pair) connection() *conn {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	return p.pool.conns[addrB]
}

// Messages fill the memory when a large reply arrives. Guards against the loss of the connection with all its calls, and against a
// call that counts as not executed.
func TestReplyWithoutMemoryFailsOnlyItsCall(t *testing.T) {
	withBlobs(t, func(t *testing.T, p *pair, s *blobs, memory *membudget.Budget) {
		p.pool.SetMemory(memory)
		if _, err := p.send(&Blob{}, time.Second); err != nil {
			t.Fatal(err)
		}
		c, release := p.connection(), fill(t, memory)
		if _, err := p.send(&Blob{Reply: blobSize}, time.Second); !errors.Is(err, ErrNoMemory) || errors.Is(err, ErrRefused) || errors.Is(err, ErrNotSent) {
			t.Errorf("got %v, want %v and a call that may have been executed", err, ErrNoMemory)
		}
		p.requireConnection(t, c)
		release()
		out, err := p.send(&Blob{Reply: blobSize}, time.Second)
		if err != nil || len(out.Bytes) != blobSize || memory.Used() < blobSize-uncountedFrame {
			t.Errorf("with memory: got %d bytes, %v, and %d bytes held, want %d", len(out.Bytes), err, memory.Used(), blobSize)
		}
		out.ReleaseMemory()
	})
}

// Guards against a call for which the receiver has no memory being executed, or reported as one that may have been.
func TestCallWithoutMemoryIsRefused(t *testing.T) {
	withBlobs(t, func(t *testing.T, p *pair, s *blobs, memory *membudget.Budget) {
		p.server.SetMemory(memory)
		if _, err := p.send(&Blob{}, time.Second); err != nil {
			t.Fatal(err)
		}
		c, release := p.connection(), fill(t, memory)
		if _, err := p.send(&Blob{Bytes: make([]byte, blobSize)}, time.Second); !errors.Is(err, ErrRefused) || s.ran.Load() != 1 {
			t.Errorf("got %v after %d executions, want %v and none", err, s.ran.Load()-1, ErrRefused)
		}
		p.requireConnection(t, c)
		release()
		if _, err := p.send(&Blob{Bytes: make([]byte, blobSize)}, time.Second); err != nil || s.ran.Load() != 2 {
			t.Errorf("with memory: got %v", err)
		}
	})
}

// Guards against a node that encodes a large call without memory for it, and against a call that then counts as sent.
func TestCallIsNotSentWithoutMemory(t *testing.T) {
	withBlobs(t, func(t *testing.T, p *pair, s *blobs, memory *membudget.Budget) {
		p.pool.SetMemory(memory)
		release := fill(t, memory)
		if _, err := p.send(&Blob{Bytes: make([]byte, blobSize)}, time.Second); !errors.Is(err, ErrRefused) || s.ran.Load() != 0 {
			t.Errorf("got %v after %d executions, want %v and none", err, s.ran.Load(), ErrRefused)
		}
		release()
	})
}

// A reply arrives when its caller no longer waits. Guards against memory that nobody returns.
func TestAbandonedReplyReturnsItsMemory(t *testing.T) {
	withBlobs(t, func(t *testing.T, p *pair, s *blobs, memory *membudget.Budget) {
		p.pool.SetMemory(memory)
		if _, err := p.send(&Blob{Reply: blobSize, Wait: 200 * time.Millisecond}, 100*time.Millisecond); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("got %v, want %v", err, context.DeadlineExceeded)
		}
		time.Sleep(time.Second)
	})
}
