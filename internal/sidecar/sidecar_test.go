package sidecar

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"celerybank/internal/configlog"
	"celerybank/internal/events"
	"celerybank/internal/peer"
	standin "celerybank/internal/standin/platform"
	"celerybank/platform"
	"celerybank/platform/counterpart"
)

// host is one loopback address with a node and an upstream that speaks the platform's protocol.
type host struct {
	t        *testing.T
	ip, zone string
	node     *Node
	stop     context.CancelFunc
	ended    chan error

	instance string
	sequence int64
	runs     atomic.Int64
	// seen is the last request that ran.
	mu   sync.Mutex
	seen counterpart.Call
	// hold keeps requests running while it is locked.
	hold sync.RWMutex
}

func (h *host) at(port int) string { return h.ip + ":" + strconv.Itoa(port) }

func (h *host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call := counterpart.ReadCall(r.Header)
	if call.Instance != h.instance {
		counterpart.WriteNotExecuted(w, http.StatusMisdirectedRequest)
		return
	}
	h.runs.Add(1)
	h.mu.Lock()
	h.seen = call
	h.mu.Unlock()
	h.hold.RLock()
	defer h.hold.RUnlock()
	body, _ := io.ReadAll(r.Body)
	counterpart.WriteAnswer(w, call.ID, http.StatusOK, fmt.Appendf(nil, "%s %s %s", h.zone, r.URL.RequestURI(), body))
}

// announce tells the node on the host of its upstream; it reports whether the node acknowledges.
func (h *host) announce(draining bool) bool {
	h.sequence++
	return counterpart.Announce(context.Background(), h.at(counterpart.ControlPort), counterpart.Announcement{Instance: h.instance, Service: "stock",
		Address: h.at(counterpart.UpstreamPort), Zone: h.zone, Version: "v1", Slots: 8, Draining: draining, Sequence: h.sequence, Born: 1}) == nil
}

// get asks the node on the host as a caller does.
func (h *host) get(path string) (status int, body string) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	counterpart.WriteRequest(req, http.MethodGet, shop, path, "r-"+path, 4*time.Second, nil)
	client := fasthttp.HostClient{Addr: h.at(counterpart.CallersPort)}
	defer client.CloseIdleConnections()
	if err := client.Do(req, resp); err != nil {
		return 0, err.Error()
	}
	a := counterpart.ReadAnswer(resp)
	return a.Status, string(a.Body)
}

