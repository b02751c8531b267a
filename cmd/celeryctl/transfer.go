package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"

	"celerybank/internal/operator"
)

// exportMode is the mode of export files, which only their owner may read, because they contain the
// whole configuration of the mesh.
const exportMode = 0o600

func addTransferCommands(app *kingpin.Application, o *options, commands map[string]func() error) {
	export := app.Command("export", "Write the mesh to a file for a new operator: inventory, rules, agreed state and the history that the log retains.")
	to := export.Arg("file", "File to write.").Required().String()
	commands[export.FullCommand()] = func() error { return runExport(o, *to) }

	imp := app.Command("import", "Import the mesh from an export file into an empty log.")
	from := imp.Arg("file", "File written by the export command.").Required().String()
	commands[imp.FullCommand()] = func() error { return runImport(o, *from) }
}

func runExport(o *options, file string) error {
	text, err := o.logClient().Export(context.Background())
	if err != nil {
		return err
	}
	if err := os.WriteFile(file, text, exportMode); err != nil {
		return err
	}
	x, _, err := operator.ParseExport(text)
	if err != nil {
		return err
	}
	records := 0
	for _, log := range x.History {
		records += len(log.Entries)
	}
	fmt.Printf("exported mesh %s at version %d: %d services, %d records of history\n", x.State.Inventory.Mesh, x.Version, len(x.State.Inventory.Services), records)
	return nil
}

func runImport(o *options, file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return fileFault(file, err)
	}
	version, err := o.logClient().Import(context.Background(), text)
	if errors.Is(err, operator.ErrInvalidExport) {
		return fileFault(file, err)
	}
	if err != nil {
		return err
	}
	fmt.Printf("imported as version %d\n", version)
	return nil
}
