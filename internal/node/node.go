// Package node assembles the process that runs on each host beside an upstream.
package node

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"celerybank/internal/admission"
	"celerybank/internal/claims"
	"celerybank/internal/configlog"
	"celerybank/internal/crash"
	"celerybank/internal/departure"
	"celerybank/internal/distribution"
	"celerybank/internal/events"
	"celerybank/internal/gossip"
	"celerybank/internal/membudget"
	"celerybank/internal/mesh"
	"celerybank/internal/peer"
	"celerybank/internal/proxy"
	"celerybank/internal/rollout"
	"celerybank/internal/routing"
	"celerybank/internal/schedlag"
	"celerybank/internal/settings"
	"celerybank/internal/upstream"
)

// housekeepingInterval is the time between checks for expired leases, and between reports of the state's version.
const housekeepingInterval = 500 * time.Millisecond

// Node is the process that runs on each host.
type Node struct {
	cfg     settings.Config
	network peer.Network
	events  *events.Recorder
	traffic *traffic

	pool        *peer.Pool
	server      *peer.Server
	members     *gossip.Members
	store       *distribution.Store
	distributor *distribution.Distributor
	router      *routing.Router
	gate        *admission.Gate
	lag         schedlag.Meter
	departures  *departure.Tracker
	registry    *upstream.Registry
	owner       *proxy.Owner
	crashes     *crash.Registry
	entry       *proxy.Entry
	handler     *proxy.Handler
	calls       *callMetrics
	rollouts    rollouts
	zones       zones
	claims      *claimRoles
}

// frameMemory bounds the messages of other nodes that are being read or handled, in bytes.
const frameMemory = 64 << 20

// New assembles a node without starting it.
func New(cfg settings.Config, log configlog.Log, network peer.Network, ev *events.Recorder) *Node {
	n := &Node{cfg: cfg, network: network, events: ev, traffic: newTraffic()}
	n.pool = peer.NewPool(network, ev, n.traffic.count)
	n.server = peer.NewServer(ev, n.traffic.count)
	frames := membudget.New(frameMemory)
	n.pool.SetMemory(frames)
	n.server.SetMemory(frames)
	self := gossip.Member{Addr: cfg.Listen.Peers, Name: cfg.Name, Zone: cfg.Zone, Region: cfg.Region,
		Admin: cfg.Listen.Admin, Callers: cfg.Listen.Callers}
	n.members = gossip.New(gossip.Config{Self: self, Seeds: cfg.Seeds, Peers: n.pool, Log: log, Events: ev,
		BytesPerSecond: cfg.Limits.ControlBytesPerSecond})
	n.store = distribution.NewStore(ev)
	n.distributor = distribution.New(n.store, log, n.pool, n.members, cfg.Limits.ControlBytesPerSecond, ev)
	n.distributor.Register(n.traffic.set)
	n.router = routing.NewRouter(cfg.Listen.Peers, cfg.Zone, cfg.Region, n.members)
	n.gate = admission.NewGate()
	n.claims = n.newClaims(log)
	n.gate.SetLag(n.lag.Max)
	n.owner = proxy.NewOwner(n.gate, network, cfg.Limits.UpstreamConnections, cfg.Limits.BodyBytes, n.claims.claimant, n.wireRollouts(log))
	n.crashes = crash.New(n.members, ev)
	n.owner.SetCrashRegistry(n.crashes, ev)
	n.owner.RefuseWhile(n.rollouts.refusal.reason)
	n.entry = proxy.NewEntry(cfg.Listen.Peers, n.router, n.owner, n.pool)
	n.handler = proxy.NewHandler(n.entry, ev, cfg.Limits.CallTimeout.D(), n.distributor.Ready())
	n.calls = newCallMetrics(n)
	n.handler.OnResponse(n.calls.count)
	n.departures = departure.New(self.Addr, n.members, ev)
	n.registry = upstream.NewRegistry(n.departures, ev, n.upstreamChanged)
	n.store.Subscribe(n.stateChanged)
	n.store.Subscribe(n.rolloutStateChanged)
	n.wireZones(log)
	n.members.Subscribe(n.router.Update)
	return n
}

// stateChanged switches to the routing table of s. An upstream may announce itself before its service
// is published; once it is, the upstream's slow start uses the duration that the service sets.
func (n *Node) stateChanged(s *mesh.State) {
	n.router.SetState(s)
	if service := n.members.Self().Upstream.Service; service != "" {
		n.gate.SetSlowStart(n.slowStart(service))
	}
}

// upstreamChanged applies a change of this host's upstream and publishes it to the members.
func (n *Node) upstreamChanged(a upstream.Announcement, present, leaving bool) {
	switch {
	case !present:
		n.gate.Close()
	case leaving:
		n.gate.Drain()
	default:
		n.owner.SetUpstream(a, n.slowStart(a.Service))
	}
	n.rolloutUpstreamChanged(a, present && !leaving)
	n.members.Update(func(m *gossip.Member) {
		m.Upstream = gossip.Upstream{}
		if present && !leaving {
			m.Upstream = gossip.Upstream{Service: a.Service, Version: a.Version, Instance: a.Instance, Slots: a.Slots, Since: time.Now().UnixMilli()}
		}
	})
}