// readiness asks on a new connection each time: one that is kept leads to a node that has ended.
var readiness = http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func (h *host) ready() bool {
	resp, err := readiness.Get("http://" + h.at(counterpart.ReadyPort) + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// mesh is some hosts and the stand-in of the store.
type mesh struct {
	t     *testing.T
	log   *configlog.Memory
	store string
	hosts []*host
}

// eventually waits for a condition; a test that never meets it ends by the package's limit.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 6000 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("never: %s", what)
}

func startMesh(t *testing.T, zones ...string) *mesh {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	m := &mesh{t: t, log: configlog.NewMemory(), store: l.Addr().String()}
	done := make(chan error, 1)
	go func() { done <- standin.Serve(ctx, l, m.log) }()
	t.Cleanup(func() { stop(); <-done })
	for i, zone := range zones {
		m.hosts = append(m.hosts, m.start(fmt.Sprintf("127.%d.%d.%d", 80+os.Getpid()%100, os.Getpid()/100%250, i+1), zone))
	}
	return m
}

func (m *mesh) start(ip, zone string) *host {
	h := &host{t: m.t, ip: ip, zone: zone, instance: "i-" + ip, ended: make(chan error, 1)}
	l, err := net.Listen("tcp", h.at(counterpart.UpstreamPort))
	if err != nil {
		m.t.Fatal(err)
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	m.t.Cleanup(func() {
		h.stop()
		<-h.ended
		_ = server.Close()
	})
	m.startNode(h)
	return h
}

// startNode starts the node on a host; its upstream runs already.
func (m *mesh) startNode(h *host) {
	s, err := platform.ParseSettings(counterpart.Settings{Name: "n-" + h.ip, IP: h.ip, Zone: h.zone, Service: "stock", Upstream: h.at(counterpart.UpstreamPort), Store: m.store}.File())
	if err != nil {
		m.t.Fatal(err)
	}
	var ctx context.Context
	ctx, h.stop = context.WithCancel(context.Background())
	h.node = New(ctx, s, peer.TCP{From: net.ParseIP(h.ip)}, events.New(s.Name, h.zone, nil))
	go func() { h.ended <- h.node.Run(ctx) }()
}

// shop is the host that callers name.
const shop = "shop.example"

// order writes a record of the operator.
func (m *mesh) order(record []byte) {
	if _, err := m.log.Append(context.Background(), platform.TopicOperator, record); err != nil {
		m.t.Fatal(err)
	}
}

// config writes a configuration with one route.
func (m *mesh) config(version uint64, prefix string) {
	m.order(counterpart.Config(version, shop, []counterpart.Route{{Prefix: prefix, Service: "stock", Safe: true}}, []string{"stock"}, 17))
}

// The whole path over real connections: configuration, zones, draining and a planned stop.
func TestWholePath(t *testing.T) {
	m := startMesh(t, "a", "a", "b")
	first, second, far := m.hosts[0], m.hosts[1], m.hosts[2]
	eventually(t, "a node without a configuration refuses", func() bool { s, _ := first.get("/one/x"); return s == 503 })
	if first.ready() {
		t.Error("ready without a configuration")
	}
	m.config(1, "/one/")
	for _, h := range m.hosts {
		eventually(t, "the upstream is acknowledged", func() bool { return h.announce(false) })
		eventually(t, "ready", h.ready)
		eventually(t, "all nodes are known", func() bool { return h.node.living() == len(m.hosts) })
	}
	eventually(t, "served", func() bool { s, _ := first.get("/one/x?q=1"); return s == 200 })
	if s, body := first.get("/one/y?q=1"); s != 200 || body != "a /one/y?q=1 " {
		t.Errorf("%d %q", s, body)
	}
	if s, _ := first.get("/two/x"); s != 404 {
		t.Errorf("an unknown route: %d", s)
	}

	m.config(2, "/two/")
	for _, h := range m.hosts {
		eventually(t, "the new route is in force", func() bool { s, _ := h.get("/two/x"); return s == 200 })
		if s, _ := h.get("/one/x"); s != 404 {
			t.Errorf("%s still serves the old route: %d", h.ip, s)
		}
	}

	m.order(counterpart.ZoneOut("a"))
	eventually(t, "the zone is out", func() bool { _, body := first.get("/two/x"); return body == "b /two/x " })
	ran := first.runs.Load() + second.runs.Load()
	for range 20 {
		if s, body := second.get("/two/x"); s != 200 || body != "b /two/x " {
			t.Errorf("%d %q", s, body)
		}
	}
	if n := first.runs.Load() + second.runs.Load(); n != ran {
		t.Errorf("%d requests in a zone that is out", n-ran)
	}
	m.order(counterpart.ZoneIn("a"))
	eventually(t, "the zone is in again", func() bool { first.announce(false); _, body := first.get("/two/x"); return body == "a /two/x " })

	if !first.announce(true) {
		t.Error("the leave is not acknowledged")
	}
	ran = first.runs.Load()
	for range 20 {
		if s, _ := first.get("/two/x"); s != 200 {
			t.Errorf("%d while an upstream leaves", s)
		}
	}
	if n := first.runs.Load(); n != ran {
		t.Errorf("%d requests after the leave was acknowledged", n-ran)
	}
	second.mu.Lock()
	seen := second.seen
	second.mu.Unlock()
	if seen.Caller != "stock" || seen.Left > 3*time.Second || seen.Left <= 0 {
		t.Errorf("%+v", seen)
	}

	// A planned stop of a node with a request at its upstream cuts nothing.
	far.hold.Lock()
	ran = far.runs.Load()
	answered := make(chan int, 1)
	m.order(counterpart.ZoneOut("a"))
	eventually(t, "the zone is out", func() bool { return first.node.board.View().ZonesOut["a"] && far.node.board.View().ZonesOut["a"] })
	go func() { s, _ := far.get("/two/held"); answered <- s }()
	eventually(t, "the request runs", func() bool { return far.runs.Load() == ran+1 })
	far.stop()
	eventually(t, "not ready", func() bool { return !far.ready() })
	far.hold.Unlock()
	if s := <-answered; s != 200 {
		t.Errorf("%d for a request in flight at the stop", s)
	}
}

// Pattern: nodes are stopped and started in turn while their upstreams run on. The successor
// reaches the upstream before that speaks again, and not when the upstream said that it leaves.
func TestSuccessorInheritsItsUpstream(t *testing.T) {
	m := startMesh(t, "a", "b")
	near, far := m.hosts[0], m.hosts[1]
	m.config(1, "/one/")
	for _, h := range m.hosts {
		eventually(t, "the upstream is acknowledged", func() bool { return h.announce(false) })
		eventually(t, "all nodes are known", func() bool { return h.node.living() == len(m.hosts) })
	}
	m.order(counterpart.ZoneOut("a"))
	eventually(t, "the far upstream serves", func() bool { _, body := near.get("/one/x"); return body == "b /one/x " })
	restart := func() {
		far.stop()
		if err := <-far.ended; err != nil {
			t.Fatal(err)
		}
		m.startNode(far)
		eventually(t, "the successor is known", func() bool { return near.node.living() == len(m.hosts) && far.ready() })
	}
	restart()
	eventually(t, "the far upstream serves again", func() bool { _, body := near.get("/one/y"); return body == "b /one/y " })

	eventually(t, "the leave is acknowledged", func() bool { return far.announce(true) })
	ran := far.runs.Load()
	restart()
	if status, _ := near.get("/one/z"); status == http.StatusOK || far.runs.Load() != ran {
		t.Errorf("%d, %d requests after the leave was acknowledged", status, far.runs.Load()-ran)
	}
}

// A newcomer finds the others long after they started, when the store has dropped its history.
func TestNewcomerFindsPeersWithoutHistory(t *testing.T) {
	m := startMesh(t, "a", "b")
	for _, h := range m.hosts {
		eventually(t, "all nodes are known", func() bool { return h.node.living() == len(m.hosts) })
	}
	m.log.SetFaults(configlog.Faults{Retain: -1})
	m.log.SetFaults(configlog.Faults{})
	last := m.hosts[len(m.hosts)-1].ip
	n, err := strconv.Atoi(last[strings.LastIndexByte(last, '.')+1:])
	if err != nil {
		t.Fatal(err)
	}
	newcomer := m.start(fmt.Sprint(last[:strings.LastIndexByte(last, '.')+1], n+1), "a")
	eventually(t, "the newcomer knows all", func() bool { return newcomer.node.living() == len(m.hosts)+1 })
}

// Settings that change while the node runs: a faulty file changes nothing, a good one the store's address.
func TestReload(t *testing.T) {
	m := startMesh(t, "a")
	h := m.hosts[0]
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, []byte(`{"node_name": 7}`), 0o600); err != nil {
		t.Fatal(err)
	}
	h.node.reload(path, "test")
	if names := eventNames(h.node); !names["settings-refused"] || names["reloaded"] {
		t.Errorf("%v", names)
	}
}

func eventNames(n *Node) map[string]bool {
	out := map[string]bool{}
	for _, e := range n.events.Since(0) {
		out[e.Name] = true
	}
	return out
}

// A record of the store is a length and its bytes; the test writes them as the operator does.
func TestRecordsOfTheTestAreThePlatforms(t *testing.T) {
	m := startMesh(t)
	m.order(counterpart.ZoneOut("a"))
	resp, err := http.Get("http://" + m.store + "/api/log-read?part=0&from=0&topic=" + platform.TopicOperator)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	if record := len(counterpart.ZoneOut("a")); len(text) != 16+4+record || binary.BigEndian.Uint32(text[16:]) != uint32(record) {
		t.Errorf("%q", text)
	}
}
