// Command celerysidecar runs the node beside an upstream on the users' platform: one process
// for each upstream.
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

// Settings of the garbage collector. Memory is scarce on the hosts, and the live heap is small.
const (
	// gcPercent is the growth of the heap between two collections, in percent. Less saves memory; each collection
	// also scans the stacks of all connections, so that it takes a fixed time.
	gcPercent = 40
	// heapFraction is the soft memory limit as a fraction of the host's limit, so that the collector
	// runs more often well before the process is killed for its memory use.
	heapFraction = 0.6
)

func main() {
	app := kingpin.New("celerysidecar", "The node of a celerybank mesh on the users' platform. SIGTERM drains it.\n\nExample: "+
		platform.SettingsVariable+"=settings.json celerysidecar\n         celerysidecar --settings settings.json --check").Version(command.Version)
	app.HelpFlag.Short('h')
	path := app.Flag("settings", "Settings file of the platform.").Short('s').Default(platform.SettingsPath()).String()
	var limits events.Limits
	app.Flag("log-lines", "Maximum log lines per second for each event.").Default(strconv.Itoa(events.LinesPerSecond)).IntVar(&limits.LinesPerSecond)
	app.Flag("log-served", "Log one of every N requests that succeed; 0 logs none.").Default("0").IntVar(&limits.ServedEvery)
	bind := app.Flag("bind-peers", "IP:port to listen on for peers, if a port forwarder handles the address that they connect to.").String()
	admitByChildren := app.Flag("admit-by-children", "Refuse requests whose child requests would find no room in the services that they call.").Bool()
	check := app.Flag("check", "Check the settings file and exit.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	command.Exit("celerysidecar", run(*path, options{*bind, limits, *admitByChildren, *check}))
}

// options are the flags of the program.
type options struct {
	bind            string
	limits          events.Limits
	admitByChildren bool
	checkOnly       bool
}

func run(path string, o options) error {
	s, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	s.AdmitByChildren = o.admitByChildren
	if o.checkOnly {
		fmt.Printf("%s: ok: %s\n", path, s)
		return nil
	}
	debug.SetGCPercent(gcPercent)
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(heapFraction * float64(s.MemoryBytes)))
	}
	logger, flush := command.NewLog()
	defer flush()
	ev := events.New(s.Name, s.Zone, logger)
	ev.SetLimits(o.limits)
	var network peer.TCP
	if ap, err := netip.ParseAddrPort(s.Peers); err == nil {
		network.SourceIP = ap.Addr().AsSlice()
	}
	if o.bind != "" {
		network.Bind = map[string]string{s.Peers: o.bind}
	}
	stop, _ := command.Signals()
	n := sidecar.New(stop, s, network, ev)
	go n.Reload(stop, path)
	return n.Run(stop)
}
