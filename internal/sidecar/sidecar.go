// Package sidecar assembles the node for the users' platform: one process beside each upstream.
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
	"celerybank/internal/departure"
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

// Node is the process that runs on each host beside its upstream.
type Node struct {
	settings platform.Settings
	network  peer.Network
	events   *events.Recorder

	pool          *peer.Pool
	server        *peer.Server
	sentBytes     *peer.Meter
	members       *gossip.Members
	store         *platform.Client
	budget        *dispatch.Budget
	hosts         Hosts
	storeRestored chan struct{}
	replica       *orders.Replica
	follower      *orders.Follower
	balancer      *balance.Balancer
	gate          *delivery.Gate
	owner         *delivery.Owner
	departures    *departure.Tracker
	registry      *registry.Registry
	crashes       *crash.Registry
	rollouts      *canary.Controller
	dispatch      *dispatch.Dispatcher
	ingress       *ingress.Server
	metrics       *callMetrics
	memory        memory
	handoverInbox handoverInbox
	process       processState
	confirmation  confirmationState
	usage         *usageDuty
}

// Limits of the node's traffic.
const (
	// maxBodyBytes bounds a request's body to what a message between nodes can carry.
	maxBodyBytes = 15 << 20
	// controlBytesPerSecond bounds a node's outgoing membership traffic, for the fleet size expected in two years.
	controlBytesPerSecond = 17_000
)

// housekeepingInterval is the time between checks of the clocks.
const housekeepingInterval = 100 * time.Millisecond

// New assembles a node without starting it. ctx must last as long as the process.
func New(ctx context.Context, s platform.Settings, network peer.Network, ev *events.Recorder) *Node {
	n := &Node{settings: s, network: network, events: ev, handoverInbox: newHandoverInbox(), storeRestored: make(chan struct{}, 1)}
	n.process.suspension.init(time.Now(), bootTime())
	n.store = platform.NewClient(s.Store.Address, platform.RequestTimeout, network.Dial)
	operator := platform.NewOperator(n.store)
	n.pool = peer.NewPool(network, ev, nil)
	n.server = peer.NewServer(ev, nil)
	n.memory = newMemory(s.MemoryBytes, ev)
	n.pool.SetMemory(n.memory.frames)
	n.server.SetMemory(n.memory.frames)
	links := newHostLinks(s.Zone)
	n.sentBytes = peer.NewMeter(links.of)
	n.pool.SetMeter(n.sentBytes)
	n.server.SetMeter(n.sentBytes)
	n.members = gossip.New(gossip.Config{Self: gossip.Member{Addr: s.Peers, Name: s.Name, Zone: s.Zone, Region: s.Region},
		Peers: n.pool.Repeating(), Events: ev, BytesPerSecond: controlBytesPerSecond})
	n.members.Subscribe(links.update)
	n.hosts = platform.NewHosts(n.store)
	n.replica = orders.NewReplica(operator, ev)
	n.follower = orders.NewFollower(n.replica, operator, n.pool.Repeating(), n.members, ev)
	n.setConfirmationLimit()
	n.balancer = balance.New(s.Zone)
	n.members.Subscribe(n.balancer.Update)
	n.members.SubscribeFacts(func(f gossip.Fact) { n.handoverInbox.observe(s.Peers, f) })
	n.crashes = crash.New(n.members, ev)
	n.usage = newUsageDuty(n)
	n.gate = delivery.NewGate()
	n.rollouts = canary.New(canary.Config{Addr: s.Peers, Members: n.members, Peers: n.pool, View: n.replica.View, Outcomes: platform.NewStatuses(n.store), Events: ev,
		Running: n.gate.Running, Bound: canary.Bound{Share: s.Bounds.CanaryShare, Slack: s.Bounds.CanarySlack}})
	n.owner = delivery.New(ctx, delivery.Config{Gate: n.gate, Dialer: network, Wire: platform.Wire{Workspaces: n.hasWorkspaces}, Table: n.table, RefusalReason: n.refusalReason,
		Crashes: n.crashes, Observer: n.rollouts, Leaving: n.upstreamLeaves, Events: ev, Cold: delivery.ColdBound{Overshoot: s.Bounds.ColdOvershoot, Slack: s.Bounds.ColdSlack},
		MeanProcessingTime: n.balancer.MeanProcessingTime,
		Usage:              n.usage.counterOrNil(),
		AdmitByChildren:    s.AdmitByChildren,
		ResponseMemory:     n.memory.read})
	n.departures = departure.New(s.Peers, n.members, ev)
	n.registry = registry.New(s.Service, s.Upstream, s.AnnounceInterval, n.departures, ev, n.upstreamChanged)
	n.replica.Subscribe(n.ordersChanged)
	n.budget = &dispatch.Budget{Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack, Window: s.Bounds.RetryWindow, Nodes: n.aliveMembers}
	n.dispatch = dispatch.New(dispatch.Config{Addr: s.Peers, View: n.replica.View, Balancer: n.balancer, Owner: n.owner, Peers: n.pool,
		Budget: n.budget, Crashes: n.crashes, Canaries: n.rollouts, Parents: n.owner, Events: ev, ViewFresh: n.viewFresh,
		KeysConfirmed: n.keysConfirmed})
	n.ingress = ingress.New(n.ingressConfig())
	n.metrics = newCallMetrics(n)
	return n
}

