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

// noWire has nothing to send with: a request that gets past the gate panics.
type noWire struct{ Wire }

func (noWire) Dialect() upstream.Dialect { return upstream.Dialect{} }

func newOwner(t *testing.T) *Owner {
	return New(t.Context(), Config{Gate: NewGate(), Wire: noWire{}, Table: func() *routes.Table { return nil },
		Barred: func(string) proxy.Reason { return proxy.ReasonNone }})
}

// An upstream that leaves stays closed, whatever the operator orders afterwards.
func TestOrdersDoNotReopenALeavingUpstream(t *testing.T) {
	for name, order := range map[string]func(*Owner){
		"a configuration":           (*Owner).Refresh,
		"a zone that is back again": (*Owner).Doubt,
	} {
		t.Run(name, func(t *testing.T) {
			o := newOwner(t)
			u := registry.Upstream{Announcement: registry.Announcement{Service: "stock", Instance: "i-1", Address: "127.0.0.1:9", Slots: 4}}
			o.SetUpstream(u, true)
			u.State = registry.Draining
			o.SetUpstream(u, true)
			order(o)
			a := o.Handle(context.Background(), &proxy.Request{Service: "stock", Timeout: time.Second, Target: time.Second})
			if a.Verdict != verdict.NotRun || a.Reason != proxy.ReasonDraining || !a.Load.Draining {
				t.Errorf("%v %s, load %+v", a.Verdict, a.Reason, a.Load)
			}
		})
	}
}

// A node that stops refuses new requests unexecuted, and what its upstream announces meanwhile
// does not open the gate again.
func TestOwnerThatLeavesTakesNothingMore(t *testing.T) {
	o := newOwner(t)
	u := registry.Upstream{Announcement: registry.Announcement{Service: "stock", Instance: "i-1", Address: "127.0.0.1:9", Slots: 4}}
	o.SetUpstream(u, true)
	o.Leave()
	o.SetUpstream(u, true)
	o.Refresh()
	a := o.Handle(context.Background(), &proxy.Request{Service: "stock", Timeout: time.Second, Target: time.Second})
	if a.Verdict != verdict.NotRun || a.Reason != proxy.ReasonDraining || !a.Load.Draining {
		t.Errorf("%v %s, load %+v", a.Verdict, a.Reason, a.Load)
	}
}

// Pattern: all hosts have lost power. A node that has no configuration yet is found by others that
// have one; it admits nothing until it knows what its cold upstream bears.
func TestOwnerWithoutConfigurationAdmitsNothing(t *testing.T) {
	var table *routes.Table
	o := New(t.Context(), Config{Gate: NewGate(), Wire: noWire{}, Table: func() *routes.Table { return table },
		Barred: func(string) proxy.Reason { return proxy.ReasonNone }})
	u := registry.Upstream{Announcement: registry.Announcement{Service: "stock", Instance: "i-1", Address: "127.0.0.1:9", Slots: 4, Cold: time.Minute},
		ColdUntil: time.Now().Add(time.Minute)}
	o.SetUpstream(u, true)
	a := o.Handle(context.Background(), &proxy.Request{Service: "stock", Timeout: time.Second, Target: time.Second})
	if a.Verdict != verdict.NotRun || a.Reason != proxy.ReasonNotReady {
		t.Errorf("%v %s", a.Verdict, a.Reason)
	}
	table = routes.NewTable(&routes.Config{})
	o.Refresh()
	if l := o.Gate.Load(); l.Draining {
		t.Error("closed though the configuration is known")
	}
}
