package delivery

import (
	"time"

	"celerybank/internal/ratelimit"
)

// coldWindow is the window over which the rate of requests to a cold upstream is limited.
const coldWindow = time.Second

// ColdBound is the operator's limit for a cold upstream, in requests per second: Overshoot times the
// rate that the upstream states, plus Slack.
type ColdBound struct{ Overshoot, Slack float64 }

// coldSlackFraction is the fraction of the slack that is used. The rest is headroom for requests that
// the host delays after they were counted as sent.
const coldSlackFraction = 0.4

// allowed returns how many requests per second a cold upstream that states a rate gets; 0, for no
// limit, if it states none.
func (b ColdBound) allowed(rate float64) float64 {
	if rate <= 0 {
		return 0
	}
	return rate*max(b.Overshoot, 1) + coldSlackFraction*max(b.Slack, 0)
}

// pacer limits and spaces the requests to a cold upstream. It keeps the exact times of the requests in
// the last window, which are few (a sliding window log, "Rate limiting with Redis", C. O'Hara 2011).
type pacer struct {
	coldUntil time.Time
	rate      float64 // requests per second while cold, 0 for no limit
	sent      []time.Time
}

// set sets until when the upstream is cold and how many requests per second it gets until then.
func (p *pacer) set(coldUntil time.Time, rate float64) { p.coldUntil, p.rate = coldUntil, rate }

func (p *pacer) cold(now time.Time) bool { return p.rate > 0 && now.Before(p.coldUntil) }

// perWindow returns how many requests fit into a window.
func (p *pacer) perWindow() int { return max(1, int(p.rate)) }

// admit counts one request and returns true, or returns false if a cold upstream may not get one now.
// Requests to a warm upstream are counted too, because it may turn cold at any time.
func (p *pacer) admit(now time.Time) bool {
	p.removeOld(now)
	if p.cold(now) && p.wait(now, 0) > 0 {
		return false
	}
	if p.rate > 0 {
		p.sent = append(p.sent, now)
	}
	return true
}

// recount moves the request counted last to now, when it was written.
func (p *pacer) recount(now time.Time) {
	if n := len(p.sent); n > 0 {
		p.sent[n-1] = now
	}
}

// removeOld removes the requests before the current window.
func (p *pacer) removeOld(now time.Time) {
	i := 0
	for i < len(p.sent) && now.Sub(p.sent[i]) >= coldWindow {
		i++
	}
	p.sent = append(p.sent[:0], p.sent[i:]...)
}

// wait returns the time until a request may be sent that has ahead others before it, at most the time
// until the upstream is warm. Requests are spaced evenly over the window to avoid bursts.
func (p *pacer) wait(now time.Time, ahead int) time.Duration {
	if !p.cold(now) {
		return 0
	}
	n := p.perWindow()
	gap := coldWindow / time.Duration(n)
	at := now
	if len(p.sent) > 0 {
		at = p.sent[len(p.sent)-1].Add(gap)
	}
	if i := len(p.sent) - n; i >= 0 && p.sent[i].Add(coldWindow).After(at) {
		at = p.sent[i].Add(coldWindow)
	}
	return min(max(0, at.Sub(now))+time.Duration(ahead)*gap, max(0, p.coldUntil.Sub(now)))
}

// slots returns how many requests run concurrently at a cold upstream, given its mean processing time
// (Little 1961).
func (p *pacer) slots(meanTime time.Duration) int {
	return max(1, int(p.rate*meanTime.Seconds()+0.5))
}

// pacing limits and spaces the requests to an upstream that is cold or names a limit.
type pacing struct {
	cold  pacer
	named ratelimit.Limiter
}

// admit counts one request and returns true, or returns false if the upstream may not get one now.
func (p *pacing) admit(now time.Time) bool {
	if p.named.Wait(now, 0) > 0 || !p.cold.admit(now) {
		return false
	}
	p.named.Count(now)
	return true
}

// wait returns the time until a request may be sent that has ahead others before it.
func (p *pacing) wait(now time.Time, ahead int) time.Duration {
	return max(p.cold.wait(now, ahead), p.named.Wait(now, ahead))
}

// active reports whether any limit is in force.
func (p *pacing) active(now time.Time) bool { return p.cold.cold(now) || p.named.Rate() > 0 }

// slots returns how many of the upstream's slots are in use at the limits, given its mean processing time.
func (p *pacing) slots(now time.Time, meanTime time.Duration, slots int) int {
	slots = p.named.Slots(meanTime, slots)
	if p.cold.cold(now) {
		slots = min(slots, p.cold.slots(meanTime))
	}
	return slots
}
