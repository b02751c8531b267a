package events

import (
	"maps"

	"github.com/sirupsen/logrus"
)

// Code is the number of an event. The hundreds give the subsystem. The number of a removed event is
// never used again.
type Code int

// Definition describes an event for the log and for docs/EVENTS.md.
type Definition struct {
	Name  string
	Level logrus.Level
	// Meaning says in one line what happened and, where useful, what the process does about it and what an
	// operator can do.
	Meaning string
}

// Catalogue has the definition of every event. Each subsystem defines its events in a file of its own.
var Catalogue = merge(processEvents, configEvents, membershipEvents, peerEvents, callEvents,
	claimEvents, rolloutEvents, zoneEvents, sidecarEvents, usageEvents)

func merge(groups ...map[Code]Definition) map[Code]Definition {
	all := map[Code]Definition{}
	for _, g := range groups {
		maps.Copy(all, g)
	}
	return all
}
