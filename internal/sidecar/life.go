package sidecar

import (
	"context"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"celerybank/internal/events"
)

// lifecycle is what the node knows of its own start, stops and sleeps.
type lifecycle struct {
	draining atomic.Bool
	// doubt is until when the node serves nothing after a sleep, in unix nanoseconds.
	doubt  atomic.Int64
	strain strain
}

func (l *lifecycle) trusts() bool { return time.Now().UnixNano() >= l.doubt.Load() }

// ready reports whether callers may send requests to this node.
func (n *Node) ready() bool {
	select {
	case <-n.follower.Ready():
		return !n.life.draining.Load() && n.life.trusts() && !n.life.strain.strained(time.Now())
	default:
		return false
	}
}

// Sleeps of the process.
const (
	// sleepLimit is the least time without the processor after which beliefs count as old: it
	// is longer than a late timer on a busy host.
	sleepLimit = 700 * time.Millisecond
	// wakeDoubt is how long a node that has slept serves nothing: one exchange with a peer.
	wakeDoubt = 300 * time.Millisecond
	// restInterval is the time between checks of what expires.
	restInterval = 500 * time.Millisecond
)

// housekeeping expires leases and finds out when the process has slept: the clock that counts
// suspended time has then run ahead of the steady one.
func (n *Node) housekeeping(ctx context.Context) error {
	tick := time.NewTicker(housekeepingInterval)
	defer tick.Stop()
	last, rest := bootTime(), time.Now()
	steady := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		boot, now := bootTime(), time.Now()
		if slept := (boot - last) - now.Sub(steady); slept > sleepLimit {
			n.woke(slept)
		} else if late := now.Sub(steady) - housekeepingInterval; n.life.strain.observe(late, now) {
			n.events.Emit(events.Strained, events.Fields{"late_ms": n.life.strain.mean.Milliseconds(), "for_ms": strainHold.Milliseconds()})
		}
		last, steady = boot, now
		if now.Sub(rest) >= restInterval {
			rest = now
			n.registry.Expire()
			n.crashes.Expire()
		}
	}
}

// woke drops what may have become false while the process stood still.
func (n *Node) woke(slept time.Duration) {
	n.life.doubt.Store(time.Now().Add(wakeDoubt).UnixNano())
	n.events.Emit(events.Woken, events.Fields{"slept_ms": slept.Milliseconds()})
	n.registry.Forget()
}

// clockBoottime is CLOCK_BOOTTIME of clock_gettime(2).
const clockBoottime = 7

// bootTime reads the clock that counts suspended time.
func bootTime() time.Duration {
	var ts syscall.Timespec
	if _, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clockBoottime, uintptr(unsafe.Pointer(&ts)), 0); errno != 0 {
		return 0 // without the clock a sleep shows by the time of day alone
	}
	return time.Duration(ts.Nano())
}

// Timing of the heartbeats to zones in doubt.
const (
	zoneProbeInterval = 200 * time.Millisecond
	zoneProbeTimeout  = 300 * time.Millisecond
)

// probeZones ends the doubt about zones that answer again.
func (n *Node) probeZones(ctx context.Context) error {
	tick := time.NewTicker(zoneProbeInterval)
	defer tick.Stop()
	ping := func(ctx context.Context, addr string) error {
		ctx, cancel := context.WithTimeout(ctx, zoneProbeTimeout)
		defer cancel()
		return n.pool.Ping(ctx, addr)
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		for _, zone := range n.balancer.ProbeZones(ctx, ping) {
			n.events.Emit(events.ZoneReached, events.Fields{"zone_in_doubt": zone})
		}
	}
}
