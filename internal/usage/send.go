package usage

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"celerybank/internal/events"
)

// Timing of the calls to the API.
const (
	// apiMinBackoff and apiMaxBackoff bound the delay after a call that failed or was refused. Refused calls are priced too.
	apiMinBackoff = 500 * time.Millisecond
	apiMaxBackoff = 5 * time.Second
	// apiSilentBackoff is the longest delay after a call that was not answered in time. Such a call takes most of the lease itself, and
	// every window is to be tried in time.
	apiSilentBackoff = 2 * time.Second
	// yieldWindows is the number of windows for which the API does not answer before the holder gives the duty up. It doubles with
	// each holder that did so, up to maxYieldFactor times: the API may be down for all.
	yieldWindows   = 3
	maxYieldFactor = 16
)

// apiState is the state of the calls to the API.
type apiState struct {
	// next is the time before which the API is not called, backoff the delay after the next failure.
	next    time.Duration
	backoff time.Duration
	// silentSince is since when no call was answered, 0 if the last one was; unreachable is the time from then to the last call.
	silentSince time.Duration
	unreachable time.Duration
}

// yieldAfter returns how long the API may be silent before the holder gives the duty up.
func (r *Reporter) yieldAfter() time.Duration {
	return yieldWindows * r.Window << min(r.rec.Yields, 4) // 1<<4 is maxYieldFactor
}

// minCallTime is the shortest rest of a lease in which a call is begun.
func (r *Reporter) minCallTime() time.Duration { return r.Lease / 4 }

// send makes the next call to the API, if one is due.
func (r *Reporter) send(ctx context.Context) {
	now := r.Clock.Boot()
	if len(r.unsent) == 0 || now < r.api.next {
		return
	}
	if r.lease-now < r.minCallTime() && !r.write(ctx) {
		return
	}
	report := r.unsent[0]
	start := r.Clock.Boot()
	if r.lease-start < r.minCallTime() {
		return // the write took too long
	}
	callCtx, cancel := context.WithTimeout(ctx, r.lease-start)
	r.counts.calls.Add(1)
	err := r.API.Report(leaseContext{callCtx, r.Clock.Boot, r.lease}, r.rec.Generation, report)
	cancel()
	r.applyCall(start, report, err)
}

// applyCall handles the result of a call that began at start.
func (r *Reporter) applyCall(start time.Duration, report Report, err error) {
	now := r.Clock.Boot()
	if err == nil {
		r.counts.reports.Add(1)
		r.unsent = r.unsent[1:]
		r.rec.Yields = 0
		r.api = apiState{backoff: apiMinBackoff, next: start + r.CallInterval}
		return
	}
	r.counts.failures.Add(1)
	longest := apiSilentBackoff
	switch {
	case errors.Is(err, ErrAnswered):
		r.api.silentSince, r.api.unreachable = 0, 0
		longest = apiMaxBackoff
	case r.api.silentSince == 0:
		r.api.silentSince = start
	default:
		r.api.unreachable = now - r.api.silentSince
	}
	backoff := min(r.api.backoff, longest)
	r.api.next = max(start+r.CallInterval, now+backoff/2+r.jitter(backoff))
	r.api.backoff = min(2*r.api.backoff, apiMaxBackoff)
	// Each window is tried once before one is tried again: the API may have accepted the first without a timely answer.
	r.unsent = append(slices.Clone(r.unsent[1:]), report)
	r.Events.Emit(events.UsageRefused, events.Fields{"window": report.Window, "generation": r.rec.Generation, "reason": err.Error()})
}

// dropOld gives up the reports of windows that are too old.
func (r *Reporter) dropOld() {
	if !r.time.known {
		return
	}
	now := r.time.at(r.Clock, r.Clock.Boot())
	isOld := func(w Report) bool {
		if now-r.windowEnd(w.Window) <= reportAge {
			return false
		}
		r.counts.missed.Add(1)
		r.Events.Emit(events.UsageMissed, events.Fields{"window": w.Window, "windows": 1, "reason": "not accepted in time"})
		return true
	}
	r.unsent, r.unwritten = slices.DeleteFunc(r.unsent, isOld), slices.DeleteFunc(r.unwritten, isOld)
}

// leaseContext ends with a lease by the clock that counts suspended time, which timers do not.
type leaseContext struct {
	context.Context
	now   func() time.Duration
	until time.Duration
}

// Err implements context.Context. It may report the end of the lease before Done is closed.
func (c leaseContext) Err() error {
	if err := c.Context.Err(); err != nil {
		return err
	}
	if c.now() >= c.until {
		return context.DeadlineExceeded
	}
	return nil
}
