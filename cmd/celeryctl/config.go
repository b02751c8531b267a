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

// files are the operators' input.
type files struct{ inventory, rules string }

func (f *files) flags(c *kingpin.CmdClause) {
	c.Arg("inventory", "File with the inventory, in JSON.").Required().StringVar(&f.inventory)
	c.Arg("rules", "File with the rules, in JSON.").StringVar(&f.rules)
}

// read parses and checks both files; faults name their file.
func (f *files) read() (inventory.Inventory, inventory.Rules, error) {
	var rules inventory.Rules
	text, err := os.ReadFile(f.inventory)
	if err != nil {
		return inventory.Inventory{}, rules, missing(f.inventory, err)
	}
	inv, err := document.Parse(text)
	if err != nil || f.rules == "" {
		return inv, rules, command.InFile(f.inventory, err)
	}
	if text, err = os.ReadFile(f.rules); err != nil {
		return inv, rules, missing(f.rules, err)
	}
	rules, err = document.ParseRules(text)
	if err == nil {
		if faults := inv.CheckReferences(rules); faults != nil {
			err = faults
		}
	}
	return inv, rules, command.InFile(f.rules, err)
}

func missing(file string, err error) error {
	return command.FileFaults{File: file, Faults: fault.List{{Reason: err.Error()}}}
}

func addConfigCommands(app *kingpin.Application, o *options, commands map[string]func() error) {
	check := app.Command("check", "Check an inventory and rules without publishing them.")
	checked := &files{}
	checked.flags(check)
	commands[check.FullCommand()] = func() error { return runCheck(checked) }

	publish := app.Command("publish", "Publish an inventory and rules; refused whole when anything is wrong.")
	published := &files{}
	published.flags(publish)
	commands[publish.FullCommand()] = func() error { return runPublish(o, published) }
}

func runCheck(f *files) error {
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

func runPublish(o *options, f *files) error {
	inv, rules, err := f.read()
	if err != nil {
		return err
	}
	version, err := o.console().Publish(context.Background(), inv, rules)
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
