package delivery

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"celerybank/internal/crash"
	"celerybank/internal/events"
	"celerybank/internal/faultnet"
	"celerybank/internal/gossip"
	"celerybank/internal/proxy"
	"celerybank/internal/registry"
	"celerybank/internal/routes"
	standin "celerybank/internal/standin/upstream"
	"celerybank/internal/verdict"
)

const heldSlots = 4

// heldFixture is an owner with a stand-in that has heldSlots slots.
type heldFixture struct {
	owner  *Owner
	server *standin.Server
	ledger *strings.Builder
	stop   func()
}

// newHeldFixture returns an owner and a stand-in that goes on with abandoned requests.
func newHeldFixture(t *testing.T, full standin.FullBehavior) *heldFixture {
	network, ledger := faultnet.New(), &strings.Builder{}
	l, err := network.Host("10.0.0.1").Listen(upstreamAddr)
	if err != nil {
		t.Fatal(err)
	}
	server := standin.New(standin.Config{Service: "stock", Version: "v1", Slots: heldSlots, Work: 50 * time.Millisecond, Ledger: ledger,
		Faults: standin.Faults{WhenFull: full, FinishAbandoned: true}}, upstreamID, func() {})
	web := &http.Server{Handler: server.Handler()}
	go func() { _ = web.Serve(l) }()
	return &heldFixture{owner: newHeldOwner(t, network.Host("10.0.0.1")), server: server, ledger: ledger, stop: func() { _ = web.Close() }}
}

func newHeldOwner(t *testing.T, dialer interface {
	Dial(context.Context, string) (net.Conn, error)
}) *Owner {
	table := routes.NewTable(&routes.Config{Version: 1, Services: []routes.Service{{Name: "stock"}}})
	return New(t.Context(), Config{Gate: NewGate(), Dialer: dialer, Wire: testWire{}, Table: func() *routes.Table { return table },
		RefusalReason: func(string) proxy.Reason { return proxy.ReasonNone }, Crashes: crash.New(gossip.New(gossip.Config{}), nil), Observer: discardOutcomes{},
		Events: (*events.Recorder)(nil), Cold: ColdBound{Overshoot: coldOvershoot, Slack: coldSlack}})
}

func (f *heldFixture) announce(o *Owner, born int64) {
	o.SetUpstream(registry.Upstream{Announcement: registry.Announcement{Service: "stock", Instance: upstreamID, Address: upstreamAddr, Slots: heldSlots, Born: born}}, true)
}

func heldRequest(id string) *proxy.Request {
	return &proxy.Request{Service: "stock", Route: "r", Method: "POST", URI: "/x", RequestID: id, Timeout: time.Second, WaitToDeadline: true,
		Header: []proxy.Field{{Name: standin.AttemptHeader, Value: id}}}
}

// Callers leave, or their time is over, while the upstream goes on with their requests. Guards against requests that are sent
// while all slots are in use: such an upstream resets their connection or never answers them. Guards too against the report
// that a request which ran did not.
func TestGivenUpRequestsKeepTheirSlots(t *testing.T) {
	for _, full := range []standin.FullBehavior{standin.FullResets, standin.FullSilent} {
		t.Run(string(full), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newHeldFixture(t, full)
				f.announce(f.owner, 1)
				var mu sync.Mutex
				notRun, broken, served := map[string]bool{}, 0, 0
				var callers sync.WaitGroup
				for c := range 12 {
					callers.Go(func() {
						rng := rand.New(rand.NewPCG(uint64(c), 3))
						for n := range 60 {
							req := heldRequest(fmt.Sprintf("id-%d-%d", c, n))
							ctx, cancel := context.WithTimeout(t.Context(), time.Second)
							if rng.IntN(3) == 0 {
								timer := time.AfterFunc(time.Duration(rng.IntN(150))*time.Millisecond, cancel)
								defer timer.Stop()
							}
							res := f.owner.Handle(ctx, req)
							cancel()
							mu.Lock()
							switch {
							case res.Verdict == verdict.NotRun:
								notRun[req.RequestID] = true
							case res.Reason == proxy.ReasonConnBroken:
								broken++
							case res.Reason == proxy.ReasonNone:
								served++
							}
							mu.Unlock()
							time.Sleep(time.Duration(rng.IntN(10)) * time.Millisecond)
						}
					})
				}
				callers.Wait()
				if n := f.server.Report().Overload; n > 0 || broken > 0 {
					t.Errorf("%d requests were sent while all slots were in use, %d connections were reset", n, broken)
				}
				if served < 300 {
					t.Errorf("%d requests served, want most of 720", served)
				}
				for _, line := range strings.Split(f.ledger.String(), "\n") {
					if _, id, ok := strings.Cut(line, " "); ok && notRun[id] {
						t.Errorf("%s ran, and was reported as not run", id)
					}
				}
				f.finish(f.owner)
			})
		})
	}
}

