package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"

	"github.com/alecthomas/kingpin/v2"

	"celerybank/internal/command"
	"celerybank/internal/events"
	"celerybank/internal/fault"
	"celerybank/internal/load"
	"celerybank/internal/operator"
)

// runOptions are the flags of the run command.
type runOptions struct {
	cfg          load.Config
	mixFile      string
	reportFile   string
	plotFile     string
	progress     bool
	ledgers      []string
	nodes        []string
	resultPrefix string
	goodputName  string
	capacity     float64
}

func addRun(app *kingpin.Application, commands map[string]func(context.Context) error) {
	c := app.Command("run", "Send a mix of requests at a constant rate (open loop) and check each response.")
	o := &runOptions{}
	loadFlags(c, &o.cfg, &o.mixFile)
	c.Flag("target", "Callers' address (IP:port) of a node; may be repeated.").Required().StringsVar(&o.cfg.Targets)
	c.Flag("ledger", "Ledger file of an upstream stand-in, to detect keys that ran more than once and false verdicts; may be repeated.").StringsVar(&o.ledgers)
	c.Flag("report", "File to write the report to; default standard output.").StringVar(&o.reportFile)
	c.Flag("results", "Print benchmark results labelled with this prefix; needs --report.").StringVar(&o.resultPrefix)
	c.Flag("goodput", "Print the rate of requests served, as a fraction of the capacity, under this name; needs --report.").StringVar(&o.goodputName)
	c.Flag("capacity", "Capacity of the upstreams in requests per second, for --goodput.").Default("1").Float64Var(&o.capacity)
	c.Flag("plot", "File to write a plot (PNG) of the share of requests served and the latency over time to.").StringVar(&o.plotFile)
	c.Flag("node", "Admin address of a node, to mark the events of its mesh in the plot; may be repeated.").StringsVar(&o.nodes)
	c.Flag("progress", "Print a status line on standard error once per second.").BoolVar(&o.progress)
	commands[c.FullCommand()] = o.run
}

func loadFlags(c *kingpin.CmdClause, cfg *load.Config, mixFile *string) {
	c.Flag("mix", "File with the mix of requests, in JSON.").Required().StringVar(mixFile)
	c.Flag("rate", "Requests per second.").Default("200").Float64Var(&cfg.Rate)
	c.Flag("duration", "Duration of the load.").Default("10s").DurationVar(&cfg.Duration)
	c.Flag("call-timeout", "Timeout of each request, sent with it.").Default("2s").DurationVar(&cfg.Timeout)
	c.Flag("delay", "Simulated one-way network latency between callers and nodes.").Default("0s").DurationVar(&cfg.Delay)
	c.Flag("resends", "Maximum number of retries of a keyed request whose response is missing or has another verdict than ran.").Default("3").IntVar(&cfg.Resends)
	c.Flag("seed", "Seed of the random number generator.").Default("1").Uint64Var(&cfg.Seed)
	c.Flag("prefix", "Prefix of the idempotency keys, to keep those of different runs distinct.").StringVar(&cfg.Prefix)
}

// readMix reads the mix of cfg from file.
func readMix(cfg *load.Config, file string) error {
	text, err := os.ReadFile(file)
	if err == nil {
		err = json.Unmarshal(text, &cfg.Mix)
	}
	if err != nil {
		return command.FileFaults{File: file, Faults: fault.List{{Reason: err.Error()}}}
	}
	return nil
}

func (o *runOptions) run(ctx context.Context) error {
	if err := readMix(&o.cfg, o.mixFile); err != nil {
		return err
	}
	if o.progress {
		o.cfg.Progress = os.Stderr
	}
	rep := load.Run(ctx, o.cfg)
	if err := rep.Check(o.ledgers); err != nil {
		return err
	}
	if o.plotFile != "" {
		if err := rep.Plot(o.plotFile, o.plotEvents()); err != nil {
			return err
		}
	}
	text, err := json.MarshalIndent(rep, "", "  ")
	if err != nil {
		return err
	}
	if o.reportFile == "" {
		fmt.Println(string(text))
		return nil
	}
	if o.resultPrefix != "" {
		if err := o.printResults(rep); err != nil {
			return err
		}
	}
	if o.goodputName != "" {
		if err := printResult(o.goodputResult(rep)); err != nil {
			return err
		}
	}
	return os.WriteFile(o.reportFile, text, 0o644)
}

// goodputResult returns the rate of requests served as a fraction of the capacity.
func (o *runOptions) goodputResult(r load.Report) Result {
	rate := float64(r.OK) / o.cfg.Duration.Seconds()
	return Result{Name: o.goodputName, Value: rate / o.capacity, Unit: "of capacity",
		Note: fmt.Sprintf("%.0f calls/s offered, %.0f served; p99 of all answers %.0f ms", o.cfg.Rate, rate, r.UnkeyedLatency.P99)}
}

// printResults prints the share of requests served, and the counts that the users require to be 0.
func (o *runOptions) printResults(r load.Report) error {
	zero := 0.0
	note := fmt.Sprintf("%d calls; lookup p99 %.1f ms, order p99 %.1f ms", r.Requests, r.UnkeyedLatency.P99, r.KeyedLatency.P99)
	for _, result := range []Result{
		{Name: o.resultPrefix + "_served_share", Value: float64(r.OK) / float64(max(r.Requests, 1)), Unit: "share", Note: note},
		{Name: "wrong_answers", Value: float64(r.Wrong + r.Missing), Unit: "calls", Target: &zero, Note: o.resultPrefix},
		{Name: "doubled_runs", Value: float64(r.Doubled), Unit: "keys", Target: &zero, Note: o.resultPrefix},
		{Name: "false_not_run", Value: float64(r.FalseNotRun), Unit: "sendings", Target: &zero, Note: o.resultPrefix},
	} {
		if err := printResult(result); err != nil {
			return err
		}
	}
	return nil
}

// firstPlottedCode is the first of the event codes of rollouts, canaries and zones, which the plot marks.
const firstPlottedCode = 700

// plotEvents returns the events of the mesh to mark in the plot: of rollouts, canaries and zones, changes of the
// configuration, and starts and ends of outages of the log. Of events with the same name and version it returns
// only the first.
func (o *runOptions) plotEvents() []events.Event {
	if len(o.nodes) == 0 {
		return nil
	}
	merged, _, err := operator.NewNodeClient(o.nodes).Timeline()
	if err != nil {
		fmt.Fprintf(os.Stderr, "celeryload: plot without events: %v\n", err)
		return nil
	}
	seen := map[string]bool{}
	return slices.DeleteFunc(merged, func(e events.Event) bool {
		key := fmt.Sprintf("%s %v", e.Name, e.Fields["version"])
		plotted := e.Code == events.ConfigApplied || e.Code == events.SourceUnavailable || e.Code == events.SourceAvailable || e.Code >= firstPlottedCode
		if !plotted || seen[key] {
			return true
		}
		seen[key] = true
		return false
	})
}
