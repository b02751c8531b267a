// Package testmesh runs a whole mesh inside one test, over a faulty network in
// memory and under virtual time (testing/synctest).
package testmesh

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"celerybank/internal/configlog"
	"celerybank/internal/events"
	"celerybank/internal/faultnet"
	"celerybank/internal/inventory"
	"celerybank/internal/node"
	"celerybank/internal/operator"
	"celerybank/internal/proxy"
	"celerybank/internal/settings"
	standin "celerybank/internal/standin/upstream"
	"celerybank/internal/upstream"
)

// Mesh is a set of nodes and the log that they share.
type Mesh struct {
	T   testing.TB
	Net *faultnet.Network
	Log *configlog.Memory
	// Wrap, when set before Start, gives each node its own view of the log.
	Wrap  func(ip string, log configlog.Log) configlog.Log
	Hosts map[string]*Host
}

// Host is one upstream host: its node and, if started, its upstream.
type Host struct {
	IP, Zone string
	Node     *node.Node
	Events   *events.Recorder
	Upstream *standin.Server

	mesh      *Mesh
	stop      context.CancelFunc
	done      sync.WaitGroup
	stopUp    context.CancelFunc
	instances int
}

// New returns a mesh without hosts; everything is stopped when the test ends.
// Call it inside the synctest bubble.
func New(t testing.TB) *Mesh {
	m := &Mesh{T: t, Net: faultnet.New(), Log: configlog.NewMemory(), Hosts: map[string]*Host{}}
	return m
}

// dialsEnd is longer than any dial or exchange that a killed node may have left behind.
const dialsEnd = 2 * time.Second

// Stop ends every host; call it before the bubble ends.
func (m *Mesh) Stop() {
	for _, h := range m.Hosts {
		h.Kill()
	}
	time.Sleep(dialsEnd)
}

// IP returns the address of host h in the z-th zone.
func IP(z, h int) string { return fmt.Sprintf("10.0.%d.%d", z, h) }

// ZoneName returns the name of the z-th zone.
func ZoneName(z int) string { return fmt.Sprintf("zone-%d", z) }

// Seeds are the peer addresses that every node starts with.
func Seeds() []string { return []string{IP(1, 1) + ":7000", IP(2, 1) + ":7000"} }

// Start starts the node of host h in zone z, or starts it again after Kill.
func (m *Mesh) Start(z, h int) *Host {
	ip := IP(z, h)
	cfg := settings.Default()
	cfg.Name, cfg.Zone, cfg.Region = fmt.Sprintf("n%d-%d", z, h), ZoneName(z), "region"
	cfg.Listen = settings.Listen{Callers: ip + ":8080", Peers: ip + ":7000", Admin: ip + ":9000"}
	cfg.Seeds = Seeds()
	host := m.Hosts[ip]
	if host == nil {
		host = &Host{IP: ip, Zone: cfg.Zone, mesh: m}
		m.Hosts[ip] = host
	}
	var log configlog.Log = m.Log
	if m.Wrap != nil {
		log = m.Wrap(ip, log)
	}
	host.Events = events.New(cfg.Name, cfg.Zone, nil)
	host.Node = node.New(cfg, log, m.Net.Host(ip), host.Events)
	ctx, cancel := context.WithCancel(context.Background())
	host.stop = cancel
	n := host.Node
	host.done.Go(func() {
		if err := n.RunCore(ctx); err != nil {
			m.T.Errorf("%s: %v", ip, err)
		}
	})
	return host
}

// Kill ends the node and its upstream at once: every connection breaks.
func (h *Host) Kill() {
	h.KillUpstream()
	h.KillNode()
}

// KillNode ends the node at once; the upstream lives on.
func (h *Host) KillNode() {
	if h.stop == nil {
		return
	}
	h.stop()
	h.mesh.Net.Freeze(h.IP, false)
	h.done.Wait()
	h.stop = nil
}

