package sidecar

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"celerybank/internal/delivery"
	"celerybank/internal/usage"
	"celerybank/platform"
)

// usageDuty is this node's part in the usage report. A nil *usageDuty does nothing: the settings do not ask for the report.
type usageDuty struct {
	counter   *usage.Counter
	collector *usage.Collector
	reporter  *usage.Reporter
}

// usageStopTimeout bounds the time in which a stopping node gives the duty up. It is well below the time for which callers may still
// send requests.
const usageStopTimeout = 2 * time.Second

// newUsageDuty returns the duty of n, or nil if the settings do not ask for it. The members, the peers, the store and the server of n
// must exist.
func newUsageDuty(n *Node) *usageDuty {
	s := n.settings
	if !s.CloudAPI.ReportsUsage {
		return nil
	}
	bounds := s.Bounds.Usage
	c := usage.Config{Addr: s.Peers, Members: n.members, Peers: n.pool, Store: platform.NewUsageRecords(n.store),
		API: platform.NewCloudAPI(s.CloudAPI.Address, s.Name, n.network.Dial), Clock: processClock(), Events: n.events,
		Window: bounds.Window, Delay: bounds.Delay, Lease: bounds.Lease, MaxRecordBytes: s.Store.MaxRecordBytes,
		CallInterval: usageCallInterval(s.CloudAPI.DutyCallsPerS, bounds.Window)}
	process := n.server.Process()
	d := &usageDuty{counter: usage.NewCounter(c.Clock, process)}
	d.collector = usage.NewCollector(c, s.Zone, d.counter)
	d.reporter = usage.NewReporter(c, s.Zone, process, d.collector, n.members.FactsSynced())
	n.members.SubscribeFacts(d.reporter.ObserveFact)
	return d
}

// usageCallInterval returns the shortest interval between two calls. One report for each window must always be possible.
func usageCallInterval(perSecond float64, window time.Duration) time.Duration {
	const callsPerWindow = 1.1
	return min(time.Duration(float64(time.Second)/perSecond), time.Duration(float64(window)/callsPerWindow))
}

// processClock returns the clock of this process, which starts now.
func processClock() usage.Clock {
	start, boot := time.Now(), bootTime()
	return usage.Clock{Wall: start, Boot: func() time.Duration {
		if now := bootTime(); now != 0 {
			return now - boot
		}
		return time.Since(start)
	}}
}

// counterOrNil returns what counts the requests of this host's upstream, or nil.
func (d *usageDuty) counterOrNil() delivery.UsageCounter {
	if d == nil {
		return nil
	}
	return d.counter
}

// services adds the RPC service of the duty to those of the node.
func (d *usageDuty) services(to map[string]any) {
	if d != nil {
		to["Usage"] = usage.NewService(d.counter, d.collector)
	}
}

// Run does this node's part until ctx ends.
func (d *usageDuty) Run(ctx context.Context) error {
	if d == nil {
		return nil
	}
	go func() { _ = d.collector.Run(ctx) }() // ends with ctx, without an error
	return d.reporter.Run(ctx)
}

// resync takes note of a suspension of the process.
func (d *usageDuty) resync() {
	if d != nil {
		d.counter.Resync()
	}
}

// stop gives the duty up, if this node holds it.
func (d *usageDuty) stop() {
	if d == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), usageStopTimeout)
	defer cancel()
	d.reporter.Stop(ctx)
}

// handOver passes the counts of this process on. It returns when that is done, or ctx ends.
func (d *usageDuty) handOver(ctx context.Context) {
	if d != nil {
		d.collector.HandOver(ctx)
	}
}

// writeMetrics writes who holds the duty.
func (d *usageDuty) writeMetrics(b *bytes.Buffer) {
	if d == nil {
		return
	}
	s := d.reporter.Status()
	fmt.Fprintf(b, "celerybank_usage_duty{holder=%q} %d\n", s.Holder, s.Generation)
}
