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

// settingsPollInterval is the time between checks whether the settings file has changed without a signal.
const settingsPollInterval = 2 * time.Second

// Reload reads the settings file again on SIGHUP and when it has changed, until ctx ends.
// The retry budget and the store's address apply at once; other settings, such as the node's own
// addresses, apply after a restart. An invalid file changes nothing.
func (n *Node) Reload(ctx context.Context, path string) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP) // never unregistered: a SIGHUP during the drain must not end the process
	tick := time.NewTicker(settingsPollInterval)
	defer tick.Stop()
	last := modTime(path)
	for {
		cause := "signal"
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-tick.C:
			if modTime(path).Equal(last) {
				continue
			}
			cause = "file changed"
		}
		last = modTime(path)
		n.reload(path, cause)
	}
}

// modTime returns when the file was last changed, or the zero time if it cannot be read.
func modTime(path string) time.Time {
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
