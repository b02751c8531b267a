package events

import "github.com/sirupsen/logrus"

// Peer connection events.
const (
	PeerFrameMalformed Code = 400
	PeerSilent         Code = 401
	PeerSuspected      Code = 402
)

var peerEvents = map[Code]Definition{
	PeerFrameMalformed: {"peer-frame-malformed", logrus.WarnLevel, "A peer sent a truncated, oversized or undecodable frame; its connection was closed."},
	PeerSilent:         {"peer-silent", logrus.WarnLevel, "A peer did not respond to a heartbeat on a connection, which was closed; the field reason says whether the peer responds on a new one."},
	PeerSuspected:      {"peer-suspected", logrus.InfoLevel, "A peer did not respond to a heartbeat within its usual time (silent_ms); a second connection is opened beside the first, on which in_flight calls wait."},
}
