// Command celeryload sends load to a mesh, checks each response and reports in JSON. It also measures nodes,
// and records and replays traces.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"celerybank/internal/command"
)

// logTimeout bounds one call to the log service.
const logTimeout = 2 * time.Second

func main() {
	app := kingpin.New("celeryload", "Load generator and measurements for a celerybank mesh. Exit code 0: success; 1: failure; 2: invalid usage or input.").Version(command.Version)
	app.HelpFlag.Short('h')
	commands := map[string]func(context.Context) error{}
	addRun(app, commands)
	addCompare(app, commands)
	addConverge(app, commands)
	addControl(app, commands)
	addSummary(app, commands)
	addReplay(app, commands)
	name, err := app.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "celeryload: %v, try --help\n", err)
		os.Exit(command.ExitUsage)
	}
	stop, _ := command.Signals()
	command.Exit("celeryload", commands[name](stop))
}
