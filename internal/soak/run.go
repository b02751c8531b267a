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

// Config is one run.
type Config struct {
	Seed   uint64
	Length time.Duration
	Hosts  int
	// PerS is the rate of callers at each host.
	PerS float64
	// Programs is the folder of the built programs, Dir that of logs and settings.
	Programs, Dir string
	// Out gets what happens.
	Out io.Writer
}

// Result is what a run found.
type Result struct {
	Violations []Violation
	Counts     Counts
}

const (
	zones = 3
	// startWait bounds the wait for a fleet that starts.
	startWait = 15 * time.Second
	// restartDelay is after what time the platform starts a process again.
	restartDelay = 300 * time.Millisecond
	// grace is the time between SIGTERM and SIGKILL.
	grace = 6 * time.Second
	// stormGap is the time between two configurations of a storm.
	stormGap = 300 * time.Millisecond
	// termGap is the time between two stops of a series.
	termGap = 500 * time.Millisecond
	// operatorRetry is the pause of an operator whom the store does not answer.
	operatorRetry = 100 * time.Millisecond
	storePort     = 7700
	// peersProxied is how many hosts have a proxy before their peers: each of them costs two open
	// files for each other host.
	peersProxied = 16
)

var services = []string{"stock", "orders"}

// soak is a run under way.
type soak struct {
	Config
	checker *Checker
	// base is the first three numbers of the IPs of the run.
	base     string
	hosts    []*host
	store    *process
	storeAt  string
	operator *platform.Log
	life     conc.WaitGroup

	mu      sync.Mutex
	version uint64
	// routes maps prefixes to services.
	routes map[string]string
	out    map[int]bool
	// moves counts the rollouts; one runs at a time.
	moves  int
	moving bool
}

// prefixes maps those of the routes to whether their requests are safe.
var prefixes = map[string]bool{"/look/": true, "/list/": true, "/order/": false, "/cut/": false}

// Execute plays one run. An error means that the run could not be played; broken promises are in the result.
func Execute(ctx context.Context, c Config) (Result, error) {
	s := &soak{Config: c, checker: NewChecker(), routes: map[string]string{}, out: map[int]bool{}}
	defer s.close()
	if err := s.start(ctx); err != nil {
		return Result{}, err
	}
	plan := Plan(c.Seed, c.Length, c.Hosts, zones)
	ctx, stop := context.WithTimeout(ctx, c.Length)
	defer stop()
	var ids atomic.Int64
	for _, h := range s.hosts {
		x := &callers{host: h, checker: s.checker, perS: c.PerS, prefixes: prefixes, ids: &ids}
		s.life.Go(func() { x.run(ctx) })
	}
	began := time.Now()
	var troubles conc.WaitGroup
	for _, t := range plan {
		if !duration.Sleep(ctx, time.Until(began.Add(t.At))) {
			break
		}
		fmt.Fprintln(c.Out, t)
		troubles.Go(func() { s.play(ctx, t) })
	}
	<-ctx.Done()
	troubles.Wait()
	s.life.Wait()
	violations, counts := s.checker.Finish()
	return Result{violations, counts}, nil
}

