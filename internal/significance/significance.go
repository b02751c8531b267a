// Package significance has the statistical tests by which a new version is compared with the old one.
package significance

import "math"

// Fisher returns the one-sided p-value of Fisher's exact test (R. A. Fisher 1922): the probability
// of at least k bad requests among n of the new version, if both versions have the same
// probability of a bad request and oldK of oldN requests of the old version were bad.
func Fisher(k, n, oldK, oldN uint64) float64 {
	if k == 0 || n == 0 || oldN == 0 {
		return 1
	}
	bad, all := k+oldK, n+oldN
	p := math.Exp(logChoose(bad, k) + logChoose(all-bad, n-k) - logChoose(all, n))
	sum := p
	for i := k; i < min(n, bad); i++ {
		// The next term of the hypergeometric distribution follows from the previous one.
		p *= float64(bad-i) / float64(i+1) * float64(n-i) / float64(all-bad-n+i+1)
		sum += p
		if p < sum*1e-9 {
			break
		}
	}
	return min(sum, 1)
}

// logChoose returns the natural logarithm of the binomial coefficient of n over k.
func logChoose(n, k uint64) float64 {
	a, _ := math.Lgamma(float64(n) + 1)
	b, _ := math.Lgamma(float64(k) + 1)
	c, _ := math.Lgamma(float64(n-k) + 1)
	return a - b - c
}

// testGrowth is the growth of the number of requests at which a new stage of the tests of a growing window begins.
const testGrowth = 1.5

// Level returns the significance level of one test of a window that grows and is tested repeatedly, with n requests
// of the new version in it: each growth of n by testGrowth begins a new stage with its own level. The levels of all
// stages sum up to total, so that the probability of an error of all tests together stays near it (alpha spending,
// Lan and DeMets 1983).
func Level(total float64, n uint64) float64 {
	stage := math.Floor(math.Log(float64(n)) / math.Log(testGrowth))
	return total / ((stage + 1) * (stage + 2))
}
