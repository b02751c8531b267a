// Package tools checks what the pages say against the code.
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

var metricName = regexp.MustCompile(`^celerybank_[a-z0-9_]+`)

// metricsOfCode returns the names of metrics in the string literals of the programs.
func metricsOfCode(t *testing.T) map[string]string {
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
						if name := metricName.FindString(text); name != "" {
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

func TestMetricsPageMatchesTheCode(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs/METRICS.md"))
	if err != nil {
		t.Fatal(err)
	}
	documented := map[string]bool{}
	for _, m := range regexp.MustCompile("`(celerybank_[a-z0-9_]+)`").FindAllStringSubmatch(string(page), -1) {
		documented[m[1]] = true
	}
	code := metricsOfCode(t)
	if len(code) < 20 {
		t.Fatalf("found %d metrics in the code; the search is broken", len(code))
	}
	for name, path := range code {
		if !documented[name] {
			t.Errorf("%s in %s is not in docs/METRICS.md", name, path)
		}
	}
	for name := range documented {
		if _, ok := code[name]; !ok {
			t.Errorf("docs/METRICS.md has %s, which no program has", name)
		}
	}
}
