package delivery

import (
	"time"

	"celerybank/internal/events"
	"celerybank/internal/registry"
)

// ColdReason is the evidence from which an upstream counts as cold or warm.
type ColdReason string

const (
	ColdAnnounced  ColdReason = "announcement"
	ColdConfigured ColdReason = "configuration"
	ColdChecked    ColdReason = "health check"
	// ColdZoneIn is used when the upstream's zone is in again: it may have turned cold without requests.
	ColdZoneIn ColdReason = "zone in again"
	// ColdResumed is used when this process was suspended.
	ColdResumed ColdReason = "process resumed"
	// ColdRestarted is used when the upstream has closed all of its connections at once.
	ColdRestarted ColdReason = "upstream closed all connections"
)

// assumeColdLimit limits how long an upstream counts as cold without evidence. It exceeds the delay of a
// late announcement.
const assumeColdLimit = 5 * time.Second

// coldAssumption is the assumption that the upstream is cold although it has not said so. The owner's
// lock guards it.
type coldAssumption struct {
	until    time.Time
	checking bool
}

func (a *coldAssumption) begin(now time.Time) { a.until = now.Add(assumeColdLimit) }

func (a *coldAssumption) end() { a.until = time.Time{} }

func (a *coldAssumption) active(now time.Time) bool { return now.Before(a.until) }

// AssumeCold treats the upstream, or the next one, as cold from now on. This ends with the response to a
// health check that is sent from now on, or after assumeColdLimit. An announcement does not end it, as it
// may be from before.
func (o *Owner) AssumeCold(reason ColdReason) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.coldAssumption.begin(time.Now())
	if up := o.up.Load(); up != nil && up.State == registry.Ready && !up.down.Load() {
		o.open(up, reason)
	}
}

// handleRestart handles an upstream that has closed all of its connections at once: it may have restarted
// under the same name and address.
func (o *Owner) handleRestart(up *current) {
	if now := o.up.Load(); now != nil && now.client == up.client {
		o.AssumeCold(ColdRestarted)
	}
}

// checkAssumption starts the health checks that end an assumption, if it matters: a rate of 0 is no limit.
// o.mu is held.
func (o *Owner) checkAssumption(rate float64) {
	if o.coldAssumption.checking || rate == 0 || !o.coldAssumption.active(time.Now()) {
		return
	}
	o.coldAssumption.checking = true
	go o.checkUntilKnown()
}

// checkUntilKnown sends health checks while the upstream is only assumed to be cold.
func (o *Owner) checkUntilKnown() {
	tick := time.NewTicker(healthCheckInterval)
	defer tick.Stop()
	for {
		up, assumption, ok := o.nextColdCheck()
		if !ok {
			return
		}
		if h, ok := o.checkHealth(up); ok && h.Instance == up.Instance {
			o.endAssumption(up, assumption, h)
		}
		select {
		case <-tick.C:
		case <-o.lifetime.Done():
			return
		}
	}
}

// nextColdCheck returns the upstream to check and the end of the current assumption. ok is false if there
// is nothing to check, and the checks are then over.
func (o *Owner) nextColdCheck() (up *current, assumption time.Time, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	up = o.up.Load()
	if up == nil || up.State != registry.Ready || up.down.Load() || !o.coldAssumption.active(time.Now()) {
		o.coldAssumption.checking = false
		return nil, time.Time{}, false
	}
	return up, o.coldAssumption.until, true
}

// endAssumption applies the result of a health check, unless the upstream has changed since it was sent or
// there is a new reason to assume that the upstream is cold.
func (o *Owner) endAssumption(up *current, assumption time.Time, h Health) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.up.Load()
	if now == nil || !now.SameProcess(up.Announcement) || now.State != registry.Ready || now.down.Load() || o.coldAssumption.until != assumption {
		return
	}
	o.coldAssumption.end()
	next := now.checked(h, time.Now())
	o.up.Store(next)
	o.open(next, ColdChecked)
}

// checked returns the upstream after a health check, which may extend the announced cold phase but not
// shorten it.
func (c *current) checked(h Health, now time.Time) *current {
	next := &current{Upstream: c.Upstream, client: c.client, quality: c.quality}
	if h.Cold > 0 {
		next.ColdUntil = later(c.ColdUntil, now.Add(h.Cold))
	}
	return next
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// coldReportStep is the change of the end of a cold phase from which it is reported again.
const coldReportStep = time.Second

// reportCold emits an event if the upstream has turned cold or warm or its cold phase ends at another time.
// o.mu is held.
func (o *Owner) reportCold(up *current, until time.Time, rate float64, reason ColdReason) {
	now := time.Now()
	left, known := max(0, until.Sub(now)), max(0, o.coldReported.Sub(now))
	if (left > 0) == (known > 0) && (left-known).Abs() < coldReportStep {
		return
	}
	o.coldReported = until
	o.Events.Emit(events.ColdPhase, events.Fields{"instance": up.Instance, "sequence": up.Sequence, "born": up.Born, "cold_ms": left.Milliseconds(),
		"rate": rate, "reason": reason})
}
