package proxy

import (
	"bufio"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"celerybank/internal/httpresponse"
	"celerybank/internal/verdict"
)

// An upstream sends no Content-Type, which says that the type of its body is unknown (RFC 9110, section 8.3). The HTTP library adds
// one of its own when it reads a response and when it writes one; neither may reach the caller.
func TestNoContentTypeIsAddedToAResponse(t *testing.T) {
	var resp fasthttp.Response
	if err := httpresponse.Read(bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\nX-Tag: b\r\nContent-Length: 2\r\n\r\nok")), &resp, false, 0); err != nil {
		t.Fatal(err)
	}
	res := readResponse(verdict.Ran, &resp)
	if !slices.Equal(res.Header, []Field{{Name: "X-Tag", Value: "b"}}) {
		t.Errorf("read: got fields %v, want X-Tag alone", res.Header)
	}
	var c fasthttp.RequestCtx
	NewHandler(scriptedEntry(1, &scriptedPeers{}), nil, time.Second, nil).writeResponse(&c, res)
	if head := c.Response.String(); strings.Contains(head, "Content-Type") {
		t.Errorf("written: got %q, want no Content-Type", head)
	}
}
