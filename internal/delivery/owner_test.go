package delivery

import (
	"context"
	"testing"
	"time"

	"celerybank/internal/proxy"
	"celerybank/internal/registry"
	"celerybank/internal/routes"
	"celerybank/internal/upstream"
	"celerybank/internal/verdict"
)

// noWire cannot send: a request that passes the gate panics.
type noWire struct{ Wire }

func (noWire) Dialect() upstream.Dialect { return upstream.Dialect{} }

func newOwner(t *testing.T) *Owner {
	return New(t.Context(), Config{Gate: NewGate(), Wire: noWire{}, Table: func() *routes.Table { return nil },
		RefusalReason: func(string) proxy.Reason { return proxy.ReasonNone }})
}

// A draining upstream gets no requests, whatever the operator orders afterwards.
func TestOrdersDoNotReopenADrainingUpstream(t *testing.T) {
	for name, order := range map[string]func(*Owner){
		"configuration": (*Owner).Refresh,
		"zone in":       func(o *Owner) { o.AssumeCold(ColdZoneIn) },
	} {
		t.Run(name, func(t *testing.T) {
			o := newOwner(t)
			u := registry.Upstream{Announcement: registry.Announcement{Service: "stock", Instance: "i-1", Address: "127.0.0.1:9", Slots: 4}}
			o.SetUpstream(u, true)
			u.State = registry.Draining
			o.SetUpstream(u, true)
			order(o)
			res := o.Handle(context.Background(), &proxy.Request{Service: "stock", Timeout: time.Second})
			if res.Verdict != verdict.NotRun || res.Reason != proxy.ReasonDraining || !res.Load.Draining {
				t.Errorf("got verdict %v, reason %s, load %+v, want %v, %s and a draining load", res.Verdict, res.Reason, res.Load, verdict.NotRun, proxy.ReasonDraining)
			}
		})
	}
}

// A node that stops refuses new requests without running them, and an announcement of its upstream in
// the meantime does not open the gate again.
func TestDrainingOwnerAdmitsNothing(t *testing.T) {
	o := newOwner(t)
	u := registry.Upstream{Announcement: registry.Announcement{Service: "stock", Instance: "i-1", Address: "127.0.0.1:9", Slots: 4}}
	o.SetUpstream(u, true)
	o.Drain()
	o.SetUpstream(u, true)
	o.Refresh()
	res := o.Handle(context.Background(), &proxy.Request{Service: "stock", Timeout: time.Second})
	if res.Verdict != verdict.NotRun || res.Reason != proxy.ReasonDraining || !res.Load.Draining {
		t.Errorf("got verdict %v, reason %s, load %+v, want %v, %s and a draining load", res.Verdict, res.Reason, res.Load, verdict.NotRun, proxy.ReasonDraining)
	}
}

// Scenario: all hosts restart after a power loss. A node without a configuration gets requests from nodes
// that already have one. It admits none until it knows the rate limit of its cold upstream.
func TestOwnerWithoutConfigurationAdmitsNothing(t *testing.T) {
	var table *routes.Table
	o := New(t.Context(), Config{Gate: NewGate(), Wire: noWire{}, Table: func() *routes.Table { return table },
		RefusalReason: func(string) proxy.Reason { return proxy.ReasonNone }})
	u := registry.Upstream{Announcement: registry.Announcement{Service: "stock", Instance: "i-1", Address: "127.0.0.1:9", Slots: 4, ColdFor: time.Minute},
		ColdUntil: time.Now().Add(time.Minute)}
	o.SetUpstream(u, true)
	res := o.Handle(context.Background(), &proxy.Request{Service: "stock", Timeout: time.Second})
	if res.Verdict != verdict.NotRun || res.Reason != proxy.ReasonNotReady {
		t.Errorf("got verdict %v, reason %s, want %v, %s", res.Verdict, res.Reason, verdict.NotRun, proxy.ReasonNotReady)
	}
	table = routes.NewTable(&routes.Config{})
	o.Refresh()
	if l := o.Gate.Load(); l.Draining {
		t.Error("the gate is still closed after the configuration arrived")
	}
}

// A request whose turn to be sent would come too late has not reached the upstream, which is not down because of it.
func TestTurnThatComesTooLateIsNoFailureOfTheUpstream(t *testing.T) {
	o, up := newOwner(t), &current{quality: &quality{}}
	res := o.handleError(t.Context(), up, &proxy.Request{Service: "stock"}, verdict.NotRun, errTurnTooLate, 0)
	if res.Verdict != verdict.NotRun || res.Reason != proxy.ReasonTooLate || up.down.Load() {
		t.Errorf("got verdict %v, reason %s, upstream down %v, want %v, %s and not down", res.Verdict, res.Reason, up.down.Load(), verdict.NotRun, proxy.ReasonTooLate)
	}
}

// The upstream itself rejected a request because it was full, or the request's turn to be sent came too late. The caller was
// not told when there may be room, and returned at once or much too late.
func TestRequestRejectedAfterAdmissionIsToldWhenToReturn(t *testing.T) {
	o := newOwner(t)
	o.Gate.Open(4, time.Time{}, 0)
	for _, c := range []struct {
		verdict verdict.Verdict
		reason  proxy.Reason
		want    bool
	}{
		{verdict.NotRun, proxy.ReasonShed, true},
		{verdict.NotRun, proxy.ReasonTooLate, true},
		{verdict.NotRun, proxy.ReasonReplaced, false},
		{verdict.Ran, proxy.ReasonNone, false},
	} {
		res := &proxy.Response{Verdict: c.verdict, Reason: c.reason}
		o.setRetryAfter(res)
		if told := res.RetryAfter >= initialMeanTime/4 && res.RetryAfter <= 2*initialMeanTime; told != c.want || !told && res.RetryAfter != 0 {
			t.Errorf("%v, %s: got RetryAfter %v, want one: %v", c.verdict, c.reason, res.RetryAfter, c.want)
		}
	}
}
