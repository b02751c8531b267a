package upstream

import (
	"net"
	"os"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// isOpen reports whether an idle connection has neither been closed by the upstream nor received
// bytes, which would belong to no request.
func isOpen(c *clientConn) bool {
	if c.r.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return hasNoInput(c)
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = n < 0 && (err == syscall.EAGAIN || err == syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && open
}

// hasNoInput does the check of isOpen on a connection without a file descriptor, as in tests.
func hasNoInput(c *clientConn) bool {
	_ = c.SetReadDeadline(time.Now())
	_, err := c.r.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// unackedTimeout is how long bytes sent to the upstream may stay unacknowledged.
const unackedTimeout = time.Second

// tcpUserTimeout is TCP_USER_TIMEOUT (RFC 5482), which package syscall does not define.
const tcpUserTimeout = 0x12

// setUnackedTimeout makes the kernel close a connection whose other end no longer acknowledges. A slow
// upstream is not affected, since its kernel acknowledges.
func setUnackedTimeout(c net.Conn) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds())) // on failure the connection is closed at the deadline of the request
	})
}
