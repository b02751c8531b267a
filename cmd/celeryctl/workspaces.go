package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"

	"celerybank/internal/operator"
	"celerybank/internal/peer"
	"celerybank/platform"
)

func addWorkspaceCommands(app *kingpin.Application, o *options, commands map[string]func() error) {
	workspaces := app.Command("workspaces", "Print the workspaces of the newest configuration: name, number of API keys, priority.")
	commands[workspaces.FullCommand()] = func() error { return runWorkspaces(o) }
}

func runWorkspaces(o *options) error {
	store := platform.NewClient(o.platform, o.timeout, peer.TCP{}.Dial)
	list, err := operator.Workspaces(context.Background(), platform.NewOperator(store))
	if err != nil {
		return err
	}
	if o.json {
		return json.NewEncoder(os.Stdout).Encode(list)
	}
	if list == nil {
		fmt.Println("the configuration has no workspaces; requests need no key")
		return nil
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tKEYS\tPRIORITY")
	for _, x := range list {
		priority := "of the route"
		if x.Priority != nil {
			priority = strconv.Itoa(*x.Priority)
		}
		fmt.Fprintf(w, "%s\t%d\t%s\n", x.Name, x.Keys, priority)
	}
	return w.Flush()
}
