package main

import (
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"celerybank/internal/mesh"
	"celerybank/internal/node"
)

func addMovesCommand(app *kingpin.Application, o *options, commands map[string]func() error) {
	c := app.Command("moves", "List the moves of traffic to new back-end versions, with the share, status and reason of each.")
	commands[c.FullCommand()] = func() error { return runMoves(o) }
}

func runMoves(o *options) error {
	rollouts, err := o.nodeClient().Rollouts()
	if err != nil {
		return err
	}
	if o.json {
		return json.NewEncoder(os.Stdout).Encode(rollouts)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tFROM\tTO\tSHARE\tBY\tSTATUS\tREASON")
	for _, r := range rollouts {
		share := fmt.Sprintf("%.1f%%", 100*float64(r.Share)/mesh.FullShare)
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", r.Service, r.From, r.To, share, r.By.Format(time.RFC3339), statusOf(r), reasonFor(r))
	}
	return w.Flush()
}

// statusOf returns the status to print. A veto is shown even before the log records the
// rollback.
func statusOf(r node.RolloutReport) string {
	if r.Vetoed != "" && r.Status != mesh.RolloutRolledBack {
		return "vetoed"
	}
	return string(r.Status)
}

// reasonFor returns the reason for the status to print.
func reasonFor(r node.RolloutReport) string {
	switch {
	case r.Vetoed != "":
		return r.Vetoed
	case r.Held != "":
		return "waits: " + r.Held
	default:
		return r.Reason
	}
}
