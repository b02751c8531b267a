// Package tools tests that the documentation agrees with the code.
package tools

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

const root = "../.."

var metricPattern = regexp.MustCompile(`^celerybank_[a-z0-9_]+`)

// metricsInCode returns the metric names in string literals outside tests, each with a file that
// has it.
func metricsInCode(t *testing.T) map[string]string {
	t.Helper()
	names := map[string]string{}
	for _, dir := range []string{"cmd", "internal", "platform"} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			ast.Inspect(file, func(n ast.Node) bool {
				if lit, ok := n.(*ast.BasicLit); ok && lit.Kind == token.STRING {
					if text, err := strconv.Unquote(lit.Value); err == nil {
						if name := metricPattern.FindString(text); name != "" {
							names[name] = path
						}
					}
				}
				return true
			})
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return names
}

// minMetrics guards against a search that finds too few metrics in the code, for which the
// comparison would check next to nothing.
const minMetrics = 20

func TestMetricsPageMatchesTheCode(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs/METRICS.md"))
	if err != nil {
		t.Fatal(err)
	}
	documented := map[string]bool{}
	for _, m := range regexp.MustCompile("`(celerybank_[a-z0-9_]+)`").FindAllStringSubmatch(string(page), -1) {
		documented[m[1]] = true
	}
	code := metricsInCode(t)
	if len(code) < minMetrics {
		t.Fatalf("found %d metrics in the code, want at least %d; the search misses some", len(code), minMetrics)
	}
	for name, path := range code {
		if !documented[name] {
			t.Errorf("metric %s in %s is missing from docs/METRICS.md", name, path)
		}
	}
	for name := range documented {
		if _, ok := code[name]; !ok {
			t.Errorf("metric %s in docs/METRICS.md is not in the code", name)
		}
	}
}
