package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"

	"celerybank/internal/configlog"
	"celerybank/internal/duration"
	"celerybank/internal/peer"
	"celerybank/platform"
	"celerybank/platform/counterpart"
)

// Config holds the options of a run.
type Config struct {
	// Seed determines the faults of the run.
	Seed     uint64
	Duration time.Duration
	Hosts    int
	// Rate is the requests per second from the callers at each host.
	Rate float64
	// Programs is the directory of the built programs, Dir that of logs and settings files.
	Programs, Dir string
	// Out receives a line for each fault, each outcome of a rollout and each problem of the run itself.
	Out io.Writer
}

// Result has the violations that a run found and the numbers of its requests.
type Result struct {
	Violations []Violation
	Counts     Counts
}

const (
	zones = 3
	// startTimeout bounds the time until all nodes are ready.
	startTimeout = 15 * time.Second
	// restartDelay is the time after which the platform restarts a process.
	restartDelay = 300 * time.Millisecond
	// gracePeriod is the time between SIGTERM and SIGKILL.
	gracePeriod = 6 * time.Second
	// stormInterval is the time between two configurations of a storm.
	stormInterval = 300 * time.Millisecond
	// rollingRestartInterval is the time between a restart and the next one of a rolling restart.
	rollingRestartInterval = 500 * time.Millisecond
	// operatorRetryInterval is the time between two calls of the operator to the store.
	operatorRetryInterval = 100 * time.Millisecond
	storePort             = 7700
	// maxPeerProxies is how many hosts have a proxy for connections from peers. Each proxy needs two
	// open files for each other host.
	maxPeerProxies = 16
	// firstHost is the last byte of the IP of the first host.
	firstHost = 10
	// storeDelay is the delay of each call under StoreSlow. Under StoreLosesReplies the response to one
	// append in storeLoseReplyEvery is lost.
	storeDelay          = 300 * time.Millisecond
	storeLoseReplyEvery = 3
)

var services = []string{"stock", "orders"}

// runner is the state of a run.
type runner struct {
	Config
	checker *Checker
	// ipPrefix is the first three bytes of the IPs of the run, with dots.
	ipPrefix  string
	hosts     []*host
	store     *process
	storeAddr string
	operator  *platform.Log
	written   writtenRecords
	callers   conc.WaitGroup

	mu      sync.Mutex
	version uint64 // of the last configuration
	// routes maps the path prefixes of the routes to services.
	routes map[string]string
	// zonesOut has the zone that is out; at most one is.
	zonesOut map[int]bool
	// rollouts counts the rollouts; one runs at a time.
	rollouts       int
	rolloutRunning bool
	// keys is nil in runs without workspaces.
	keys *keyRing
}

// prefixes maps the path prefixes of the routes to whether their requests are safe.
var prefixes = map[string]bool{"/look/": true, "/list/": true, "/order/": false, "/cut/": false}

// Run executes one run. It returns an error if the run could not start; violations are in the result.
func Run(ctx context.Context, c Config) (Result, error) {
	r := &runner{Config: c, checker: NewChecker(), routes: map[string]string{}, zonesOut: map[int]bool{},
		written: writtenRecords{sinceCopy: map[string][]byte{}}}
	if hasWorkspaces(c.Seed) {
		r.keys = newKeyRing()
	}
	if failsClosed(c.Seed) {
		r.checker.FailClosed()
	}
	defer r.close()
	if err := r.start(ctx); err != nil {
		return Result{}, err
	}
	plan := Plan(c.Seed, c.Duration, c.Hosts, zones)
	ctx, stop := context.WithTimeout(ctx, c.Duration)
	defer stop()
	var ids atomic.Int64
	for _, h := range r.hosts {
		x := &callers{host: h, checker: r.checker, rate: c.Rate, prefixes: prefixes, ids: &ids, keys: r.keys}
		r.callers.Go(func() { x.run(ctx) })
	}
	if r.keys != nil {
		r.callers.Go(func() { r.rotateKeys(ctx) })
	}
	start := time.Now()
	var faults conc.WaitGroup
	for _, f := range plan {
		if !duration.Sleep(ctx, time.Until(start.Add(f.At))) {
			break
		}
		fmt.Fprintln(c.Out, f)
		faults.Go(func() { r.inject(ctx, f) })
	}
	<-ctx.Done()
	faults.Wait()
	r.callers.Wait()
	r.checkLogs()
	violations, counts := r.checker.Finish()
	return Result{violations, counts}, nil
}

