// Command promises runs the tests that docs/PROMISES.md lists for each of the twelve promises to the
// users. It prints a line per promise: proved if all its tests passed, red if one failed, and
// not-proved if one was skipped or not run or if none is listed. It exits with 1 if a promise is red.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strings"

	"celerybank/internal/tools/gotest"
)

const (
	page     = "docs/PROMISES.md"
	promises = 12
)

// heading matches the first line of a promise's section, proof a line that names a test.
var (
	heading = regexp.MustCompile(`^## (\d+)\. `)
	proof   = regexp.MustCompile("^- `([^ `]+) ([^`]+)`")
)

func main() {
	text, err := os.ReadFile(page)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	proofs := parse(string(text))
	res := runTests(proofs)
	red := false
	for n := 1; n <= promises; n++ {
		result := outcome(proofs[n], res)
		red = red || result == "red"
		fmt.Printf("PROMISE %d %s %s\n", n, result, strings.Join(proofs[n], ", "))
	}
	if red {
		os.Exit(1)
	}
}

// parse returns the test names ("package Test") in the page's text, by number of the promise.
func parse(text string) map[int][]string {
	out, current := map[int][]string{}, 0
	for line := range strings.Lines(text) {
		if m := heading.FindStringSubmatch(line); m != nil {
			_, _ = fmt.Sscan(m[1], &current) // heading matches digits only
		}
		if m := proof.FindStringSubmatch(line); m != nil && current > 0 {
			out[current] = append(out[current], m[1]+" "+m[2])
		}
	}
	return out
}

// runTests runs the tests of all promises with one run of go test per package. Subtests run with
// their top-level test.
func runTests(proofs map[int][]string) gotest.Result {
	byPackage := map[string][]string{}
	for _, names := range proofs {
		for _, name := range names {
			pkg, test, _ := strings.Cut(name, " ")
			top, _, _ := strings.Cut(test, "/")
			byPackage[pkg] = append(byPackage[pkg], "^"+regexp.QuoteMeta(top)+"$")
		}
	}
	all := gotest.Result{Passed: map[string]bool{}, Failed: map[string]bool{}, Skipped: map[string]bool{}}
	for pkg, tests := range byPackage {
		slices.Sort(tests)
		cmd := exec.Command("go", "test", "-json", "-count=1", "-run", strings.Join(slices.Compact(tests), "|"), "./"+pkg)
		cmd.Stderr = os.Stderr
		out, err := cmd.StdoutPipe()
		if err == nil {
			err = cmd.Start()
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		res := gotest.Read(out, func(s string) { fmt.Fprint(os.Stderr, s) })
		_ = cmd.Wait() // failed tests are reported as events
		for name := range res.Passed {
			all.Passed[name] = true
		}
		for name := range res.Failed {
			all.Failed[name] = true
		}
	}
	return all
}

// outcome returns proved, not-proved or red for a promise, from the results of its tests.
func outcome(names []string, res gotest.Result) string {
	if len(names) == 0 {
		return "not-proved"
	}
	result := "proved"
	for _, name := range names {
		switch {
		case res.Failed[name]:
			return "red"
		case !res.Passed[name]:
			result = "not-proved"
		}
	}
	return result
}
