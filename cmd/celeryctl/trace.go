package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"celerybank/internal/operator"
)

func addTraceCommand(app *kingpin.Application, o *options, commands map[string]func() error) {
	c := app.Command("trace", "Print the log lines of several processes about one request, in order of time. Example: celeryctl trace 9c41d07be2a35f68 logs/*.log")
	requestID := c.Arg("request", "ID of the request.").Required().String()
	files := c.Arg("log", "Log files. The default is standard input.").ExistingFiles()
	commands[c.FullCommand()] = func() error { return runTrace(o, *requestID, *files) }
}

func runTrace(o *options, requestID string, files []string) error {
	logs := []io.Reader{os.Stdin}
	if len(files) > 0 {
		logs = nil
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		defer f.Close()
		logs = append(logs, f)
	}
	lines, err := operator.Trace(requestID, logs...)
	if err != nil {
		return err
	}
	if o.json {
		return json.NewEncoder(os.Stdout).Encode(lines)
	}
	if len(lines) == 0 {
		fmt.Println("no line about this request: an upstream responded to its first attempt, or the log of its entry node is not in the input")
		return nil
	}
	return operator.WriteTrace(os.Stdout, lines)
}
