package events

import "github.com/sirupsen/logrus"

// Configuration log events.
const (
	ConfigApplied     Code = 200
	ConfigRefused     Code = 201
	RecordMalformed   Code = 202
	RecordSuperseded  Code = 203
	SourceUnavailable Code = 204
	SourceAvailable   Code = 205
	SnapshotWritten   Code = 206
	SnapshotFailed    Code = 207
	PrefixLost        Code = 208
	UpdatesDiscarded  Code = 209
	SourceBehind      Code = 210
	Admitting         Code = 211
)

var configEvents = map[Code]Definition{
	ConfigApplied:     {"config-applied", logrus.InfoLevel, "This node has applied a new configuration version."},
	ConfigRefused:     {"config-refused", logrus.WarnLevel, "A record of the log is well-formed but invalid, and changes nothing; the field reason gives the fault."},
	RecordMalformed:   {"record-malformed", logrus.WarnLevel, "A record of the log cannot be parsed; every node ignores it."},
	RecordSuperseded:  {"record-superseded", logrus.InfoLevel, "A record was not applied because the predecessor that it names is no longer current: another writer was first."},
	SourceUnavailable: {"source-unavailable", logrus.WarnLevel, "A request to the log or the store failed; the node continues with the state that it has. The field reason gives the error, took_ms how long the request had waited."},
	SourceAvailable:   {"source-available", logrus.InfoLevel, "The log or the store responds again; failed_calls counts the requests that failed before, down_ms is the time since the first of them began."},
	SnapshotWritten:   {"snapshot-written", logrus.InfoLevel, "This node appended a snapshot of the agreed state to the log; the field bytes gives its size."},
	SnapshotFailed:    {"snapshot-failed", logrus.WarnLevel, "A snapshot was not completely appended to the log; a later snapshot replaces it. The field reason gives the error."},
	PrefixLost:        {"prefix-lost", logrus.WarnLevel, "The log no longer has the records that follow the version of this node; the node catches up from a snapshot or a peer. The field first gives the first record of the log."},
	UpdatesDiscarded:  {"news-discarded", logrus.WarnLevel, "Records or a snapshot from a peer do not match their hash or the history of this node; none of them was applied. If it repeats, restart the peer."},
	SourceBehind:      {"source-behind", logrus.ErrorLevel, "The head of the log is older than the version of this node, so the log was reset or replaced. The node keeps its state."},
	Admitting:         {"admitting", logrus.InfoLevel, "The node starts to admit requests, since its version is at least that of its predecessor on this host; the field by names the source that proved it."},
}