// start starts the store, the nodes and their upstreams and waits until all nodes are ready.
func (r *runner) start(ctx context.Context) (err error) {
	// Runs of other processes and seeds usually have other addresses.
	ipPrefix := fmt.Sprintf("127.%d.%d.", 100+os.Getpid()%100, r.Seed%250)
	r.storeAddr = fmt.Sprint(ipPrefix, "1:", storePort)
	if r.store, err = startProcess(filepath.Join(r.Dir, "store.log"), filepath.Join(r.Programs, "celerystandin"), "platform", "--listen", r.storeAddr); err != nil {
		return err
	}
	r.operator = platform.NewLog(r.storeAddr, time.Second, peer.TCP{}.Dial)
	r.ipPrefix = ipPrefix
	for i := range r.Hosts {
		h := r.newHost(fmt.Sprint("h", i), firstHost+i, i%zones, services[i/zones%len(services)])
		h.peersProxied = i < maxPeerProxies
		r.hosts = append(r.hosts, h)
		if err := h.boot(ctx, r, false); err != nil {
			return err
		}
	}
	i := 0
	for p := range prefixes {
		r.routes[p] = services[i%len(services)]
		i++
	}
	r.publishConfig(ctx)
	for end := time.Now().Add(startTimeout); ; {
		ready := 0
		for _, h := range r.hosts {
			if h.ready() {
				ready++
			}
		}
		if ready == len(r.hosts) {
			duration.Sleep(ctx, heartbeatInterval)
			return ctx.Err()
		}
		if time.Now().After(end) {
			return errors.Errorf("%d of %d nodes are ready after %v", ready, len(r.hosts), startTimeout)
		}
		if !duration.Sleep(ctx, operatorRetryInterval) {
			return ctx.Err()
		}
	}
}

// newHost returns a host that is not started. number is the last byte of its IP.
func (r *runner) newHost(name string, number, zone int, service string) *host {
	return &host{name: name, ip: fmt.Sprint(r.ipPrefix, number), zone: zoneName(zone), service: service, version: initialVersion,
		program: filepath.Join(r.Programs, "celerysidecar"), dir: r.Dir}
}

// boot starts the node and the upstream of a host.
func (h *host) boot(ctx context.Context, r *runner, cold bool) (err error) {
	if err := h.prepare(r.storeAddr, failsClosed(r.Seed)); err != nil {
		return err
	}
	if err := h.start(); err != nil {
		return err
	}
	h.up, err = startUpstream(ctx, h, r.checker, cold)
	return err
}

func zoneName(i int) string { return fmt.Sprint("zone-", i) }

