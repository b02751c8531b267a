// Command celerystandin runs stand-ins for what celerybank meets: the platform's
// log service and upstreams. It serves tests and the demo.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"

	"celerybank/internal/command"
	"celerybank/internal/configlog"
	"celerybank/internal/standin/platform"
	"celerybank/internal/standin/upstream"
)

func main() {
	app := kingpin.New("celerystandin", "Stand-ins for the platform's log service and for upstreams.").Version(command.Version)
	app.HelpFlag.Short('h')
	plat := app.Command("platform", "The append-only log service.")
	platListen := plat.Flag("listen", "IP:port to listen on.").Required().String()
	retain := plat.Flag("retain", "Records kept of each stream; 0 keeps all.").Default("0").Int()
	up := app.Command("upstream", "One upstream of a service.")
	o := upstreamOptions{}
	up.Flag("listen", "IP:port to listen on.").Required().StringVar(&o.listen)
	up.Flag("node", "Admin address of the node on this host.").Required().StringVar(&o.node)
	up.Flag("service", "Service that it serves.").Required().StringVar(&o.cfg.Service)
	up.Flag("back-end-version", "Version that it announces.").Default("v1").StringVar(&o.cfg.Version)
	up.Flag("slots", "Requests that it runs at once.").Default("10").IntVar(&o.cfg.Slots)
	up.Flag("work", "Time that one request takes when warm.").Default("2ms").DurationVar(&o.cfg.Work)
	up.Flag("cold-for", "Time after a start in which requests take longer.").Default("0s").DurationVar(&o.cfg.ColdFor)
	up.Flag("cold-factor", "How much longer at first.").Default("4").Float64Var(&o.cfg.ColdFactor)
	up.Flag("fail-share", "Part of the requests that answer 500.").Default("0").Float64Var(&o.cfg.Faults.FailShare)
	up.Flag("fail-route", "Path prefix of the requests that fail.").StringVar(&o.cfg.Faults.FailRoute)
	up.Flag("slow", "Time added to each request.").Default("0s").DurationVar(&o.cfg.Faults.Slow)
	up.Flag("ledger", "File that gets a line for each run; it outlives the process.").StringVar(&o.ledger)
	cmd, err := app.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "celerystandin: %v, try --help\n", err)
		os.Exit(command.ExitUsage)
	}
	stop, _ := command.Signals()
	switch cmd {
	case plat.FullCommand():
		command.Exit("celerystandin", runPlatform(stop, *platListen, *retain))
	case up.FullCommand():
		command.Exit("celerystandin", runUpstream(stop, o))
	}
}

func runPlatform(ctx context.Context, listen string, retain int) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	fmt.Println("listening on", listen)
	log := configlog.NewMemory()
	log.SetFaults(configlog.Faults{Retain: retain})
	return platform.Serve(ctx, l, log)
}

type upstreamOptions struct {
	cfg          upstream.Config
	listen, node string
	ledger       string
}

// drainTime bounds the wait for requests that run when the stand-in is told to stop.
const drainTime = 5 * time.Second

// leaveTime is how long a leaving stand-in still takes requests that are under way to it.
const leaveTime = 300 * time.Millisecond

func runUpstream(ctx context.Context, o upstreamOptions) error {
	l, err := net.Listen("tcp", o.listen)
	if err != nil {
		return err
	}
	if o.ledger != "" {
		f, err := os.OpenFile(o.ledger, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return err
		}
		defer f.Close()
		o.cfg.Ledger = f
	}
	instance := fmt.Sprintf("%s-%s-%d", o.cfg.Service, o.cfg.Version, time.Now().UnixNano())
	s := upstream.New(o.cfg, instance, func() { os.Exit(3) })
	server := &http.Server{Handler: s.Handler()}
	announcing, end := context.WithCancel(ctx)
	go s.Announce(announcing, o.node, o.listen)
	go func() {
		<-ctx.Done()
		end()
		leave(o.node, instance)
		late, cancel := context.WithTimeout(context.Background(), drainTime)
		defer cancel()
		_ = server.Shutdown(late)
	}()
	err = server.Serve(l)
	for s.InFlight() > 0 {
		time.Sleep(time.Millisecond)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func leave(node, instance string) {
	body := fmt.Appendf(nil, `{"instance":%q}`, instance)
	_ = upstream.PostJSON(context.Background(), "http://"+node+"/v1/leave", body) // the node's lease on us ends anyway
	time.Sleep(leaveTime)
}
