package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"celerybank/internal/operator"
)

func addZoneCommands(app *kingpin.Application, o *options, commands map[string]func() error) {
	zone := app.Command("zone", "Take an availability zone out of service or back in.")
	for verb, out := range map[string]bool{"out": true, "in": false} {
		c := zone.Command(verb, fmt.Sprintf("Take an availability zone %s.", verb))
		name := c.Arg("zone", "Name of the availability zone.").Required().String()
		viaNode := c.Flag("via-node", "Send the order to a node given by --node. It takes effect immediately, even while the platform is down.").Bool()
		commands[c.FullCommand()] = func() error {
			if *viaNode {
				return runZoneViaNode(o, *name, out)
			}
			return runZone(o, *name, out)
		}
	}
}

func inOrOut(out bool) string {
	if out {
		return "out"
	}
	return "in"
}

func runZone(o *options, zone string, out bool) error {
	version, err := o.logClient().OrderZone(context.Background(), zone, out)
	if err != nil {
		return err
	}
	fmt.Printf("availability zone %s is %s as of version %d\n", zone, inOrOut(out), version)
	return nil
}

func runZoneViaNode(o *options, zone string, out bool) error {
	receipt, err := o.nodeClient().OrderZone(zone, out)
	if err != nil {
		return err
	}
	if o.json {
		return json.NewEncoder(os.Stdout).Encode(receipt)
	}
	fmt.Printf("availability zone %s is %s by order %d, which spreads among the nodes by gossip and is recorded when the platform responds\n",
		zone, inOrOut(out), receipt.Order.Order)
	warnUnserved(receipt)
	return nil
}

func warnUnserved(r operator.ZoneReceipt) {
	for _, service := range r.Unserved {
		fmt.Fprintf(os.Stderr, "celeryctl: warning: service %s has no upstream outside the zones that are out; its requests are refused\n", service)
	}
}
