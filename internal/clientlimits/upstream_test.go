package clientlimits

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"celerybank/platform"
	"celerybank/platform/counterpart"
)

const (
	smallBody = "small\n"
	// longBytes is the size of a long response.
	longBytes = 1 << 20
	// echoPath is the path of requests whose response has their body.
	echoPath = "/echo"
)

var longBody = bytes.Repeat([]byte("0123456789abcdef"), longBytes/16)

// upstream is the stand-in upstream, in the process of the test.
type upstream struct {
	// release ends the runs of requests for /wait.
	release chan struct{}
	// long counts the long responses.
	long counter
}

// counter counts events that a test waits for.
type counter struct {
	mu      sync.Mutex
	n       int
	changed chan struct{}
}

func (c *counter) add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// await waits until n events were counted.
func (c *counter) await(t *testing.T, n int) {
	t.Helper()
	timeout := time.After(startTimeout)
	for {
		c.mu.Lock()
		if c.n >= n {
			c.mu.Unlock()
			return
		}
		if c.changed == nil {
			c.changed = make(chan struct{})
		}
		changed := c.changed
		c.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			t.Fatalf("fewer than %d events in %v", n, startTimeout)
		}
	}
}

// start serves at the address of the upstream of n until the test ends.
func (u *upstream) start(t *testing.T, n *node) {
	t.Helper()
	l, err := net.Listen("tcp", n.addr(counterpart.UpstreamPort))
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: u}
	var served sync.WaitGroup
	served.Go(func() { _ = s.Serve(l) })
	t.Cleanup(func() { _ = s.Close(); served.Wait() })
}

// announce announces the upstream to n until the test ends, and returns once n has acknowledged it.
func (u *upstream) announce(t *testing.T, n *node) {
	t.Helper()
	sequence, born := int64(0), time.Now().Add(-time.Hour).UnixMilli()
	send := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		sequence++
		return counterpart.Announce(ctx, n.addr(counterpart.ControlPort), counterpart.Announcement{Instance: "i-1", Service: "catalogue",
			Address: n.addr(counterpart.UpstreamPort), Zone: "z", Version: "v1", Slots: upstreamSlots, Sequence: sequence, Born: born})
	}
	for end := time.Now().Add(startTimeout); ; {
		err := send()
		if err == nil {
			break
		}
		if time.Now().After(end) {
			t.Fatal("announcement not acknowledged:", err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	stop := make(chan struct{})
	var repeats sync.WaitGroup
	repeats.Go(func() {
		tick := time.NewTicker(time.Second)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				_ = send()
			case <-stop:
				return
			}
		}
	})
	t.Cleanup(func() { close(stop); repeats.Wait() })
}

// ServeHTTP answers health checks and requests, by their path.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(platform.HeaderRequestID)
	switch path := r.URL.Path; {
	case path == counterpart.HealthPath:
		counterpart.WriteHealth(w, "i-1", 0)
	case path == "/long":
		u.long.add()
		counterpart.WriteResponse(w, id, http.StatusOK, longBody)
	case path == echoPath:
		body, err := io.ReadAll(r.Body)
		if err == nil {
			counterpart.WriteResponse(w, id, http.StatusOK, body)
		}
	case path == "/wait":
		select {
		case <-u.release:
		case <-r.Context().Done():
			return
		}
		counterpart.WriteResponse(w, id, http.StatusOK, []byte(smallBody))
	case strings.Contains(path, "/status/"):
		writeStatus(w, id, path[strings.LastIndexByte(path, '/')+1:])
	default:
		_, _ = io.Copy(io.Discard, r.Body)
		counterpart.WriteResponse(w, id, http.StatusOK, []byte(smallBody))
	}
}

// writeStatus writes a signed response with this text as its status.
func writeStatus(w http.ResponseWriter, id, status string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	text := counterpart.ResponseText(id, http.StatusOK, []byte(smallBody))
	_, _ = conn.Write(bytes.Replace(text, []byte(" 200 "), []byte(" "+status+" "), 1))
}

// get sends an ordinary request to the node on a connection of its own.
func get(ctx context.Context, n *node, path string) (status int, body string, err error) {
	return exchange(ctx, n, http.MethodGet, path, nil)
}

func exchange(ctx context.Context, n *node, method, path string, content []byte) (status int, body string, err error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.addr(counterpart.CallersPort)+path, bytes.NewReader(content))
	if err != nil {
		return 0, "", err
	}
	req.Host = host
	req.Header.Set(platform.HeaderRequestID, "ordinary")
	req.Header.Set(platform.HeaderDeadline, strconv.Itoa(3000))
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}

// head returns the head of a request with further fields.
func head(method, path, fields string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: r\r\n%s: 3000\r\n%s\r\n", method, path, host, platform.HeaderRequestID, platform.HeaderDeadline, fields)
}
