package significance

import "testing"

func TestFisher(t *testing.T) {
	for _, c := range []struct {
		k, n, oldK, oldN uint64
		want             float64
	}{
		// Fisher's lady tasting tea: three or more of four right by chance in 17 of 70 cases.
		{3, 4, 1, 4, 17.0 / 70},
		{4, 4, 0, 4, 1.0 / 70},
		{0, 4, 0, 4, 1},
		{2, 2, 0, 2, 1.0 / 6},
	} {
		if p := Fisher(c.k, c.n, c.oldK, c.oldN); p < c.want*0.999 || p > c.want*1.001 {
			t.Errorf("Fisher(%d of %d, %d of %d) = %g, want %g", c.k, c.n, c.oldK, c.oldN, p, c.want)
		}
	}
}

// A growing window is tested again and again. All tests together reject a version that is as good as the old one hardly
// more often than the total.
func TestLevelsSumUpToTheTotal(t *testing.T) {
	const total = 0.01
	sum, stage := 0.0, -1.0
	for n := uint64(1); n < 1_000_000; n++ {
		if l := Level(total, n); l != stage {
			stage = l
			sum += l
		}
	}
	if sum > total {
		t.Errorf("the levels of the stages sum up to %v, want at most %v", sum, total)
	}
}
