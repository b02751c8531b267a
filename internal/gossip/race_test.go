//go:build race

package gossip

// largeMesh is smaller with the race detector, whose runtime fails ("tsan_rtl.cpp: CHECK
// failed") with several thousand goroutines. CI also runs the tests at full size without
// the race detector.
const largeMesh = 80