// slowStart returns the duration of the slow start of the service's upstreams.
func (n *Node) slowStart(service string) time.Duration {
	if svc := n.router.Table().Service(service); svc != nil && svc.SlowStart > 0 {
		return svc.SlowStart
	}
	return admission.DefaultSlowStart
}

// Run serves until ctx ends, then drains: it refuses new requests and lets those in flight finish
// within the drain timeout of the settings. When kill ends, the drain stops at once.
func (n *Node) Run(ctx, kill context.Context) error {
	callers, err := n.network.Listen(n.cfg.Listen.Callers)
	if err != nil {
		return errors.Wrap(err, "listen.callers")
	}
	admin, err := n.network.Listen(n.cfg.Listen.Admin)
	if err != nil {
		return errors.Wrap(err, "listen.admin")
	}
	runCtx, cancelRun := context.WithCancel(context.Background())
	defer cancelRun()
	server := n.callerServer()
	var wg conc.WaitGroup
	wg.Go(func() { _ = server.Serve(callers) })
	wg.Go(func() { _ = serveAdmin(runCtx, n, admin) })
	failed := make(chan error, 1)
	wg.Go(func() { failed <- n.RunCore(runCtx) })
	n.events.Emit(events.Started, events.Fields{"callers": n.cfg.Listen.Callers, "peers": n.cfg.Listen.Peers, "admin": n.cfg.Listen.Admin})
	select {
	case <-ctx.Done():
		n.drain(kill, callers, server)
	case err = <-failed:
		_ = server.Shutdown()
	}
	cancelRun()
	wg.Wait()
	return err
}

// RunCore runs everything except the HTTP servers until ctx ends. It does not drain.
func (n *Node) RunCore(ctx context.Context) error {
	peers, err := n.network.Listen(n.cfg.Listen.Peers)
	if err != nil {
		return errors.Wrap(err, "listen.peers")
	}
	if err := n.register(ctx); err != nil {
		return err
	}
	var wg conc.WaitGroup
	run := func(f func(context.Context) error) { wg.Go(func() { _ = f(ctx) }) }
	run(func(ctx context.Context) error { return n.server.Serve(ctx, peers) })
	run(n.lag.Run)
	run(n.members.Run)
	run(func(ctx context.Context) error {
		return n.departures.Run(ctx, n.registry.Departed, n.registry.ReleaseCovered)
	})
	run(n.distributor.Run)
	run(n.housekeeping)
	run(n.rollouts.coordinator.Run)
	run(n.zones.orders.Run)
	run(n.runHolder)
	run(n.runCoordinator)
	<-ctx.Done()
	n.pool.Close()
	wg.Wait()
	return nil
}

// Dispatch handles a request as if a caller had sent it to this node.
func (n *Node) Dispatch(ctx context.Context, req *proxy.Request, timeout time.Duration) *proxy.Response {
	return n.handler.Dispatch(ctx, req, req.URI, timeout)
}

// Announce processes an announcement of the host's upstream.
func (n *Node) Announce(a upstream.Announcement) error { return n.registry.Announce(a) }

// Store returns the store of the state that all nodes agree on.
func (n *Node) Store() *distribution.Store { return n.store }

// Members returns the node's membership list.
func (n *Node) Members() *gossip.Members { return n.members }

// Ready returns a channel that is closed when the node admits requests.
func (n *Node) Ready() <-chan struct{} { return n.distributor.Ready() }

func (n *Node) register(ctx context.Context) error {
	gossipService := gossip.NewService(n.members)
	n.server.OnNotify(gossip.PushMethod, gossipService.Pushed)
	for name, service := range map[string]any{
		"Gossip":       gossipService,
		"Distribution": distribution.NewService(n.distributor),
		"Proxy":        proxy.NewService(ctx, n.owner, n.server.Process()),
		"Rollout":      rollout.NewService(n.rollouts.recorder),
		"Claims":       claims.NewService(ctx, n.claims.holder, n.claims.claimant),
	} {
		if err := n.server.Register(name, service); err != nil {
			return err
		}
	}
	return nil
}

func (n *Node) callerServer() *fasthttp.Server {
	return &fasthttp.Server{
		Handler: n.handler.Serve, ErrorHandler: n.handler.OnError, MaxRequestBodySize: n.cfg.Limits.BodyBytes,
		NoDefaultServerHeader: true, CloseOnShutdown: true, Logger: discardLogger{},
	}
}

// discardLogger drops the HTTP library's log lines; relevant faults are emitted as events.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

func (n *Node) housekeeping(ctx context.Context) error {
	tick := time.NewTicker(housekeepingInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		n.registry.Expire()
		n.crashes.Expire()
		n.members.SetVersion(n.store.State().Version)
	}
}

// LocalIP returns the IP address of addr, the source address of the node's outgoing connections. It is
// nil if addr is not an IP address with a port, or is unspecified.
func LocalIP(addr string) net.IP {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil || ap.Addr().IsUnspecified() {
		return nil
	}
	return net.IP(ap.Addr().AsSlice())
}
