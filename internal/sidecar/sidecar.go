// Package sidecar assembles the duties of the node on the users' platform: one process
// beside each upstream.
package sidecar

import (
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"celerybank/internal/balance"
	"celerybank/internal/canary"
	"celerybank/internal/crash"
	"celerybank/internal/delivery"
	"celerybank/internal/dispatch"
	"celerybank/internal/events"
	"celerybank/internal/gossip"
	"celerybank/internal/ingress"
	"celerybank/internal/orders"
	"celerybank/internal/peer"
	"celerybank/internal/proxy"
	"celerybank/internal/registry"
	"celerybank/internal/routes"
	"celerybank/platform"
)

// Node is one process.
type Node struct {
	settings platform.Settings
	network  peer.Network
	events   *events.Recorder

	pool     *peer.Pool
	server   *peer.Server
	members  *gossip.Members
	store    *platform.Client
	budget   *dispatch.Budget
	hosts    Hosts
	board    *orders.Board
	follower *orders.Follower
	balancer *balance.Balancer
	gate     *delivery.Gate
	owner    *delivery.Owner
	registry *registry.Registry
	crashes  *crash.Registry
	canaries *canary.Controller
	dispatch *dispatch.Dispatcher
	ingress  *ingress.Server
	metrics  *callMetrics
	heir     heir
	life     lifecycle
}

// Bounds of what the node buffers.
const (
	// maxBody bounds a request's body, in bytes: what a message between nodes carries.
	maxBody = 15 << 20
	// bodyShare is the part of the memory that bodies of requests may fill.
	bodyShare = 0.15
	// controlBytes bounds what a node sends for membership, in bytes a second: the two-year figure.
	controlBytes = 17_000
)

// housekeepingInterval is the time between checks of leases and clocks.
const housekeepingInterval = 100 * time.Millisecond

// New wires the duties together; nothing runs yet. ctx ends with the process.
func New(ctx context.Context, s platform.Settings, network peer.Network, ev *events.Recorder) *Node {
	n := &Node{settings: s, network: network, events: ev, heir: newHeir()}
	n.store = platform.NewClient(s.Store.Address, platform.CallTimeout, network.Dial)
	operator := platform.NewOperator(n.store)
	n.pool = peer.NewPool(network, ev, nil)
	n.server = peer.NewServer(ev, nil)
	n.members = gossip.New(gossip.Config{Self: gossip.Member{Addr: s.Peers, Name: s.Name, Zone: s.Zone, Region: s.Region},
		Peers: n.pool, Events: ev, BytesPerSecond: controlBytes})
	n.hosts = platform.NewHosts(n.store)
	n.board = orders.NewBoard(operator, ev)
	n.follower = orders.NewFollower(n.board, operator, n.pool, n.members, ev)
	n.balancer = balance.New(s.Zone)
	n.members.Subscribe(n.balancer.Update)
	n.members.SubscribeFacts(func(f gossip.Fact) { n.heir.learn(s.Peers, f) })
	n.crashes = crash.New(n.members, ev)
	n.gate = delivery.NewGate()
	n.canaries = canary.New(canary.Config{Addr: s.Peers, Members: n.members, Peers: n.pool, View: n.board.View, Outcomes: platform.NewStatuses(n.store), Events: ev,
		Running: n.gate.Running, Bound: canary.Bound{Share: s.Bounds.CanaryShare, Slack: s.Bounds.CanarySlack}})
	n.owner = delivery.New(ctx, delivery.Config{Gate: n.gate, Dialer: network, Wire: platform.Wire{}, Table: n.table, RefusalReason: n.barred,
		Crashes: n.crashes, Observer: n.canaries, Events: ev, Cold: delivery.ColdBound{Overshoot: s.Bounds.ColdOvershoot, Slack: s.Bounds.ColdSlack},
		MeanProcessingTime: n.balancer.MeanProcessingTime})
	n.registry = registry.New(s.Service, s.Upstream, s.AnnounceInterval, ev, n.upstreamChanged)
	n.board.Subscribe(n.ordersChanged)
	n.budget = &dispatch.Budget{Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack, Window: s.Bounds.RetryWindow, Nodes: n.living}
	n.dispatch = dispatch.New(dispatch.Config{Addr: s.Peers, View: n.board.View, Balancer: n.balancer, Owner: n.owner, Peers: n.pool,
		Budget: n.budget, Crashes: n.crashes, Canaries: n.canaries, Events: ev, ViewFresh: n.life.trusts})
	n.ingress = ingress.New(ingress.Config{Handler: n, Limits: n.limits, BodyBytes: maxBody,
		AllBodies: int64(bodyShare * float64(s.MemoryBytes))})
	n.metrics = newCallMetrics(n)
	return n
}

func (n *Node) living() int { return len(n.members.Alive()) }

func (n *Node) table() *routes.Table { return n.board.View().Table }

func (n *Node) limits() routes.Limits {
	if t := n.table(); t != nil {
		return t.Limits
	}
	return routes.Limits{}
}

