package events

import "github.com/sirupsen/logrus"

// Process events.
const (
	Started         Code = 100
	Draining        Code = 101
	Stopped         Code = 102
	SettingsRefused Code = 103
	TaskFailed      Code = 106
	LinesDropped    Code = 107
	LinesLimited    Code = 108
)

var processEvents = map[Code]Definition{
	Started:         {"started", logrus.InfoLevel, "The process listens on its addresses."},
	Draining:        {"draining", logrus.InfoLevel, "A graceful stop began: the process stops admitting requests and finishes those in flight."},
	Stopped:         {"stopped", logrus.InfoLevel, "The process exits; the field cut counts the requests that did not finish."},
	SettingsRefused: {"settings-refused", logrus.ErrorLevel, "The settings are invalid; the process does not start, or keeps its previous settings on a reload. The field reason gives the fault."},
	LinesDropped:    {"log-dropped", logrus.WarnLevel, "Log lines were dropped before this one because standard output was not read in time; the field lines counts them."},
	LinesLimited:    {"log-limited", logrus.WarnLevel, "An event occurred more often in a second than the limit of log lines for one event; the field of names the event and left_out counts the lines that were not written."},
	TaskFailed:      {"task-failed", logrus.ErrorLevel, "A task of the process failed; the field reason gives the error."},
}
