package proxy

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"celerybank/internal/events"
	"celerybank/internal/peer"
	"celerybank/internal/verdict"
)

// fixedRunner returns the same response to each request.
type fixedRunner struct{ res Response }

func (r fixedRunner) Handle(context.Context, *Request) *Response { res := r.res; return &res }

// typicalRequest and typicalResponse are a call without bodies, so that only what the nodes add is measured.
func typicalRequest() *Request {
	return &Request{ID: FirstID(), Entry: "10.1.2.3:7946", Service: "parts", Route: "part-lookup", Version: "v12", Instance: "3f0c7a9d5b21e684",
		Method: "GET", URI: "/parts/184467", Idempotent: true, Host: "parts.internal", RequestID: "c7-18446744-2", Caller: "back-office",
		Timeout: 1190 * time.Millisecond, MaxWait: 12 * time.Millisecond,
		Header: []Field{{Name: "User-Agent", Value: "office/4.2"}, {Name: "Accept", Value: "application/json"}, {Name: "X-Office", Value: "north-4"}}}
}

func typicalResponse() Response {
	return Response{Verdict: verdict.Ran, Status: 200, ProcessingTime: 140 * time.Millisecond, OwnerTime: 141 * time.Millisecond,
		Header: []Field{{Name: "Content-Type", Value: "application/json"}, {Name: "X-Instance-Id", Value: "3f0c7a9d5b21e684"}, {Name: "Server", Value: "parts/12"}},
		Load:   Load{InUse: 4, Limit: 6, MeanTime: 139 * time.Millisecond, Slowness: 1040}}
}

// plainBytes is the size of a message in the encoding that peers of earlier builds get, without its frame.
func plainBytes(message any) int {
	raw, _ := msgpack.Marshal(message)
	return len(raw)
}

// maxCallBytes bounds the bytes of a typical call without bodies, request and reply with their frames. Before strings were
// sent as indices it took 385.
const maxCallBytes = 230

// TestBytesOfACall guards against messages between nodes that repeat the same names and values in each call.
func TestBytesOfACall(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l, err := peer.TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := peer.NewServer(events.New("owner", "z", nil), nil)
	if err := s.Register("Proxy", NewService(ctx, fixedRunner{typicalResponse()}, s.Process())); err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(ctx, l) }()
	var sent, received atomic.Int64
	p := peer.NewPool(peer.TCP{}, events.New("entry", "z", nil), func(_ string, in bool, n int) {
		if in {
			received.Add(int64(n))
		} else {
			sent.Add(int64(n))
		}
	})
	defer p.Close()
	addr := l.Addr().String()
	call := func() (int64, int64) {
		sent.Store(0)
		received.Store(0)
		var res Response
		if err := p.Call(ctx, addr, "Proxy.Call", typicalRequest(), &res); err != nil || res.Status != 200 || len(res.Header) != 3 || res.Header[0].Value != "application/json" {
			t.Fatalf("got %+v, %v", res, err)
		}
		return sent.Load(), received.Load()
	}
	if err := p.Ping(ctx, addr); err != nil {
		t.Fatal(err)
	}
	request, reply := call()
	t.Logf("first call: %d bytes sent, %d received", request, reply)
	for range 5 {
		request, reply = call()
	}
	res := typicalResponse()
	t.Logf("later calls: %d bytes sent, %d received; without frames a plain request has %d and a reply %d", request, reply, plainBytes(typicalRequest()), plainBytes(&res))
	if request+reply > maxCallBytes {
		t.Errorf("a call takes %d bytes, limit %d", request+reply, maxCallBytes)
	}
}
