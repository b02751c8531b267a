package main

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"celerybank/internal/load"
)

// compareOptions are the flags of the compare command.
type compareOptions struct {
	cfg       load.Config
	mixFile   string
	nodes     []string
	upstreams []string
	name      string
	rounds    int
	admins    []string
}

func addCompare(app *kingpin.Application, commands map[string]func(context.Context) error) {
	c := app.Command("compare", "Measure the latency that the mesh adds: alternate between direct requests to upstreams and requests through the mesh.")
	o := &compareOptions{}
	loadFlags(c, &o.cfg, &o.mixFile)
	c.Flag("target", "Callers' address (IP:port) of a node; may be repeated.").Required().StringsVar(&o.nodes)
	c.Flag("direct", "Address (IP:port) of an upstream; may be repeated.").Required().StringsVar(&o.upstreams)
	c.Flag("name", "Prefix of the names of the results.").Default("added_latency").StringVar(&o.name)
	c.Flag("rounds", "Number of rounds; each sends direct requests first, then requests through the mesh.").Default("4").IntVar(&o.rounds)
	c.Flag("admin", "Admin address of a node; may be repeated. Those of all nodes are needed to measure the requests per second and CPU core.").StringsVar(&o.admins)
	commands[c.FullCommand()] = o.run
}

// Result is a measured value. It is printed as one line of JSON.
type Result struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	// Target is the bound on Value that the users require.
	Target *float64 `json:"target,omitempty"`
	// Baseline is the latency of direct requests, if Value is the difference from it.
	Baseline *float64 `json:"baseline,omitempty"`
	Note     string   `json:"note,omitempty"`
}

// addedLatencyTargetMS is the users' bound on the added latency at the 99th percentile, in milliseconds.
const addedLatencyTargetMS = 0.74

func printResult(r Result) error { return json.NewEncoder(os.Stdout).Encode(r) }

// run alternates between direct requests and requests through the mesh, at the same rate and each for
// half of the duration, so that other load on the machine affects both alike.
func (o *compareOptions) run(ctx context.Context) error {
	if err := readMix(&o.cfg, o.mixFile); err != nil {
		return err
	}
	direct, viaMesh := o.cfg, o.cfg
	direct.Targets, viaMesh.Targets = o.upstreams, o.nodes
	interval := o.cfg.Duration / time.Duration(2*o.rounds)
	direct.Duration, viaMesh.Duration = interval, interval
	var directReports, meshReports []load.Report
	var cpu float64
	for i := range o.rounds {
		direct.Seed, viaMesh.Seed = uint64(2*i+1), uint64(2*i+2)
		direct.Prefix, viaMesh.Prefix = o.cfg.Prefix+"d", o.cfg.Prefix+"m"
		directReports = append(directReports, load.Run(ctx, direct))
		before, err := o.cpuSeconds()
		if err != nil {
			return err
		}
		meshReports = append(meshReports, load.Run(ctx, viaMesh))
		after, err := o.cpuSeconds()
		if err != nil {
			return err
		}
		cpu += after - before
	}
	directLatency, meshLatency := load.Merge(directReports), load.Merge(meshReports)
	target := addedLatencyTargetMS
	results := []Result{
		{Name: o.name + "_p50_ms", Value: meshLatency.P50 - directLatency.P50, Unit: "ms", Baseline: &directLatency.P50},
		{Name: o.name + "_p99_ms", Value: meshLatency.P99 - directLatency.P99, Unit: "ms", Baseline: &directLatency.P99, Target: &target},
	}
	if cpu > 0 {
		var requests int64
		for _, r := range meshReports {
			requests += r.Requests
		}
		results = append(results, Result{Name: o.name + "_calls_per_core_s", Value: float64(requests) / cpu, Unit: "1/s",
			Note: "calls over the CPU seconds of all nodes that take part, their control work included"})
	}
	for _, r := range results {
		if err := printResult(r); err != nil {
			return err
		}
	}
	return nil
}

// cpuSeconds returns the CPU time that the nodes in o.admins have used since they started, in seconds.
func (o *compareOptions) cpuSeconds() (float64, error) {
	total := 0.0
	for _, addr := range o.admins {
		values, err := scrape(addr)
		if err != nil {
			return 0, err
		}
		total += values["process_cpu_seconds_total"]
	}
	return total, nil
}