// barred says why the upstream of this host gets no work.
func (n *Node) barred(version string) proxy.Reason {
	switch {
	case n.board.View().ZonesOut[n.settings.Zone]:
		return proxy.ReasonZoneOut
	case n.canaries.Excluded(n.settings.Service, version):
		return proxy.ReasonVetoed
	}
	return proxy.ReasonNone
}

// ordersChanged takes in what the operator ordered. A zone that comes back may have
// upstreams that turned cold while they were out.
func (n *Node) ordersChanged(old, now *orders.View) {
	zone := n.settings.Zone
	if old.ZonesOut[zone] && !now.ZonesOut[zone] {
		n.owner.AssumeCold()
	}
	n.canaries.ApplyOrders(old, now)
	n.owner.Refresh()
}

func (n *Node) upstreamChanged(u registry.Upstream, present bool) {
	n.owner.SetUpstream(u, present)
	serves := present && u.State == registry.Ready
	n.canaries.SetUpstream(u.Service, u.Version, serves)
	n.members.Update(func(m *gossip.Member) {
		m.Upstream = gossip.Upstream{}
		if serves {
			m.Upstream = gossip.Upstream{Service: u.Service, Version: u.Version, Instance: u.Instance, Slots: u.Slots, Since: u.Born}
		}
	})
}

// Serve answers one request of a caller. It implements ingress.Handler.
func (n *Node) Serve(ctx context.Context, from ingress.Caller, in *fasthttp.Request, out *fasthttp.Response) {
	start := time.Now()
	req, path, timeout := platform.ReadRequest(in)
	req.Caller = n.settings.Service
	a := n.dispatch.Dispatch(ctx, req, path, dispatch.Caller{Timeout: timeout, Pipelines: from.Pipelines})
	n.metrics.observe(a, time.Since(start))
	platform.WriteAnswer(out, req, a)
}

// Run serves until ctx ends, then drains.
func (n *Node) Run(ctx context.Context) error {
	callers, err := n.network.Listen(n.settings.Callers)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	peers, err := n.network.Listen(n.settings.Peers)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	life, end := context.WithCancel(context.Background())
	defer end()
	for name, service := range map[string]any{"Gossip": gossip.NewService(n.members), "Orders": orders.NewService(n.follower),
		"Proxy": proxy.NewService(life, n.owner), "Canary": canary.NewService(n.canaries)} {
		if err := n.server.Register(name, service); err != nil {
			return err
		}
	}
	search := &discovery{self: n.settings.Peers, hosts: n.hosts, members: n.members, events: n.events}
	var wg conc.WaitGroup
	for addr, handler := range map[string]fasthttp.RequestHandler{
		n.settings.Ready:         platform.ServeReady(n.ready),
		n.settings.Announcements: platform.ServeAnnouncements(n.registry, n.invalidAnnouncement),
		n.settings.Metrics:       n.metrics.serve,
	} {
		l, err := n.network.Listen(addr)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		wg.Go(func() { serveHTTP(life, l, handler) })
	}
	wg.Go(func() { _ = n.ingress.Serve(callers) })
	for _, task := range []func(context.Context) error{func(ctx context.Context) error { return n.server.Serve(ctx, peers) },
		n.members.Run, n.follower.Run, search.Run, n.inherit, n.probeZones, n.canaries.Run, n.housekeeping} {
		wg.Go(func() {
			if err := task(life); err != nil {
				n.events.Emit(events.TaskFailed, events.Fields{"reason": err.Error()})
			}
		})
	}
	n.events.Emit(events.Started, events.Fields{"callers": n.settings.Callers, "peers": n.settings.Peers, "service": n.settings.Service,
		"upstream": n.settings.Upstream, "store": n.settings.Store.Address})
	<-ctx.Done()
	n.drain()
	end()
	_ = callers.Close()
	n.ingress.Close()
	n.pool.Close()
	ended := make(chan struct{})
	go func() { wg.Wait(); close(ended) }()
	select {
	case <-ended:
	case <-time.After(endTimeout): // a read of the store that waits for news has nothing to lose
	}
	return nil
}

// endTimeout bounds the wait for tasks after the drain.
const endTimeout = 100 * time.Millisecond

func (n *Node) invalidAnnouncement(instance string, err error) {
	n.events.Emit(events.AnnounceInvalid, events.Fields{"instance": instance, "reason": err.Error()})
}

// Bounds of the small HTTP servers.
const (
	smallReadTimeout = 5 * time.Second
	smallConcurrency = 256
)

// serveHTTP answers on l until ctx ends.
func serveHTTP(ctx context.Context, l net.Listener, handler fasthttp.RequestHandler) {
	s := &fasthttp.Server{Handler: handler, NoDefaultServerHeader: true, NoDefaultDate: true, ReadTimeout: smallReadTimeout, IdleTimeout: time.Minute,
		Concurrency: smallConcurrency, MaxRequestBodySize: platform.MaxAnnouncement, ReadBufferSize: 4 << 10, Logger: silent{}}
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	_ = s.Serve(l) // ends when the listener is closed
}

// silent discards the HTTP library's own log lines: what matters is an event.
type silent struct{}

func (silent) Printf(string, ...any) {}
