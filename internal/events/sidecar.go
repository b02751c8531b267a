package events

import "github.com/sirupsen/logrus"

// Events of a node on the users' platform.
const (
	OrderApplied       Code = 220
	OrderWithdrawn     Code = 221
	OrderRefused       Code = 222
	Reloaded           Code = 104
	Woken              Code = 105
	Strained           Code = 106
	HostsListed        Code = 330
	AnnounceIgnored    Code = 520
	AnnounceInvalid    Code = 521
	UpstreamGone       Code = 522
	UpstreamBack       Code = 523
	UpstreamHandedOver Code = 524
	UpstreamInherited  Code = 525
	CallRefused        Code = 530
	CallFailed         Code = 531
	CallRetried        Code = 532
	CallCancelled      Code = 533
	EndpointShunned    Code = 534
	ZoneDoubted        Code = 537
	ZoneReached        Code = 538
	CallServed         Code = 535
	UpstreamFailed     Code = 536
	CanaryStep         Code = 720
	CanaryEnded        Code = 721
	CanaryRecorded     Code = 722
)

var sidecarEvents = map[Code]Definition{
	OrderApplied:       {"order-applied", logrus.InfoLevel, "A record of the operator is in force on this node; the field source says how it came."},
	OrderWithdrawn:     {"order-withdrawn", logrus.InfoLevel, "A record of the operator was taken away, such as a zone that is in again."},
	OrderRefused:       {"order-refused", logrus.WarnLevel, "A record of the operator cannot be used and changes nothing; the field reason says why."},
	Reloaded:           {"reloaded", logrus.InfoLevel, "The settings file was read again."},
	Woken:              {"woken", logrus.WarnLevel, "The process stood still; what it believed of others is checked again before it serves."},
	Strained:           {"strained", logrus.WarnLevel, "The process gets to its work late: its host lacks processor time. It asks for no new callers for a while."},
	HostsListed:        {"hosts-listed", logrus.InfoLevel, "The list of started nodes was read from the store to find peers."},
	AnnounceIgnored:    {"announcement-ignored", logrus.InfoLevel, "An announcement is older than what is known of its upstream, or of another host."},
	AnnounceInvalid:    {"announcement-invalid", logrus.WarnLevel, "An announcement cannot be used; the field reason says why."},
	UpstreamGone:       {"upstream-gone", logrus.WarnLevel, "The upstream on this host accepts no connections; requests are refused until it does."},
	UpstreamBack:       {"upstream-back", logrus.InfoLevel, "The upstream on this host accepts connections again."},
	UpstreamHandedOver: {"upstream-handed-over", logrus.InfoLevel, "This node stops as planned and tells its successor on the host of the upstream; it acknowledges nothing more."},
	UpstreamInherited:  {"upstream-inherited", logrus.InfoLevel, "A predecessor on this host handed its upstream over; the field adopted says whether it is believed."},
	CallRefused:        {"call-refused", logrus.InfoLevel, "A request was refused and has not run; reason, room and wait say what decided it."},
	CallFailed:         {"call-failed", logrus.WarnLevel, "A request ended without an answer of an upstream; the verdict says whether it may have run."},
	CallRetried:        {"call-retried", logrus.InfoLevel, "A request is sent to another upstream; the field reason says why the first did not serve it."},
	CallCancelled:      {"call-cancelled", logrus.DebugLevel, "The caller left before the answer; the work was cancelled."},
	EndpointShunned:    {"endpoint-shunned", logrus.InfoLevel, "An upstream gets less or no work from this node for a while; the field reason says why."},
	ZoneDoubted:        {"zone-doubted", logrus.WarnLevel, "Several hosts of another zone fell silent and none answers: it gets no requests from this node until a heartbeat is answered there."},
	ZoneReached:        {"zone-reached", logrus.InfoLevel, "A zone that was in doubt has answered a heartbeat; it gets requests again."},
	CallServed:         {"call-served", logrus.InfoLevel, "A request went well; one in so many gets this line, as the settings of the log say."},
	UpstreamFailed:     {"upstream-failed", logrus.WarnLevel, "The answer that the upstream gave is a failure and was handed to the caller; the upstream's own logs have its cause."},
	CanaryStep:         {"canary-step", logrus.InfoLevel, "The share of a new version changed; the evidence stands beside it."},
	CanaryEnded:        {"canary-ended", logrus.WarnLevel, "A rollout ended: completed, or taken back for the reason given."},
	CanaryRecorded:     {"canary-recorded", logrus.InfoLevel, "The outcome of a rollout was written to the store."},
}
