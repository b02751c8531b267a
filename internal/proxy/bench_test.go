package proxy_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"celerybank/internal/configlog"
	"celerybank/internal/events"
	"celerybank/internal/inventory"
	"celerybank/internal/node"
	"celerybank/internal/operator"
	"celerybank/internal/peer"
	"celerybank/internal/proxy"
	"celerybank/internal/settings"
	"celerybank/internal/testmesh"
	"celerybank/internal/upstream"
)

// freeAddr returns an unused address on the loopback interface.
func freeAddr(b *testing.B) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func startNode(b *testing.B, ctx context.Context, log configlog.Log, name string, seeds ...string) (*node.Node, settings.Config) {
	cfg := settings.Default()
	cfg.Name, cfg.Zone, cfg.Region, cfg.Seeds = name, testmesh.ZoneName(1), "region", seeds
	cfg.Listen = settings.Listen{Callers: freeAddr(b), Peers: freeAddr(b), Admin: freeAddr(b)}
	n := node.New(cfg, log, peer.TCP{}, events.New(name, cfg.Zone, nil))
	go func() { _ = n.RunCore(ctx) }()
	return n, cfg
}

// BenchmarkCall measures a request from an entry node through the owner to an upstream over loopback,
// without the HTTP exchange between the caller and the entry node, and compares it with the same
// request sent directly to the upstream.
func BenchmarkCall(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	up := &fasthttp.Server{Handler: func(c *fasthttp.RequestCtx) { c.SetBodyString("ok") }}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = up.Serve(l) }()
	defer func() { _ = up.Shutdown() }()
	log := configlog.NewMemory()
	entry, cfg := startNode(b, ctx, log, "entry")
	owner, _ := startNode(b, ctx, log, "owner", cfg.Listen.Peers)
	if _, err := operator.NewLogClient(log, "test").Publish(ctx, testmesh.OrdersInventory(1), inventory.Rules{}); err != nil {
		b.Fatal(err)
	}
	a := upstream.Announcement{Service: "orders", Version: "v1", Address: l.Addr().String(), Slots: 100, Instance: "i"}
	get := func() *proxy.Response {
		return entry.Dispatch(ctx, &proxy.Request{Service: "orders", Method: http.MethodGet, URI: "/orders/1",
			Header: []proxy.Field{{Name: "Accept", Value: "application/json"}, {Name: "User-Agent", Value: "bench"}}}, time.Second)
	}
	for get().Status != http.StatusOK {
		_ = owner.Announce(a) // renewed until the first request succeeds
		time.Sleep(100 * time.Millisecond)
	}
	renew := time.AfterFunc(0, func() {})
	renew = time.AfterFunc(time.Second, func() { _ = owner.Announce(a); renew.Reset(time.Second) })
	defer renew.Stop()
	b.Run("through", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if res := get(); res.Status != http.StatusOK {
				b.Fatal(res.Verdict, res.Reason)
			}
		}
	})
	b.Run("direct", func(b *testing.B) {
		client := &fasthttp.HostClient{Addr: l.Addr().String()}
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.SetRequestURI("http://" + client.Addr + "/orders/1")
		b.ReportAllocs()
		for b.Loop() {
			if err := client.Do(req, resp); err != nil {
				b.Fatal(err)
			}
		}
	})
}
