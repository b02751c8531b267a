// Package rawhttp is a stand-in for a faulty HTTP server: it writes responses byte for byte as a test gives them.
package rawhttp

import (
	"bufio"
	"io"
	"net"
	"strconv"
	"testing"

	"github.com/valyala/fasthttp"
)

// Serve answers each request with text, as it is, and closes the connection. It returns the address of the server, which ends
// with the test.
func Serve(t testing.TB, text string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go respond(conn, text)
		}
	}()
	return l.Addr().String()
}

// respond reads one request, writes text and closes the connection.
func respond(conn net.Conn, text string) {
	defer conn.Close()
	var req fasthttp.Request
	if req.Read(bufio.NewReader(conn)) == nil {
		_, _ = io.WriteString(conn, text) // fails if the client has closed the connection
	}
}

// Malformed returns responses with the field lines and the body given, whose heads are malformed, by their fault. All of them were
// once taken for responses of status 200.
func Malformed(fields, body string) map[string]string {
	rest := "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	return map[string]string{
		"status 000":               "HTTP/1.1 000 OK\r\n" + fields + rest,
		"blank in a name":          "HTTP/1.1 200 OK\r\n" + fields + "X Tag: a\r\n" + rest,
		"blank after a name":       "HTTP/1.1 200 OK\r\n" + fields + "X-Tag : a\r\n" + rest,
		"LF as the end of a head":  "HTTP/1.1 200 OK\r\n" + fields + "Connection: close\r\n\n" + rest,
		"control byte in a reason": "HTTP/1.1 200 O\x01\r\n" + fields + rest,
	}
}
