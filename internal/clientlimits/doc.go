// Package clientlimits tests that a node stays within its memory and descriptor limits whatever its clients do. The tests run
// celerysidecar as separate processes on loopback addresses, with the limits of a small host in their settings, against crowds of
// clients that send and read as no ordinary caller does.
package clientlimits
