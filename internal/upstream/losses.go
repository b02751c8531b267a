package upstream

import "time"

// lossWindow is the time within which all connections must be closed by the upstream to count as a
// restart. Connections that were idle for longer may have been closed by an idle timeout.
const lossWindow = time.Second

// minRestartLosses is the minimum number of closed connections that counts as a restart.
const minRestartLosses = 2

// lossCounter counts the connections that the upstream closed within one window.
type lossCounter struct {
	windowStart time.Time
	// openAtStart is the number of connections that were open when the window began, less those that
	// this side has closed since.
	openAtStart int
	lost        int
}

// closedLocally excludes a connection that this side closed from the count.
func (l *lossCounter) closedLocally() {
	if l.openAtStart > 0 {
		l.openAtStart--
	}
}

// add counts one loss. It reports whether all connections that were open at the start of the window
// are lost, and then starts over.
func (l *lossCounter) add(open int, now time.Time) bool {
	if now.Sub(l.windowStart) > lossWindow {
		*l = lossCounter{windowStart: now, openAtStart: open}
	}
	l.lost++
	if l.lost < minRestartLosses || l.lost < l.openAtStart {
		return false
	}
	*l = lossCounter{}
	return true
}

// closeBroken closes a connection that the upstream closed, and checks which idle connections it has
// closed as well.
func (c *Client) closeBroken(conn *clientConn) {
	now := time.Now()
	restarted := c.recordLoss(conn, now)
	for _, other := range c.takeBrokenIdle() {
		restarted = c.recordLoss(other, now) || restarted
	}
	if restarted {
		c.onRestart()
	}
}

// recordLoss closes a connection that the upstream closed and reports whether that loss shows that the
// upstream has restarted.
func (c *Client) recordLoss(conn *clientConn, now time.Time) bool {
	_ = conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	restarted := false
	if now.Sub(conn.lastUsed) < lossWindow {
		restarted = c.lossCounter.add(c.open, now)
	} else {
		c.lossCounter.closedLocally()
	}
	c.open--
	return restarted
}

// takeBrokenIdle removes and returns the idle connections that the upstream has closed.
func (c *Client) takeBrokenIdle() []*clientConn {
	c.mu.Lock()
	idle := c.idle
	c.idle = nil
	c.mu.Unlock()
	var broken, good []*clientConn
	for _, conn := range idle {
		if isOpen(conn) {
			good = append(good, conn)
		} else {
			broken = append(broken, conn)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, good...)
	return broken
}
