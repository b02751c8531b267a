package soak

import (
	"bufio"
	"bytes"
	"testing"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"celerybank/internal/httpresponse"
	"celerybank/platform/counterpart"
)

// Guards against a stand-in whose faults no caller could see, and against callers that take a malformed response for one.
func TestMalformedHeadsShow(t *testing.T) {
	const runs = 2000
	response := counterpart.ResponseText("q1", 200, []byte("body"))
	var resp fasthttp.Response
	if err := httpresponse.Read(bufio.NewReader(bytes.NewReader(response)), &resp, false, 0); err != nil || !counterpart.ReadResponse(&resp).Signed {
		t.Fatalf("%q: got error %v, want a signed response", response, err)
	}
	for range runs {
		text := malformedHead(response)
		if err := httpresponse.Read(bufio.NewReader(bytes.NewReader(text)), &resp, false, 0); !errors.Is(err, httpresponse.ErrMalformed) {
			t.Errorf("%q: got error %v, want %v", text, err, httpresponse.ErrMalformed)
		}
	}
}

// Guards against a checker that misses a malformed response which reaches a caller, as it is or as another one.
func TestCheckerDetectsMalformedResponses(t *testing.T) {
	run := func(c *Checker) {
		c.ExecutionStarted(Execution{RequestID: "q1", Instance: "i-1", Host: "h1", Service: "stock", Zone: "a"})
	}
	served := Response{Status: 200, Intact: true}
	for name, c := range map[string]struct {
		observe func(*Checker)
		want    int
	}{
		"passed on as it is":   {func(c *Checker) { c.MalformedResponse("q1", httpresponse.ErrMalformed) }, 1},
		"passed on as another": {func(c *Checker) { run(c); c.MalformedWritten("q1"); c.ResponseReceived("q1", served) }, 1},
		"failed":               {func(c *Checker) { run(c); c.MalformedWritten("q1"); c.ResponseReceived("q1", Response{Status: 502}) }, 0},
		"served elsewhere":     {func(c *Checker) { run(c); c.MalformedWritten("q1"); run(c); c.ResponseReceived("q1", served) }, 0},
	} {
		checker := NewChecker()
		checker.RequestSent("q1", "h1", "/p/", true)
		c.observe(checker)
		violations, _ := checker.Finish()
		n := 0
		for _, v := range violations {
			if v.Invariant == CompleteResponses {
				n++
			}
		}
		if n != c.want {
			t.Errorf("%s: got violations %v, want %d of %q", name, violations, c.want, CompleteResponses)
		}
	}
}
