package rollout

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

func TestHistogramTravels(t *testing.T) {
	for _, h := range []Histogram{{}, {0, 0, 3, 0, 70000}, make(Histogram, latencyBuckets)} {
		text, err := msgpack.Marshal(Counts{Total: 7, Latency: h})
		if err != nil {
			t.Fatal(err)
		}
		var back Counts
		if err := msgpack.Unmarshal(text, &back); err != nil || back.Total != 7 || !slices.Equal(back.Latency, h) {
			t.Errorf("%v came back as %v, %v", h, back, err)
		}
	}
	for _, raw := range [][]byte{{}, {200}, {0, 0x80}, append(make([]byte, 1), make([]byte, latencyBuckets+1)...)} {
		text, _ := msgpack.Marshal(raw)
		var h Histogram
		if msgpack.Unmarshal(text, &h) == nil {
			t.Errorf("%v was taken", raw)
		}
	}
}

// simulate feeds assess a move of steps seconds at one share, one look each second as
// a judge has it, and returns the look at which the version was found bad; 0 when never.
func simulate(rng *rand.Rand, rate, share, oldRatio, newRatio float64, steps int) int {
	var oldC, newC [windows]Counts
	type second struct{ o, n Counts }
	var seconds []second
	oldC[windowHistory] = draw(rng, rate*600, oldRatio)
	for look := 1; look <= steps; look++ {
		s := second{draw(rng, rate*(1-share), oldRatio), draw(rng, rate*share, newRatio)}
		seconds = append(seconds, s)
		for _, w := range []int{windowStep, windowMove, windowHistory} {
			oldC[w].Add(s.o)
			newC[w].Add(s.n)
		}
		oldC[windowRecent], newC[windowRecent] = Counts{}, Counts{}
		for _, s := range seconds[max(0, len(seconds)-8):] {
			oldC[windowRecent].Add(s.o)
			newC[windowRecent].Add(s.n)
		}
		if assess(tally{"r": &oldC}, tally{"r": &newC}).bad {
			return look
		}
	}
	return 0
}

// draw counts about mean requests of which ratio fail.
func draw(rng *rand.Rand, mean, ratio float64) (c Counts) {
	for at := rng.ExpFloat64(); at < mean; at += rng.ExpFloat64() {
		c.Total++
		if rng.Float64() < ratio {
			c.Failed++
		}
	}
	return c
}

// The chance that a good version is found bad in 120 looks stays under one in a hundred,
// at any error ratio that both versions share.
func TestFalsePositiveRate(t *testing.T) {
	t.Parallel()
	const trials, looks = 150, 120
	for _, rate := range []float64{2, 50, 400} {
		for _, ratio := range []float64{0, 0.001, 0.01, 0.05, 0.3} {
			rng := rand.New(rand.NewPCG(uint64(rate), uint64(ratio*1000)))
			bad := 0
			for i := range trials {
				if simulate(rng, rate, []float64{0.02, 0.25, 0.5}[i%3], ratio, ratio, looks) > 0 {
					bad++
				}
			}
			t.Logf("%3.0f calls/s, error ratio %.1f%%: %d of %d good versions found bad", rate, 100*ratio, bad, trials)
			if bad > trials/100 {
				t.Errorf("more than one in a hundred")
			}
		}
	}
}

// A bad version is found: how many looks it takes, and that none is missed.
func TestPower(t *testing.T) {
	t.Parallel()
	const trials, looks = 100, 120
	for _, c := range []struct{ rate, oldRatio, newRatio float64 }{{50, 0, 1}, {50, 0, 0.3}, {50, 0.01, 0.3}, {400, 0, 0.05}, {400, 0.01, 0.05}} {
		rng := rand.New(rand.NewPCG(9, 9))
		missed, sum, worst := 0, 0, 0
		for range trials {
			look := simulate(rng, c.rate, 0.05, c.oldRatio, c.newRatio, looks)
			if look == 0 {
				missed++
			}
			sum, worst = sum+look, max(worst, look)
		}
		t.Logf("%3.0f calls/s at 5%% share, old %.0f%%, new %.0f%%: missed %d of %d, found after %.1f s on average, %d s at worst",
			c.rate, 100*c.oldRatio, 100*c.newRatio, missed, trials, float64(sum)/float64(max(1, trials-missed)), worst)
		if missed > 0 {
			t.Errorf("missed %d", missed)
		}
	}
}

func TestFisher(t *testing.T) {
	for _, c := range []struct {
		k, n, oldK, oldN uint64
		want             float64
	}{
		// Fisher's tea: three of four right by chance in 17 of 70 cases.
		{3, 4, 1, 4, 17.0 / 70},
		{4, 4, 0, 4, 1.0 / 70},
		{0, 4, 0, 4, 1},
		{2, 2, 0, 2, 1.0 / 6},
	} {
		if p := fisher(c.k, c.n, c.oldK, c.oldN); p < c.want*0.999 || p > c.want*1.001 {
			t.Errorf("fisher(%d of %d, %d of %d) = %g, want %g", c.k, c.n, c.oldK, c.oldN, p, c.want)
		}
	}
}
