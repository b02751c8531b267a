// Command celerysidecar is the node on the users' platform: the one process of the system
// beside each upstream.
package main

import (
	"fmt"
	"net/netip"
	"os"
	"runtime/debug"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"celerybank/internal/command"
	"celerybank/internal/events"
	"celerybank/internal/peer"
	"celerybank/internal/sidecar"
	"celerybank/platform"
)

// Collector settings: memory is dear on the hosts, and the live heap is small.
const (
	gcPercent = 20
	// heapShare of the host's limit makes the collector work harder before the process is killed.
	heapShare = 0.6
)

func main() {
	app := kingpin.New("celerysidecar", "The node of a celerybank mesh on the users' platform. SIGTERM drains it.\n\nExample: "+
		platform.SettingsVariable+"=settings.json celerysidecar\n         celerysidecar --settings settings.json --check").Version(command.Version)
	app.HelpFlag.Short('h')
	path := app.Flag("settings", "File with the platform's settings.").Short('s').Default(platform.SettingsPath()).String()
	var lines events.Limits
	app.Flag("log-lines", "Lines of one event in a second.").Default(strconv.Itoa(events.LinesPerSecond)).IntVar(&lines.LinesPerSecond)
	app.Flag("log-served", "Write a line for one in so many requests that went well; 0: for none.").Default("0").IntVar(&lines.ServedEvery)
	bind := app.Flag("bind-peers", "Listen for peers at this IP:port, where a port forwarder stands before the address that they connect to.").String()
	check := app.Flag("check", "Check the settings and exit.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	command.Exit("celerysidecar", run(*path, *bind, lines, *check))
}

func run(path, bind string, lines events.Limits, checkOnly bool) error {
	s, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	if checkOnly {
		fmt.Printf("%s: ok: %s\n", path, s)
		return nil
	}
	debug.SetGCPercent(gcPercent)
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(s.MemoryBytes)))
	}
	logger, flush := command.NewLog()
	defer flush()
	ev := events.New(s.Name, s.Zone, logger)
	ev.SetLimits(lines)
	var network peer.TCP
	if ap, err := netip.ParseAddrPort(s.Peers); err == nil {
		network.SourceIP = ap.Addr().AsSlice()
	}
	if bind != "" {
		network.Bind = map[string]string{s.Peers: bind}
	}
	stop, _ := command.Signals()
	n := sidecar.New(stop, s, network, ev)
	go n.Reload(stop, path)
	return n.Run(stop)
}
