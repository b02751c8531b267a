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

// convergenceTargetS is the users' bound on the time until a change is in force everywhere.
const convergenceTargetS = 4.0

func addConverge(app *kingpin.Application, commands map[string]func(context.Context) error) {
	c := app.Command("converge", "Append changes and measure the time until each is in force on every node, from the nodes' time lines.")
	o := &convergeOptions{}
	c.Flag("platform", "IP:port of the log service.").Required().StringVar(&o.platform)
	c.Flag("node", "Admin address of a node; may be repeated.").Required().StringsVar(&o.nodes)
	c.Flag("zone", "Availability zone that is taken out and in.").Required().StringVar(&o.zone)
	c.Flag("changes", "Changes to append.").Default("20").IntVar(&o.changes)
	c.Flag("interval", "Time between two changes.").Default("500ms").DurationVar(&o.interval)
	c.Flag("name", "Prefix of the result's name.").Default("convergence").StringVar(&o.name)
	commands[c.FullCommand()] = o.run
}

func (o *convergeOptions) run(ctx context.Context) error {
	console := operator.NewLogClient(platform.NewLog(o.platform, 2*time.Second, peer.TCP{}.Dial), "converge")
	fleet := operator.NewNodeClient(o.nodes)
	addrs, err := fleet.Addresses()
	if err != nil {
		return err
	}
	appended := map[int64]time.Time{}
	for i := range o.changes {
		at := time.Now()
		version, err := console.OrderZone(ctx, o.zone, i%2 == 0)
		if err != nil {
			return err
		}
		appended[version] = at
		time.Sleep(time.Until(at.Add(o.interval)))
	}
	if err := waitFor(addrs, appended); err != nil {
		return err
	}
	merged, silent, err := fleet.Timeline()
	if err != nil {
		return err
	}
	if len(silent) > 0 {
		return errors.Errorf("%d nodes do not answer", len(silent))
	}
	return o.print(merged, appended, len(addrs))
}

// convergeWait bounds the wait for the last change.
const convergeWait = 30 * time.Second

// waitFor waits until every node has the newest appended version.
func waitFor(addrs []string, appended map[int64]time.Time) error {
	var newest int64
	for v := range appended {
		newest = max(newest, v)
	}
	for start := time.Now(); time.Since(start) < convergeWait; time.Sleep(200 * time.Millisecond) {
		answers, silent := operator.GetAll[node.Status](addrs, "/v1/status")
		behind := slices.ContainsFunc(answers, func(s node.Status) bool { return s.Version < newest })
		if !behind && len(silent) == 0 {
			return nil
		}
	}
	return errors.Errorf("version %d is not in force everywhere after %v", newest, convergeWait)
}

// print computes, for each change, the time until the last node had it. A node that
// skipped the version by a snapshot or a batch counts at its next version.
func (o *convergeOptions) print(merged []events.Event, appended map[int64]time.Time, nodes int) error {
	last, count := map[int64]time.Time{}, map[int64]int{}
	var all []float64
	for _, e := range merged {
		v, ok := e.Fields["version"].(float64)
		at, ours := appended[int64(v)]
		if e.Code != events.ConfigApplied || !ok || !ours {
			continue
		}
		count[int64(v)]++
		all = append(all, e.Time.Sub(at).Seconds())
		if e.Time.After(last[int64(v)]) {
			last[int64(v)] = e.Time
		}
	}
	var worst []float64
	missing := 0
	for v, at := range appended {
		if count[v] < nodes {
			missing++
			continue
		}
		worst = append(worst, last[v].Sub(at).Seconds())
	}
	if len(worst) == 0 {
		return errors.New("no change was seen on every node")
	}
	slices.Sort(worst)
	slices.Sort(all)
	target := convergenceTargetS
	note := fmt.Sprintf("%d nodes, %d changes, %d of them not seen on every node", nodes, o.changes, missing)
	for _, r := range []Result{
		{Name: o.name + "_median_s", Value: worst[len(worst)/2], Unit: "s", Target: &target, Note: note + "; append to last node"},
		{Name: o.name + "_p99_s", Value: all[len(all)*99/100], Unit: "s", Target: &target, Note: note + "; append to each node"},
		{Name: o.name + "_worst_s", Value: worst[len(worst)-1], Unit: "s", Target: &target, Note: note + "; append to last node"},
	} {
		if err := printResult(r); err != nil {
			return err
		}
	}
	return nil
}
