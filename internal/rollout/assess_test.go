package rollout

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

func TestHistogramRoundTrip(t *testing.T) {
	for _, h := range []Histogram{{}, {0, 0, 3, 0, 70000}, make(Histogram, latencyBuckets)} {
		text, err := msgpack.Marshal(Counts{Total: 7, Latency: h})
		if err != nil {
			t.Fatal(err)
		}
		var got Counts
		if err := msgpack.Unmarshal(text, &got); err != nil || got.Total != 7 || !slices.Equal(got.Latency, h) {
			t.Errorf("round trip of %v: got %v, error %v", h, got, err)
		}
	}
	for _, raw := range [][]byte{{}, {200}, {0, 0x80}, append(make([]byte, 1), make([]byte, latencyBuckets+1)...)} {
		text, _ := msgpack.Marshal(raw)
		var h Histogram
		if msgpack.Unmarshal(text, &h) == nil {
			t.Errorf("malformed histogram %v was decoded", raw)
		}
	}
}

// simulate runs a rollout of seconds at one share and calls assess every second, as a coordinator
// does. It returns the number of the check that found the version bad; 0 if none did.
func simulate(rng *rand.Rand, rate, share, oldRatio, newRatio float64, seconds int) int {
	var oldC, newC [windows]Counts
	type second struct{ o, n Counts }
	var history []second
	oldC[windowHistory] = draw(rng, rate*600, oldRatio)
	for check := 1; check <= seconds; check++ {
		s := second{draw(rng, rate*(1-share), oldRatio), draw(rng, rate*share, newRatio)}
		history = append(history, s)
		for _, w := range []int{windowStep, windowRollout, windowHistory} {
			oldC[w].Add(s.o)
			newC[w].Add(s.n)
		}
		oldC[windowRecent], newC[windowRecent] = Counts{}, Counts{}
		for _, s := range history[max(0, len(history)-8):] {
			oldC[windowRecent].Add(s.o)
			newC[windowRecent].Add(s.n)
		}
		if assess(tally{"r": &oldC}, tally{"r": &newC}).bad {
			return check
		}
	}
	return 0
}

// draw returns the counts of a Poisson-distributed number of requests with the given mean, of which
// ratio fail.
func draw(rng *rand.Rand, mean, ratio float64) (c Counts) {
	for at := rng.ExpFloat64(); at < mean; at += rng.ExpFloat64() {
		c.Total++
		if rng.Float64() < ratio {
			c.Failed++
		}
	}
	return c
}

// The probability that a healthy version is found bad within 120 checks must be at most 1 in 100,
// at any failure ratio that both versions have in common.
func TestFalsePositiveRate(t *testing.T) {
	t.Parallel()
	const trials, checks = 150, 120
	for _, rate := range []float64{2, 50, 400} {
		for _, ratio := range []float64{0, 0.001, 0.01, 0.05, 0.3} {
			rng := rand.New(rand.NewPCG(uint64(rate), uint64(ratio*1000)))
			bad := 0
			for i := range trials {
				if simulate(rng, rate, []float64{0.02, 0.25, 0.5}[i%3], ratio, ratio, checks) > 0 {
					bad++
				}
			}
			t.Logf("%3.0f requests/s, failure ratio %.1f%%: %d of %d healthy versions found bad", rate, 100*ratio, bad, trials)
			if bad > trials/100 {
				t.Errorf("%d of %d healthy versions found bad, want at most %d", bad, trials, trials/100)
			}
		}
	}
}

// Every faulty version must be found bad within 120 checks. Logs how many checks it takes.
func TestPower(t *testing.T) {
	t.Parallel()
	const trials, checks = 100, 120
	for _, c := range []struct{ rate, oldRatio, newRatio float64 }{{50, 0, 1}, {50, 0, 0.3}, {50, 0.01, 0.3}, {400, 0, 0.05}, {400, 0.01, 0.05}} {
		rng := rand.New(rand.NewPCG(9, 9))
		missed, sum, worst := 0, 0, 0
		for range trials {
			check := simulate(rng, c.rate, 0.05, c.oldRatio, c.newRatio, checks)
			if check == 0 {
				missed++
			}
			sum, worst = sum+check, max(worst, check)
		}
		t.Logf("%3.0f requests/s at 5%% share, failures of old version %.0f%%, new %.0f%%: missed %d of %d, found after %.1f s on average, %d s at worst",
			c.rate, 100*c.oldRatio, 100*c.newRatio, missed, trials, float64(sum)/float64(max(1, trials-missed)), worst)
		if missed > 0 {
			t.Errorf("missed %d of %d faulty versions, want 0", missed, trials)
		}
	}
}

// A dependency of both versions begins to fail. Among the first requests after that three of the new version failed and, by
// chance, none of the old one; compared with the history of the old version, this rolled the new one back.
func TestHistoryIsNoReferenceWhileTheOldVersionServes(t *testing.T) {
	counts := func(total, failed uint64) Counts { return Counts{Total: total, Failed: failed} }
	for _, c := range []struct {
		name     string
		old, new [windows]Counts
		want     bool
	}{
		{"first moments of a fault", [windows]Counts{counts(9, 0), counts(9, 0), counts(1000, 0), counts(4009, 0)},
			[windows]Counts{counts(4, 3), counts(4, 3), counts(120, 3), counts(120, 3)}, false},
		{"two seconds later, the old version is well", [windows]Counts{counts(180, 0), counts(180, 0), counts(1180, 0), counts(4189, 0)},
			[windows]Counts{counts(20, 10), counts(20, 10), counts(136, 10), counts(136, 10)}, true},
		{"the old version gets no requests any more", [windows]Counts{{}, {}, counts(1000, 0), counts(4009, 0)},
			[windows]Counts{counts(40, 12), counts(40, 12), counts(160, 12), counts(160, 12)}, true},
		{"a service with few requests", [windows]Counts{counts(2, 0), counts(8, 0), counts(8, 0), counts(3000, 0)},
			[windows]Counts{counts(3, 3), counts(5, 5), counts(5, 5), counts(5, 5)}, true},
	} {
		if f := assess(tally{"show": &c.old}, tally{"show": &c.new}); f.bad != c.want {
			t.Errorf("%s: got bad %v, %s; want %v", c.name, f.bad, f.text, c.want)
		}
	}
}
