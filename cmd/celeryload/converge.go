package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"

	"celerybank/internal/events"
	"celerybank/internal/node"
	"celerybank/internal/operator"
	"celerybank/internal/peer"
	"celerybank/platform"
)

// convergeOptions are the flags of the converge command.
type convergeOptions struct {
	platform string
	nodes    []string
	zone     string
	changes  int
	interval time.Duration
	name     string
}

// convergenceTargetS is the users' bound on the time from the append of a change until all nodes have applied
// it, in seconds.
const convergenceTargetS = 4.0

func addConverge(app *kingpin.Application, commands map[string]func(context.Context) error) {
	c := app.Command("converge", "Append changes of the configuration and measure the time until all nodes have applied each, from the nodes' timelines.")
	o := &convergeOptions{}
	c.Flag("platform", "Address (IP:port) of the log service.").Required().StringVar(&o.platform)
	c.Flag("node", "Admin address of a node; may be repeated.").Required().StringsVar(&o.nodes)
	c.Flag("zone", "Availability zone that the changes take out and bring back in.").Required().StringVar(&o.zone)
	c.Flag("changes", "Number of changes.").Default("20").IntVar(&o.changes)
	c.Flag("interval", "Time between two changes.").Default("500ms").DurationVar(&o.interval)
	c.Flag("name", "Prefix of the names of the results.").Default("convergence").StringVar(&o.name)
	commands[c.FullCommand()] = o.run
}

func (o *convergeOptions) run(ctx context.Context) error {
	logClient := operator.NewLogClient(platform.NewLog(o.platform, logTimeout, peer.TCP{}.Dial), "converge")
	nodeClient := operator.NewNodeClient(o.nodes)
	addrs, err := nodeClient.Addresses()
	if err != nil {
		return err
	}
	appended := map[int64]time.Time{} // start of the append, by version
	for i := range o.changes {
		at := time.Now()
		version, err := logClient.OrderZone(ctx, o.zone, i%2 == 0)
		if err != nil {
			return err
		}
		appended[version] = at
		time.Sleep(time.Until(at.Add(o.interval)))
	}
	if err := waitUntilApplied(addrs, appended); err != nil {
		return err
	}
	merged, unreachable, err := nodeClient.Timeline()
	if err != nil {
		return err
	}
	if len(unreachable) > 0 {
		return errors.Errorf("no timeline from %d nodes", len(unreachable))
	}
	return o.print(merged, appended, len(addrs))
}

// convergenceTimeout bounds the wait until all nodes have applied the last change.
const convergenceTimeout = 30 * time.Second

// statusInterval is the time between two queries of the nodes' status.
const statusInterval = 200 * time.Millisecond

// waitUntilApplied waits until all nodes have applied the newest of the appended versions. It returns an error
// after convergenceTimeout.
func waitUntilApplied(addrs []string, appended map[int64]time.Time) error {
	var newest int64
	for v := range appended {
		newest = max(newest, v)
	}
	for start := time.Now(); time.Since(start) < convergenceTimeout; time.Sleep(statusInterval) {
		statuses, unreachable := operator.GetAll[node.Status](addrs, "/v1/status")
		behind := slices.ContainsFunc(statuses, func(s node.Status) bool { return s.Version < newest })
		if !behind && len(unreachable) == 0 {
			return nil
		}
	}
	return errors.Errorf("version %d not applied by all nodes within %v", newest, convergenceTimeout)
}

// print prints the time from the append of a change until each node and until the last node applied it. A node
// that skips a version because it got a snapshot has no event for it; a change without an event of each node
// is left out of the times until the last node.
func (o *convergeOptions) print(merged []events.Event, appended map[int64]time.Time, nodes int) error {
	lastApplied, applied := map[int64]time.Time{}, map[int64]int{} // by version
	var delays []float64
	for _, e := range merged {
		v, ok := e.Fields["version"].(float64)
		at, known := appended[int64(v)]
		if e.Code != events.ConfigApplied || !ok || !known {
			continue
		}
		applied[int64(v)]++
		delays = append(delays, e.Time.Sub(at).Seconds())
		if e.Time.After(lastApplied[int64(v)]) {
			lastApplied[int64(v)] = e.Time
		}
	}
	var slowest []float64 // seconds until the last node, one value for each change
	incomplete := 0
	for v, at := range appended {
		if applied[v] < nodes {
			incomplete++
			continue
		}
		slowest = append(slowest, lastApplied[v].Sub(at).Seconds())
	}
	if len(slowest) == 0 {
		return errors.New("no change with a config-applied event of every node")
	}
	slices.Sort(slowest)
	slices.Sort(delays)
	target := convergenceTargetS
	note := fmt.Sprintf("%d nodes, %d changes, %d of them not seen on every node", nodes, o.changes, incomplete)
	for _, r := range []Result{
		{Name: o.name + "_median_s", Value: slowest[len(slowest)/2], Unit: "s", Target: &target, Note: note + "; append to last node"},
		{Name: o.name + "_p99_s", Value: delays[len(delays)*99/100], Unit: "s", Target: &target, Note: note + "; append to each node"},
		{Name: o.name + "_worst_s", Value: slowest[len(slowest)-1], Unit: "s", Target: &target, Note: note + "; append to last node"},
	} {
		if err := printResult(r); err != nil {
			return err
		}
	}
	return nil
}
