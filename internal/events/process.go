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
	Draining:        {"draining", logrus.InfoLevel, "The process takes no new work and finishes the calls in flight."},
	Stopped:         {"stopped", logrus.InfoLevel, "The process ends; the field cut counts calls that were not finished."},
	SettingsRefused: {"settings-refused", logrus.ErrorLevel, "The settings have a fault; nothing was started."},
	LinesDropped:    {"log-dropped", logrus.WarnLevel, "Standard output was not read in time; so many lines are missing before this one."},
	LinesLimited:    {"log-limited", logrus.WarnLevel, "An event happened more often in a second than lines are written of it; the field left_out counts the rest."},
	TaskFailed:      {"task-failed", logrus.ErrorLevel, "A duty of the process ended by itself; the field reason says why."},
}