// start brings the store, the nodes and their upstreams up.
func (s *soak) start(ctx context.Context) (err error) {
	base := fmt.Sprintf("127.%d.%d.", 100+os.Getpid()%100, s.Seed%250)
	s.storeAt = fmt.Sprint(base, "1:", storePort)
	if s.store, err = startProcess(filepath.Join(s.Dir, "store.log"), filepath.Join(s.Programs, "celerystandin"), "platform", "--listen", s.storeAt); err != nil {
		return err
	}
	s.operator = platform.NewLog(s.storeAt, time.Second, peer.TCP{}.Dial)
	s.base = base
	for i := range s.Hosts {
		h := s.newHost(fmt.Sprint("h", i), 10+i, i%zones, services[i/zones%len(services)])
		h.peersProxied = i < peersProxied
		s.hosts = append(s.hosts, h)
		if err := h.boot(ctx, s, false); err != nil {
			return err
		}
	}
	i := 0
	for p := range prefixes {
		s.routes[p] = services[i%len(services)]
		i++
	}
	s.configure(ctx)
	for end := time.Now().Add(startWait); ; {
		ready := 0
		for _, h := range s.hosts {
			if h.ready() {
				ready++
			}
		}
		if ready == len(s.hosts) {
			duration.Sleep(ctx, heartbeat)
			return ctx.Err()
		}
		if time.Now().After(end) {
			return errors.Errorf("%d of %d nodes are ready after %v", ready, len(s.hosts), startWait)
		}
		if !duration.Sleep(ctx, operatorRetry) {
			return ctx.Err()
		}
	}
}

// newHost returns a host that is not started; number is the last of its IP.
func (s *soak) newHost(name string, number, zone int, service string) *host {
	return &host{name: name, ip: fmt.Sprint(s.base, number), zone: zoneName(zone), service: service, version: firstVersion,
		program: filepath.Join(s.Programs, "celerysidecar"), dir: s.Dir}
}

// boot starts the node and the upstream of a host.
func (h *host) boot(ctx context.Context, s *soak, isCold bool) (err error) {
	if err := h.prepare(s.storeAt); err != nil {
		return err
	}
	if err := h.start(); err != nil {
		return err
	}
	h.up, err = startUpstream(ctx, h, s.checker, isCold)
	return err
}

func zoneName(i int) string { return fmt.Sprint("zone-", i) }

