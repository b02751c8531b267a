package delivery

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"celerybank/internal/events"
	"celerybank/internal/proxy"
)

// lost takes in that the upstream accepts no connections: requests are refused at once
// until it announces itself or answers a probe.
func (o *Owner) lost(up *current, err error) {
	if up.down.Swap(true) {
		return
	}
	o.Events.Emit(events.UpstreamGone, events.Fields{"service": up.Service, "instance": up.Instance, "reason": err.Error()})
	o.mu.Lock()
	if o.up.Load() == up {
		o.Gate.Close(proxy.ReasonDown)
	}
	o.mu.Unlock()
	go o.probe(up)
}

// Timing of the probes of an upstream that is down.
const (
	probeInterval = 250 * time.Millisecond
	probeTimeout  = 500 * time.Millisecond
)

// probe asks an upstream that is down until it answers or another one has taken its place.
// A process that has started again under its name is cold, and says how long.
func (o *Owner) probe(up *current) {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-o.life.Done():
			return
		}
		if o.up.Load() != up || !up.down.Load() {
			return
		}
		if h, ok := o.ask(up); ok && h.OK && h.Instance == up.Instance {
			o.revive(up, h)
			return
		}
	}
}

func (o *Owner) ask(up *current) (Health, bool) {
	ctx, cancel := context.WithTimeout(o.life, probeTimeout)
	defer cancel()
	hr, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(hr)
	defer fasthttp.ReleaseResponse(resp)
	path := ""
	if t := o.Table(); t != nil && t.Service(up.Service) != nil {
		path = t.Service(up.Service).HealthPath
	}
	if path == "" || !up.client.Accepts(ctx) {
		return Health{}, false
	}
	o.Wire.Probe(hr, path)
	if _, err := up.client.Do(ctx, hr, resp); err != nil {
		return Health{}, false // the next probe tells
	}
	return o.Wire.Health(resp), true
}

func (o *Owner) revive(up *current, h Health) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.up.Load() != up {
		return
	}
	next := &current{Upstream: up.Upstream, client: up.client, quality: up.quality}
	next.ColdUntil = time.Now().Add(h.Cold)
	o.up.Store(next)
	o.Events.Emit(events.UpstreamBack, events.Fields{"service": up.Service, "instance": up.Instance, "cold_ms": h.Cold.Milliseconds()})
	o.open(next)
}
