package upstream

import (
	"net"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// ResponseMemory bounds the bytes of all responses that are being read. An upstream may send without end, on
// each of its connections at the same time.
type ResponseMemory struct {
	// Bytes is the maximum for all responses together.
	Bytes int64
	used  atomic.Int64
}

// errResponseMemory reports a response for which no memory is left.
var errResponseMemory = errors.New("responses being read exceed their memory")

// take takes n bytes and reports whether they were left.
func (m *ResponseMemory) take(n int64) bool { return m.used.Add(n) <= m.Bytes }

// meteredReader reads from a connection and takes memory for what it has read since the last release.
type meteredReader struct {
	conn   net.Conn
	memory *ResponseMemory
	taken  int64
}

func (r *meteredReader) Read(b []byte) (int, error) {
	n, err := r.conn.Read(b)
	if r.memory == nil || n <= 0 {
		return n, err
	}
	r.taken += int64(n)
	if !r.memory.take(int64(n)) {
		return 0, errResponseMemory
	}
	return n, err
}

// release returns the memory of the response that was read.
func (r *meteredReader) release() {
	if r.memory != nil {
		r.memory.used.Add(-r.taken)
	}
	r.taken = 0
}
