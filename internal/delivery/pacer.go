package delivery

import "time"

// coldWindow is the span in which a cold upstream bears a number of requests.
const coldWindow = time.Second

// ColdBound is what the operator lets a cold upstream get in a second: Overshoot times the rate
// that it states, and Slack more.
type ColdBound struct{ Overshoot, Slack float64 }

// coldSlackPart is the part of the slack that is used; the rest is for requests that the host
// delays on the last step of their way, after they were counted.
const coldSlackPart = 0.4

// allowed is how many requests a second go to a cold upstream that states a rate; 0 without one.
func (b ColdBound) allowed(rate float64) float64 {
	if rate <= 0 {
		return 0
	}
	return rate*max(b.Overshoot, 1) + coldSlackPart*max(b.Slack, 0)
}

// pacer spaces the requests to a cold upstream: it keeps the exact times of the last ones
// (a sliding window log, "Rate limiting with Redis", C. O'Hara 2011), few as they are.
type pacer struct {
	until time.Time
	rate  float64
	sent  []time.Time
}

// set says until when the upstream is cold and how many requests a second it gets then.
func (p *pacer) set(until time.Time, rate float64) { p.until, p.rate = until, rate }

func (p *pacer) cold(now time.Time) bool { return p.rate > 0 && now.Before(p.until) }

// allowed is how many requests fit into a window.
func (p *pacer) allowed() int { return max(1, int(p.rate)) }

// take notes one request, or reports that a cold upstream bears no more now. Requests to a
// warm one are noted too: it may turn cold at any moment.
func (p *pacer) take(now time.Time) bool {
	p.forget(now)
	if p.cold(now) && p.wait(now, 0) > 0 {
		return false
	}
	if p.rate > 0 {
		p.sent = append(p.sent, now)
	}
	return true
}

func (p *pacer) forget(now time.Time) {
	i := 0
	for i < len(p.sent) && now.Sub(p.sent[i]) >= coldWindow {
		i++
	}
	p.sent = append(p.sent[:0], p.sent[i:]...)
}

// wait is how long until a request may go with ahead others before it: one for each
// part of the window, so that they do not come at once.
func (p *pacer) wait(now time.Time, ahead int) time.Duration {
	if !p.cold(now) {
		return 0
	}
	n := p.allowed()
	gap := coldWindow / time.Duration(n)
	at := now
	if len(p.sent) > 0 {
		at = p.sent[len(p.sent)-1].Add(gap)
	}
	if i := len(p.sent) - n; i >= 0 && p.sent[i].Add(coldWindow).After(at) {
		at = p.sent[i].Add(coldWindow)
	}
	return min(max(0, at.Sub(now))+time.Duration(ahead)*gap, max(0, p.until.Sub(now)))
}

// slots is how many requests run at once at the pace of a cold upstream (Little 1961).
func (p *pacer) slots(pace time.Duration) int {
	return max(1, int(p.rate*pace.Seconds()+0.5))
}
