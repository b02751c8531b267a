package ingress

import (
	"slices"
	"sync/atomic"
	"time"
)

// counts has what gave way to others.
type counts struct {
	closedIdle, closedSlow, refusedConnections, refusedRequests atomic.Int64
}

// Counts has the numbers of connections that were closed because of Config.MaxConnections, by their state, and of the
// requests that were refused because of Config.MaxRequests.
type Counts struct{ ClosedIdle, ClosedSlow, RefusedConnections, RefusedRequests int64 }

// Counts returns what gave way to others.
func (s *Server) Counts() Counts {
	return Counts{s.counts.closedIdle.Load(), s.counts.closedSlow.Load(), s.counts.refusedConnections.Load(), s.counts.refusedRequests.Load()}
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// States of a connection that is closed because of Config.MaxConnections.
const (
	stateIdle = "idle"
	stateSlow = "slow"
	stateNew  = "new"
)

// idleClosedFraction is the fraction of the connections that are closed together if they are idle, so that the search for
// them is rare.
const idleClosedFraction = 32

// makeRoom closes connections if there is no room for another one: the idle ones first, the longest idle before others, then the
// one that sends or reads most slowly. It returns false if all wait for responses, so that the new connection has to be closed.
func (s *Server) makeRoom() bool {
	if s.cfg.MaxConnections <= 0 {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) < s.cfg.MaxConnections {
		return true
	}
	closed := s.closeIdle(max(1, s.cfg.MaxConnections/idleClosedFraction))
	switch {
	case closed > 0:
		s.counts.closedIdle.Add(int64(closed))
		s.reportClosed(stateIdle)
		return true
	case s.closeSlowest():
		s.counts.closedSlow.Add(1)
		s.reportClosed(stateSlow)
		return true
	}
	s.counts.refusedConnections.Add(1)
	s.reportClosed(stateNew)
	return false
}

func (s *Server) reportClosed(state string) {
	if s.cfg.Closed != nil {
		s.cfg.Closed(state)
	}
}

// closeIdle closes up to n connections without a request, and returns their number. s.mu is held.
func (s *Server) closeIdle(n int) int {
	type idle struct {
		conn  *conn
		since time.Time
	}
	var found []idle
	for c := range s.conns {
		if since, ok := c.idleTime(); ok {
			found = append(found, idle{c, since})
		}
	}
	slices.SortFunc(found, func(a, b idle) int { return a.since.Compare(b.since) })
	closed := 0
	for _, f := range found {
		if closed == n {
			break
		}
		if f.conn.drain() {
			delete(s.conns, f.conn)
			closed++
		}
	}
	return closed
}

// closeSlowest closes the connection whose request or response has not progressed for longest. It returns false if there is none.
// s.mu is held.
func (s *Server) closeSlowest() bool {
	var slowest *conn
	for c := range s.conns {
		if (c.reading.Load() || c.writing.Load()) && (slowest == nil || c.progress.Load() < slowest.progress.Load()) {
			slowest = c
		}
	}
	if slowest == nil {
		return false
	}
	delete(s.conns, slowest)
	slowest.giveWay()
	return true
}

// idleTime returns since when the connection is idle; ok is false if it is not.
func (c *conn) idleTime() (since time.Time, ok bool) {
	if c.reading.Load() {
		return since, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleSince, c.pending == 0 && !c.closing
}

// pipelinedFraction is the fraction of the requests in flight beyond which a request is refused that came before the response to an
// earlier one of its connection, so that callers who send many at once leave room for the others.
const pipelinedFraction = 0.5

// busy reports whether too many requests are in flight to admit another one of this connection.
func (c *conn) busy() bool {
	limit, now := c.server.cfg.MaxRequests, c.server.inflight.Load()
	if limit <= 0 || now < int64(pipelinedFraction*float64(limit)) {
		return false
	}
	if now < limit && c.idle() {
		return false
	}
	c.server.counts.refusedRequests.Add(1)
	return true
}
