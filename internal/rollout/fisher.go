package rollout

import "math"

// fisher returns the one-sided p-value of Fisher's exact test (R. A. Fisher 1922): the probability
// of at least k bad requests among n of the new version, if both versions have the same
// probability of a bad request and oldK of oldN requests of the old version were bad.
func fisher(k, n, oldK, oldN uint64) float64 {
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
