package delivery

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	"celerybank/internal/crash"
	"celerybank/internal/events"
	"celerybank/internal/faultnet"
	"celerybank/internal/gossip"
	"celerybank/internal/proxy"
	"celerybank/internal/registry"
	"celerybank/internal/routes"
	"celerybank/internal/upstream"
	"celerybank/internal/verdict"
)

// testWire is a protocol with the few headers that an owner needs.
type testWire struct{}

const healthPath, instanceHeader, coldHeader, limitHeader, leavingHeader = "/health", "Instance", "Cold-Ms", "Limit", "Leaving"

func (testWire) Dialect() upstream.Dialect {
	return upstream.Dialect{NotExecuted: func(*fasthttp.Response) bool { return false }}
}

func (testWire) Request(out *fasthttp.Request, _ *proxy.Request, _ string, _ time.Duration) {
	out.SetRequestURI("/work")
	out.Header.SetHost("stock")
}

func (testWire) Response(in *fasthttp.Response, _ *proxy.Request, v verdict.Verdict) (*proxy.Response, bool) {
	return &proxy.Response{Verdict: v, Status: in.StatusCode()}, false
}

func (testWire) Notices(in *fasthttp.Response) Notices {
	n := Notices{RateLimit: -1, Leaving: len(in.Header.Peek(leavingHeader)) > 0}
	if rate, err := strconv.ParseFloat(string(in.Header.Peek(limitHeader)), 64); err == nil {
		n.RateLimit = rate
	}
	return n
}

func (testWire) HealthCheck(out *fasthttp.Request, path string) {
	out.SetRequestURI(path)
	out.Header.SetHost("stock")
}

func (testWire) Health(in *fasthttp.Response) Health {
	ms, _ := strconv.Atoi(string(in.Header.Peek(coldHeader)))
	return Health{Instance: string(in.Header.Peek(instanceHeader)), OK: in.StatusCode() == fasthttp.StatusOK, Cold: time.Duration(ms) * time.Millisecond}
}

type discardOutcomes struct{}

func (discardOutcomes) Observe(string, string, bool, time.Duration) {}

// testUpstream responds to each request after workTime and records when it got them.
type testUpstream struct {
	mu        sync.Mutex
	conns     map[net.Conn]bool
	coldUntil time.Time
	arrived   []time.Time
	limit     float64 // named in responses; 0 is none
	leaving   bool    // said in responses
}

// nameLimit sets the limit that responses name, in requests per second; 0 is none.
func (u *testUpstream) nameLimit(rate float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.limit = rate
}

const (
	upstreamAddr = "10.0.0.1:8000"
	workTime     = 20 * time.Millisecond
	upstreamID   = "i-1"
)

func (u *testUpstream) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.conns[c] = true
		u.mu.Unlock()
		go u.serveConn(c)
	}
}

func (u *testUpstream) serveConn(c net.Conn) {
	defer c.Close()
	for r := bufio.NewReader(c); ; {
		var req fasthttp.Request
		if req.Read(r) != nil {
			return
		}
		u.mu.Lock()
		cold, limit := max(0, time.Until(u.coldUntil)), ""
		if u.limit > 0 {
			limit = fmt.Sprintf("%s: %v\r\n", limitHeader, u.limit)
		}
		if string(req.URI().Path()) != healthPath {
			u.arrived = append(u.arrived, time.Now())
		}
		if u.leaving {
			limit += leavingHeader + ": 1\r\n"
		}
		u.mu.Unlock()
		time.Sleep(workTime)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %d\r\n%sContent-Length: 0\r\n\r\n", instanceHeader, upstreamID, coldHeader, cold.Milliseconds(), limit)
	}
}

// turnCold makes the upstream cold from now on; restart closes its connections as well, as a restart does.
func (u *testUpstream) turnCold(d time.Duration, restart bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.coldUntil, u.arrived = time.Now().Add(d), nil
	if restart {
		for c := range u.conns {
			_ = c.Close()
		}
	}
}

// busiest returns the largest number of requests in one second since the upstream has turned cold.
func (u *testUpstream) busiest() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	slices.SortFunc(u.arrived, time.Time.Compare)
	return busiestSecond(u.arrived)
}

// total returns the number of requests since the upstream has turned cold.
func (u *testUpstream) total() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.arrived)
}

// coldFixture is an owner with a warm upstream and callers that send as fast as it admits.
type coldFixture struct {
	owner    *Owner
	upstream *testUpstream
	announce func(coldFor time.Duration)
	stop     func()
}

