package delivery

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"celerybank/internal/duration"
)

// sendTurnLimit is how long a request that is being written holds back the next one, for a request whose
// body the upstream does not read.
const sendTurnLimit = 500 * time.Millisecond

// errTurnTooLate is returned for a request whose turn to be sent comes after its deadline.
var errTurnTooLate = errors.New("the request may not be sent before its deadline")

// WaitToSend waits until one more request may be sent to the upstream, and counts it as sent. Call it
// right before the first byte is written, and sent when the request has been written or given up: while
// requests are paced, the next one is counted after that, so that requests do not arrive together when
// the host stalls between count and write. It returns the error of ctx if that ends first, and errTurnTooLate as soon as it is
// known that it would.
func (g *Gate) WaitToSend(ctx context.Context) (sent func(), err error) {
	if g.countUnpaced() {
		return func() {}, nil
	}
	select {
	case g.sendTurn <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	for {
		wait := g.countPaced()
		if wait == 0 {
			return g.newSendTurn(), nil
		}
		if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= wait {
			<-g.sendTurn
			return nil, errTurnTooLate
		}
		if !duration.Sleep(ctx, wait) {
			<-g.sendTurn
			return nil, ctx.Err()
		}
	}
}

// countUnpaced counts a request and returns true if no limit is in force.
func (g *Gate) countUnpaced() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	return !g.sending.active(now) && g.sending.admit(now)
}

// countPaced counts a request and returns 0, or returns how long it has to wait.
func (g *Gate) countPaced() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if g.sending.admit(now) {
		return 0
	}
	return max(g.sending.wait(now, 0), time.Millisecond)
}

// newSendTurn returns the function that ends the turn of the request counted last. The turn ends by itself
// after sendTurnLimit.
func (g *Gate) newSendTurn() func() {
	var once sync.Once
	end := func() {
		g.mu.Lock()
		g.sending.cold.recount(time.Now())
		g.mu.Unlock()
		<-g.sendTurn
	}
	timer := time.AfterFunc(sendTurnLimit, func() { once.Do(end) })
	return func() {
		timer.Stop()
		once.Do(end)
	}
}
