package events

import (
	"fmt"
	"os"
	"sort"
	"strings"
	"testing"
)

func catalogueMarkdown() string {
	codes := make([]int, 0, len(Catalogue))
	for c := range Catalogue {
		codes = append(codes, int(c))
	}
	sort.Ints(codes)
	var b strings.Builder
	b.WriteString("# Events\n\nEvery log line of a process carries one of these numbers in its field `event`.\n`UPDATE_DOCS=1 go test ./internal/events` rewrites this page from the code.\n\n| event | name | level | meaning |\n|---|---|---|---|\n")
	for _, c := range codes {
		d := Catalogue[Code(c)]
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", c, d.Name, d.Level, d.Meaning)
	}
	return b.String()
}

func TestCatalogueMatchesDocs(t *testing.T) {
	const page = "../../docs/EVENTS.md"
	want := catalogueMarkdown()
	if os.Getenv("UPDATE_DOCS") != "" {
		if err := os.WriteFile(page, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != want {
		t.Fatal("docs/EVENTS.md differs from the catalogue; run UPDATE_DOCS=1 go test ./internal/events")
	}
}

func TestCatalogueNamesAreUnique(t *testing.T) {
	seen := map[string]Code{}
	for c, d := range Catalogue {
		if d.Name == "" || d.Meaning == "" {
			t.Errorf("event %d has no name or no meaning", c)
		}
		if other, ok := seen[d.Name]; ok {
			t.Errorf("events %d and %d have the same name %s", c, other, d.Name)
		}
		seen[d.Name] = c
	}
}

func TestRecorderKeepsLatestEvents(t *testing.T) {
	r := New("n1", "z1", nil)
	for range ringSize + 10 {
		r.Emit(Started, nil)
	}
	got := r.Since(0)
	if len(got) != ringSize || got[0].Seq != 11 || got[len(got)-1].Seq != ringSize+10 {
		t.Fatalf("got %d events, %d to %d; want %d, 11 to %d", len(got), got[0].Seq, got[len(got)-1].Seq, ringSize, ringSize+10)
	}
}
