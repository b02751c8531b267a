package upstream

import (
	"net"

	"celerybank/internal/membudget"
)

// meteredReader reads from a connection and takes memory for the response that it reads.
type meteredReader struct {
	conn net.Conn
	held *membudget.Holder
}

func (r *meteredReader) Read(b []byte) (int, error) {
	n, err := r.conn.Read(b)
	if n <= 0 {
		return n, err
	}
	if err := r.held.Take(int64(n)); err != nil {
		return 0, err
	}
	return n, err
}
