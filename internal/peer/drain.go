package peer

import (
	"context"
	"strings"
	"sync/atomic"
	"time"
)

// drainedService is the RPC service whose requests Drain waits for: they carry the requests of callers.
const drainedService = "Proxy."

// drainPollInterval is the time between checks of the requests in progress.
const drainPollInterval = 10 * time.Millisecond

// requests counts the requests of drainedService whose responses have not been sent yet.
type requests struct {
	inFlight  atomic.Int64
	lastStart atomic.Int64 // unix nanoseconds at which the newest one arrived
}

func (r *requests) started(method string) {
	if strings.HasPrefix(method, drainedService) {
		r.inFlight.Add(1)
		r.lastStart.Store(time.Now().UnixNano())
	}
}

func (r *requests) finished(method string) {
	if strings.HasPrefix(method, drainedService) {
		r.inFlight.Add(-1)
	}
}

// Drain waits until every response has been sent and no request has arrived for the duration quiet,
// or until ctx ends. It returns the number of requests that are still in progress.
func (s *Server) Drain(ctx context.Context, quiet time.Duration) int64 {
	start := time.Now()
	for ctx.Err() == nil {
		last := time.Unix(0, s.requests.lastStart.Load())
		if s.requests.inFlight.Load() == 0 && time.Since(last) >= quiet && time.Since(start) >= quiet {
			break
		}
		select {
		case <-time.After(drainPollInterval):
		case <-ctx.Done():
		}
	}
	return s.requests.inFlight.Load()
}
