package operator

import (
	"testing"

	"celerybank/internal/standin/rawhttp"
)

// A node, or what stands before it, writes malformed heads. An operator's order must not count as accepted, nor a status as read.
func TestMalformedResponsesOfANode(t *testing.T) {
	for fault, text := range rawhttp.Malformed("", `{}`) {
		addr := rawhttp.Serve(t, text)
		if err := Get(addr, "/v1/status", &struct{}{}); err == nil {
			t.Errorf("status, %s: got no error", fault)
		}
		if _, err := NewNodeClient([]string{addr}).OrderZone("a", true); err == nil {
			t.Errorf("order, %s: got no error", fault)
		}
	}
}
