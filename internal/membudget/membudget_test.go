package membudget

import (
	"math/rand/v2"
	"testing"

	"github.com/go-faster/errors"
)

// Endless messages fill the memory. A small message must still be read, and the largest one gives way to it.
func TestLargestMessageGivesWay(t *testing.T) {
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

// Whatever many messages take, pin and release, the memory in use stays within the limit, and returns.
func TestBudgetIsNeverExceeded(t *testing.T) {
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
