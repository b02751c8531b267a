// Package scenario tests the programs end to end. Its scripts, in testdata/scripts and in the
// language of testscript, run them as separate processes on loopback addresses, inject faults and
// check the outcome. docs/CONTRIBUTING.md lists the commands of the scripts.
package scenario
