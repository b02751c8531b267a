package clientlimits

import (
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"celerybank/platform/counterpart"
)

// crowd is a number of clients that all do the same.
type crowd struct {
	clients int
	// act sends and reads on a connection. An error ends it: the node may close the connection.
	act func(c *net.TCPConn) error
}

// actTimeout bounds the writes of one client, so that a node that neither reads nor closes does not hold the test up.
const actTimeout = 8 * time.Second

// run lets all clients act, and returns when each has finished or lost its connection. The connections stay open until the
// test ends.
func (x crowd) run(t *testing.T, n *node) {
	t.Helper()
	var clients sync.WaitGroup
	var mu sync.Mutex
	var open []net.Conn
	t.Cleanup(func() {
		for _, c := range open {
			_ = c.Close()
		}
	})
	for range x.clients {
		clients.Go(func() {
			conn, err := net.DialTimeout("tcp", n.addr(counterpart.CallersPort), actTimeout)
			if err != nil {
				return // the node may refuse a connection
			}
			mu.Lock()
			open = append(open, conn)
			mu.Unlock()
			_ = conn.SetDeadline(time.Now().Add(actTimeout))
			if err := x.act(conn.(*net.TCPConn)); err != nil {
				_ = conn.Close()
			}
		})
	}
	clients.Wait()
}

// send writes a text in blocks.
func send(c io.Writer, text ...string) error {
	for _, s := range text {
		if _, err := io.WriteString(c, s); err != nil {
			return err
		}
	}
	return nil
}

// Rates of a slow reader: slowReads reads of slowBytes bytes, slowInterval apart.
const (
	slowReads    = 40
	slowBytes    = 1 << 10
	slowInterval = 100 * time.Millisecond
)

// readSlowly reads some of what the node writes, a little at a time.
func readSlowly(c net.Conn) error {
	tick := time.NewTicker(slowInterval)
	defer tick.Stop()
	buf := make([]byte, slowBytes)
	for range slowReads {
		<-tick.C
		if _, err := c.Read(buf); err != nil {
			return err
		}
	}
	return nil
}

const chunked = "Transfer-Encoding: chunked\r\n"

// Sizes of the bodies that the crowds leave unfinished.
const (
	unfinishedBytes = 4 << 20
	largeChunk      = 64 << 10
	smallChunks     = 300_000
)

// The texts that the clients send, built once: their memory is that of the test.
var (
	block          = strings.Repeat("x", largeChunk)
	largeChunkText = "10000\r\n" + block + "\r\n"
	smallChunkText = strings.Repeat("1\r\nx\r\n", 1000)
	largeHead      = "X-Field: " + strings.Repeat("v", maxHeaderBytes-1<<10) + "\r\n"
)

func repeatSend(c io.Writer, text string, times int) error {
	for range times {
		if err := send(c, text); err != nil {
			return err
		}
	}
	return nil
}

func sendLargeChunks(c *net.TCPConn) error {
	if err := send(c, head("POST", "/order/1", chunked)); err != nil {
		return err
	}
	return repeatSend(c, largeChunkText, unfinishedBytes/largeChunk)
}

func sendSmallChunks(c *net.TCPConn) error {
	if err := send(c, head("POST", "/order/1", chunked)); err != nil {
		return err
	}
	return repeatSend(c, smallChunkText, smallChunks/1000)
}

// sendOneChunk announces one chunk that fills a body, and sends a part of it.
func sendOneChunk(c *net.TCPConn) error {
	return send(c, head("POST", "/order/1", chunked), "e00000\r\n", block)
}

func sendUnfinishedLength(c *net.TCPConn) error {
	if err := send(c, head("POST", "/order/1", "Content-Length: 4194304\r\n")); err != nil {
		return err
	}
	return repeatSend(c, block, unfinishedBytes/largeChunk-1)
}

// pipelined is the number of requests that a client sends before it reads a response.
const pipelined = 8

func readLongSlowly(c *net.TCPConn) error {
	_ = c.SetReadBuffer(4 << 10)
	if err := repeatSend(c, head("GET", "/long", ""), pipelined); err != nil {
		return err
	}
	return readSlowly(c)
}

// sendLargeHeads pipelines as many requests with large heads as the node admits from one connection.
func sendLargeHeads(c *net.TCPConn) error {
	if err := repeatSend(c, head("GET", "/wait", largeHead), 32); err != nil {
		return err
	}
	return readSlowly(c)
}

// endlessHead sends a head without an end; what it sends must end with the connection.
func endlessHead(c *net.TCPConn) error {
	if err := send(c, "GET /small HTTP/1.1\r\nHost: "+host+"\r\n"); err != nil {
		return err
	}
	field := "X-Field: " + strings.Repeat("v", 1000) + "\r\n"
	tick := time.NewTicker(slowInterval)
	defer tick.Stop()
	for {
		<-tick.C
		if err := send(c, field); err != nil {
			return err
		}
	}
}

// halfClose closes the sending side in a body, or after requests whose responses it reads slowly.
func halfClose(inBody bool) func(*net.TCPConn) error {
	return func(c *net.TCPConn) error {
		_ = c.SetReadBuffer(4 << 10)
		var err error
		if inBody {
			err = sendLargeChunks(c)
		} else {
			err = repeatSend(c, head("GET", "/long", ""), pipelined)
		}
		if err != nil {
			return err
		}
		if err := c.CloseWrite(); err != nil {
			return err
		}
		return readSlowly(c)
	}
}

func silent(*net.TCPConn) error { return nil }
