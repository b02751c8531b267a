// Command testreport reads the output of go test -json from standard input and prints each failed
// test and the totals. It exits with 1 if a test failed that KNOWN-RED.txt does not list, or if no
// test passed. Failed tests that are listed are printed as KNOWN RED.
package main

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"celerybank/internal/tools/gotest"
)

// knownFile lists tests that fail for a known fault which is not fixed yet. A line that starts with
// "test: " has the package path below the module and the test name.
const knownFile = "KNOWN-RED.txt"

func main() {
	known, err := readKnown()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	res := gotest.Read(os.Stdin, func(s string) { fmt.Print(s) })
	unknown := 0
	for _, name := range sorted(res.Failed) {
		switch {
		case isKnown(known, name), isParent(res.Failed, known, name):
			fmt.Printf("KNOWN RED %s\n", name)
		default:
			fmt.Printf("FAILED %s\n", name)
			unknown++
		}
	}
	fmt.Printf("%d passed, %d failed, %d skipped\n", len(res.Passed), unknown, len(res.Skipped))
	if unknown > 0 || len(res.Passed) == 0 {
		os.Exit(1)
	}
}

// readKnown returns the test names in knownFile.
func readKnown() ([]string, error) {
	text, err := os.ReadFile(knownFile)
	if err != nil {
		return nil, err
	}
	var names []string
	for line := range strings.Lines(string(text)) {
		if name, ok := strings.CutPrefix(strings.TrimSpace(line), "test: "); ok {
			names = append(names, name)
		}
	}
	return names, nil
}

// isKnown reports whether name is a listed test or a subtest of one.
func isKnown(known []string, name string) bool {
	return slices.ContainsFunc(known, func(k string) bool { return name == k || strings.HasPrefix(name, k+"/") })
}

// isParent reports whether name failed only because of known failures below it: name is a test with
// failed subtests or a package with failed tests, and all of these are known.
func isParent(failed map[string]bool, known []string, name string) bool {
	prefix := name + "/"
	if strings.HasSuffix(name, " ") {
		prefix = name
	}
	below := 0
	for other := range failed {
		if other == name || !strings.HasPrefix(other, prefix) {
			continue
		}
		below++
		if !isKnown(known, other) && !isParent(failed, known, other) {
			return false
		}
	}
	return below > 0
}

// sorted returns the names in set in ascending order.
func sorted(set map[string]bool) []string {
	var out []string
	for name := range set {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}