// aliveMembers returns the number of alive members, this node included.
func (n *Node) aliveMembers() int { return n.members.AliveCount() }

func (n *Node) table() *routes.Table { return n.replica.View().Table }

func (n *Node) limits() routes.Limits {
	if t := n.table(); t != nil {
		return t.Limits
	}
	return routes.Limits{}
}

// refusalReason returns why the upstream of this host must not run requests of the version, or ReasonNone.
func (n *Node) refusalReason(version string) proxy.Reason {
	switch {
	case !n.viewFresh():
		return proxy.ReasonNotReady
	case n.replica.View().ZonesOut[n.settings.Zone]:
		return proxy.ReasonZoneOut
	case n.rollouts.Excluded(n.settings.Service, version):
		return proxy.ReasonVetoed
	}
	return proxy.ReasonNone
}

// ordersChanged applies new operator orders. The upstream of a zone that is in again may have become
// cold while it received no requests, also if this node has not seen that the zone was out.
func (n *Node) ordersChanged(old, now *orders.View) {
	zone := n.settings.Zone
	if now.ZonesIn[zone] != old.ZonesIn[zone] {
		n.owner.AssumeCold(delivery.ColdZoneIn)
	}
	if orders.Restored(old, now) {
		select {
		case n.storeRestored <- struct{}{}:
		default: // a check is due already
		}
	}
	n.rollouts.ApplyOrders(old, now)
	n.owner.Refresh()
}

// upstreamChanged applies a change of this host's upstream and publishes it to the members.
func (n *Node) upstreamChanged(u registry.Upstream, present bool) {
	n.owner.SetUpstream(u, present)
	serves := present && u.State == registry.Ready
	n.rollouts.SetUpstream(u.Service, u.Version, serves)
	n.members.Update(func(m *gossip.Member) {
		m.Upstream = gossip.Upstream{}
		if serves {
			m.Upstream = gossip.Upstream{Service: u.Service, Version: u.Version, Instance: u.Instance, Slots: u.Slots, Since: u.Born}
		}
	})
}

// upstreamLeaves applies a response of this host's upstream that says that it leaves.
func (n *Node) upstreamLeaves(instance string, born int64) { n.registry.Leave(instance, born) }

