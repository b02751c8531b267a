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

// host is a loopback address with a node and an upstream that implements the platform's protocol.
type host struct {
	t        testing.TB
	ip, zone string
	node     *Node
	network  *killable
	stop     context.CancelFunc
	ended    chan error

	instance string
	// born is the start of the upstream that it announces, and server its HTTP server.
	born     atomic.Int64
	server   atomic.Pointer[http.Server]
	sequence int64
	runs     atomic.Int64
	checks   atomic.Int64 // health checks received
	crashes  atomic.Int64
	leaving  atomic.Bool
	// mu guards lastRequest, the last request that ran.
	mu          sync.Mutex
	lastRequest counterpart.ReceivedRequest
	// hold blocks running requests while it is locked.
	hold sync.RWMutex
	// raw, if set, is written as the response to a request, with the request's ID in place of ID.
	raw atomic.Pointer[string]
}

func (h *host) addr(port int) string { return h.ip + ":" + strconv.Itoa(port) }

func (h *host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == counterpart.HealthPath {
		h.serveHealth(w)
		return
	}
	req := counterpart.ReadRequest(r.Header)
	if req.Instance != h.instance {
		counterpart.WriteNotExecuted(w, http.StatusMisdirectedRequest)
		return
	}
	h.runs.Add(1)
	if strings.HasSuffix(r.URL.Path, crashingPath) {
		h.crashes.Add(1)
		_ = h.server.Load().Close()
		return
	}
	h.mu.Lock()
	h.lastRequest = req
	h.mu.Unlock()
	h.hold.RLock()
	defer h.hold.RUnlock()
	if raw := h.raw.Load(); raw != nil {
		writeRaw(w, strings.Replace(*raw, "ID", req.ID, 1))
		return
	}
	body, _ := io.ReadAll(r.Body)
	counterpart.WriteResponse(w, req.ID, http.StatusOK, fmt.Appendf(nil, "%s %s %s", h.zone, r.URL.RequestURI(), body))
}

// crashingPath is the end of the path of a request that crashes the upstream.
const crashingPath = "/crash"

// startUpstream starts the upstream of the host, also after a crash; it keeps its name.
func (h *host) startUpstream() {
	l, err := net.Listen("tcp", h.addr(counterpart.UpstreamPort))
	if err != nil {
		h.t.Fatal(err)
	}
	server := &http.Server{Handler: h}
	h.server.Store(server)
	h.born.Add(1)
	go func() { _ = server.Serve(l) }()
	h.t.Cleanup(func() { _ = server.Close() })
}

// writeRaw writes text as it is and closes the connection.
func writeRaw(w http.ResponseWriter, text string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, text) // fails if the node has closed the connection
	_ = conn.Close()
}

func (h *host) serveHealth(w http.ResponseWriter) {
	h.checks.Add(1)
	if h.leaving.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	counterpart.WriteHealth(w, h.instance, 0)
}

// announce announces the upstream to its node; it reports whether the node acknowledges.
func (h *host) announce(draining bool) bool {
	h.sequence++
	return counterpart.Announce(context.Background(), h.addr(counterpart.ControlPort), counterpart.Announcement{Instance: h.instance, Service: "stock",
		Address: h.addr(counterpart.UpstreamPort), Zone: h.zone, Version: "v1", Slots: 8, Draining: draining, Sequence: h.sequence, Born: h.born.Load()}) == nil
}

// get sends a request to the host's node as a caller does.
func (h *host) get(path string) (status int, body string) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	counterpart.WriteRequest(req, http.MethodGet, requestHost, path, "r-"+path, 4*time.Second, nil)
	client := fasthttp.HostClient{Addr: h.addr(counterpart.CallersPort)}
	defer client.CloseIdleConnections()
	if err := client.Do(req, resp); err != nil {
		return 0, err.Error()
	}
	res := counterpart.ReadResponse(resp)
	return res.Status, string(res.Body)
}

