package operator

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"celerybank/internal/events"
)

// TraceLine is one log line about a request.
type TraceLine struct {
	Time time.Time `json:"time"`
	Node string    `json:"node"`
	// Name is the name of the event and Meaning its description in events.Catalogue.
	Name    string         `json:"name"`
	Meaning string         `json:"meaning"`
	Fields  map[string]any `json:"fields"`
}

// maxLogLineBytes limits the length of a log line.
const maxLogLineBytes = 1 << 20

// commonFields are the fields that every log line has; TraceLine.Fields omits them.
var commonFields = map[string]bool{"time": true, "node": true, "zone": true, "level": true, "msg": true, "event": true}

// Trace returns the log lines about a request and its child requests from the logs of several
// processes, sorted by time and then by node. Lines that are not JSON are skipped; one that is longer
// than maxLogLineBytes is an error.
func Trace(requestID string, logs ...io.Reader) ([]TraceLine, error) {
	var out []TraceLine
	for _, log := range logs {
		lines := bufio.NewScanner(log)
		lines.Buffer(make([]byte, 0, 64<<10), maxLogLineBytes)
		for lines.Scan() {
			if l, ok := parseLine(requestID, lines.Bytes()); ok {
				out = append(out, l)
			}
		}
		if err := lines.Err(); err != nil {
			return nil, errors.Wrap(err, "log")
		}
	}
	slices.SortStableFunc(out, func(a, b TraceLine) int { return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Node, b.Node)) })
	return out, nil
}

// parseLine decodes a log line and reports whether it is about the request or one of its child
// requests. It ignores text before the JSON, such as the prefix of a log collector.
func parseLine(requestID string, line []byte) (TraceLine, bool) {
	text := string(line)
	if i := strings.IndexByte(text, '{'); i >= 0 {
		text = text[i:]
	}
	var fields map[string]any
	if !strings.Contains(text, requestID) || json.Unmarshal([]byte(text), &fields) != nil {
		return TraceLine{}, false
	}
	id, _ := fields["request"].(string)
	if id != requestID && !strings.HasPrefix(id, requestID+".") {
		return TraceLine{}, false
	}
	l := TraceLine{Fields: map[string]any{}}
	l.Name, _ = fields["msg"].(string)
	l.Node, _ = fields["node"].(string)
	if code, ok := fields["event"].(float64); ok {
		l.Meaning = events.Catalogue[events.Code(code)].Meaning
	}
	if at, ok := fields["time"].(string); ok {
		l.Time, _ = time.Parse(time.RFC3339Nano, at) // a line without a valid time sorts first
	}
	for k, v := range fields {
		if !commonFields[k] {
			l.Fields[k] = v
		}
	}
	return l, true
}

// WriteTrace writes lines as text, each followed by the meaning of its event.
func WriteTrace(w io.Writer, lines []TraceLine) error {
	for _, l := range lines {
		keys := make([]string, 0, len(l.Fields))
		for k := range l.Fields {
			keys = append(keys, k)
		}
		slices.Sort(keys)
		var b strings.Builder
		fmt.Fprintf(&b, "%s %s %s:", l.Time.Format("15:04:05.000"), l.Node, l.Name)
		for _, k := range keys {
			fmt.Fprintf(&b, " %s=%v", k, l.Fields[k])
		}
		fmt.Fprintf(&b, "\n    %s\n", l.Meaning)
		if _, err := io.WriteString(w, b.String()); err != nil {
			return err
		}
	}
	return nil
}
