package sidecar

import (
	"testing"
	"time"

	"celerybank/internal/events"
	"celerybank/internal/orders"
	"celerybank/internal/peer"
	"celerybank/internal/proxy"
	"celerybank/internal/registry"
	"celerybank/internal/verdict"
	"celerybank/platform"
	"celerybank/platform/counterpart"
)

// suspend makes the next check find that the process was suspended for d.
func (s *suspension) suspend(d time.Duration) {
	s.lastBoot -= d
	s.wallLead.Add(-int64(d))
}

// Requests wait in the receive buffers of a suspended process, while its upstream may restart and turn cold. They are
// handled before any timer of the process has fired, and must not be sent to the upstream.
func TestRequestsBufferedDuringASuspensionAreNotSent(t *testing.T) {
	const addr = "127.0.0.1:9"
	s, err := platform.ParseSettings(counterpart.Settings{Name: "n", IP: "127.0.0.1", Zone: "a", Service: "stock", Upstream: addr, Store: addr}.File())
	if err != nil {
		t.Fatal(err)
	}
	n := New(t.Context(), s, peer.TCP{}, events.New("n", "a", nil))
	record := counterpart.Config(1, requestHost, []counterpart.Route{{Prefix: "/", Service: "stock"}}, []string{"stock"}, 17)
	key := 1 + int(record[0])
	n.replica.Apply(orders.Batch{Next: 1, Records: []orders.Record{{Key: string(record[1:key]), Value: record[key:]}}}, "test")
	n.registry.Announce(registry.Announcement{Instance: "i-1", Service: "stock", Address: addr, Zone: "a", Version: "v1", Slots: 4, Sequence: 1, Born: 1})
	if got := n.refusalReason("v1"); got != proxy.ReasonNone {
		t.Fatalf("before the suspension: refused with %s, want no refusal", got)
	}
	n.process.suspension.suspend(3 * time.Second)
	for range 2 {
		res := n.owner.Handle(t.Context(), &proxy.Request{Service: "stock", Timeout: time.Second})
		if res.Verdict != verdict.NotRun || (res.Reason != proxy.ReasonNotReady && res.Reason != proxy.ReasonNoUpstream) {
			t.Errorf("after the suspension: got %v, %s; want %v, %s or %s", res.Verdict, res.Reason, verdict.NotRun, proxy.ReasonNotReady, proxy.ReasonNoUpstream)
		}
	}
	if n.owner.Gate.Running() != 0 {
		t.Error("a request holds a slot, want none")
	}
}

// A step of the time of day is no suspension.
func TestClockStepIsNoSuspension(t *testing.T) {
	var s suspension
	s.init(time.Now(), bootTime())
	s.wallLead.Add(int64(5 * time.Second))
	if now := time.Now(); !s.suspected(now) || s.observe(now, bootTime()) > suspendThreshold {
		t.Error("a step of the time of day by 5 s must be checked and found to be no suspension")
	}
	if s.suspected(time.Now()) {
		t.Error("a step of the time of day is suspected again, want once")
	}
}
