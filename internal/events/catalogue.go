package events

import (
	"maps"

	"github.com/sirupsen/logrus"
)

// Code numbers an event. Numbers are never reused: the hundreds name the duty.
type Code int

// Definition describes an event for the log and for docs/EVENTS.md.
type Definition struct {
	Name  string
	Level logrus.Level
	// Meaning says what happened and what an operator may do, in one line.
	Meaning string
}

// Catalogue defines every event by its number. Each duty has a file with its own part.
var Catalogue = merge(processEvents, configEvents, membershipEvents, peerEvents, callEvents,
	claimEvents, rolloutEvents, azoneEvents, sidecarEvents)

func merge(parts ...map[Code]Definition) map[Code]Definition {
	all := map[Code]Definition{}
	for _, p := range parts {
		maps.Copy(all, p)
	}
	return all
}
