// Package ratelimit keeps an upstream within the request rate that it names in its responses. The rate
// holds for the requests of all nodes together. Only the owner of an upstream, the node on its host, can
// send to it, so that one Limiter at the owner enforces the rate without agreement between nodes:
//
//   - an entry node has no share of its own. What it sends to the owner counts there, whatever it knows;
//   - the owner knows the rate from the newest response. One that has just started knows nothing, while
//     the upstream may have told its predecessor. It learns from its first response, or before from what
//     entry nodes have heard (Hint); until then its share is UnknownInFlight requests at the same time.
package ratelimit

import (
	"math"
	"time"
)

// UnknownInFlight is the number of requests in flight that a limiter admits while it knows nothing.
const UnknownInFlight = 1

const (
	// burstTime is the time for which unused rate is kept, so that uneven arrivals use the rate up.
	burstTime = 250 * time.Millisecond
	// minRate is used instead of a lower rate, in requests per second: the responses to these requests
	// show when the limit ends.
	minRate = 0.25
)

// Limiter spaces requests by the generic cell rate algorithm (ITU-T I.371). The zero Limiter has no limit
// until a response names one. It is not safe for concurrent use.
type Limiter struct {
	// unknown is set while a predecessor may know a limit.
	unknown bool
	// rate is the named limit in requests per second, 0 if there is none.
	rate float64
	// named is when the last response that named a limit arrived.
	named time.Time
	// due is the theoretical arrival time of the next request.
	due time.Time
	// responded is set by the first response.
	responded bool
}

// New returns the Limiter of a process that has just started: until it learns of the limit or of its absence, it admits
// UnknownInFlight requests at the same time.
func New() Limiter { return Limiter{unknown: true} }

// Hint is what a node knows about the limit of an upstream: that limit in thousandths of a request per
// second, or one of the constants. Owners send it with each response, and entry nodes with each request.
type Hint int64

// hintScale is the scale of a Hint.
const hintScale = 1000

const (
	// Unknown means that the node has not heard of a response of the upstream lately.
	Unknown Hint = 0
	// Unlimited means that the newest response that the node has heard of names no limit.
	Unlimited Hint = -1
)

// unlimitedFresh is how long it counts that an upstream named no limit: less than the time that it allows for a
// limit to take effect.
const unlimitedFresh = 2 * time.Second

// Heard is what an entry node has heard of one upstream. The zero Heard is nothing.
type Heard struct {
	hint Hint
	at   time.Time
}

// Record records what the owner reported at now.
func (h *Heard) Record(hint Hint, now time.Time) {
	if hint != Unknown {
		h.hint, h.at = hint, now
	}
}

// Limited reports whether the upstream named a limit.
func (h Heard) Limited() bool { return h.hint > 0 }

// Hint returns the hint for a request that is sent now.
func (h Heard) Hint(now time.Time) Hint {
	if h.hint == Unlimited && now.Sub(h.at) >= unlimitedFresh {
		return Unknown
	}
	return h.hint
}

// Learn applies the hint of a request that arrives now. It has no effect after the first response.
func (l *Limiter) Learn(h Hint, now time.Time) {
	switch {
	case l.responded || h == Unknown:
	case h < 0:
		l.unknown = false
	case l.rate == 0 || h.rate() < l.rate:
		l.unknown, l.rate = false, h.rate()
		l.due = now.Add(l.interval()) // the predecessor may have sent a request just before
	}
}

// Observe applies a response that arrived now to a request that was sent at sent. rate is the limit that
// it names, in requests per second; a negative rate means that it names none. Only a response to a request that was
// sent after a limit was named lifts it: others may be older. It reports whether the limit changed.
func (l *Limiter) Observe(rate float64, sent, now time.Time) (changed bool) {
	l.unknown, l.responded = false, true
	old := l.rate
	switch {
	case rate >= 0:
		l.rate, l.named = max(rate, minRate), now
		if old == 0 {
			l.due = l.due.Add(l.interval()) // due is when the last request was sent
		}
	case !sent.Before(l.named):
		l.rate = 0
	}
	return l.rate != old
}

// Reset forgets the limit: another process has taken the place of the upstream.
func (l *Limiter) Reset() { l.rate, l.named = 0, time.Time{} }

// Hint returns what this node knows from responses.
func (l *Limiter) Hint() Hint {
	switch {
	case !l.responded:
		return Unknown
	case l.rate == 0:
		return Unlimited
	}
	return Hint(math.Ceil(l.rate * hintScale))
}

// rate returns the limit in requests per second.
func (h Hint) rate() float64 { return float64(h) / hintScale }

// Rate returns the limit in requests per second, 0 if there is none.
func (l *Limiter) Rate() float64 { return l.rate }

// InFlight returns the number of requests that may be in flight, at most most.
func (l *Limiter) InFlight(most int) int {
	if l.unknown {
		return min(most, UnknownInFlight)
	}
	return most
}

// interval is the time between two requests at the limit.
func (l *Limiter) interval() time.Duration { return time.Duration(float64(time.Second) / l.rate) }

// tolerance is how much earlier than due a request may come.
func (l *Limiter) tolerance() time.Duration { return max(0, burstTime-l.interval()) }

// Wait returns the time until a request may be sent that has ahead others before it.
func (l *Limiter) Wait(now time.Time, ahead int) time.Duration {
	if l.rate == 0 {
		return 0
	}
	due := l.due.Add(time.Duration(ahead)*l.interval() - l.tolerance())
	return max(0, due.Sub(now))
}

// Count counts a request that is sent now. Requests count without a limit too, so that one that is named later
// starts without a burst.
func (l *Limiter) Count(now time.Time) {
	if l.rate == 0 {
		l.due = now
		return
	}
	if l.due.Before(now) {
		l.due = now
	}
	l.due = l.due.Add(l.interval())
}

// Slots returns the number of requests that are in flight at the limit, given their mean processing time
// (Little 1961); at most most.
func (l *Limiter) Slots(meanTime time.Duration, most int) int {
	if l.rate == 0 {
		return most
	}
	return min(most, max(1, int(math.Round(l.rate*meanTime.Seconds()))))
}
