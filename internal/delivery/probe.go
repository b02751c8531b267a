package delivery

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"celerybank/internal/events"
	"celerybank/internal/proxy"
	"celerybank/internal/registry"
	"celerybank/internal/upstream"
)

// handleDown handles an upstream that accepts no connections: requests are refused at once until it
// announces itself or responds to a health check.
func (o *Owner) handleDown(up *current, err error) {
	if up.down.Swap(true) {
		return
	}
	o.Events.Emit(events.UpstreamGone, events.Fields{"service": up.Service, "instance": up.Instance, "reason": err.Error()})
	o.mu.Lock()
	if o.up.Load() == up {
		o.Gate.Close(proxy.ReasonDown)
	}
	o.mu.Unlock()
	go o.checkUntilUp(up)
}

// Timing of the health checks of an upstream that is down.
const (
	healthCheckInterval = 250 * time.Millisecond
	healthCheckTimeout  = 500 * time.Millisecond
)

// checkUntilUp sends health checks to an upstream that is down until it responds or has been replaced.
// A process that has restarted under the same instance name is cold, and its response says for how long.
func (o *Owner) checkUntilUp(up *current) {
	tick := time.NewTicker(healthCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-o.lifetime.Done():
			return
		}
		if o.up.Load() != up || !up.down.Load() {
			return
		}
		if h, ok := o.checkDown(up); ok && h.OK && h.Instance == up.Instance {
			o.restore(up, h)
			return
		}
	}
}

// checkDown sends a health check to an upstream that is down, if it accepts connections.
func (o *Owner) checkDown(up *current) (Health, bool) {
	ctx, cancel := context.WithTimeout(o.lifetime, healthCheckTimeout)
	defer cancel()
	if !up.client.AcceptsConn(ctx) {
		return Health{}, false
	}
	return o.checkHealth(up)
}

// ServingCheck is the result of a health check that asks whether a process serves.
type ServingCheck string

const (
	Serves       ServingCheck = "serves"
	NotServing   ServingCheck = "not serving"
	OtherProcess ServingCheck = "another process"
	NoResponse   ServingCheck = "no response"
)

// CheckServing asks the process of an announcement whether it serves, by one health check: a process that leaves does not
// pass it.
func (o *Owner) CheckServing(a registry.Announcement) ServingCheck {
	client := o.newClient(a, nil)
	defer client.CloseIdle()
	h, ok := o.checkHealthOver(client, a.Service)
	switch {
	case !ok:
		return NoResponse
	case h.Instance != a.Instance:
		return OtherProcess
	case !h.OK:
		return NotServing
	}
	return Serves
}

// checkHealth sends one health check; ok is false if there was no response.
func (o *Owner) checkHealth(up *current) (h Health, ok bool) {
	return o.checkHealthOver(up.client, up.Service)
}

func (o *Owner) checkHealthOver(client *upstream.Client, service string) (h Health, ok bool) {
	path := ""
	if t := o.Table(); t != nil && t.Service(service) != nil {
		path = t.Service(service).HealthPath
	}
	if path == "" {
		return Health{}, false
	}
	ctx, cancel := context.WithTimeout(o.lifetime, healthCheckTimeout)
	defer cancel()
	hr, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(hr)
	defer fasthttp.ReleaseResponse(resp)
	o.Wire.HealthCheck(hr, path)
	if _, err := client.Do(ctx, hr, resp); err != nil {
		return Health{}, false // the next check tries again
	}
	return o.Wire.Health(resp), true
}

// restore opens the gate for an upstream that was down and has responded to a health check.
func (o *Owner) restore(up *current, h Health) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.up.Load() != up {
		return
	}
	next := up.checked(h, time.Now())
	o.up.Store(next)
	o.coldAssumption.end()
	o.Events.Emit(events.UpstreamBack, events.Fields{"service": up.Service, "instance": up.Instance, "cold_ms": h.Cold.Milliseconds()})
	o.open(next, ColdChecked)
}
