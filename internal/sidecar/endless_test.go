package sidecar

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/go-faster/errors"

	"celerybank/internal/registry"
	"celerybank/platform"
	"celerybank/platform/counterpart"
)

// acknowledging acknowledges all announcements.
type acknowledging struct{}

func (acknowledging) Announce(registry.Announcement) bool { return true }
func (acknowledging) End(string, int64) bool              { return true }

// unreliableListener fails every other accept, as when the process is out of file descriptors.
type unreliableListener struct {
	net.Listener
	failed bool
}

func (l *unreliableListener) Accept() (net.Conn, error) {
	if l.failed = !l.failed; l.failed {
		return nil, errors.New("too many open files")
	}
	return l.Listener.Accept()
}

// Something beside the upstream sends announcements without end, on many connections at the same time, and accepts fail now
// and then. Every connection must be closed, and the upstream's announcements acknowledged.
func TestEndlessAnnouncementsLeaveTheUpstreamAcknowledged(t *testing.T) {
	const connections, announcements = 40, 20
	put := "PUT " + platform.InstancePath + "i-1 HTTP/1.1\r\nHost: h\r\n"
	for name, c := range map[string]struct{ first, text string }{
		"not a request":   {"", "\x00\xff garbage "},
		"one line":        {"PUT /", "x"},
		"header fields":   {put, "X-Field: value\r\n"},
		"one chunk":       {put + "Transfer-Encoding: chunked\r\n\r\n7fffffff\r\n", "x"},
		"small chunks":    {put + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"chunk extension": {put + "Transfer-Encoding: chunked\r\n\r\n5;", "x"},
		"trailer":         {put + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Field: value\r\n"},
		"length":          {put + "Content-Length: 9000000000\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			ctx, stop := context.WithCancel(t.Context())
			var server, senders sync.WaitGroup
			server.Go(func() {
				serveHTTP(ctx, &unreliableListener{Listener: l}, platform.ServeAnnouncements(acknowledging{}, func(string, error) {}))
			})
			block := []byte(strings.Repeat(c.text, 1+16<<10/len(c.text)))
			for range connections {
				senders.Go(func() {
					conn, err := net.Dial("tcp", l.Addr().String())
					if err != nil {
						t.Error(err)
						return
					}
					defer conn.Close()
					_, err = io.WriteString(conn, c.first)
					for err == nil {
						_, err = conn.Write(block)
					}
				})
			}
			for n := range announcements {
				if err := counterpart.Announce(ctx, l.Addr().String(), counterpart.Announcement{Instance: "i-1", Service: "stock", Address: "10.0.0.1:80",
					Zone: "a", Version: "v1", Slots: 1, Sequence: int64(n), Born: 1}); err != nil {
					t.Error("announcement not acknowledged:", err)
				}
			}
			senders.Wait() // every connection was closed
			stop()
			server.Wait()
		})
	}
}
