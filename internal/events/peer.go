package events

import "github.com/sirupsen/logrus"

// Peer connection events.
const (
	PeerFrameMalformed Code = 400
	PeerSilent         Code = 401
)

var peerEvents = map[Code]Definition{
	PeerFrameMalformed: {"peer-frame-malformed", logrus.WarnLevel, "A peer sent a truncated, oversized or undecodable frame; its connection was closed."},
	PeerSilent:         {"peer-silent", logrus.WarnLevel, "A peer did not respond to a heartbeat; the connection was closed, and the next call opens a new one."},
}
