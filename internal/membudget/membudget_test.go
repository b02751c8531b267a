package membudget

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
)

// Endless messages fill the memory. A small message must still be read, and the largest one gives way to it.
func TestLargestMessageGivesWay(t *testing.T) { synctest.Test(t, testLargestMessageGivesWay) }

func testLargestMessageGivesWay(t *testing.T) {
	b := New(1000)
	evicted := ""
	hold := func(name string) *Holder { return b.Hold(0, func() { evicted += name }) }
	large, larger, small := hold("large "), hold("larger "), hold("small ")
	for _, take := range []struct {
		h *Holder
		n int64
	}{{large, 400}, {larger, 600}, {small, 100}} {
		if err := take.h.Take(take.n); err != nil {
			t.Fatalf("take %d: %v", take.n, err)
		}
	}
	if evicted != "larger " || !larger.Evicted() || b.Used() != 500 {
		t.Errorf("evicted %q, used %d; want the larger message only and 500", evicted, b.Used())
	}
	if err := larger.Take(1); !errors.Is(err, ErrExhausted) {
		t.Errorf("take after the eviction: got %v, want ErrExhausted", err)
	}
	if err := small.Take(900); !errors.Is(err, ErrExhausted) {
		t.Errorf("take by what is the largest message then: got %v, want ErrExhausted", err)
	}
	for _, h := range []*Holder{large, larger, small} {
		h.Release()
	}
	if b.Used() != 0 {
		t.Errorf("%d bytes were not returned, want 0", b.Used())
	}
	if err := larger.Take(1000); err != nil {
		t.Errorf("the next message: %v", err)
	}
}

// A message that was read completely is in use and must not be taken from its user.
func TestCompleteMessagesAreNotEvicted(t *testing.T) {
	b := New(1000)
	complete := b.Hold(0, func() { t.Error("a complete message was evicted") })
	if err := errors.Join(complete.Take(900), complete.Pin()); err != nil {
		t.Fatal(err)
	}
	if err := b.Hold(0, func() {}).Take(200); !errors.Is(err, ErrExhausted) {
		t.Errorf("got %v, want ErrExhausted", err)
	}
}

// Whatever many messages take, pin and release, the memory in use stays within the limit, and returns. The time is virtual, as
// a Take waits for evicted messages to be released.
func TestBudgetIsNeverExceeded(t *testing.T) { synctest.Test(t, testBudgetIsNeverExceeded) }

func testBudgetIsNeverExceeded(t *testing.T) {
	const limit, messages, steps = 10_000, 40, 20_000
	rng := rand.New(rand.NewPCG(1, 1))
	b := New(limit)
	holders := make([]*Holder, messages)
	for i := range holders {
		holders[i] = b.Hold(10, func() {})
	}
	for range steps {
		h := holders[rng.IntN(messages)]
		switch rng.IntN(10) {
		case 0:
			h.Release()
		case 1:
			_ = h.Pin()
		default:
			_ = h.Take(rng.Int64N(800))
		}
		if used := b.Used(); used < 0 || used > limit {
			t.Fatalf("%d bytes in use, want 0 to %d", used, limit)
		}
	}
	for _, h := range holders {
		h.Release()
	}
	if b.Used() != 0 {
		t.Errorf("%d bytes were not returned, want 0", b.Used())
	}
}

// Two messages that are read slowly fill most of the memory, one of them for longer. Guards against a larger message that
// progresses giving way to a smaller one that does not.
func TestStalledMessageGivesWayFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(1000)
		evicted := ""
		hold := func(name string) *Holder { return b.Hold(0, func() { evicted += name }) }
		stalled, recent, progressing, next := hold("stalled "), hold("recent "), hold("progressing "), hold("next ")
		if err := errors.Join(stalled.Take(200), progressing.Take(400)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		progressing.Progress()
		if err := recent.Take(200); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		progressing.Progress()
		if err := next.Take(300); err != nil || evicted != "stalled " {
			t.Errorf("got error %v, evicted %q, want none and the message that has not progressed for longest", err, evicted)
		}
	})
}

