package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"

	"celerybank/internal/command"
	"celerybank/internal/fault"
	"celerybank/internal/inventory"
	"celerybank/internal/inventory/document"
)

// inputFiles are the paths of an inventory file and a rules file; rules may be empty.
type inputFiles struct{ inventory, rules string }

func (f *inputFiles) addArgs(c *kingpin.CmdClause) {
	c.Arg("inventory", "File with the inventory, in JSON.").Required().StringVar(&f.inventory)
	c.Arg("rules", "File with the rules, in JSON.").StringVar(&f.rules)
}

// read parses both files and checks them, except for conditions that depend on the time. Faults of
// a file are command.FileFaults.
func (f *inputFiles) read() (inventory.Inventory, inventory.Rules, error) {
	var rules inventory.Rules
	text, err := os.ReadFile(f.inventory)
	if err != nil {
		return inventory.Inventory{}, rules, fileFault(f.inventory, err)
	}
	inv, err := document.Parse(text)
	if err != nil || f.rules == "" {
		return inv, rules, command.InFile(f.inventory, err)
	}
	if text, err = os.ReadFile(f.rules); err != nil {
		return inv, rules, fileFault(f.rules, err)
	}
	rules, err = document.ParseRules(text)
	if err == nil {
		if faults := inv.CheckReferences(rules); faults != nil {
			err = faults
		}
	}
	return inv, rules, command.InFile(f.rules, err)
}

// fileFault returns err as the only fault of file, so that the program exits with command.ExitUsage.
func fileFault(file string, err error) error {
	return command.FileFaults{File: file, Faults: fault.List{{Reason: err.Error()}}}
}

func addConfigCommands(app *kingpin.Application, o *options, commands map[string]func() error) {
	check := app.Command("check", "Check an inventory and rules without publishing them.")
	checked := &inputFiles{}
	checked.addArgs(check)
	commands[check.FullCommand()] = func() error { return runCheck(checked) }

	publish := app.Command("publish", "Publish an inventory and rules. Nothing is published if either is invalid.")
	published := &inputFiles{}
	published.addArgs(publish)
	commands[publish.FullCommand()] = func() error { return runPublish(o, published) }
}

func runCheck(f *inputFiles) error {
	inv, rules, err := f.read()
	if err != nil {
		return err
	}
	if faults := inv.CheckRules(rules, time.Now()); faults != nil {
		return command.InFile(f.rules, faults)
	}
	fmt.Printf("ok: %d services, %d moves\n", len(inv.Services), len(rules.Rollouts))
	return nil
}

func runPublish(o *options, f *inputFiles) error {
	inv, rules, err := f.read()
	if err != nil {
		return err
	}
	version, err := o.logClient().Publish(context.Background(), inv, rules)
	var faults fault.List
	if errors.As(err, &faults) {
		return command.InFile(f.rules, err)
	}
	if err != nil {
		return err
	}
	fmt.Printf("published as version %d\n", version)
	return nil
}
