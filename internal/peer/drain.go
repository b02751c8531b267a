package peer

import (
	"context"
	"strings"
	"sync/atomic"
	"time"
)

// drainedService is the RPC service whose calls Drain waits for: they carry the requests of callers.
const drainedService = "Proxy."

// drainPollInterval is the time between checks of the calls in progress.
const drainPollInterval = 10 * time.Millisecond

// calls counts the calls of drainedService whose replies have not been sent yet.
type calls struct {
	inFlight  atomic.Int64
	lastStart atomic.Int64 // Unix nanoseconds at which the newest one arrived
}

func (c *calls) started(method string) {
	if strings.HasPrefix(method, drainedService) {
		c.inFlight.Add(1)
		c.lastStart.Store(time.Now().UnixNano())
	}
}

func (c *calls) finished(method string) {
	if strings.HasPrefix(method, drainedService) {
		c.inFlight.Add(-1)
	}
}

// Drain waits until every reply has been sent and no call has arrived for the duration quiet, or until
// ctx ends. It returns the number of calls that are still in progress.
func (s *Server) Drain(ctx context.Context, quiet time.Duration) int64 {
	start := time.Now()
	for ctx.Err() == nil {
		last := time.Unix(0, s.calls.lastStart.Load())
		if s.calls.inFlight.Load() == 0 && time.Since(last) >= quiet && time.Since(start) >= quiet {
			break
		}
		select {
		case <-time.After(drainPollInterval):
		case <-ctx.Done():
		}
	}
	return s.calls.inFlight.Load()
}