func newColdFixture(t *testing.T) *coldFixture { return newFixture(t, 40) }

// newFixture returns a fixture with the given number of callers.
func newFixture(t *testing.T, callers int) *coldFixture {
	network := faultnet.New()
	l, err := network.Host("10.0.0.1").Listen(upstreamAddr)
	if err != nil {
		t.Fatal(err)
	}
	u := &testUpstream{conns: map[net.Conn]bool{}}
	go u.serve(l)
	ctx, cancel := context.WithCancel(t.Context())
	table := routes.NewTable(&routes.Config{Version: 1, Services: []routes.Service{{Name: "stock", HealthPath: healthPath, ColdPerSecond: coldRate}}})
	o := New(ctx, Config{Gate: NewGate(), Dialer: network.Host("10.0.0.1"), Wire: testWire{}, Table: func() *routes.Table { return table },
		RefusalReason: func(string) proxy.Reason { return proxy.ReasonNone }, Crashes: crash.New(gossip.New(gossip.Config{}), nil), Observer: discardOutcomes{},
		Events: (*events.Recorder)(nil), Cold: ColdBound{Overshoot: coldOvershoot, Slack: coldSlack}})
	f := &coldFixture{owner: o, upstream: u}
	f.announce = func(coldFor time.Duration) {
		a := registry.Upstream{Announcement: registry.Announcement{Service: "stock", Instance: upstreamID, Address: upstreamAddr, Slots: 9, Born: 1, ColdFor: coldFor}}
		if coldFor > 0 {
			a.ColdUntil = time.Now().Add(coldFor)
		}
		o.SetUpstream(a, true)
	}
	f.announce(0)
	var running sync.WaitGroup
	for range callers {
		running.Go(func() {
			for ctx.Err() == nil {
				res := o.Handle(ctx, &proxy.Request{Service: "stock", Timeout: time.Second, Idempotent: true, WaitToDeadline: true})
				if res.Verdict == verdict.NotRun {
					time.Sleep(10 * time.Millisecond)
				}
			}
		})
	}
	f.stop = func() {
		cancel()
		running.Wait()
		_ = l.Close()
		u.turnCold(0, true)
		time.Sleep(time.Second) // the upstream and checks in progress end
		synctest.Wait()
	}
	return f
}

// checkColdRate fails the test if the upstream got more in a second than it bears when cold.
func (f *coldFixture) checkColdRate(t *testing.T) {
	t.Helper()
	if n, most := f.upstream.busiest(), coldRate*coldOvershoot+coldSlack; float64(n) > most {
		t.Errorf("a cold upstream got %d requests in one second, want at most %v", n, most)
	}
}

// After its zone is in again the upstream is cold, and an announcement from before, which may be seconds
// late, says that it is warm. The upstream must not get more than it bears when cold.
func TestLateAnnouncementDoesNotEndTheAssumptionOfAColdUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newColdFixture(t)
		defer f.stop()
		time.Sleep(6 * time.Second)
		f.upstream.turnCold(3*time.Second, false)
		f.owner.AssumeCold(ColdZoneIn)
		time.Sleep(50 * time.Millisecond)
		f.announce(0) // sent before the upstream turned cold
		time.Sleep(2 * time.Second)
		f.checkColdRate(t)
		time.Sleep(3 * time.Second)
		f.upstream.turnCold(0, false)
		time.Sleep(time.Second)
		if n, least := f.upstream.busiest(), 200; n < least {
			t.Errorf("the warm upstream got %d requests in one second, want at least %d", n, least)
		}
	})
}

// A health check that does not name the remaining time overwrites no announcement that did.
func TestHealthCheckDoesNotShortenAnAnnouncedColdPhase(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newColdFixture(t)
		defer f.stop()
		time.Sleep(6 * time.Second)
		f.upstream.turnCold(0, false)
		f.announce(3 * time.Second)
		f.owner.handleDown(f.owner.up.Load(), context.DeadlineExceeded) // refused one connection
		time.Sleep(2 * time.Second)
		f.checkColdRate(t)
	})
}

// An upstream that restarts between two announcements closes all of its connections. It must not get more
// than it bears when cold until it announces itself.
func TestUpstreamThatClosesAllConnectionsCountsAsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newColdFixture(t)
		defer f.stop()
		time.Sleep(6 * time.Second)
		f.upstream.turnCold(3*time.Second, true)
		time.Sleep(1500 * time.Millisecond)
		f.checkColdRate(t)
	})
}
