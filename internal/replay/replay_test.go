package replay

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func loadTrace(t *testing.T, file string) ([]Line, []Expectation) {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	trace, err := ParseTrace(text)
	if err != nil {
		t.Fatal(err)
	}
	if text, err = os.ReadFile(strings.TrimSuffix(file, ".jsonl") + ".expect.json"); err != nil {
		t.Fatal(err)
	}
	wants, err := ParseExpectations(text)
	if err != nil {
		t.Fatal(err)
	}
	return trace, wants
}

// Every trace in traces must meet its expectations, and a wrong expected decision must be
// reported as a difference.
func TestTracesMatchExpectations(t *testing.T) {
	files, err := filepath.Glob("../../traces/*.jsonl")
	if err != nil || len(files) == 0 {
		t.Fatalf("no traces in ../../traces: %v", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			trace, wants := loadTrace(t, file)
			differences, err := Run(trace, wants)
			if err != nil {
				t.Fatal(err)
			}
			for _, d := range differences {
				t.Error(d)
			}
			for _, w := range wants {
				if w.Decision == "" {
					continue
				}
				w.Decision = "something else"
				if differences, err = Run(trace, []Expectation{w}); err != nil || len(differences) != 1 {
					t.Errorf("line %d with a wrong expected decision: got differences %v, error %v; want one difference", w.Line, differences, err)
				}
			}
		})
	}
}
