package operator

import (
	"strings"
	"testing"
)

func TestTraceSortsLinesOfOneRequest(t *testing.T) {
	one := `12.5 node-1 {"event":532,"msg":"call-retried","node":"n1","request":"r7","reason":"peer-lost","time":"2026-12-04T08:00:00.500Z"}
not JSON at all, but r7
{"event":530,"msg":"call-refused","node":"n1","request":"r77","time":"2026-12-04T08:00:00.400Z"}
`
	two := `{"event":530,"msg":"call-refused","node":"n2","request":"r7.c1","reason":"upstream-full","time":"2026-12-04T08:00:00.200Z"}
{"event":531,"msg":"call-failed","node":"n2","request":"r7","reason":"deadline","time":"2026-12-04T08:00:01Z"}
`
	lines, err := Trace("r7", strings.NewReader(one), strings.NewReader(two))
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, l := range lines {
		names = append(names, l.Name)
	}
	if got := strings.Join(names, " "); got != "call-refused call-retried call-failed" {
		t.Errorf("got events %s, want those of r7 and its child request in order of time", got)
	}
	var b strings.Builder
	if err := WriteTrace(&b, lines); err != nil || !strings.Contains(b.String(), "reason=deadline") || !strings.Contains(b.String(), "verdict") {
		t.Errorf("got error %v and this text, want the fields and the meaning of each event:\n%s", err, b.String())
	}
}