// Serve handles one request of a caller. It implements ingress.Handler.
func (n *Node) Serve(ctx context.Context, from ingress.Caller, in *fasthttp.Request, out *fasthttp.Response) {
	start := time.Now()
	req, path, caller := platform.ReadRequest(in)
	req.Caller, caller.Pipelines = n.settings.Service, from.Pipelines
	res := n.dispatch.Dispatch(ctx, req, path, caller)
	n.metrics.observe(res, time.Since(start))
	platform.WriteResponse(out, req, res)
	from.HoldResponse(res.PassHeld())
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
	runCtx, cancelRun := context.WithCancel(context.Background())
	defer cancelRun()
	gossipService := gossip.NewService(n.members)
	n.server.OnNotify(gossip.PushMethod, gossipService.Pushed)
	services := map[string]any{"Gossip": gossipService, "Orders": orders.NewService(n.follower),
		"Proxy": proxy.NewService(runCtx, n.owner, n.server.Process()), "Canary": canary.NewService(n.rollouts)}
	n.usage.services(services)
	for name, service := range services {
		if err := n.server.Register(name, service); err != nil {
			return err
		}
	}
	hostDiscovery := &discovery{self: n.settings.Peers, hosts: n.hosts, members: n.members, events: n.events, restored: n.storeRestored}
	var wg conc.WaitGroup
	for addr, handler := range map[string]fasthttp.RequestHandler{
		n.settings.Ready:         platform.ServeReady(n.ready),
		n.settings.Announcements: platform.ServeAnnouncements(n.registry, n.invalidAnnouncement),
		n.settings.Metrics:       n.metrics.serve,
	} {
		l, err := n.network.Listen(addr)
		if err != nil {
			return errors.Wrap(err, "listen for readiness checks, announcements or metrics")
		}
		wg.Go(func() { serveHTTP(runCtx, l, handler) })
	}
	wg.Go(func() { _ = n.ingress.Serve(callers) })
	for _, task := range []func(context.Context) error{func(ctx context.Context) error { return n.server.Serve(ctx, peers) },
		n.members.Run, n.follower.Run, hostDiscovery.Run, hostDiscovery.rewriteLost, n.acceptHandover, n.inheritDepartures, n.checkHeld, n.probeZones, n.rollouts.Run, n.housekeeping, n.usage.Run} {
		wg.Go(func() {
			if err := task(runCtx); err != nil {
				n.events.Emit(events.TaskFailed, events.Fields{"reason": err.Error()})
			}
		})
	}
	n.events.Emit(events.Started, events.Fields{"callers": n.settings.Callers, "peers": n.settings.Peers, "service": n.settings.Service,
		"upstream": n.settings.Upstream, "store": n.settings.Store.Address})
	<-ctx.Done()
	n.drain()
	cancelRun()
	_ = callers.Close()
	n.ingress.Close()
	n.pool.Close()
	tasksDone := make(chan struct{})
	go func() { wg.Wait(); close(tasksDone) }()
	select {
	case <-tasksDone:
	case <-time.After(taskStopTimeout): // a pending long poll of the store can be abandoned
	}
	return nil
}

// taskStopTimeout bounds the wait for background tasks after the drain.
const taskStopTimeout = 100 * time.Millisecond

func (n *Node) invalidAnnouncement(instance string, err error) {
	n.events.Emit(events.AnnounceInvalid, events.Fields{"instance": instance, "reason": err.Error()})
}

// Bounds of the HTTP servers for readiness, announcements and metrics.
const (
	auxReadTimeout = 5 * time.Second
	auxConcurrency = 64
)

// serveHTTP serves handler on l until ctx ends.
func serveHTTP(ctx context.Context, l net.Listener, handler fasthttp.RequestHandler) {
	s := &fasthttp.Server{Handler: handler, NoDefaultServerHeader: true, NoDefaultDate: true, ReadTimeout: auxReadTimeout, IdleTimeout: time.Minute,
		Concurrency: auxConcurrency, MaxRequestBodySize: platform.MaxAnnouncementBytes, ReadBufferSize: 4 << 10, Logger: discardLogger{}}
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	_ = s.Serve(retryingListener{l}) // ends when the listener is closed
}

// retryingListener accepts again after a failure, as when the process is out of file descriptors for a moment.
type retryingListener struct{ net.Listener }

// acceptRetryDelay is the delay after a failed accept.
const acceptRetryDelay = 5 * time.Millisecond

func (l retryingListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return c, err
		}
		time.Sleep(acceptRetryDelay)
	}
}

// discardLogger drops the HTTP library's log lines; relevant faults are emitted as events.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
