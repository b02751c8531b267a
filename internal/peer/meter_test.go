package peer

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"celerybank/internal/events"
)

type meteredService struct{}

func (meteredService) Echo(in *string, out *string) error { *out = *in; return nil }

// TestMeter guards against bytes that are counted on the wrong link, or not at all: both ends of a connection count
// what they write.
func TestMeter(t *testing.T) {
	far := NewMeter(func(string) Link { return LinkCrossZone })
	known := LinkUnknown
	near := NewMeter(func(string) Link { return known })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l, err := TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(events.New("s", "z", nil), nil)
	s.SetMeter(far)
	if err := s.Register("Echo", meteredService{}); err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(ctx, l) }()
	p := NewPool(TCP{}, events.New("p", "z", nil), nil)
	defer p.Close()
	p.SetMeter(near)
	var out string
	for _, link := range []Link{LinkUnknown, LinkSameZone} {
		known = link
		if err := p.Call(ctx, l.Addr().String(), "Echo.Echo", "text", &out); err != nil {
			t.Fatal(err)
		}
	}
	for _, want := range []struct {
		m    *Meter
		text string
	}{
		{near, `celerybank_peer_sent_frames_total{method="Echo.Echo",kind="request",link="unknown"} 1`},
		{near, `celerybank_peer_sent_frames_total{method="Echo.Echo",kind="request",link="zone"} 1`},
		{near, `celerybank_peer_sent_frames_total{method="Peer.Ping",kind="heartbeat",link="unknown"} 1`},
		{far, `celerybank_peer_sent_frames_total{method="Echo.Echo",kind="reply",link="cross"} 2`},
		{far, `celerybank_peer_sent_bytes_total{method="Peer.Ping",kind="heartbeat",link="cross"}`},
	} {
		var b bytes.Buffer
		want.m.WriteMetrics(&b)
		if !strings.Contains(b.String(), want.text) {
			t.Errorf("metrics lack %q:\n%s", want.text, b.String())
		}
	}
}

// TestMeterBounded guards against a peer that makes a node keep a counter for each method name it invents.
func TestMeterBounded(t *testing.T) {
	m := NewMeter(func(string) Link { return LinkSameZone })
	c := m.conn("10.0.0.1:1", true)
	for i := range 4 * maxMetered {
		c.sent(&header{Method: strings.Repeat("x", i+1)}, 1)
	}
	if n := len(*m.methods.Load()); n > maxMetered+1 {
		t.Errorf("%d methods are counted by name, limit %d", n, maxMetered+1)
	}
	if n := testing.AllocsPerRun(100, func() { c.sent(&header{Method: "x"}, 1) }); n > 0 {
		t.Errorf("counting a frame allocates %v times", n)
	}
}
