// Command celerystandin runs stand-ins for the systems that celerybank depends on: the platform's
// store and the upstreams. Tests and the demo use it.
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
	app := kingpin.New("celerystandin", "Stand-ins for the platform's store and for upstreams.").Version(command.Version)
	app.HelpFlag.Short('h')
	plat := app.Command("platform", "The platform's append-only store.")
	platListen := plat.Flag("listen", "IP:port to listen on.").Required().String()
	retain := plat.Flag("retain", "Records to keep in each topic; 0 keeps all.").Default("0").Int()
	up := app.Command("upstream", "One upstream of a service.")
	o := upstreamOptions{}
	up.Flag("listen", "IP:port to listen on.").Required().StringVar(&o.listen)
	up.Flag("node", "Admin address of the node on this host.").Required().StringVar(&o.node)
	up.Flag("service", "Name of the service.").Required().StringVar(&o.cfg.Service)
	up.Flag("back-end-version", "Version to announce.").Default("v1").StringVar(&o.cfg.Version)
	up.Flag("slots", "Maximum number of concurrent requests.").Default("10").IntVar(&o.cfg.Slots)
	up.Flag("work", "Duration of one request after the warm-up.").Default("2ms").DurationVar(&o.cfg.Work)
	up.Flag("cold-for", "Duration of the warm-up, in which requests take longer.").Default("0s").DurationVar(&o.cfg.ColdFor)
	up.Flag("cold-factor", "Factor on the duration of requests at the start of the warm-up.").Default("4").Float64Var(&o.cfg.ColdFactor)
	up.Flag("fail-share", "Fraction of the requests that get status 500.").Default("0").Float64Var(&o.cfg.Faults.FailShare)
	up.Flag("fail-route", "Path prefix of the requests that fail.").StringVar(&o.cfg.Faults.FailRoute)
	up.Flag("slow", "Duration added to each request.").Default("0s").DurationVar(&o.cfg.Faults.Slow)
	up.Flag("ledger", "File to append a line to for each request that runs; it is kept after the process ends.").StringVar(&o.ledger)
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

// upstreamOptions are the flags of the upstream command.
type upstreamOptions struct {
	cfg          upstream.Config
	listen, node string
	ledger       string
}

// drainTimeout bounds how long the HTTP server waits for its connections after a stop signal.
const drainTimeout = 5 * time.Second

// leaveDelay is how long a stand-in still accepts requests after it has left its node, for those that
// the node had already sent to it.
const leaveDelay = 300 * time.Millisecond

// crashExitCode is the exit code after a request that crashes the stand-in, distinct from those in command.
const crashExitCode = 3

// runUpstream serves requests and announces the upstream until ctx ends. It then leaves the node and drains.
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
	s := upstream.New(o.cfg, instance, func() { os.Exit(crashExitCode) })
	server := &http.Server{Handler: s.Handler()}
	announceCtx, stopAnnounce := context.WithCancel(ctx)
	go s.Announce(announceCtx, o.node, o.listen)
	go func() {
		<-ctx.Done()
		stopAnnounce()
		leave(o.node, instance)
		drainCtx, cancel := context.WithTimeout(context.Background(), drainTimeout)
		defer cancel()
		_ = server.Shutdown(drainCtx)
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

// leave removes the instance from the node, and waits for leaveDelay.
func leave(node, instance string) {
	body := fmt.Appendf(nil, `{"instance":%q}`, instance)
	// If the request fails, the node removes the instance when its lease expires.
	_ = upstream.PostJSON(context.Background(), "http://"+node+"/v1/leave", body)
	time.Sleep(leaveDelay)
}
