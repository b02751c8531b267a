package httpresponse

import (
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

// Transport makes a fasthttp client read responses with Read. Clients that use it retry no request whose response was malformed.
type Transport struct{}

// RoundTrip sends req and reads the response to it. A connection is reused only if nothing follows the response on it.
func (Transport) RoundTrip(hc *fasthttp.HostClient, req *fasthttp.Request, resp *fasthttp.Response) (retry bool, err error) {
	timeout := req.GetTimeOut()
	var deadline time.Time
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	pooled, err := hc.AcquireConn(timeout, req.ConnectionClose())
	if err != nil {
		return false, err
	}
	reusable, err := exchange(hc, pooled.Conn(), deadline, req, resp)
	if err != nil || !reusable || req.ConnectionClose() || resp.ConnectionClose() {
		hc.CloseConn(pooled)
	} else {
		hc.ReleaseConn(pooled)
	}
	switch {
	case isTimeout(err):
		return true, fasthttp.ErrTimeout
	case errors.Is(err, ErrMalformed), errors.Is(err, ErrHeadTooLarge), errors.Is(err, fasthttp.ErrBodyTooLarge):
		return false, err
	default:
		return err != nil, err
	}
}

// exchange writes req to conn and reads the response to it. reusable is false if bytes follow the response.
func exchange(hc *fasthttp.HostClient, conn net.Conn, deadline time.Time, req *fasthttp.Request, resp *fasthttp.Response) (reusable bool, err error) {
	if err := conn.SetDeadline(deadline); err != nil {
		return false, err
	}
	w := hc.AcquireWriter(conn)
	defer hc.ReleaseWriter(w)
	if err := req.Write(w); err != nil {
		return false, err
	}
	if err := w.Flush(); err != nil {
		return false, err
	}
	r := hc.AcquireReader(conn)
	defer hc.ReleaseReader(r)
	err = Read(r, resp, req.Header.IsHead(), hc.MaxResponseBodySize)
	return r.Buffered() == 0, err
}

// isTimeout reports whether err is the timeout of a connection.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// DefaultClient is a client for requests that need no settings.
var DefaultClient = fasthttp.Client{Transport: Transport{}}
