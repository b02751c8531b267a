// Package command holds what all programs share: exit codes, error output, signals and the log.
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

// Version is the version of all programs. A build may replace it with the linker flag -X.
var Version = "0.1.0"

// Exit codes of all programs.
const (
	ExitOK = 0
	// ExitFailed means that the input was valid and the program failed.
	ExitFailed = 1
	// ExitUsage means that the command line or an input file is invalid.
	ExitUsage = 2
)

// Exit prints err to standard error, if it is not nil, and ends the process: with ExitOK for nil,
// ExitUsage for FileFaults, which are printed one fault per line, and ExitFailed for any other error.
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

// Faults is an error that lists the faults of a file.
type Faults interface {
	error
	// Lines returns one line of text per fault.
	Lines() []string
}

// FileFaults are the faults of one file.
type FileFaults struct {
	File   string
	Faults Faults
}

func (f FileFaults) Error() string { return f.File + ": " + f.Faults.Error() }

// InFile returns FileFaults with the name of the file if err is or wraps Faults, otherwise err.
func InFile(file string, err error) error {
	var faults Faults
	if errors.As(err, &faults) {
		return FileFaults{file, faults}
	}
	return err
}

// Signals returns two contexts: stop is cancelled at the first SIGTERM or SIGINT, kill at the second.
func Signals() (stop, kill context.Context) {
	stop, cancelStop := context.WithCancel(context.Background())
	kill, cancelKill := context.WithCancel(context.Background())
	c := make(chan os.Signal, 2)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-c
		cancelStop()
		<-c
		cancelKill()
	}()
	return stop, kill
}

// NewLog returns a logger that writes JSON lines to standard output without blocking its callers,
// and a function that flushes queued lines, to be called before the process ends.
func NewLog() (l *logrus.Logger, flush func()) {
	sink := events.NewSink(os.Stdout)
	l = logrus.New()
	l.SetOutput(sink)
	l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000000Z07:00"})
	return l, func() { sink.Flush(flushTimeout) }
}

// flushTimeout bounds the flush when the reader of standard output is slow.
const flushTimeout = 100 * time.Millisecond
