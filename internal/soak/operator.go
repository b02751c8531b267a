package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"celerybank/internal/configlog"
	"celerybank/internal/duration"
	"celerybank/platform"
	"celerybank/platform/counterpart"
)

// versionStep leaves gaps between the version numbers of successive configurations.
const versionStep = 3

// appendRecord appends a record of the operator, with retries until the store acknowledges it. It
// returns false if ctx ends first.
func (r *runner) appendRecord(ctx context.Context, record []byte) bool {
	for ctx.Err() == nil {
		if _, err := r.operator.Append(ctx, platform.TopicOperator, record); err == nil {
			return true
		}
		duration.Sleep(ctx, operatorRetryInterval) // the loop condition checks ctx
	}
	return false
}

// publishConfig publishes a configuration in which one route has the other service. The first
// configuration publishes the initial routes.
func (r *runner) publishConfig(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version += versionStep
	var list []counterpart.Route
	routes := map[string]string{}
	changed := false
	for p, service := range r.routes {
		if !changed && r.version > versionStep {
			changed = true
			if service == services[0] {
				service = services[1]
			} else {
				service = services[0]
			}
		}
		routes[p] = service
		list = append(list, counterpart.Route{Prefix: p, Service: service, Safe: prefixes[p]})
	}
	r.routes = routes
	acked := r.checker.ConfigSent(routes)
	if r.appendRecord(ctx, counterpart.Config(r.version, authority, list, services, coldRate)) {
		acked()
	}
}

// injectStoreFaults sets faults of the store's stand-in for the duration of a fault.
func (r *runner) injectStoreFaults(ctx context.Context, f Fault, faults configlog.Faults) {
	defer r.checker.Disrupt(StoreFault, "")()
	r.setStoreFaults(faults)
	duration.Sleep(ctx, f.Duration) // also when ctx ends, the faults are removed
	r.setStoreFaults(configlog.Faults{})
}

func (r *runner) setStoreFaults(f configlog.Faults) {
	text, err := json.Marshal(f)
	if err == nil {
		var resp *http.Response
		if resp, err = http.Post("http://"+r.storeAddr+"/control", "application/json", bytes.NewReader(text)); err == nil {
			_ = resp.Body.Close()
		}
	}
	if err != nil {
		fmt.Fprintln(r.Out, "cannot set the faults of the store:", err)
	}
}

// zoneOutIn takes a zone out, and back in after the duration of the fault and zoneBound. It does
// nothing while a zone is out.
func (r *runner) zoneOutIn(ctx context.Context, f Fault) {
	r.mu.Lock()
	busy := len(r.zonesOut) > 0
	if !busy {
		r.zonesOut[f.Zone] = true
	}
	r.mu.Unlock()
	if busy {
		return
	}
	zone := zoneName(f.Zone)
	if r.appendRecord(ctx, counterpart.ZoneOut(zone)) {
		r.checker.ZoneOut(zone)
		duration.Sleep(ctx, f.Duration+zoneBound) // also when ctx ends, the zone is taken back in
		r.checker.ZoneIn(zone)
	}
	r.appendRecord(context.WithoutCancel(ctx), counterpart.ZoneIn(zone))
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.zonesOut, f.Zone)
}
