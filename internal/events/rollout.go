package events

import "github.com/sirupsen/logrus"

// Rollout events, emitted by the coordinator of a service's rollout. sidecar.go has those from 720.
const (
	MoveStepped   Code = 700
	MoveDone      Code = 701
	MoveTakenBack Code = 702
	VersionVetoed Code = 703
	MoveHeld      Code = 704
	MoveAssessed  Code = 705
)

var rolloutEvents = map[Code]Definition{
	MoveStepped:   {"move-stepped", logrus.InfoLevel, "A new version got a larger share of the traffic; the field reason gives the evidence."},
	MoveDone:      {"move-done", logrus.InfoLevel, "A rollout completed: the new version gets all traffic."},
	MoveTakenBack: {"move-taken-back", logrus.WarnLevel, "A rollout was rolled back; the field reason gives the cause and the evidence."},
	VersionVetoed: {"version-vetoed", logrus.WarnLevel, "A version was judged faulty; nodes send it no more traffic, even while the log is down."},
	MoveHeld:      {"move-held", logrus.InfoLevel, "A rollout does not advance at present; the field reason gives the cause."},
	MoveAssessed:  {"move-assessed", logrus.InfoLevel, "The evidence for a step of a rollout or for a veto, by route for the old and the new version; celeryload record saves it for a replay."},
}
