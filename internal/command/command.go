// Package command has what the programs' command lines share.
package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"celerybank/internal/events"
)

// Version of all programs; the build may replace it.
var Version = "0.1.0"

// Exit codes of all programs.
const (
	ExitOK = 0
	// ExitFailed means that the input was good and the work failed.
	ExitFailed = 1
	// ExitUsage means a bad command line or bad input.
	ExitUsage = 2
)

// Exit prints err, if any, and ends the process with its code. Each fault of a
// file gets a line of its own.
func Exit(program string, err error) {
	if err == nil {
		os.Exit(ExitOK)
	}
	var faults FileFaults
	if errors.As(err, &faults) {
		for _, f := range faults.Faults.Lines() {
			fmt.Fprintf(os.Stderr, "%s: %s: %s\n", program, faults.File, f)
		}
		os.Exit(ExitUsage)
	}
	fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
	os.Exit(ExitFailed)
}

// Faults is an error that has a line for each fault of a file.
type Faults interface {
	error
	// Lines returns what is wrong, a fault each.
	Lines() []string
}

// FileFaults are the faults of one file.
type FileFaults struct {
	File   string
	Faults Faults
}

func (f FileFaults) Error() string { return f.File + ": " + f.Faults.Error() }

// InFile names the file of err when err is a list of faults.
func InFile(file string, err error) error {
	var faults Faults
	if errors.As(err, &faults) {
		return FileFaults{file, faults}
	}
	return err
}

// Signals returns a context that ends at the first SIGTERM or SIGINT and one that ends at the second.
func Signals() (stop, kill context.Context) {
	stop, first := context.WithCancel(context.Background())
	kill, second := context.WithCancel(context.Background())
	c := make(chan os.Signal, 2)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-c
		first()
		<-c
		second()
	}()
	return stop, kill
}

// NewLog returns a log of JSON lines on standard output, which never blocks its callers, and a
// function that writes what is queued before the process ends.
func NewLog() (l *logrus.Logger, flush func()) {
	sink := events.NewSink(os.Stdout)
	l = logrus.New()
	l.SetOutput(sink)
	l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000000Z07:00"})
	return l, func() { sink.Flush(flushLimit) }
}

// flushLimit bounds the wait for a standard output that is slow to read.
const flushLimit = 100 * time.Millisecond