// learn makes the owner send several requests at once: a new process sends the first one alone, to learn of a limit.
func (f *heldFixture) learn(t *testing.T) {
	for n := range 8 {
		if res := f.owner.Handle(t.Context(), heldRequest(fmt.Sprint("first-", n))); res.Verdict != verdict.Ran {
			t.Fatalf("got verdict %v, reason %s", res.Verdict, res.Reason)
		}
	}
}

// finish ends the connections and waits until all slots are free again.
func (f *heldFixture) finish(o *Owner) {
	time.Sleep(maxHeld)
	o.up.Load().client.CloseIdle()
	f.stop()
	synctest.Wait()
}

// Guards against slots that are lost for good when the upstream never answers.
func TestSlotsOfUnansweredRequestsComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHeldFixture(t, standin.FullSilent)
		f.announce(f.owner, 1)
		f.learn(t)
		for range heldSlots {
			ctx, cancel := context.WithCancel(t.Context())
			time.AfterFunc(20*time.Millisecond, cancel)
			f.owner.Handle(ctx, heldRequest("a"))
		}
		if n := f.owner.GivenUp(); n == 0 {
			t.Error("no slot counts as used by a request that was given up")
		}
		time.Sleep(maxHeld)
		if n := f.owner.GivenUp() + f.owner.Gate.Running(); n != 0 {
			t.Errorf("%d slots are still in use", n)
		}
		f.finish(f.owner)
	})
}

// A reset of the connection means that the upstream is full. Guards against an upstream that is held for dead, and against a
// request that may have run being reported as not run, when others than the owner fill it.
func TestResetOfAFullUpstreamIsNoDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHeldFixture(t, standin.FullResets)
		f.announce(f.owner, 1)
		second := newHeldOwner(t, f.owner.Dialer)
		f.announce(second, 1)
		var callers sync.WaitGroup
		for n := range 2 * heldSlots {
			callers.Go(func() {
				o := []*Owner{f.owner, second}[n%2]
				res := o.Handle(t.Context(), heldRequest(fmt.Sprint(n)))
				if res.Reason == proxy.ReasonConnBroken && res.Verdict != verdict.MayHaveRun {
					t.Errorf("got verdict %v after a reset, want %v", res.Verdict, verdict.MayHaveRun)
				}
			})
		}
		callers.Wait()
		for _, o := range []*Owner{f.owner, second} {
			if res := o.Handle(t.Context(), heldRequest("later")); res.Verdict != verdict.Ran || o.up.Load().down.Load() {
				t.Errorf("after resets: got verdict %v, reason %s, want the request served", res.Verdict, res.Reason)
			}
		}
		second.up.Load().client.CloseIdle()
		f.finish(f.owner)
	})
}

// An owner is killed and restarts while requests of its predecessor run. Guards against an upstream that is filled twice.
func TestRestartedOwnerLeavesTheSlotsOfItsPredecessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHeldFixture(t, standin.FullSilent)
		born := time.Now().UnixMilli()
		time.Sleep(2 * predecessorMargin)
		f.announce(f.owner, time.Now().UnixMilli()) // of the predecessor's process, which is not held back here
		f.learn(t)
		ctx, kill := context.WithCancel(t.Context())
		var callers sync.WaitGroup
		// All of the predecessor's slots are in use when it ends.
		for n := range heldSlots {
			callers.Go(func() { f.owner.Handle(ctx, heldRequest(fmt.Sprint("old-", n))) })
		}
		time.Sleep(10 * time.Millisecond)
		kill()
		callers.Wait()
		restarted := newHeldOwner(t, f.owner.Dialer)
		f.announce(restarted, born)
		for n := range heldSlots {
			callers.Go(func() {
				if res := restarted.Handle(t.Context(), heldRequest(fmt.Sprint("new-", n))); res.Verdict != verdict.Ran {
					t.Errorf("got verdict %v, reason %s, want the request served", res.Verdict, res.Reason)
				}
			})
		}
		callers.Wait()
		if n := f.server.Report().Overload; n > 0 {
			t.Errorf("%d requests were sent while those of the predecessor ran", n)
		}
		restarted.up.Load().client.CloseIdle()
		f.finish(f.owner)
	})
}
