package load

import (
	"context"
	"testing"
	"time"

	"celerybank/internal/standin/rawhttp"
)

// The mesh writes malformed heads. The load tool must not count what it makes of them as responses.
func TestMalformedResponsesCountAsMissing(t *testing.T) {
	for fault, text := range rawhttp.Malformed("", `{"Service":"stock","Path":"/stock/1","Echo":"p0-0"}`) {
		report := Run(context.Background(), Config{Targets: []string{rawhttp.Serve(t, text)}, Rate: 100, Duration: 50 * time.Millisecond, Timeout: time.Second,
			Mix: []RequestKind{{Service: "stock", Method: "GET", Path: "/stock/1", Weight: 1}}, Prefix: "p"})
		if report.Requests == 0 || report.Missing != report.Requests {
			t.Errorf("%s: %d of %d responses count as missing, want all", fault, report.Missing, report.Requests)
		}
	}
}
