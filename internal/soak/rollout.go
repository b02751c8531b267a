package soak

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"celerybank/internal/duration"
	"celerybank/internal/orders"
	"celerybank/internal/peer"
	"celerybank/platform"
	"celerybank/platform/counterpart"
)

const (
	// rolloutDuration is the duration that the operator orders for a rollout.
	rolloutDuration = 12 * time.Second
	// Hosts of new versions have the host numbers from firstRolloutHost on, rolloutHosts in all.
	firstRolloutHost = 200
	rolloutHosts     = 50
)

// rollout adds a host with an upstream of a new version in each zone and orders the rollout of that
// version. When the rollout has completed, the old upstreams crash at once and upstreams of the new
// version replace them. In any case the added hosts are drained and removed at the end. It does nothing
// while another rollout runs.
func (r *runner) rollout(ctx context.Context, f Fault) {
	r.mu.Lock()
	busy := r.rolloutRunning
	r.rolloutRunning = true
	r.rollouts++
	n := r.rollouts
	r.mu.Unlock()
	if busy {
		return
	}
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.rolloutRunning = false
	}()
	service, version := services[f.Zone%len(services)], fmt.Sprint("v", n)
	added := r.addHosts(ctx, service, version, n, f.Kind == BadRollout)
	ended := func(bool) {}
	if f.Kind == BadRollout {
		ended = r.checker.BadRollout(service, version)
	}
	outcome := orders.Unknown
	if r.appendRecord(ctx, counterpart.Rollout(service, version, rolloutDuration)) {
		outcome = r.awaitOutcome(ctx, service, version)
	}
	fmt.Fprintln(r.Out, version, "of", service, "ended:", outcomeNames[outcome])
	ended(outcome == orders.Completed)
	if outcome == orders.Completed {
		r.replaceOldVersion(ctx, service, version)
	}
	r.removeHosts(ctx, added)
}

var outcomeNames = map[orders.Outcome]string{orders.Unknown: "not yet", orders.Running: "running", orders.Completed: "completed", orders.RolledBack: "rolled back"}

// addHosts starts one host of the version in each zone. n is the number of the rollout.
func (r *runner) addHosts(ctx context.Context, service, version string, n int, bad bool) (added []*host) {
	for zone := range zones {
		number := firstRolloutHost + (n*zones+zone)%rolloutHosts
		h := r.newHost(fmt.Sprint("n", n, "-", zone), number, zone, service)
		h.version, h.bad = version, bad
		added = append(added, h)
		if err := h.boot(ctx, r, true); err != nil {
			fmt.Fprintln(r.Out, h.name, "failed to start:", err)
		}
	}
	return added
}

// awaitOutcome waits for the recorded outcome of a rollout. It returns orders.Unknown if ctx ends first.
func (r *runner) awaitOutcome(ctx context.Context, service, version string) orders.Outcome {
	statuses := platform.NewStatuses(platform.NewClient(r.storeAddr, time.Second, peer.TCP{}.Dial))
	for duration.Sleep(ctx, operatorRetryInterval) {
		o, _, err := statuses.Outcome(ctx, orders.Rollout{Service: service, Version: version})
		if err == nil && (o == orders.Completed || o == orders.RolledBack) {
			return o
		}
	}
	return orders.Unknown
}

// replaceOldVersion crashes the old upstreams of a service at once and starts upstreams of the new version.
func (r *runner) replaceOldVersion(ctx context.Context, service, version string) {
	var all conc.WaitGroup
	for _, h := range r.hosts {
		if h.service == service {
			all.Go(func() {
				defer r.checker.Disrupt(Unplanned, h.name)()
				r.replaceUpstream(ctx, h, func() { h.up.crash(); h.version = version })
			})
		}
	}
	all.Wait()
}

// removeHosts drains the upstreams of the added hosts and stops their nodes gracefully.
func (r *runner) removeHosts(ctx context.Context, added []*host) {
	var all conc.WaitGroup
	for _, h := range added {
		all.Go(func() {
			defer h.close()
			if h.up == nil || h.process() == nil {
				return
			}
			h.up.drain(ctx)
			p := h.process()
			p.signal(syscall.SIGTERM)
			p.wait(gracePeriod) // close kills a node that is still running
		})
	}
	all.Wait()
}
