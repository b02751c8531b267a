// Package testmesh runs a whole mesh within one test, over an in-memory network with
// fault injection and in virtual time (testing/synctest).
package testmesh

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
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

// Mesh is a set of hosts and the log that their nodes share.
type Mesh struct {
	T   testing.TB
	Net *faultnet.Network
	Log *configlog.Memory
	// Wrap, if set before Start, returns the log that the node at ip uses in place of log.
	Wrap  func(ip string, log configlog.Log) configlog.Log
	Hosts map[string]*Host
}

// Host is one host: its node and, once started, its upstream.
type Host struct {
	IP, Zone string
	Node     *node.Node
	Events   *events.Recorder
	Upstream *standin.Server

	mesh *Mesh
	// running is Node, for the goroutine that announces the upstream while the node is restarted.
	running      atomic.Pointer[node.Node]
	stop         context.CancelFunc
	done         sync.WaitGroup
	stopUpstream context.CancelFunc
	instances    int
}

// New returns a mesh without hosts. It must be called inside the synctest bubble, and
// Stop before the bubble ends.
func New(t testing.TB) *Mesh {
	m := &Mesh{T: t, Net: faultnet.New(), Log: configlog.NewMemory(), Hosts: map[string]*Host{}}
	return m
}

// lingeringDialTime exceeds the timeout of every dial or RPC that a killed node may have left in flight.
const lingeringDialTime = 2 * time.Second

// Stop kills every host. It must be called before the synctest bubble ends, which requires
// that every goroutine has exited.
func (m *Mesh) Stop() {
	for _, h := range m.Hosts {
		h.Kill()
	}
	time.Sleep(lingeringDialTime)
}

// IP returns the IP address of host h in zone z; both count from 1.
func IP(z, h int) string { return fmt.Sprintf("10.0.%d.%d", z, h) }

// ZoneName returns the name of availability zone z.
func ZoneName(z int) string { return fmt.Sprintf("zone-%d", z) }

// Seeds returns the peer addresses that every node contacts to join.
func Seeds() []string { return []string{IP(1, 1) + ":7000", IP(2, 1) + ":7000"} }

// Start starts the node of host h in zone z, or restarts it after Kill or KillNode.
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
	host.running.Store(host.Node)
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

// Kill stops the upstream and the node without a graceful stop; their connections close.
func (h *Host) Kill() {
	h.KillUpstream()
	h.KillNode()
}

// KillNode stops the node without a graceful stop; the upstream keeps running.
func (h *Host) KillNode() {
	if h.stop == nil {
		return
	}
	h.stop()
	h.mesh.Net.Freeze(h.IP, false)
	h.done.Wait()
	h.stop = nil
}

// StartUpstream starts the host's upstream and announces it to the node once a second.
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
	var tasks sync.WaitGroup
	tasks.Go(func() { _ = server.Serve(l) })
	tasks.Go(func() {
		<-ctx.Done()
		_ = server.Close()
	})
	a := upstream.Announcement{Service: cfg.Service, Version: cfg.Version, Address: addr, Slots: cfg.Slots, Instance: instance, Started: time.Now().UnixMilli()}
	tasks.Go(func() {
		for ctx.Err() == nil {
			if err := h.running.Load().Announce(a); err != nil {
				h.mesh.T.Errorf("announce: %v", err)
			}
			select {
			case <-time.After(time.Second):
			case <-ctx.Done():
			}
		}
	})
	h.Upstream = s
	h.stopUpstream = func() {
		cancel()
		tasks.Wait()
	}
	return s
}

// KillUpstream stops the upstream without a graceful stop; its connections close.
func (h *Host) KillUpstream() {
	if h.stopUpstream != nil {
		h.stopUpstream()
		h.stopUpstream = nil
	}
}

// Report returns the counters of the host's upstream.
func (h *Host) Report() standin.Report { return h.Upstream.Report() }

// Publish publishes a configuration as an operator does and returns its version.
func (m *Mesh) Publish(inv inventory.Inventory, rules inventory.Rules) int64 {
	m.T.Helper()
	v, err := operator.NewLogClient(m.Log, "test").Publish(context.Background(), inv, rules)
	if err != nil {
		m.T.Fatalf("publish: %v", err)
	}
	return v
}

// Eventually polls ok in virtual time and fails the test unless it returns true within limit.
func (m *Mesh) Eventually(limit time.Duration, what string, ok func() bool) {
	m.T.Helper()
	for start := time.Now(); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Since(start) > limit {
			m.T.Fatalf("condition not met within %v: %s", limit, what)
		}
	}
}

// WaitForVersion waits until every running node is ready and has applied configuration version
// version or a later one. It fails the test after limit.
func (m *Mesh) WaitForVersion(limit time.Duration, version int64) {
	m.T.Helper()
	m.Eventually(limit, fmt.Sprintf("every node is ready and has applied version %d", version), func() bool {
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

// Get sends a GET request with h's node as the entry node.
func (h *Host) Get(service, path string, timeout time.Duration) *proxy.Response {
	return h.Node.Dispatch(context.Background(), &proxy.Request{Service: service, Method: http.MethodGet, URI: path}, timeout)
}

// Post sends a POST request with h's node as the entry node. An empty key sends no
// idempotency key.
func (h *Host) Post(service, path, key, body string, timeout time.Duration) *proxy.Response {
	req := &proxy.Request{Service: service, Method: http.MethodPost, URI: path, Key: key, Body: []byte(body)}
	if key != "" {
		req.Header = []proxy.Field{{Name: proxy.KeyHeader, Value: key}}
	}
	return h.Node.Dispatch(context.Background(), req, timeout)
}

// OrdersInventory returns an inventory of the given number of zones with one service, orders, that has
// an idempotent route (show) and a non-idempotent one (place).
func OrdersInventory(zones int) inventory.Inventory {
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

// PartitionZone returns a faultnet partition rule that blocks all traffic into and out of zone z.
func PartitionZone(z int) func(from, to string) bool {
	prefix := fmt.Sprintf("10.0.%d.", z)
	return func(from, to string) bool { return strings.HasPrefix(from, prefix) != strings.HasPrefix(to, prefix) }
}
