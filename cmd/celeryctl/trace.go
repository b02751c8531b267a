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
	c := app.Command("trace", "Print what the logs of many processes say of one request, in order. Example: celeryctl trace 9c41d07be2a35f68 logs/*.log")
	request := c.Arg("request", "The request's id.").Required().String()
	files := c.Arg("log", "Log files; without one, standard input.").ExistingFiles()
	commands[c.FullCommand()] = func() error { return runTrace(o, *request, *files) }
}

func runTrace(o *options, request string, files []string) error {
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
	lines, err := operator.Trace(request, logs...)
	if err != nil {
		return err
	}
	if o.json {
		return json.NewEncoder(os.Stdout).Encode(lines)
	}
	if len(lines) == 0 {
		fmt.Println("no line about this request: it was answered by an upstream at its first attempt, or another node took it")
		return nil
	}
	return operator.WriteTrace(os.Stdout, lines)
}
