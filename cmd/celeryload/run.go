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
	cfg      load.Config
	mix      string
	report   string
	plot     string
	progress bool
	ledgers  []string
	nodes    []string
	results  string
	goodput  string
	capacity float64
}

func addRun(app *kingpin.Application, commands map[string]func(context.Context) error) {
	c := app.Command("run", "Send a mix of calls at a set rate (open loop) and check each answer.")
	o := &runOptions{}
	loadFlags(c, &o.cfg, &o.mix)
	c.Flag("target", "Callers' address (IP:port) of a node; may be repeated.").Required().StringsVar(&o.cfg.Targets)
	c.Flag("ledger", "Ledger of an upstream stand-in, to find doubled runs and false verdicts; may be repeated.").StringsVar(&o.ledgers)
	c.Flag("report", "File for the report; standard output without it.").StringVar(&o.report)
	c.Flag("results", "Print the benchmark's lines, with this prefix.").StringVar(&o.results)
	c.Flag("goodput", "Print the calls served within their deadline over the capacity, under this name.").StringVar(&o.goodput)
	c.Flag("capacity", "Calls a second that the upstreams can serve.").Default("1").Float64Var(&o.capacity)
	c.Flag("plot", "File for a picture (PNG) of served share and latency over time.").StringVar(&o.plot)
	c.Flag("node", "Admin address of a node, whose mesh's events are marked on the picture; may be repeated.").StringsVar(&o.nodes)
	c.Flag("progress", "Print a line a second on standard error.").BoolVar(&o.progress)
	commands[c.FullCommand()] = o.run
}

func loadFlags(c *kingpin.CmdClause, cfg *load.Config, mix *string) {
	c.Flag("mix", "File with the mix of calls, in JSON.").Required().StringVar(mix)
	c.Flag("rate", "Calls a second.").Default("200").Float64Var(&cfg.Rate)
	c.Flag("duration", "How long to send.").Default("10s").DurationVar(&cfg.Duration)
	c.Flag("call-timeout", "Deadline of each call.").Default("2s").DurationVar(&cfg.Timeout)
	c.Flag("delay", "One-way latency between callers and nodes.").Default("0s").DurationVar(&cfg.Delay)
	c.Flag("resends", "How often a keyed call is sent again while its outcome is open.").Default("3").IntVar(&cfg.Resends)
	c.Flag("seed", "Seed of the random choices.").Default("1").Uint64Var(&cfg.Seed)
	c.Flag("prefix", "Prefix of the keys, so that those of two runs differ.").StringVar(&cfg.Prefix)
}

// readMix fills in the mix of cfg from its file.
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
	if err := readMix(&o.cfg, o.mix); err != nil {
		return err
	}
	if o.progress {
		o.cfg.Progress = os.Stderr
	}
	rep := load.Run(ctx, o.cfg)
	if err := rep.Check(o.ledgers); err != nil {
		return err
	}
	if o.plot != "" {
		if err := rep.Plot(o.plot, o.marks()); err != nil {
			return err
		}
	}
	text, err := json.MarshalIndent(rep, "", "  ")
	if err != nil {
		return err
	}
	if o.report == "" {
		fmt.Println(string(text))
		return nil
	}
	if o.results != "" {
		if err := o.printResults(rep); err != nil {
			return err
		}
	}
	if o.goodput != "" {
		if err := printResult(o.goodputResult(rep)); err != nil {
			return err
		}
	}
	return os.WriteFile(o.report, text, 0o644)
}

// goodputResult is the rate of the calls that were served, over the capacity.
func (o *runOptions) goodputResult(r load.Report) Result {
	rate := float64(r.OK) / o.cfg.Duration.Seconds()
	return Result{Name: o.goodput, Value: rate / o.capacity, Unit: "of capacity",
		Note: fmt.Sprintf("%.0f calls/s offered, %.0f served; p99 of all answers %.0f ms", o.cfg.Rate, rate, r.Lookups.P99)}
}

// printResults prints what the users measure of a run.
func (o *runOptions) printResults(r load.Report) error {
	zero := 0.0
	note := fmt.Sprintf("%d calls; lookup p99 %.1f ms, order p99 %.1f ms", r.Calls, r.Lookups.P99, r.OrderTimes.P99)
	for _, line := range []Result{
		{Name: o.results + "_served_share", Value: float64(r.OK) / float64(max(r.Calls, 1)), Unit: "share", Note: note},
		{Name: "wrong_answers", Value: float64(r.Wrong + r.Missing), Unit: "calls", Target: &zero, Note: o.results},
		{Name: "doubled_runs", Value: float64(r.Doubled), Unit: "keys", Target: &zero, Note: o.results},
		{Name: "false_not_run", Value: float64(r.FalseNotRun), Unit: "sendings", Target: &zero, Note: o.results},
	} {
		if err := printResult(line); err != nil {
			return err
		}
	}
	return nil
}

// marks are the mesh's events worth a line on the picture, each name and time once.
func (o *runOptions) marks() []events.Event {
	if len(o.nodes) == 0 {
		return nil
	}
	merged, _, err := operator.NewNodeClient(o.nodes).Timeline()
	if err != nil {
		fmt.Fprintf(os.Stderr, "celeryload: no events on the picture: %v\n", err)
		return nil
	}
	seen := map[string]bool{}
	return slices.DeleteFunc(merged, func(e events.Event) bool {
		key := fmt.Sprintf("%s %v", e.Name, e.Fields["version"])
		worth := e.Code == events.ConfigApplied || e.Code == events.SourceUnavailable || e.Code == events.SourceAvailable || e.Code >= 700
		if !worth || seen[key] {
			return true
		}
		seen[key] = true
		return false
	})
}
