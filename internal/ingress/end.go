package ingress

import (
	"io"
	"net"
	"syscall"

	"github.com/go-faster/errors"
)

// isEnd reports whether a read failed because the connection has ended.
func isEnd(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
