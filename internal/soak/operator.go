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

// order writes a record of the operator until the store acknowledges it.
func (s *soak) order(ctx context.Context, record []byte) bool {
	for ctx.Err() == nil {
		if _, err := s.operator.Append(ctx, platform.TopicOperator, record); err == nil {
			return true
		}
		duration.Sleep(ctx, operatorRetry) // the loop looks at ctx
	}
	return false
}

// configure moves one route to another service and publishes that.
func (s *soak) configure(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version += 3
	var list []counterpart.Route
	now := map[string]string{}
	moved := false
	for p, service := range s.routes {
		if !moved && s.version > 3 {
			moved = true
			if service == services[0] {
				service = services[1]
			} else {
				service = services[0]
			}
		}
		now[p] = service
		list = append(list, counterpart.Route{Prefix: p, Service: service, Safe: prefixes[p]})
	}
	s.routes = now
	acked := s.checker.Configured(now)
	if s.order(ctx, counterpart.Config(s.version, hostName, list, services, coldPerS)) {
		acked()
	}
}

// harmStore gives the stand-in of the store faults for the time of a trouble.
func (s *soak) harmStore(ctx context.Context, t Trouble, f configlog.Faults) {
	defer s.checker.Disturb(Store, "")()
	s.control(f)
	duration.Sleep(ctx, t.For) // the faults end in any case
	s.control(configlog.Faults{})
}

func (s *soak) control(f configlog.Faults) {
	text, err := json.Marshal(f)
	if err == nil {
		var resp *http.Response
		if resp, err = http.Post("http://"+s.storeAt+"/control", "application/json", bytes.NewReader(text)); err == nil {
			_ = resp.Body.Close()
		}
	}
	if err != nil {
		fmt.Fprintln(s.Out, "the store takes no faults:", err)
	}
}

// zoneOutIn takes a zone out for the time of a trouble and some more, one zone at a time.
func (s *soak) zoneOutIn(ctx context.Context, t Trouble) {
	s.mu.Lock()
	busy := len(s.out) > 0
	if !busy {
		s.out[t.Zone] = true
	}
	s.mu.Unlock()
	if busy {
		return
	}
	zone := zoneName(t.Zone)
	if s.order(ctx, counterpart.ZoneOut(zone)) {
		s.checker.ZoneOut(zone)
		duration.Sleep(ctx, t.For+zoneWithin) // it is taken back in any case
		s.checker.ZoneIn(zone)
	}
	s.order(context.WithoutCancel(ctx), counterpart.ZoneIn(zone))
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.out, t.Zone)
}