// Guards against one kind of messages that takes the memory of all others, and against a whole that holds more than its limit.
func TestPartsShareTheWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(1000)
		bodies, frames := b.Part("bodies", 600), b.Part("frames", 600)
		hold := func(part *Budget) *Holder { return part.Hold(0, func() {}) }
		first, second, other := hold(bodies), hold(bodies), hold(frames)
		if err := errors.Join(first.Take(500), first.Pin(), other.Take(450), other.Pin()); err != nil {
			t.Fatal(err)
		}
		if err := second.Take(50); err != nil {
			t.Errorf("within the part and the whole: %v", err)
		}
		if err := second.Take(10); !errors.Is(err, ErrExhausted) {
			t.Errorf("beyond the whole: got %v, want %v", err, ErrExhausted)
		}
		other.Release()
		second.Release()
		if err := second.Take(150); !errors.Is(err, ErrExhausted) {
			t.Errorf("beyond the part: got %v, want %v", err, ErrExhausted)
		}
		if got := bodies.Yielded(); got != 2 {
			t.Errorf("%d bodies gave way, want 2", got)
		}
		second.Release()
		first.Release()
		if b.Used() != 0 || bodies.Used() != 0 || frames.Used() != 0 {
			t.Errorf("not returned: %d, %d, %d bytes", b.Used(), bodies.Used(), frames.Used())
		}
	})
}

// A response is read from the upstream, passed on, and waits for its caller. Guards against memory that is counted twice, not at
// all, or taken from its user while it is passed on.
func TestMemoryIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(1000)
		read, responses := b.Part("read", 500), b.Part("responses", 1000)
		reader := read.Hold(0, func() { t.Error("the reader was evicted") })
		if err := reader.Take(400); err != nil {
			t.Fatal(err)
		}
		held := reader.Detach()
		reader.Release()
		if err := read.Hold(0, func() {}).Take(700); !errors.Is(err, ErrExhausted) || held.Evicted() {
			t.Errorf("got %v, evicted %t, want a passed message to stay", err, held.Evicted())
		}
		held.MoveTo(responses)
		if read.Used() != 0 || responses.Used() != 400 || b.Used() != 400 {
			t.Errorf("read %d, responses %d, all %d bytes, want 0, 400 and 400", read.Used(), responses.Used(), b.Used())
		}
		evicted := false
		held.Unpin(func() { evicted = true })
		time.Sleep(time.Second)
		if err := responses.Hold(0, func() {}).Take(700); err != nil || !evicted {
			t.Errorf("got %v, evicted %t, want the waiting message to give way", err, evicted)
		}
		held.Release()
		if got := responses.Used(); got != 700 {
			t.Errorf("%d bytes are held, want 700", got)
		}
	})
}

// Evicted messages stay in memory until their users notice. Guards against a budget that admits others meanwhile without bound,
// and against one that waits for a user who never releases.
func TestTakeWaitsForEvictedMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(1000)
		old := b.Hold(0, func() {})
		if err := old.Take(900); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		const delay = 30 * time.Millisecond
		time.AfterFunc(delay, old.Release)
		start := time.Now()
		next := b.Hold(0, func() {})
		if err := next.Take(800); err != nil || time.Since(start) != delay {
			t.Errorf("got %v after %v, want no error once the evicted message was released after %v", err, time.Since(start), delay)
		}
		time.Sleep(time.Second)
		start = time.Now()
		last := b.Hold(0, func() {})
		if err := last.Take(700); err != nil || time.Since(start) != releaseTimeout {
			t.Errorf("got %v after %v, want no error after %v", err, time.Since(start), releaseTimeout)
		}
	})
}

// Two messages wait for a third one that was evicted, and one of them is evicted meanwhile. Guards against messages that wait for
// each other.
func TestEvictedMessageStopsWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(1000)
		old, waiting, next := b.Hold(0, func() {}), b.Hold(0, func() {}), b.Hold(0, func() {})
		if err := old.Take(900); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		start := time.Now()
		done := make(chan struct{})
		go func() {
			defer close(done)
			if err := waiting.Take(600); !errors.Is(err, ErrExhausted) || time.Since(start) != releaseTimeout/2 {
				t.Errorf("got %v after %v, want %v when the message is evicted", err, time.Since(start), ErrExhausted)
			}
			waiting.Release()
			old.Release()
		}()
		time.Sleep(releaseTimeout / 2)
		if err := next.Take(500); err != nil || time.Since(start) != releaseTimeout/2 {
			t.Errorf("got %v after %v, want no error once all evicted messages are released", err, time.Since(start))
		}
		<-done
	})
}
