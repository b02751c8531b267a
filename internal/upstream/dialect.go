package upstream

import (
	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"celerybank/internal/verdict"
)

// Dialect interprets the responses of an upstream.
type Dialect struct {
	// NotExecuted reports whether a response says that the request was not executed.
	NotExecuted func(*fasthttp.Response) bool
	// RequestID and ResponseID return the ID of a request and of the request that a response belongs to; an
	// empty ID is unknown. They are nil for protocols without IDs.
	RequestID  func(*fasthttp.Request) []byte
	ResponseID func(*fasthttp.Response) []byte
}

// defaultDialect reads NotExecutedHeader and accepts every response.
var defaultDialect = Dialect{NotExecuted: func(resp *fasthttp.Response) bool { return len(resp.Header.Peek(NotExecutedHeader)) > 0 }}

// match says whether a response belongs to a request.
type match uint8

const (
	matchSame match = iota
	// matchUnknown means that the response has no ID.
	matchUnknown
	matchOther
)

func (d *Dialect) match(req *fasthttp.Request, resp *fasthttp.Response) match {
	if d.RequestID == nil {
		return matchSame
	}
	switch want, got := d.RequestID(req), d.ResponseID(resp); {
	case string(want) == string(got) || len(want) == 0:
		return matchSame
	case len(got) == 0:
		return matchUnknown
	}
	return matchOther
}

// requestHash returns the hash of a request's ID, 0 if it has none.
func (d *Dialect) requestHash(req *fasthttp.Request) uint64 {
	if d.RequestID == nil || len(d.RequestID(req)) == 0 {
		return 0
	}
	return xxhash.Sum64(d.RequestID(req))
}

// verdict returns the verdict of a response. identified is set if it is certainly that of the request.
func (c *Client) verdict(conn *clientConn, req *fasthttp.Request, resp *fasthttp.Response, identified bool) (verdict.Verdict, error) {
	switch {
	case !identified:
		return verdict.MayHaveRun, ErrUnproven
	case !c.dialect.NotExecuted(resp):
		return verdict.Ran, nil
	}
	if h := c.dialect.requestHash(req); h != 0 {
		conn.refused = append(conn.refused, h)
	}
	return verdict.NotRun, nil
}
