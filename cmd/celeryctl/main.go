// Command celeryctl is the command-line tool with which operators control and inspect a mesh.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"celerybank/internal/command"
	"celerybank/internal/operator"
	"celerybank/internal/peer"
	"celerybank/platform"
)

// options are the global flags.
type options struct {
	platform string
	timeout  time.Duration
	nodes    []string
	author   string
	json     bool
}

func (o *options) logClient() *operator.LogClient {
	return operator.NewLogClient(platform.NewLog(o.platform, o.timeout, peer.TCP{}.Dial), o.author)
}

func (o *options) nodeClient() *operator.NodeClient { return operator.NewNodeClient(o.nodes) }

func main() {
	app := kingpin.New("celeryctl", "Operate a celerybank mesh. Exit code 0: success; 1: failure; 2: invalid command line or input file.").Version(command.Version)
	app.HelpFlag.Short('h')
	o := &options{}
	app.Flag("platform", "IP:port of the platform's log service.").Short('p').Envar("CELERYBANK_PLATFORM").Default("127.0.0.1:7700").StringVar(&o.platform)
	app.Flag("timeout", "Timeout of one request to the log service.").Default("2s").DurationVar(&o.timeout)
	app.Flag("node", "Admin address (IP:port) of a node; may be repeated.").Short('n').Envar("CELERYBANK_NODES").StringsVar(&o.nodes)
	app.Flag("author", "Author of the records that a command appends.").Default(defaultAuthor()).StringVar(&o.author)
	app.Flag("json", "Print JSON.").BoolVar(&o.json)
	commands := map[string]func() error{}
	addConfigCommands(app, o, commands)
	addStatusCommands(app, o, commands)
	addMovesCommand(app, o, commands)
	addZoneCommands(app, o, commands)
	addTransferCommands(app, o, commands)
	addTraceCommand(app, o, commands)
	addWorkspaceCommands(app, o, commands)
	name, err := app.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "celeryctl: %v, try --help\n", err)
		os.Exit(command.ExitUsage)
	}
	command.Exit("celeryctl", commands[name]())
}

func defaultAuthor() string {
	if u := os.Getenv("USER"); u != "" {
		return u
	}
	return "operator"
}
