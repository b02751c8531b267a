package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"celerybank/internal/node"
	"celerybank/internal/operator"
)

func addStatusCommands(app *kingpin.Application, o *options, commands map[string]func() error) {
	status := app.Command("status", "Print the number of nodes at each version, and which nodes are behind or not ready.")
	commands[status.FullCommand()] = func() error { return runStatus(o) }
	timeline := app.Command("timeline", "Print the events of all nodes as one ordered timeline.")
	commands[timeline.FullCommand()] = func() error { return runTimeline(o) }
}

func runStatus(o *options) error {
	addrs, err := o.nodeClient().Addresses()
	if err != nil {
		return err
	}
	statuses, failed := operator.GetAll[node.Status](addrs, "/v1/status")
	if o.json {
		return json.NewEncoder(os.Stdout).Encode(statuses)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "VERSION\tREADY\tNODES\tSINCE\tZONES\tSTALE")
	for _, g := range operator.GroupByVersion(statuses) {
		fmt.Fprintf(w, "%d\t%v\t%d\t%s\t%s\t%s\n", g.Version, g.Ready, g.Nodes, g.Since.Format(time.RFC3339), g.ZoneCounts(), strings.Join(g.Stale, ","))
	}
	if len(failed) > 0 {
		fmt.Fprintf(w, "no answer\t\t%d\t\t\t%s\n", len(failed), strings.Join(failed, ","))
	}
	return w.Flush()
}

func runTimeline(o *options) error {
	merged, failed, err := o.nodeClient().Timeline()
	if err != nil {
		return err
	}
	enc := json.NewEncoder(os.Stdout)
	for _, e := range merged {
		if o.json {
			if err := enc.Encode(e); err != nil {
				return err
			}
			continue
		}
		fields, err := json.Marshal(e.Fields)
		if err != nil {
			return err
		}
		fmt.Printf("%s %-14s %-12s %d %s %s\n", e.Time.Format("15:04:05.000000"), e.Node, e.Zone, e.Code, e.Name, fields)
	}
	for _, addr := range failed {
		fmt.Fprintf(os.Stderr, "celeryctl: no valid response from %s\n", addr)
	}
	return nil
}
