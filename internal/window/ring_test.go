package window

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// eventLog is an exact implementation that stores the time of each event, so that its memory grows
// with the events of the longest span.
type eventLog struct {
	mu    sync.Mutex
	times []int64
}

func (l *eventLog) add(now time.Time, span time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.times = append(l.times, now.UnixNano())
	if oldest := now.Add(-span).UnixNano(); l.times[0] < oldest && len(l.times) > 1024 {
		i, _ := slices.BinarySearch(l.times, oldest)
		l.times = append(l.times[:0], l.times[i:]...)
	}
}

func (l *eventLog) count(now time.Time, span time.Duration) int {
	i, _ := slices.BinarySearch(l.times, now.Add(-span).UnixNano())
	return len(l.times) - i
}

// Guards the error bound of Sum: it counts all events of its span, and no event that is older than
// the span plus one interval.
func TestRingAgainstEventLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(1, 2))
		ring, log := NewRing(64, time.Second, 1), &eventLog{}
		worst, sum, n := 0.0, 0.0, 0
		for range 60000 {
			time.Sleep(time.Duration(rng.ExpFloat64() * float64(time.Second) / 190))
			ring.At(time.Now()).Add(0, 1)
			log.add(time.Now(), 64*time.Second)
			if rng.IntN(50) != 0 {
				continue
			}
			span := time.Duration(2+rng.IntN(60)) * time.Second
			out := []uint64{0}
			ring.Sum(time.Now(), span, out)
			exact, upper := log.count(time.Now(), span), log.count(time.Now(), span+time.Second)
			if int(out[0]) < exact || int(out[0]) > upper {
				t.Fatalf("sum over %v: got %d, want %d to %d", span, out[0], exact, upper)
			}
			relative := math.Abs(float64(out[0])-float64(exact)) / float64(max(exact, 1))
			worst, sum, n = max(worst, relative), sum+relative, n+1
		}
		t.Logf("count error: mean %.1f%%, worst %.1f%% over %d sums", 100*sum/float64(n), 100*worst, n)
	})
}

func TestRingDropsEventsAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ring := NewRing(8, time.Second, 2)
		ring.At(time.Now()).Add(1, 5)
		time.Sleep(8 * time.Second)
		out := make([]uint64, 2)
		ring.Sum(time.Now(), 7*time.Second, out)
		ring.At(time.Now()).Add(1, 1)
		ring.Sum(time.Now(), 7*time.Second, out)
		if out[1] != 1 {
			t.Fatalf("sum after a pause: got %d, want 1", out[1])
		}
	})
}

func BenchmarkAdd(b *testing.B) {
	b.Run("ring", func(b *testing.B) {
		ring := NewRing(64, time.Second, 28)
		b.ReportAllocs()
		for b.Loop() {
			ring.At(time.Now()).Add(0, 1)
		}
		b.ReportMetric(float64(64*(8+28*4)), "bytes/route")
	})
	b.Run("log", func(b *testing.B) {
		log := &eventLog{}
		b.ReportAllocs()
		for b.Loop() {
			log.add(time.Now(), 64*time.Second)
		}
		b.ReportMetric(float64(8*190*64), "bytes/route")
	})
}

func BenchmarkSum(b *testing.B) {
	for _, events := range []int{190, 1900, 12160} {
		log, now := &eventLog{}, time.Now()
		ring := NewRing(64, time.Second, 28)
		for i := range events {
			at := now.Add(time.Duration(i) * 64 * time.Second / time.Duration(events))
			log.add(at, time.Hour)
			ring.At(at).Add(0, 1)
		}
		end := now.Add(64 * time.Second)
		b.Run("ring", func(b *testing.B) {
			out := make([]uint64, 28)
			for b.Loop() {
				ring.Sum(end, 30*time.Second, out)
			}
		})
		b.Run("log", func(b *testing.B) {
			for b.Loop() {
				log.count(end, 30*time.Second)
			}
		})
	}
}
