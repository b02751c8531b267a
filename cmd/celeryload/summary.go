package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"

	"celerybank/internal/command"
	"celerybank/internal/configlog"
	"celerybank/internal/events"
	"celerybank/internal/fault"
	"celerybank/internal/load"
	"celerybank/internal/mesh"
	"celerybank/internal/operator"
	"celerybank/internal/peer"
	"celerybank/platform"
)

// summaryOptions are the flags of the summary command.
type summaryOptions struct {
	report   string
	platform string
	nodes    []string
	move     string
	served   float64
}

func addSummary(app *kingpin.Application, commands map[string]func(context.Context) error) {
	c := app.Command("summary", "Print what happened in a run as a table; fails when a promise was broken.")
	o := &summaryOptions{}
	c.Flag("report", "Report of the run.").Required().StringVar(&o.report)
	c.Flag("platform", "IP:port of the log service.").Required().StringVar(&o.platform)
	c.Flag("node", "Admin address of a node; may be repeated.").Required().StringsVar(&o.nodes)
	c.Flag("move", "Move (service/version) that has to be done.").StringVar(&o.move)
	c.Flag("served", "Least share of the calls that has to be served.").Default("0.99").Float64Var(&o.served)
	commands[c.FullCommand()] = o.run
}

// row is one line of the table; bad says that a promise was broken.
type row struct {
	what, value string
	bad         bool
}

func (o *summaryOptions) run(ctx context.Context) error {
	text, err := os.ReadFile(o.report)
	if err != nil {
		return err
	}
	var r load.Report
	if err := json.Unmarshal(text, &r); err != nil {
		return command.FileFaults{File: o.report, Faults: fault.List{{Reason: err.Error()}}}
	}
	rows := callRows(r, o.served)
	console := operator.NewLogClient(platform.NewLog(o.platform, 2*time.Second, peer.TCP{}.Dial), "summary")
	st, err := console.State(ctx)
	if err != nil {
		return err
	}
	if o.move != "" {
		m := st.Rollouts[o.move]
		rows = append(rows, row{"move " + o.move, fmt.Sprintf("%s: %s", m.Status, m.Reason), m.Status != mesh.RolloutCompleted})
	}
	convergence, err := o.convergence(ctx)
	if err != nil {
		return err
	}
	rows = append(rows, convergence)
	return printTable(rows)
}

func callRows(r load.Report, served float64) []row {
	share := float64(r.OK) / float64(max(r.Calls, 1))
	return []row{
		{"calls", fmt.Sprint(r.Calls), r.Calls == 0},
		{"served", fmt.Sprintf("%d (%.2f%%)", r.OK, 100*share), share < served},
		{"wrong or missing answers", fmt.Sprint(r.Wrong + r.Missing), r.Wrong+r.Missing > 0},
		{"orders placed", fmt.Sprintf("%d of %d", r.OrdersOK, r.Orders), false},
		{"orders that ran twice", fmt.Sprint(r.Doubled), r.Doubled > 0},
		{"false not-run verdicts", fmt.Sprint(r.FalseNotRun), r.FalseNotRun > 0},
		{"lookup latency", fmt.Sprintf("p50 %.1f ms, p99 %.1f ms", r.Lookups.P50, r.Lookups.P99), false},
		{"order latency", fmt.Sprintf("p50 %.1f ms, p99 %.1f ms", r.OrderTimes.P50, r.OrderTimes.P99), false},
	}
}

// convergence compares the time that each record carries with the time at which the
// last node applied it.
func (o *summaryOptions) convergence(ctx context.Context) (row, error) {
	merged, silent, err := operator.NewNodeClient(o.nodes).Timeline()
	if err != nil {
		return row{}, err
	}
	if len(silent) > 0 {
		return row{"convergence", "nodes do not answer: " + strings.Join(silent, " "), true}, nil
	}
	last := map[int64]time.Time{}
	for _, e := range merged {
		if v, ok := e.Fields["version"].(float64); ok && e.Code == events.ConfigApplied && e.Time.After(last[int64(v)]) {
			last[int64(v)] = e.Time
		}
	}
	page, err := platform.NewLog(o.platform, 2*time.Second, peer.TCP{}.Dial).Read(ctx, configlog.MeshStream, 1, 1000, 0)
	if err != nil {
		return row{}, err
	}
	worst, changes := time.Duration(0), 0
	for _, entry := range page.Entries {
		rec, err := configlog.ParseRecord(entry.Data)
		at, seen := last[entry.Offset]
		if err != nil || !seen {
			continue
		}
		changes++
		worst = max(worst, at.Sub(rec.Time))
	}
	slow := worst.Seconds() > convergenceTargetS
	return row{"convergence", fmt.Sprintf("%d changes, the slowest in force everywhere after %.0f ms", changes, worst.Seconds()*1000), slow || changes == 0}, nil
}

func printTable(rows []row) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	var broken []string
	for _, r := range rows {
		mark := ""
		if r.bad {
			mark = "  <- broken"
			broken = append(broken, r.what)
		}
		fmt.Fprintf(w, "%s\t%s%s\n", r.what, r.value, mark)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if len(broken) > 0 {
		return errors.New("broken: " + strings.Join(broken, ", "))
	}
	return nil
}
