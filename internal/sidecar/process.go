package sidecar

import (
	"context"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"celerybank/internal/delivery"
	"celerybank/internal/events"
)

// processState tracks whether this process drains, has just resumed or is CPU-starved.
type processState struct {
	draining atomic.Bool
	// staleUntil is the time until which the node serves nothing after a resume, in Unix nanoseconds.
	staleUntil    atomic.Int64
	cpuStarvation cpuStarvation
	suspension    suspension
}

// viewFresh reports whether the node's view of the mesh is current: it is not right after a resume. Requests
// that waited in receive buffers while the process was suspended are handled before any timer, so that a
// suspension has to be detected here too.
func (n *Node) viewFresh() bool {
	now := time.Now()
	if n.process.suspension.suspected(now) {
		n.checkSuspension(now)
	}
	return now.UnixNano() >= n.process.staleUntil.Load()
}

// ready reports whether callers may send requests to this node.
func (n *Node) ready() bool {
	select {
	case <-n.follower.Ready():
		return !n.process.draining.Load() && n.viewFresh() && !n.process.cpuStarvation.active(time.Now())
	default:
		return false
	}
}

// Bounds of the detection of a suspended process.
const (
	// suspendThreshold is the suspension after which the node's state counts as stale; it
	// exceeds the delay of a timer on a busy host.
	suspendThreshold = 700 * time.Millisecond
	// resumeHoldOff is how long a resumed node serves nothing: enough for one exchange with a peer.
	resumeHoldOff = 300 * time.Millisecond
	// expiryInterval is the time between checks for expired leases.
	expiryInterval = 500 * time.Millisecond
)

// housekeeping expires leases and detects that the process was suspended. It also measures timer delays to
// detect CPU starvation.
func (n *Node) housekeeping(ctx context.Context) error {
	tick := time.NewTicker(housekeepingInterval)
	defer tick.Stop()
	lastExpiry, lastTick := time.Now(), time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		now := time.Now()
		if !n.checkSuspension(now) {
			if late := now.Sub(lastTick) - housekeepingInterval; n.process.cpuStarvation.observe(late, now) {
				n.events.Emit(events.Strained, events.Fields{"late_ms": n.process.cpuStarvation.mean.Milliseconds(), "for_ms": starvationHold.Milliseconds()})
			}
		}
		lastTick = now
		if now.Sub(lastExpiry) >= expiryInterval {
			lastExpiry = now
			n.registry.Expire()
			n.crashes.Expire()
		}
	}
}

// checkSuspension drops outdated state if the process was suspended since the last check, and reports
// whether it was.
func (n *Node) checkSuspension(now time.Time) bool {
	suspended := n.process.suspension.observe(now, bootTime())
	n.usage.resync()
	if suspended <= suspendThreshold {
		return false
	}
	n.resumed(suspended)
	return true
}

// resumed drops state that may have become outdated while the process was suspended.
func (n *Node) resumed(suspended time.Duration) {
	n.process.staleUntil.Store(time.Now().Add(resumeHoldOff).UnixNano())
	n.events.Emit(events.Woken, events.Fields{"slept_ms": suspended.Milliseconds()})
	n.follower.ForgetConfirmation()
	n.owner.AssumeCold(delivery.ColdResumed)
	n.registry.Forget()
}

// clockBoottime is CLOCK_BOOTTIME of clock_gettime(2).
const clockBoottime = 7

// bootTime reads the clock that counts suspended time; it returns 0 if the clock is unavailable.
func bootTime() time.Duration {
	var ts syscall.Timespec
	if _, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clockBoottime, uintptr(unsafe.Pointer(&ts)), 0); errno != 0 {
		return 0 // both readings are then 0, and a suspension goes undetected
	}
	return time.Duration(ts.Nano())
}

// Timing of the heartbeats to zones that are suspected to be unreachable.
const (
	zoneProbeInterval = 200 * time.Millisecond
	zoneProbeTimeout  = 300 * time.Millisecond
)

// probeZones sends heartbeats to zones suspected to be unreachable and clears the
// suspicion when one is answered.
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
