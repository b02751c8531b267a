package sidecar

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"celerybank/internal/events"
	"celerybank/platform"
)

// settingsInterval is the time between looks at the settings file, which may change without a signal.
const settingsInterval = 2 * time.Second

// Reload reads the settings file again on SIGHUP and when it has changed, until ctx ends.
// Bounds and the store's address are taken over at once; addresses of the node itself hold
// until its next start. A file with a fault changes nothing.
func (n *Node) Reload(ctx context.Context, path string) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP) // for good: a SIGHUP in the drain must not end the process
	tick := time.NewTicker(settingsInterval)
	defer tick.Stop()
	last := modified(path)
	for {
		cause := "signal"
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-tick.C:
			if modified(path).Equal(last) {
				continue
			}
			cause = "file changed"
		}
		last = modified(path)
		n.reload(path, cause)
	}
}

// modified is when the file was last changed; the zero time when it cannot be seen.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func (n *Node) reload(path, cause string) {
	s, err := platform.LoadSettings(path)
	if err != nil {
		n.events.Emit(events.SettingsRefused, events.Fields{"reason": err.Error(), "cause": cause})
		return
	}
	n.store.SetAddress(s.Store.Address)
	n.budget.Set(s.Bounds.RetryRatio, s.Bounds.RetrySlack, s.Bounds.RetryWindow)
	n.events.Emit(events.Reloaded, events.Fields{"cause": cause, "store": s.Store.Address,
		"restart_needed": s.Peers != n.settings.Peers || s.Callers != n.settings.Callers || s.Upstream != n.settings.Upstream})
}
