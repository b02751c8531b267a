// Command celerybank runs the node: one process on each host that has upstreams.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"celerybank/internal/command"
	"celerybank/internal/events"
	"celerybank/internal/node"
	"celerybank/internal/peer"
	"celerybank/internal/settings"
	"celerybank/platform"
)

func main() {
	app := kingpin.New("celerybank", "The node of a celerybank mesh. SIGTERM drains it, a second SIGTERM stops it at once.").Version(command.Version)
	app.HelpFlag.Short('h')
	app.Terminate(func(code int) { os.Exit(usageCode(code)) })
	path := app.Flag("settings", "Settings file, in JSON.").Short('s').Required().String()
	check := app.Flag("check", "Check the settings file and exit.").Bool()
	faultControl := app.Flag("fault-control", "For tests: address of the HTTP endpoint that partitions the node from others.").Hidden().String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	command.Exit("celerybank", run(*path, *check, *faultControl))
}

// usageCode maps each non-zero exit code of the command-line parser to command.ExitUsage.
func usageCode(code int) int {
	if code != 0 {
		return command.ExitUsage
	}
	return code
}

func run(path string, checkOnly bool, faultControl string) error {
	cfg, err := settings.Load(path)
	if err != nil {
		return command.InFile(path, err)
	}
	if checkOnly {
		fmt.Printf("%s: ok\n", path)
		return nil
	}
	logger, flush := command.NewLog()
	defer flush()
	ev := events.New(cfg.Name, cfg.Zone, logger)
	ev.SetLimits(events.Limits{LinesPerSecond: cfg.Log.LinesPerSecond, ServedEvery: cfg.Log.ServedEvery})
	var network peer.Network = peer.TCP{SourceIP: node.LocalIP(cfg.Listen.Peers)}
	if faultControl != "" {
		network = withFaultControl(faultControl, network)
	}
	log := platform.NewLog(cfg.Platform.Address, cfg.Platform.Timeout.D(), network.Dial)
	n := node.New(cfg, log, network, ev)
	stop, kill := command.Signals()
	return n.Run(stop, kill)
}
