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
	// rolloutWithin is the time that the operator gives a move.
	rolloutWithin = 12 * time.Second
	// rolloutNumbers is where the IPs of hosts of new versions begin.
	rolloutNumbers = 200
)

// rollout starts upstreams of a new version on hosts of their own, one in each zone, and orders
// the move. Once it is completed the old upstreams end at once and are replaced by new ones;
// else the new ones leave. At the end the added hosts go.
func (s *soak) rollout(ctx context.Context, t Trouble) {
	s.mu.Lock()
	busy := s.moving
	s.moving = true
	s.moves++
	n := s.moves
	s.mu.Unlock()
	if busy {
		return
	}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.moving = false
	}()
	service, version := services[t.Zone%len(services)], fmt.Sprint("v", n)
	added := s.addHosts(ctx, service, version, n, t.Kind == BadVersion)
	ended := func(bool) {}
	if t.Kind == BadVersion {
		ended = s.checker.BadVersion(service, version)
	}
	outcome := orders.Unknown
	if s.order(ctx, counterpart.Rollout(service, version, rolloutWithin)) {
		outcome = s.outcome(ctx, service, version)
	}
	fmt.Fprintln(s.Out, version, "of", service, "ended:", outcomeNames[outcome])
	ended(outcome == orders.Completed)
	if outcome == orders.Completed {
		s.takeOver(ctx, service, version)
	}
	s.removeHosts(ctx, added)
}

var outcomeNames = map[orders.Outcome]string{orders.Unknown: "not yet", orders.Running: "running", orders.Completed: "completed", orders.RolledBack: "rolled back"}

// addHosts starts one host of the version in each zone.
func (s *soak) addHosts(ctx context.Context, service, version string, n int, bad bool) (added []*host) {
	for zone := range zones {
		number := rolloutNumbers + (n*zones+zone)%50
		h := s.newHost(fmt.Sprint("n", n, "-", zone), number, zone, service)
		h.version, h.bad = version, bad
		added = append(added, h)
		if err := h.boot(ctx, s, true); err != nil {
			fmt.Fprintln(s.Out, h.name, "does not start:", err)
		}
	}
	return added
}

// outcome waits until the system says how a move ended, or the run ends.
func (s *soak) outcome(ctx context.Context, service, version string) orders.Outcome {
	statuses := platform.NewStatuses(platform.NewClient(s.storeAt, time.Second, peer.TCP{}.Dial))
	for duration.Sleep(ctx, operatorRetry) {
		o, _, err := statuses.Outcome(ctx, orders.Rollout{Service: service, Version: version})
		if err == nil && (o == orders.Completed || o == orders.RolledBack) {
			return o
		}
	}
	return orders.Unknown
}

// takeOver ends the old upstreams of a service at once and starts those of the new version.
func (s *soak) takeOver(ctx context.Context, service, version string) {
	var all conc.WaitGroup
	for _, h := range s.hosts {
		if h.service == service {
			all.Go(func() {
				defer s.checker.Disturb(Unplanned, h.name)()
				s.replace(ctx, h, func() { h.up.crash(); h.version = version })
			})
		}
	}
	all.Wait()
}

// removeHosts lets the upstreams leave and stops their nodes as planned.
func (s *soak) removeHosts(ctx context.Context, added []*host) {
	var all conc.WaitGroup
	for _, h := range added {
		all.Go(func() {
			defer h.close()
			if h.up == nil || h.process() == nil {
				return
			}
			h.up.leave(ctx)
			p := h.process()
			p.signal(syscall.SIGTERM)
			p.wait(grace) // close kills what is still there
		})
	}
	all.Wait()
}
