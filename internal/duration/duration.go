// Package duration encodes durations with their units in JSON, and sleeps until a duration has passed or a
// context ends.
package duration

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"
)

// Duration is a time.Duration that JSON writes as a string with its unit, such as "250ms" or "5s".
type Duration time.Duration

// UnmarshalJSON reads a string that time.ParseDuration accepts.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return err
	}
	v, err := time.ParseDuration(s)
	*d = Duration(v)
	return err
}

// MarshalJSON writes the duration as a string with its unit.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// D returns d as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// RetryPause returns a random pause before the next call after one that began at start and failed; calls begin delay apart on
// average. The time that the call took is part of that, so that a server that does not respond is called as often as one that
// refuses calls.
func RetryPause(delay time.Duration, start time.Time) time.Duration {
	return delay/2 + rand.N(delay) - time.Since(start)
}

// Sleep waits for d and returns true, or false if ctx ends first.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
