package proxy

import (
	"strconv"
	"strings"
)

// HopHeader is sent with a request to the upstream. The upstream copies it to the child
// requests that it sends on behalf of that request, like a trace header.
const HopHeader = "X-Celerybank-Hop"

// maxDepth bounds how deep requests may nest; the deepest chains of services are half as deep.
const maxDepth = 16

// retrySuffix follows the depth in the header when the request or one of its ancestors is a retry.
const retrySuffix = ";retry"

// Hop is the position of a request in a chain of child requests.
type Hop struct {
	_msgpack struct{} `msgpack:",as_array"` //lint:ignore U1000 the codec reads the tag

	// Depth is the number of ancestors of the request.
	Depth int `msgpack:"d"`
	// Retry is set when the request or one of its ancestors is a retry: its child requests are then
	// sent to an upstream once at most, so that retries do not multiply.
	Retry bool `msgpack:"r"`
}

// String returns the header value for the upstream of a request at h.
func (h Hop) String() string {
	if h.Retry {
		return strconv.Itoa(h.Depth) + retrySuffix
	}
	return strconv.Itoa(h.Depth)
}

// parseHop returns the position of a request whose caller sent s, the header value of its parent
// request. An empty s is the start of a chain. It returns false when s is malformed or too deep.
func parseHop(s string) (Hop, bool) {
	if s == "" {
		return Hop{}, true
	}
	digits, retry := strings.CutSuffix(s, retrySuffix)
	depth, err := strconv.Atoi(digits)
	if err != nil || depth < 0 || depth > maxDepth {
		return Hop{}, false
	}
	return Hop{Depth: depth + 1, Retry: retry}, true
}