// readiness opens a new connection for each check: a kept one may belong to a node that has stopped.
var readiness = http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func (h *host) ready() bool {
	resp, err := readiness.Get("http://" + h.addr(counterpart.ReadyPort) + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// mesh is a set of hosts and a stand-in for the store.
type mesh struct {
	t     testing.TB
	log   *configlog.Memory
	store string
	hosts []*host
	// bounds are the bounds in the settings of all nodes.
	bounds []string
	// usageAPI is the address of the API for usage reports; empty if the nodes do not report.
	usageAPI string
	// started has all hosts, those added later too.
	started []*host
}

// eventually waits for a condition and fails the test after 6000 checks that are 5 ms apart.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for range 6000 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("condition not met in time: %s", what)
}

// reportingBounds are the bounds of nodes that report the usage: short windows and leases.
var reportingBounds = []string{"report_window_s=1", "lease_s=1"}

func startMesh(t testing.TB, zones ...string) *mesh { return startMeshWith(t, "", nil, zones...) }

// startBoundedMesh is startMesh with bounds in the settings.
func startBoundedMesh(t testing.TB, bounds []string, zones ...string) *mesh {
	return startMeshWith(t, "", bounds, zones...)
}

// startReportingMesh starts a mesh whose nodes report the usage to the API at an address.
func startReportingMesh(t testing.TB, usageAPI string, zones ...string) *mesh {
	return startMeshWith(t, usageAPI, reportingBounds, zones...)
}

func startMeshWith(t testing.TB, usageAPI string, bounds []string, zones ...string) *mesh {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	m := &mesh{t: t, bounds: bounds, usageAPI: usageAPI, log: configlog.NewMemory(), store: l.Addr().String()}
	done := make(chan error, 1)
	go func() { done <- standin.Serve(ctx, l, m.log) }()
	t.Cleanup(func() { stop(); <-done })
	t.Cleanup(m.stopAll)
	first := 1 + int(meshes.Add(1)-1)%maxMeshes*hostsPerMesh
	for i, zone := range zones {
		m.hosts = append(m.hosts, m.start(fmt.Sprintf("127.%d.%d.%d", 80+os.Getpid()%100, os.Getpid()/100%250, first+i), zone))
	}
	return m
}

// Each mesh has hostsPerMesh addresses, which are used again after maxMeshes meshes.
const (
	hostsPerMesh = 10
	maxMeshes    = 25
)

var meshes atomic.Int32

// stopAll stops all nodes gracefully and at the same time.
func (m *mesh) stopAll() {
	for _, h := range m.started {
		h.stop()
	}
	for _, h := range m.started {
		<-h.ended
	}
}

func (m *mesh) start(ip, zone string) *host {
	h := &host{t: m.t, ip: ip, zone: zone, instance: "i-" + ip}
	h.startUpstream()
	m.started = append(m.started, h)
	m.startNode(h)
	return h
}

// startNode starts the node on a host whose upstream already runs.
func (m *mesh) startNode(h *host) {
	s, err := platform.ParseSettings(counterpart.Settings{Name: "n-" + h.ip, IP: h.ip, Zone: h.zone, Service: "stock", Upstream: h.addr(counterpart.UpstreamPort), Store: m.store,
		UsageAPI: m.usageAPI, Bounds: m.bounds}.File())
	if err != nil {
		m.t.Fatal(err)
	}
	var ctx context.Context
	ctx, h.stop = context.WithCancel(context.Background())
	h.network = &killable{TCP: peer.TCP{SourceIP: net.ParseIP(h.ip)}}
	h.node = New(ctx, s, h.network, events.New(s.Name, h.zone, nil))
	node, ended := h.node, make(chan error, 1)
	h.ended = ended
	go func() { ended <- node.Run(ctx) }()
}

// requestHost is the host name in callers' requests.
const requestHost = "shop.example"

// appendOrder appends an operator's record to the log.
func (m *mesh) appendOrder(record []byte) {
	if _, err := m.log.Append(context.Background(), platform.TopicOperator, record); err != nil {
		m.t.Fatal(err)
	}
}

// config appends a configuration with one route.
func (m *mesh) config(version uint64, prefix string) {
	m.appendOrder(counterpart.Config(version, requestHost, []counterpart.Route{{Prefix: prefix, Service: "stock", Safe: true}}, []string{"stock"}, 17))
}

// Covers the configuration, zone orders, an upstream's drain and a graceful stop over real connections.
func TestEndToEnd(t *testing.T) {
	m := startMesh(t, "a", "a", "b")
	first, second, far := m.hosts[0], m.hosts[1], m.hosts[2]
	eventually(t, "a node without a configuration refuses", func() bool { s, _ := first.get("/one/x"); return s == 503 })
	if first.ready() {
		t.Error("node is ready without a configuration")
	}
	m.config(1, "/one/")
	for _, h := range m.hosts {
		eventually(t, "the announcement is acknowledged", func() bool { return h.announce(false) })
		eventually(t, "the node is ready", h.ready)
		eventually(t, "all nodes are members", func() bool { return h.node.aliveMembers() == len(m.hosts) })
	}
	eventually(t, "served", func() bool { s, _ := first.get("/one/x?q=1"); return s == 200 })
	if s, body := first.get("/one/y?q=1"); s != 200 || body != "a /one/y?q=1 " {
		t.Errorf("got %d %q, want 200 %q", s, body, "a /one/y?q=1 ")
	}
	if s, _ := first.get("/two/x"); s != 404 {
		t.Errorf("unknown route: got status %d, want 404", s)
	}

	m.config(2, "/two/")
	for _, h := range m.hosts {
		eventually(t, "the new route is in force", func() bool { s, _ := h.get("/two/x"); return s == 200 })
		if s, _ := h.get("/one/x"); s != 404 {
			t.Errorf("%s: old route got status %d, want 404", h.ip, s)
		}
	}

	m.appendOrder(counterpart.ZoneOut("a"))
	eventually(t, "the zone is out", func() bool { _, body := first.get("/two/x"); return body == "b /two/x " })
	ran := first.runs.Load() + second.runs.Load()
	for range 20 {
		if s, body := second.get("/two/x"); s != 200 || body != "b /two/x " {
			t.Errorf("got %d %q, want 200 %q", s, body, "b /two/x ")
		}
	}
	if n := first.runs.Load() + second.runs.Load(); n != ran {
		t.Errorf("%d requests ran in a zone that is out, want 0", n-ran)
	}
	m.appendOrder(counterpart.ZoneIn("a"))
	eventually(t, "the zone is in again", func() bool { first.announce(false); _, body := first.get("/two/x"); return body == "a /two/x " })

	if !first.announce(true) {
		t.Error("draining announcement not acknowledged")
	}
	ran = first.runs.Load()
	for range 20 {
		if s, _ := first.get("/two/x"); s != 200 {
			t.Errorf("got status %d while an upstream drains, want 200", s)
		}
	}
	if n := first.runs.Load(); n != ran {
		t.Errorf("%d requests ran after the drain was acknowledged, want 0", n-ran)
	}
	second.mu.Lock()
	lastRequest := second.lastRequest
	second.mu.Unlock()
	if lastRequest.Caller != "stock" || lastRequest.Timeout > 3*time.Second || lastRequest.Timeout <= 0 {
		t.Errorf("last request: got %+v, want caller stock and 0 s to 3 s left", lastRequest)
	}

	// A graceful stop does not abort a request that runs at the node's upstream.
	far.hold.Lock()
	ran = far.runs.Load()
	status := make(chan int, 1)
	m.appendOrder(counterpart.ZoneOut("a"))
	eventually(t, "the zone is out", func() bool { return first.node.replica.View().ZonesOut["a"] && far.node.replica.View().ZonesOut["a"] })
	go func() { s, _ := far.get("/two/held"); status <- s }()
	eventually(t, "the request runs", func() bool { return far.runs.Load() == ran+1 })
	far.stop()
	eventually(t, "the node is not ready", func() bool { return !far.ready() })
	far.hold.Unlock()
	if s := <-status; s != 200 {
		t.Errorf("request in flight at the stop: got status %d, want 200", s)
	}
}

// Nodes are restarted one by one while their upstreams keep running. The successor must serve through the
// upstream before its next announcement, but not if the upstream announced that it drains.
func TestSuccessorInheritsItsUpstream(t *testing.T) {
	m := startMesh(t, "a", "b")
	near, far := m.hosts[0], m.hosts[1]
	m.config(1, "/one/")
	for _, h := range m.hosts {
		eventually(t, "the announcement is acknowledged", func() bool { return h.announce(false) })
		eventually(t, "all nodes are members", func() bool { return h.node.aliveMembers() == len(m.hosts) })
	}
	m.appendOrder(counterpart.ZoneOut("a"))
	eventually(t, "the far upstream serves", func() bool { _, body := near.get("/one/x"); return body == "b /one/x " })
	restart := func() {
		far.stop()
		if err := <-far.ended; err != nil {
			t.Fatal(err)
		}
		m.startNode(far)
		eventually(t, "the successor is a member and ready", func() bool { return near.node.aliveMembers() == len(m.hosts) && far.ready() })
	}
	restart()
	eventually(t, "the far upstream serves again", func() bool { _, body := near.get("/one/y"); return body == "b /one/y " })

	eventually(t, "the draining announcement is acknowledged", func() bool { return far.announce(true) })
	ran := far.runs.Load()
	restart()
	if status, _ := near.get("/one/z"); status == http.StatusOK || far.runs.Load() != ran {
		t.Errorf("got status %d and %d requests after the drain was acknowledged, want not 200 and 0 requests", status, far.runs.Load()-ran)
	}
}

// A node that starts long after the others must find them although the store has truncated its log.
func TestNewNodeFindsPeersInTruncatedStore(t *testing.T) {
	m := startMesh(t, "a", "b")
	for _, h := range m.hosts {
		eventually(t, "all nodes are members", func() bool { return h.node.aliveMembers() == len(m.hosts) })
	}
	m.log.SetFaults(configlog.Faults{Retain: -1})
	m.log.SetFaults(configlog.Faults{})
	last := m.hosts[len(m.hosts)-1].ip
	n, err := strconv.Atoi(last[strings.LastIndexByte(last, '.')+1:])
	if err != nil {
		t.Fatal(err)
	}
	newNode := m.start(fmt.Sprint(last[:strings.LastIndexByte(last, '.')+1], n+1), "a")
	eventually(t, "the new node knows all members", func() bool { return newNode.node.aliveMembers() == len(m.hosts)+1 })
}

// An invalid settings file is refused and changes nothing.
func TestReload(t *testing.T) {
	m := startMesh(t, "a")
	h := m.hosts[0]
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, []byte(`{"node_name": 7}`), 0o600); err != nil {
		t.Fatal(err)
	}
	h.node.reload(path, "test")
	if names := eventNames(h.node); !names["settings-refused"] || names["reloaded"] {
		t.Errorf("events: got %v, want settings-refused and not reloaded", names)
	}
}

func eventNames(n *Node) map[string]bool {
	out := map[string]bool{}
	for _, e := range n.events.Since(0) {
		out[e.Name] = true
	}
	return out
}

// The store returns a record as its length and its bytes. Guards the records that these tests write against
// a difference from the platform's format.
func TestStoreRecordFormat(t *testing.T) {
	m := startMesh(t)
	m.appendOrder(counterpart.ZoneOut("a"))
	resp, err := http.Get("http://" + m.store + "/api/log-read?part=0&from=0&topic=" + platform.TopicOperator)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	if record := len(counterpart.ZoneOut("a")); len(text) != 16+4+record || binary.BigEndian.Uint32(text[16:]) != uint32(record) {
		t.Errorf("log-read: got %q, want 16 bytes of header, a 4-byte length and %d bytes of record", text, record)
	}
}
