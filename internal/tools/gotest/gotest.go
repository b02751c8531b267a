// Package gotest parses the output of go test -json.
package gotest

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
)

// Event is one line of the output of go test -json, see go doc test2json.
type Event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// Result is the outcome of a test run.
type Result struct {
	// Passed, Failed and Skipped hold names in the format of Name. A package that does not build or
	// fails outside a test counts as a failed test with an empty test name.
	Passed, Failed, Skipped map[string]bool
}

// Module is the prefix of import paths that Name removes.
const Module = "celerybank/"

// Name returns the package path below the module and the test name, separated by a space.
func Name(pkg, test string) string { return strings.TrimPrefix(pkg, Module) + " " + test }

// maxLineBytes bounds one event; a test may print a long line.
const maxLineBytes = 16 << 20

// Read reads events until the end of r. It passes to print the text that go test would show: the
// results of packages, the output of failed tests, and lines that are not events.
func Read(r io.Reader, print func(string)) Result {
	res := Result{map[string]bool{}, map[string]bool{}, map[string]bool{}}
	pending := map[string][]string{}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var e Event
		if json.Unmarshal(lines.Bytes(), &e) != nil || e.Action == "" {
			print(lines.Text() + "\n")
			continue
		}
		res.apply(e, pending, print)
	}
	return res
}

// apply records one event. pending holds the output of tests that have not passed or failed.
func (res Result) apply(e Event, pending map[string][]string, print func(string)) {
	name := Name(e.Package, e.Test)
	switch e.Action {
	case "output", "build-output":
		if e.Test == "" {
			if e.Output != "PASS\n" && !strings.Contains(e.Output, "[no test files]") {
				print(e.Output)
			}
			return
		}
		pending[name] = append(pending[name], e.Output)
	case "pass":
		if e.Test != "" {
			res.Passed[name] = true
		}
		delete(pending, name)
	case "skip":
		if e.Test != "" {
			res.Skipped[name] = true
		}
	case "fail":
		res.Failed[name] = true
		for _, line := range pending[name] {
			print(line)
		}
		delete(pending, name)
	}
}
