package delivery

import (
	"testing"

	"celerybank/internal/crash"
	"celerybank/internal/events"
	"celerybank/internal/gossip"
	"celerybank/internal/peer"
	"celerybank/internal/proxy"
	"celerybank/internal/registry"
	"celerybank/internal/routes"
	"celerybank/internal/standin/rawhttp"
)

// An upstream responds to health checks with malformed heads. None may pass: an upstream that is down would count as back, and one
// that leaves as serving.
func TestMalformedResponsesToHealthChecks(t *testing.T) {
	fields := instanceHeader + ": " + upstreamID + "\r\n"
	texts := rawhttp.Malformed(fields, "ok")
	texts["well-formed"] = "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 2\r\n\r\nok"
	table := routes.NewTable(&routes.Config{Version: 1, Services: []routes.Service{{Name: "stock", HealthPath: healthPath, ColdPerSecond: 1000}}})
	o := New(t.Context(), Config{Gate: NewGate(), Dialer: peer.TCP{}, Wire: testWire{}, Table: func() *routes.Table { return table },
		RefusalReason: func(string) proxy.Reason { return proxy.ReasonNone }, Crashes: crash.New(gossip.New(gossip.Config{}), nil), Observer: discardOutcomes{},
		Events: (*events.Recorder)(nil)})
	for name, text := range texts {
		a := registry.Announcement{Service: "stock", Instance: upstreamID, Address: rawhttp.Serve(t, text), Slots: 9, Born: 1}
		if got, want := o.CheckServing(a) == Serves, name == "well-formed"; got != want {
			t.Errorf("%s: the health check passed: %v, want %v", name, got, want)
		}
	}
}
