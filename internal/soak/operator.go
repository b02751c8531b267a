package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"sync"
	"time"

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
		if r.tryAppend(ctx, record) {
			return true
		}
		duration.Sleep(ctx, operatorRetryInterval) // the loop condition checks ctx
	}
	return false
}

// tryAppend appends a record of the operator once.
func (r *runner) tryAppend(ctx context.Context, record []byte) bool {
	r.written.mu.Lock()
	defer r.written.mu.Unlock()
	if _, err := r.operator.Append(ctx, platform.TopicOperator, record); err != nil {
		return false
	}
	r.written.sinceCopy[counterpart.RecordKey(record)] = record
	return true
}

// writtenRecords are the operator's newest records of each key since the last copy of the store.
type writtenRecords struct {
	mu        sync.Mutex
	sinceCopy map[string][]byte
}

// restoreStore makes a copy of the store, restores it after the duration of the fault and an outage, and writes the
// operator's records since then again, after a short time.
func (r *runner) restoreStore(ctx context.Context, f Fault) {
	r.written.mu.Lock()
	clear(r.written.sinceCopy)
	r.controlStore("/control/copy", nil)
	r.written.mu.Unlock()
	duration.Sleep(ctx, f.Duration) // also when ctx ends, the copy is restored
	defer r.checker.Disrupt(StoreFault, "")()
	r.setStoreFaults(configlog.Faults{Outage: true})
	duration.Sleep(ctx, restoreOutage)
	r.written.mu.Lock()
	r.controlStore("/control/restore", nil)
	lost := maps.Clone(r.written.sinceCopy)
	r.written.mu.Unlock()
	r.setStoreFaults(configlog.Faults{})
	duration.Sleep(ctx, rewriteDelay)
	for _, record := range lost {
		r.appendLost(record)
	}
}

// appendLost writes a record again that the store lost, unless a newer one of its key was written since.
func (r *runner) appendLost(record []byte) {
	for {
		r.written.mu.Lock()
		newest := r.written.sinceCopy[counterpart.RecordKey(record)]
		r.written.mu.Unlock()
		if !bytes.Equal(newest, record) || r.tryAppend(context.Background(), record) {
			return
		}
		duration.Sleep(context.Background(), operatorRetryInterval)
	}
}

// Timing of a restoration of the store.
const (
	restoreOutage = 500 * time.Millisecond
	// rewriteDelay is the time after which the operator writes lost records again.
	rewriteDelay = 300 * time.Millisecond
)

// publishConfig publishes a configuration in which one route has the other service. The first
// configuration publishes the initial routes.
func (r *runner) publishConfig(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	routes := map[string]string{}
	changed := false
	for p, service := range r.routes {
		if !changed && r.version > 0 {
			changed = true
			if service == services[0] {
				service = services[1]
			} else {
				service = services[0]
			}
		}
		routes[p] = service
	}
	r.routes = routes
	r.publish(ctx, routes)
}

// publish publishes a configuration with these services by prefix and the current keys. r.mu is held.
func (r *runner) publish(ctx context.Context, routes map[string]string) {
	r.version += versionStep
	var list []counterpart.Route
	for p, service := range routes {
		list = append(list, counterpart.Route{Prefix: p, Service: service, Safe: prefixes[p], Public: p == publicPrefix})
	}
	workspaces := r.keys.list()
	acked, keysAcked := r.checker.ConfigSent(routes), r.checker.WorkspacesSent(workspaces)
	if r.appendRecord(ctx, counterpart.WorkspaceConfig(r.version, authority, list, services, coldRate, workspaces)) {
		acked()
		keysAcked()
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
	if err != nil {
		fmt.Fprintln(r.Out, "cannot encode the faults of the store:", err)
		return
	}
	r.controlStore("/control", text)
}

// controlStore sends a request to the control interface of the store's stand-in.
func (r *runner) controlStore(path string, body []byte) {
	resp, err := http.Post("http://"+r.storeAddr+path, "application/json", bytes.NewReader(body))
	if err != nil {
		fmt.Fprintln(r.Out, "cannot control the store:", err)
		return
	}
	_ = resp.Body.Close()
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
