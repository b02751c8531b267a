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
	c := app.Command("moves", "List moves of traffic to new back-end versions: how far, and why.")
	commands[c.FullCommand()] = func() error { return runMoves(o) }
}

func runMoves(o *options) error {
	moves, err := o.fleet().Moves()
	if err != nil {
		return err
	}
	if o.json {
		return json.NewEncoder(os.Stdout).Encode(moves)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tFROM\tTO\tSHARE\tBY\tSTATUS\tREASON")
	for _, m := range moves {
		share := fmt.Sprintf("%.1f%%", 100*float64(m.Share)/mesh.FullShare)
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", m.Service, m.From, m.To, share, m.By.Format(time.RFC3339), moveStatus(m), moveReason(m))
	}
	return w.Flush()
}

func moveStatus(m node.RolloutReport) string {
	if m.Vetoed != "" && m.Status != mesh.RolloutRolledBack {
		return "vetoed"
	}
	return string(m.Status)
}

func moveReason(m node.RolloutReport) string {
	switch {
	case m.Vetoed != "":
		return m.Vetoed
	case m.Held != "":
		return "waits: " + m.Held
	default:
		return m.Reason
	}
}
