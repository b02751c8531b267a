// Command standin-3 plays the cases of review/REPORT-3.md: it starts the project's nodes as separate processes on loopback
// addresses, and is the platform's store, the backends, the operator and the requesters itself.
package main

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// record is the file record.txt of a case.
type record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// errNoCase is returned for a case that could not be played.
var errNoCase = errors.New("usage: standin-3 CASE RECORD")

// cases returns whether the rule was broken. trouble is false if the disruption is left out.
var cases = map[string]func(rec *record, trouble bool) (broken bool, err error){
	"pipelined": pipelined,
	"departed":  departed,
	"framed":    framed,
	"unread":    unread,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, errNoCase)
		os.Exit(exitNotRun)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	rec := &record{start: time.Now(), file: file}
	broken, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	case broken:
		rec.line("the rule was broken")
		os.Exit(exitBroken)
	}
	rec.line("the rule held")
	os.Exit(exitHeld)
}
