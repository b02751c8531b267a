package ingress

import (
	"bufio"
	"time"

	"github.com/valyala/fasthttp"

	"celerybank/internal/membudget"
)

// write writes the responses in the order of the requests, and closes the connection.
func (c *conn) write() {
	defer c.unregister()
	var w *bufio.Writer // allocated with the first response: a connection may send no request
	for x := range c.queue {
		<-x.done
		if w == nil {
			w = bufio.NewWriterSize(&c.out, writeBufferSize)
		}
		closeAfter := c.beginResponse(x)
		err := c.writeResponse(w, x, closeAfter)
		drained := c.endResponse()
		c.server.inflight.Add(-1)
		release(x)
		if err != nil {
			c.cancel()
			break
		}
		if closeAfter {
			c.linger()
			break
		}
		if drained {
			break
		}
	}
	_ = c.raw.Close()
	for x := range c.queue {
		<-x.done
		c.server.inflight.Add(-1)
		release(x)
	}
}

// writeBufferSize is the size of the buffer for responses, in bytes.
const writeBufferSize = 4 << 10

// beginResponse decides whether the connection closes after the response of x.
func (c *conn) beginResponse(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered--
	closeAfter := x.closeAfter || (c.server.draining.Load() && c.pending == 1)
	c.closing = c.closing || closeAfter
	return closeAfter
}

// endResponse records that a response was written; only then may the connection count as idle. It reports
// whether the connection is idle and the server is draining, so that the connection has to be closed.
func (c *conn) endResponse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	c.idleSince = time.Now()
	drained := c.pending == 0 && c.server.draining.Load()
	c.closing = c.closing || drained
	return drained
}

// writeResponse writes the response of x. It neither normalizes the header names nor adds a content type;
// with closeAfter it adds Connection: close.
func (c *conn) writeResponse(w *bufio.Writer, x *exchange, closeAfter bool) error {
	x.resp.Header.SetNoDefaultContentType(true)
	x.resp.Header.DisableNormalizing()
	x.resp.SkipBody = x.req.Header.IsHead()
	if closeAfter {
		x.resp.SetConnectionClose()
	}
	now := time.Now()
	c.out.held = x.response
	c.progress.Store(now.UnixNano())
	c.writing.Store(true)
	defer c.writing.Store(false)
	_ = c.raw.SetWriteDeadline(now.Add(writeTimeout))
	if err := x.resp.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// linger closes the sending side and waits up to lingerTimeout for the caller to close the connection.
func (c *conn) linger() {
	half, ok := c.raw.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	select {
	case <-c.ctx.Done():
	case <-time.After(lingerTimeout):
	}
}

// unregister cancels the requests that are still in flight and removes the connection from the server.
func (c *conn) unregister() {
	c.cancel()
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
}

// release returns the memory of x, and its request and response to their pools, except a request that a large head has grown.
func release(x *exchange) {
	x.request.Release()
	x.response.Release()
	fasthttp.ReleaseResponse(x.resp)
	if x.headBytes <= maxPooledHead {
		fasthttp.ReleaseRequest(x.req)
	}
}

// maxPooledHead is the size in bytes of the largest head whose buffers are used again: the pools would keep those of large heads
// for small ones.
const maxPooledHead = 4 << 10

// progressWriter writes to a connection in parts, and records the progress of each.
type progressWriter struct {
	conn *conn
	held *membudget.Holder
}

// writeStep is the size of these parts in bytes.
const writeStep = 64 << 10

func (w *progressWriter) Write(b []byte) (n int, err error) {
	for {
		step := min(len(b)-n, writeStep)
		m, err := w.conn.raw.Write(b[n : n+step])
		if n += m; err != nil || n == len(b) {
			return n, err
		}
		w.conn.progress.Store(time.Now().UnixNano())
		w.held.Progress()
	}
}

// holdResponse drops the body of a request that has run, and takes the memory of the response until it is written. When it has
// to give way, the connection is closed: whether the request has run is unknown to the caller then.
func (c *conn) holdResponse(x *exchange) {
	x.req.SetBodyRaw(nil)
	x.request.Release()
	responses := c.server.cfg.Responses
	if x.response != nil {
		x.response.MoveTo(responses)
		x.response.Unpin(c.giveWay)
		return
	}
	if n := len(x.resp.Body()); n > uncountedBytes {
		x.response = responses.Hold(0, c.giveWay)
		if x.response.Take(int64(n)) != nil {
			x.resp.ResetBody()
			c.giveWay()
		}
	}
}

// giveWay closes the connection, whose responses have to give way to others.
func (c *conn) giveWay() { _ = c.raw.Close() }
