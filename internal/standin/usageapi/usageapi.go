// Package usageapi is a stand-in for the platform's API that takes usage reports. It records every call and checks what the
// platform requires of all calls together.
package usageapi

import (
	"fmt"
	"maps"
	"sync"
	"time"
)

// Call is one call of the API.
type Call struct {
	// At is when it arrived, Host the host from which it came.
	At   time.Time
	Host string
	// Holder is the name that the call bears.
	Holder     string
	Generation uint64
	Window     int64
	Counts     map[string]int64
	// Excused is set if the call does not count for the order of the holders: its sender was resumed, or its link healed, a moment
	// before.
	Excused bool
}

// API records calls. The zero value accepts all, with a lease of 0.
type API struct {
	// Lease is the time within which no two holders may act in turn. PerSecond is the number of calls that are accepted in a
	// second, 0 for any number.
	Lease     time.Duration
	PerSecond int

	mu         sync.Mutex
	calls      []Call
	accepted   map[int64]Call
	refused    int
	violations []string
}

// Receive records a call and reports whether it is accepted; otherwise there were too many in the last second.
func (a *API) Receive(c Call) (accepted bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.checkOrder(c)
	a.calls = append(a.calls, c)
	if a.PerSecond > 0 && a.recent(c.At) > a.PerSecond {
		a.refused++
		return false
	}
	if a.accepted == nil {
		a.accepted = map[int64]Call{}
	}
	if first, ok := a.accepted[c.Window]; ok {
		if !maps.Equal(first.Counts, c.Counts) {
			a.violate("window %d: %s reported %v under generation %d after %s reported %v under %d", c.Window, c.Host, c.Counts, c.Generation, first.Host, first.Counts, first.Generation)
		}
		return true
	}
	a.accepted[c.Window] = c
	return true
}

// recent returns the number of calls in the second that ends at a time.
func (a *API) recent(at time.Time) (n int) {
	for i := len(a.calls) - 1; i >= 0 && at.Sub(a.calls[i].At) < time.Second; i-- {
		n++
	}
	return n
}

// checkOrder checks a call against all earlier ones.
func (a *API) checkOrder(c Call) {
	if c.Excused {
		return
	}
	other := false // a call of another holder lies between
	for i := len(a.calls) - 1; i >= 0; i-- {
		e := &a.calls[i]
		switch {
		case e.Excused:
		case e.Generation > c.Generation:
			a.violate("%s called under generation %d after %s under %d", c.Host, c.Generation, e.Host, e.Generation)
			return
		case e.Generation == c.Generation && e.Host != c.Host:
			a.violate("%s and %s called under the same generation %d", e.Host, c.Host, c.Generation)
			return
		case e.Host != c.Host:
			other = true
		case other && c.At.Sub(e.At) < a.Lease:
			a.violate("%s called again %v after its last call, with another holder between", c.Host, c.At.Sub(e.At))
			return
		}
	}
}

func (a *API) violate(format string, args ...any) {
	a.violations = append(a.violations, fmt.Sprintf(format, args...))
}

// Violations returns what the calls violated.
func (a *API) Violations() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]string(nil), a.violations...)
}

// Calls returns all calls.
func (a *API) Calls() []Call {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]Call(nil), a.calls...)
}

// Accepted returns the first accepted report of each window.
func (a *API) Accepted() map[int64]Call {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.accepted)
}

// Refused returns the number of calls that were refused because there were too many.
func (a *API) Refused() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.refused
}
