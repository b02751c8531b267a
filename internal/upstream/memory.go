package upstream

import (
	"net"

	"celerybank/internal/membudget"
)

// meteredReader reads from a connection and takes memory for the response that it reads.
type meteredReader struct {
	conn net.Conn
	held *membudget.Holder
	// reserved is the number of bytes to come whose memory is taken already.
	reserved int64
	// unknownLength is set for a body whose buffer grows as it is read.
	unknownLength bool
}

// growthFactor is the most that a buffer that grows occupies for each byte in it.
const growthFactor = 2

// reserve takes the memory of a body of n bytes, of which some have been read already, before it is allocated. n is negative if
// the length is not known.
func (r *meteredReader) reserve(n, read int) error {
	r.unknownLength = n < 0
	missing := int64(n - read)
	if missing <= 0 || r.held == nil {
		return nil
	}
	r.reserved = missing
	return r.held.Take(missing)
}

func (r *meteredReader) Read(b []byte) (int, error) {
	n, err := r.conn.Read(b)
	if n <= 0 {
		return n, err
	}
	paid := min(int64(n), r.reserved)
	r.reserved -= paid
	due := int64(n) - paid
	if r.unknownLength {
		due *= growthFactor
	}
	if err := r.held.Take(due); err != nil {
		return 0, err
	}
	if paid > 0 {
		r.held.Progress()
	}
	return n, err
}

// release returns the memory of the response.
func (r *meteredReader) release() {
	r.reserved, r.unknownLength = 0, false
	r.held.Release()
}
