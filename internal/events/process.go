package events

import "github.com/sirupsen/logrus"

// Process events.
const (
	Started         Code = 100
	Draining        Code = 101
	Stopped         Code = 102
	SettingsRefused Code = 103
	TaskFailed      Code = 106
)

var processEvents = map[Code]Definition{
	Started:         {"started", logrus.InfoLevel, "The process listens on its addresses."},
	Draining:        {"draining", logrus.InfoLevel, "The process takes no new work and finishes the calls in flight."},
	Stopped:         {"stopped", logrus.InfoLevel, "The process ends; the field cut counts calls that were not finished."},
	SettingsRefused: {"settings-refused", logrus.ErrorLevel, "The settings have a fault; nothing was started."},
	TaskFailed:      {"task-failed", logrus.ErrorLevel, "A duty of the process ended by itself; the field reason says why."},
}