func (h *host) ready() bool {
	client := http.Client{Timeout: dialTimeout}
	resp, err := client.Get("http://" + h.at(counterpart.ReadyPort) + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (s *soak) close() {
	for _, h := range s.hosts {
		h.close()
	}
	if s.store != nil {
		s.store.signal(syscall.SIGKILL)
		<-s.store.done
	}
}

// play makes one trouble happen and ends it.
func (s *soak) play(ctx context.Context, t Trouble) {
	switch t.Kind {
	case NewConfig:
		s.configure(ctx)
	case ConfigStorm:
		for end := time.Now().Add(t.For); time.Now().Before(end); {
			s.configure(ctx)
			duration.Sleep(ctx, stormGap) // the next look at the time tells
		}
	case ZoneOutIn:
		s.zoneOutIn(ctx, t)
	case StoreAway:
		s.harmStore(ctx, t, configlog.Faults{Outage: true})
	case StoreSlow:
		s.harmStore(ctx, t, configlog.Faults{Delay: 300 * time.Millisecond})
	case StoreLoses:
		s.harmStore(ctx, t, configlog.Faults{LoseReplyEvery: 3})
	case StoreForgets:
		s.harmStore(ctx, t, configlog.Faults{Retain: -1})
	case GoodVersion, BadVersion:
		s.rollout(ctx, t)
	case KillAll:
		s.killAll(ctx)
	case RollTerminate:
		for _, i := range t.Hosts {
			s.terminate(ctx, s.hosts[i])
			duration.Sleep(ctx, termGap) // the rest is stopped in any case
		}
	default:
		var all conc.WaitGroup
		for _, i := range t.Hosts {
			all.Go(func() { s.playAt(ctx, t, s.hosts[i]) })
		}
		all.Wait()
	}
}

// playAt makes one trouble of one host happen.
func (s *soak) playAt(ctx context.Context, t Trouble, h *host) {
	switch t.Kind {
	case Terminate:
		s.terminate(ctx, h)
	case Kill:
		s.kill(h)
	case Pause:
		defer s.checker.Disturb(Frozen, h.name)()
		p := h.process()
		p.signal(syscall.SIGSTOP)
		duration.Sleep(ctx, t.For) // it goes on in any case
		p.signal(syscall.SIGCONT)
	case StorePartial:
		s.harm(ctx, t, h, h.store, Refused, Store)
	case StoreSilent:
		s.harm(ctx, t, h, h.store, Silent, Store)
	case StoreOneWay:
		s.harm(ctx, t, h, h.store, CutIn, Store)
	case PeersReset:
		s.harm(ctx, t, h, h.peers, Reset, Unplanned)
	case PeersSilent:
		s.harm(ctx, t, h, h.peers, Silent, Unplanned)
	case PeersSlow:
		s.harm(ctx, t, h, h.peers, Slow, Unplanned)
	case PeersOneWay:
		s.harm(ctx, t, h, h.peers, CutIn, Unplanned)
	case CallersReset:
		s.harm(ctx, t, h, h.callers, Reset, Unplanned)
	case CallersSlow:
		s.harm(ctx, t, h, h.callers, Slow, Unplanned)
	case UpstreamReset:
		s.harm(ctx, t, h, h.upstreams, Reset, Unplanned)
	case UpstreamSilent:
		s.harm(ctx, t, h, h.upstreams, Silent, Unplanned)
	case UpstreamSlow:
		s.harm(ctx, t, h, h.upstreams, Slow, Unplanned)
	case UpstreamCrash:
		defer s.checker.Disturb(Unplanned, h.name)()
		s.replace(ctx, h, func() { h.up.crash(); duration.Sleep(ctx, t.For) })
	case UpstreamLeave:
		s.replace(ctx, h, func() { h.up.leave(ctx) })
	}
}

// harm lets a proxy do harm for the time of a trouble.
func (s *soak) harm(ctx context.Context, t Trouble, h *host, p *proxy, what Harm, d Disturbance) {
	if p == nil {
		return // no proxy stands there
	}
	end := s.checker.Disturb(d, h.name)
	p.set(what)
	duration.Sleep(ctx, t.For) // the harm ends in any case
	if what != Silent && what != Reset {
		p.set(Healthy)
	}
	end()
}

// replace ends the upstream of a host by end and starts a cold one in its place.
func (s *soak) replace(ctx context.Context, h *host, end func()) {
	h.changing.Lock()
	defer h.changing.Unlock()
	end()
	if ctx.Err() != nil {
		return
	}
	up, err := startUpstream(ctx, h, s.checker, true)
	if err != nil {
		fmt.Fprintln(s.Out, "an upstream does not start:", err)
		return
	}
	h.up = up
}

// terminate stops a node as planned and starts it again.
func (s *soak) terminate(ctx context.Context, h *host) {
	h.restarting.Lock()
	defer h.restarting.Unlock()
	end := s.checker.Disturb(Planned, h.name)
	p := h.process()
	p.signal(syscall.SIGTERM)
	if !p.wait(grace) {
		fmt.Fprintln(s.Out, h.name, "is still there at the end of the grace time")
		p.signal(syscall.SIGKILL)
		<-p.done
	}
	end()
	defer s.checker.Disturb(Unplanned, h.name)() // it starts: a caller finds nobody
	s.restart(ctx, h)
}

func (s *soak) kill(h *host) {
	h.restarting.Lock()
	defer h.restarting.Unlock()
	defer s.checker.Disturb(Unplanned, h.name)()
	p := h.process()
	p.signal(syscall.SIGKILL)
	<-p.done
	s.restart(context.Background(), h)
}

func (s *soak) killAll(ctx context.Context) {
	defer s.checker.Disturb(Loss, "")()
	var all conc.WaitGroup
	for _, h := range s.hosts {
		all.Go(func() { s.kill(h) })
	}
	all.Wait()
	duration.Sleep(ctx, restartDelay) // the end of the loss is when all run again
}

func (s *soak) restart(ctx context.Context, h *host) {
	duration.Sleep(ctx, restartDelay) // started in any case, so that the fleet is whole
	if err := h.start(); err != nil {
		fmt.Fprintln(s.Out, h.name, "does not start:", err)
	}
}