// StartUpstream starts the host's upstream and announces it once a second.
func (h *Host) StartUpstream(cfg standin.Config) *standin.Server {
	h.instances++
	instance := fmt.Sprintf("%s/%d", h.IP, h.instances)
	addr := h.IP + ":8000"
	l, err := h.mesh.Net.Host(h.IP).Listen(addr)
	if err != nil {
		h.mesh.T.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := standin.New(cfg, instance, cancel)
	server := &http.Server{Handler: s.Handler(), BaseContext: func(net.Listener) context.Context { return ctx }}
	var up sync.WaitGroup
	up.Go(func() { _ = server.Serve(l) })
	up.Go(func() {
		<-ctx.Done()
		_ = server.Close()
	})
	a := upstream.Announcement{Service: cfg.Service, Version: cfg.Version, Address: addr, Slots: cfg.Slots, Instance: instance}
	up.Go(func() {
		for ctx.Err() == nil {
			if err := h.Node.Announce(a); err != nil {
				h.mesh.T.Errorf("announce: %v", err)
			}
			select {
			case <-time.After(time.Second):
			case <-ctx.Done():
			}
		}
	})
	h.Upstream = s
	h.stopUp = func() {
		cancel()
		up.Wait()
	}
	return s
}

// KillUpstream ends the upstream at once.
func (h *Host) KillUpstream() {
	if h.stopUp != nil {
		h.stopUp()
		h.stopUp = nil
	}
}

// Report returns what the host's upstream counted.
func (h *Host) Report() standin.Report { return h.Upstream.Report() }

// Publish publishes as an operator does and returns the version.
func (m *Mesh) Publish(inv inventory.Inventory, rules inventory.Rules) int64 {
	m.T.Helper()
	v, err := operator.NewConsole(m.Log, "test").Publish(context.Background(), inv, rules)
	if err != nil {
		m.T.Fatalf("publish: %v", err)
	}
	return v
}

// Eventually waits in virtual time until ok holds, at most limit.
func (m *Mesh) Eventually(limit time.Duration, what string, ok func() bool) {
	m.T.Helper()
	for start := time.Now(); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Since(start) > limit {
			m.T.Fatalf("not within %v: %s", limit, what)
		}
	}
}

// InForce waits until every running node has folded version and admits calls.
func (m *Mesh) InForce(limit time.Duration, version int64) {
	m.T.Helper()
	m.Eventually(limit, fmt.Sprintf("version %d in force everywhere", version), func() bool {
		for _, h := range m.Hosts {
			if h.stop == nil {
				continue
			}
			select {
			case <-h.Node.Ready():
			default:
				return false
			}
			if h.Node.Store().State().Version < version {
				return false
			}
		}
		return true
	})
}

// Get sends an idempotent request to the node of host h.
func (h *Host) Get(service, path string, timeout time.Duration) *proxy.Response {
	return h.Node.Dispatch(context.Background(), &proxy.Request{Service: service, Method: http.MethodGet, URI: path}, timeout)
}

// Post sends a non-idempotent request with a key to the node of host h.
func (h *Host) Post(service, path, key, body string, timeout time.Duration) *proxy.Response {
	req := &proxy.Request{Service: service, Method: http.MethodPost, URI: path, Key: key, Body: []byte(body)}
	if key != "" {
		req.Header = []proxy.Field{{Name: proxy.KeyHeader, Value: key}}
	}
	return h.Node.Dispatch(context.Background(), req, timeout)
}

// Orders is an inventory with one service, orders, with a lookup and a booking, in zones zones.
func Orders(zones int) inventory.Inventory {
	inv := inventory.Inventory{Mesh: "test", Services: []inventory.Service{{
		Name: "orders", InitialVersion: "v1", SlowStart: inventory.Duration(time.Second),
		Routes: []inventory.Route{
			{Name: "show", Method: http.MethodGet, Path: "/orders", Idempotent: true, Timeout: inventory.Duration(2 * time.Second)},
			{Name: "place", Method: http.MethodPost, Path: "/orders", Timeout: inventory.Duration(2 * time.Second)},
		}}}}
	for z := 1; z <= zones; z++ {
		inv.Zones = append(inv.Zones, inventory.Zone{Name: ZoneName(z), Region: "region"})
	}
	return inv
}

// CutZone is a rule for faultnet: it blocks everything that leaves or enters zone z.
func CutZone(z int) func(from, to string) bool {
	prefix := fmt.Sprintf("10.0.%d.", z)
	return func(from, to string) bool { return strings.HasPrefix(from, prefix) != strings.HasPrefix(to, prefix) }
}
