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
	reportFile string
	platform   string
	nodes      []string
	rollout    string
	minServed  float64
}

func addSummary(app *kingpin.Application, commands map[string]func(context.Context) error) {
	c := app.Command("summary", "Print the results of a run as a table; exit with 1 if a promise was broken.")
	o := &summaryOptions{}
	c.Flag("report", "Report file of the run.").Required().StringVar(&o.reportFile)
	c.Flag("platform", "Address (IP:port) of the log service.").Required().StringVar(&o.platform)
	c.Flag("node", "Admin address of a node; may be repeated.").Required().StringsVar(&o.nodes)
	c.Flag("move", "Rollout (service/version) that must have completed.").StringVar(&o.rollout)
	c.Flag("served", "Minimum fraction of the requests that must have been served.").Default("0.99").Float64Var(&o.minServed)
	commands[c.FullCommand()] = o.run
}

// row is one row of the table. failed means that its value breaks a promise.
type row struct {
	name, value string
	failed      bool
}

func (o *summaryOptions) run(ctx context.Context) error {
	text, err := os.ReadFile(o.reportFile)
	if err != nil {
		return err
	}
	var r load.Report
	if err := json.Unmarshal(text, &r); err != nil {
		return command.FileFaults{File: o.reportFile, Faults: fault.List{{Reason: err.Error()}}}
	}
	rows := requestRows(r, o.minServed)
	logClient := operator.NewLogClient(platform.NewLog(o.platform, logTimeout, peer.TCP{}.Dial), "summary")
	st, err := logClient.State(ctx)
	if err != nil {
		return err
	}
	if o.rollout != "" {
		outcome := st.Rollouts[o.rollout]
		rows = append(rows, row{"rollout " + o.rollout, fmt.Sprintf("%s: %s", outcome.Status, outcome.Reason), outcome.Status != mesh.RolloutCompleted})
	}
	convergence, err := o.convergence(ctx)
	if err != nil {
		return err
	}
	rows = append(rows, convergence)
	return printTable(rows)
}

// requestRows returns the rows on requests. minServed is the minimum fraction of them to serve.
func requestRows(r load.Report, minServed float64) []row {
	share := float64(r.OK) / float64(max(r.Requests, 1))
	return []row{
		{"requests", fmt.Sprint(r.Requests), r.Requests == 0},
		{"served", fmt.Sprintf("%d (%.2f%%)", r.OK, 100*share), share < minServed},
		{"wrong or missing answers", fmt.Sprint(r.Wrong + r.Missing), r.Wrong+r.Missing > 0},
		{"orders placed", fmt.Sprintf("%d of %d", r.KeyedOK, r.KeyedRequests), false},
		{"orders that ran twice", fmt.Sprint(r.Doubled), r.Doubled > 0},
		{"false not-run verdicts", fmt.Sprint(r.FalseNotRun), r.FalseNotRun > 0},
		{"lookup latency", fmt.Sprintf("p50 %.1f ms, p99 %.1f ms", r.UnkeyedLatency.P50, r.UnkeyedLatency.P99), false},
		{"order latency", fmt.Sprintf("p50 %.1f ms, p99 %.1f ms", r.KeyedLatency.P50, r.KeyedLatency.P99), false},
	}
}

// maxSummaryRecords limits the records of the log that convergence reads.
const maxSummaryRecords = 1000

// convergence returns the row on the longest time from the time in a record until the last node applied it. A
// node that skips a version because it got a snapshot has no event for it and is not counted.
func (o *summaryOptions) convergence(ctx context.Context) (row, error) {
	merged, unreachable, err := operator.NewNodeClient(o.nodes).Timeline()
	if err != nil {
		return row{}, err
	}
	if len(unreachable) > 0 {
		return row{"convergence", "no timeline from " + strings.Join(unreachable, " "), true}, nil
	}
	lastApplied := map[int64]time.Time{} // by version
	for _, e := range merged {
		if v, ok := e.Fields["version"].(float64); ok && e.Code == events.ConfigApplied && e.Time.After(lastApplied[int64(v)]) {
			lastApplied[int64(v)] = e.Time
		}
	}
	page, err := platform.NewLog(o.platform, logTimeout, peer.TCP{}.Dial).Read(ctx, configlog.MeshStream, 1, maxSummaryRecords, 0)
	if err != nil {
		return row{}, err
	}
	slowest, changes := time.Duration(0), 0
	for _, entry := range page.Entries {
		rec, err := configlog.ParseRecord(entry.Data)
		at, applied := lastApplied[entry.Offset]
		if err != nil || !applied {
			continue
		}
		changes++
		slowest = max(slowest, at.Sub(rec.Time))
	}
	late := slowest.Seconds() > convergenceTargetS
	return row{"convergence", fmt.Sprintf("%d changes, the slowest applied by all nodes after %.0f ms", changes, slowest.Seconds()*1000), late || changes == 0}, nil
}

func printTable(rows []row) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	var broken []string
	for _, r := range rows {
		mark := ""
		if r.failed {
			mark = "  <- broken"
			broken = append(broken, r.name)
		}
		fmt.Fprintf(w, "%s\t%s%s\n", r.name, r.value, mark)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if len(broken) > 0 {
		return errors.New("broken: " + strings.Join(broken, ", "))
	}
	return nil
}
