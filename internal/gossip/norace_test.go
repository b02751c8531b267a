//go:build !race

package gossip

// largeMesh is the number of members in the larger tests.
const largeMesh = 200