// ready reports whether the node is ready.
func (h *host) ready() bool {
	client := http.Client{Timeout: dialTimeout}
	resp, err := client.Get("http://" + h.addr(counterpart.ReadyPort) + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close kills all processes of the run.
func (r *runner) close() {
	for _, h := range r.hosts {
		h.close()
	}
	if r.store != nil {
		r.store.signal(syscall.SIGKILL)
		<-r.store.done
	}
}

// inject begins a fault, waits for its duration and ends it.
func (r *runner) inject(ctx context.Context, f Fault) {
	switch f.Kind {
	case RouteChange:
		r.publishConfig(ctx)
	case ConfigStorm:
		for end := time.Now().Add(f.Duration); time.Now().Before(end); {
			r.publishConfig(ctx)
			duration.Sleep(ctx, stormInterval) // the storm has its full duration, also when ctx ends
		}
	case ZoneOutIn:
		r.zoneOutIn(ctx, f)
	case StoreDown:
		r.injectStoreFaults(ctx, f, configlog.Faults{Outage: true})
	case StoreSlow:
		r.injectStoreFaults(ctx, f, configlog.Faults{Delay: storeDelay})
	case StoreLosesReplies:
		r.injectStoreFaults(ctx, f, configlog.Faults{LoseReplyEvery: storeLoseReplyEvery})
	case StoreTruncate:
		r.injectStoreFaults(ctx, f, configlog.Faults{Retain: -1})
	case StoreRestored:
		r.restoreStore(ctx, f)
	case GoodRollout, BadRollout:
		r.rollout(ctx, f)
	case KillAll:
		r.killAndRestartAll(ctx)
	case RollingRestart:
		for _, i := range f.Hosts {
			r.restartGracefully(ctx, r.hosts[i])
			duration.Sleep(ctx, rollingRestartInterval) // also when ctx ends, the other nodes are restarted
		}
	default:
		var all conc.WaitGroup
		for _, i := range f.Hosts {
			all.Go(func() { r.injectAt(ctx, f, r.hosts[i]) })
		}
		all.Wait()
	}
}

// injectAt injects a fault at one host.
func (r *runner) injectAt(ctx context.Context, f Fault, h *host) {
	switch f.Kind {
	case GracefulRestart:
		r.restartGracefully(ctx, h)
	case Kill:
		r.killAndRestart(h)
	case Suspend:
		defer r.checker.Disrupt(Suspended, h.name)()
		p := h.process()
		p.signal(syscall.SIGSTOP)
		duration.Sleep(ctx, f.Duration) // also when ctx ends, the node is resumed
		p.signal(syscall.SIGCONT)
	case StoreRefuses:
		r.injectProxyFault(ctx, f, h, h.store, refuseConns, StoreFault)
	case StoreBlackhole:
		r.injectProxyFault(ctx, f, h, h.store, blackhole, StoreFault)
	case StoreOneWay:
		r.injectProxyFault(ctx, f, h, h.store, holdInbound, StoreFault)
	case PeersReset:
		r.injectProxyFault(ctx, f, h, h.peers, resetConns, Unplanned)
	case PeersBlackhole:
		r.injectProxyFault(ctx, f, h, h.peers, blackhole, Unplanned)
	case PeersSlow:
		r.injectProxyFault(ctx, f, h, h.peers, delayData, Unplanned)
	case PeersOneWay:
		r.injectProxyFault(ctx, f, h, h.peers, holdInbound, Unplanned)
	case CallersReset:
		r.injectProxyFault(ctx, f, h, h.callers, resetConns, Unplanned)
	case CallersSlow:
		r.injectProxyFault(ctx, f, h, h.callers, delayData, Unplanned)
	case UpstreamReset:
		r.injectProxyFault(ctx, f, h, h.upstreams, resetConns, Unplanned)
	case UpstreamBlackhole:
		r.injectProxyFault(ctx, f, h, h.upstreams, blackhole, Unplanned)
	case UpstreamSlow:
		r.injectProxyFault(ctx, f, h, h.upstreams, delayData, Unplanned)
	case UpstreamMalformed:
		h.malformed.Store(true)
		duration.Sleep(ctx, f.Duration) // also when ctx ends, the fault is ended
		h.malformed.Store(false)
	case UpstreamCrash:
		defer r.checker.Disrupt(Unplanned, h.name)()
		r.replaceUpstream(ctx, h, func() { h.up.crash(); duration.Sleep(ctx, f.Duration) })
	case UpstreamDrain:
		r.replaceUpstream(ctx, h, func() { h.up.drain(ctx) })
	}
}

// injectProxyFault injects a fault into the connections of a proxy for the duration of f. It does
// nothing if p is nil, as it is for the peers of hosts that have no such proxy.
func (r *runner) injectProxyFault(ctx context.Context, f Fault, h *host, p *proxy, pf proxyFault, d Disruption) {
	if p == nil {
		return
	}
	end := r.checker.Disrupt(d, h.name)
	p.setFault(pf)
	duration.Sleep(ctx, f.Duration) // also when ctx ends, the fault is ended
	if pf != blackhole && pf != resetConns {
		p.setFault(noFault)
	}
	end()
}

// replaceUpstream calls stop, which stops the upstream of a host, and starts a cold one in its place.
func (r *runner) replaceUpstream(ctx context.Context, h *host, stop func()) {
	h.replacing.Lock()
	defer h.replacing.Unlock()
	stop()
	if ctx.Err() != nil {
		return
	}
	up, err := startUpstream(ctx, h, r.checker, true)
	if err != nil {
		fmt.Fprintln(r.Out, "cannot start an upstream:", err)
		return
	}
	h.up = up
}

// restartGracefully stops a node by SIGTERM and starts it again.
func (r *runner) restartGracefully(ctx context.Context, h *host) {
	h.restarting.Lock()
	defer h.restarting.Unlock()
	end := r.checker.Disrupt(PlannedStop, h.name)
	p := h.process()
	p.signal(syscall.SIGTERM)
	if !p.wait(gracePeriod) {
		fmt.Fprintln(r.Out, h.name, "did not exit within the grace period; killing it")
		p.signal(syscall.SIGKILL)
		<-p.done
	}
	end()
	defer r.checker.Disrupt(Unplanned, h.name)() // until the node has started, callers cannot connect
	r.startAfterDelay(ctx, h)
}

// killAndRestart kills a node and starts it again, also when the run ends meanwhile.
func (r *runner) killAndRestart(h *host) {
	h.restarting.Lock()
	defer h.restarting.Unlock()
	defer r.checker.Disrupt(Unplanned, h.name)()
	p := h.process()
	p.signal(syscall.SIGKILL)
	<-p.done
	r.startAfterDelay(context.Background(), h)
}

// killAndRestartAll kills and restarts all nodes at once.
func (r *runner) killAndRestartAll(ctx context.Context) {
	defer r.checker.Disrupt(TotalOutage, "")()
	var all conc.WaitGroup
	for _, h := range r.hosts {
		all.Go(func() { r.killAndRestart(h) })
	}
	all.Wait()
	duration.Sleep(ctx, restartDelay) // the outage ends when all nodes run again
}

// startAfterDelay starts the node of a host after restartDelay.
func (r *runner) startAfterDelay(ctx context.Context, h *host) {
	duration.Sleep(ctx, restartDelay) // also when ctx ends, the node is started, so that none is missing
	if err := h.start(); err != nil {
		fmt.Fprintln(r.Out, h.name, "failed to start:", err)
	}
}
