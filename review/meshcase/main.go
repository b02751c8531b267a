// Command meshcase runs a small deployment of real nodes on loopback addresses, with stand-ins for the callers and the upstreams and
// the project's stand-in for the store. It checks one rule while the deployment meets one disruption.
//
// Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case could not run. With TROUBLE=0 there is no disruption.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

var (
	begin    = time.Now()
	recordMu sync.Mutex
	// recordFile is record.txt in the folder of the case.
	recordFile *os.File
)

// record writes a line to the record of the case.
func record(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	_, _ = fmt.Fprintf(recordFile, "%7.3f %s\n", time.Since(begin).Seconds(), fmt.Sprintf(format, args...))
}

// note is record for what a reader should see at once.
func note(format string, args ...any) {
	fmt.Printf("%7.3f %s\n", time.Since(begin).Seconds(), fmt.Sprintf(format, args...))
	record(format, args...)
}

// scenario lets a deployment meet a disruption, if trouble is set, and returns how the rule was broken; empty if it held.
type scenario func(d *deployment, trouble bool) (broken string, err error)

var scenarios = map[string]struct {
	machines int
	run      scenario
}{
	"left-upstream":    {6, leftUpstream},
	"crashing-request": {8, crashingRequest},
	"traced-request":   {8, tracedRequest},
	"two-stops":        {4, twoStops},
	"unborn-ping":      {8, unbornPing},
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: meshcase SCENARIO FOLDER")
		os.Exit(2)
	}
	s, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "meshcase: unknown scenario", os.Args[1])
		os.Exit(2)
	}
	var err error
	if recordFile, err = os.Create(filepath.Join(os.Args[2], "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, "meshcase:", err)
		os.Exit(2)
	}
	d, err := newDeployment(s.machines)
	go endOnSignal(d)
	broken := ""
	if err == nil {
		broken, err = s.run(d, os.Getenv("TROUBLE") != "0")
	}
	if d != nil {
		d.end()
	}
	switch {
	case err != nil:
		note("could not run: %v", err)
		os.Exit(2)
	case broken != "":
		note("BROKEN %s", broken)
		os.Exit(1)
	}
	note("the rule held")
}

// endOnSignal ends the processes of the deployment if the case is ended from outside.
func endOnSignal(d *deployment) {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGINT, syscall.SIGTERM)
	<-c
	if d != nil {
		d.end()
	}
	os.Exit(2)
}

// fewCallers is the number of callers on each machine where their load does not matter.
const fewCallers = 6

// startCallers starts count callers on each machine; stop ends them and waits for that.
func (d *deployment) startCallers(count int) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, m := range d.machines {
		for range count {
			wg.Go(func() { call(ctx, m) })
		}
	}
	return func() { cancel(); wg.Wait() }
}

// killAll kills all nodes at the same moment, and starts them again after a short delay.
func (d *deployment) killAll(delay time.Duration) error {
	var wg sync.WaitGroup
	for _, m := range d.machines {
		wg.Go(m.kill)
	}
	wg.Wait()
	time.Sleep(delay)
	for _, m := range d.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}
