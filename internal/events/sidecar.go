package events

import "github.com/sirupsen/logrus"

// Events of the sidecar, the node for the users' platform. They share the number ranges of the other files.
const (
	OrderApplied       Code = 220
	OrderWithdrawn     Code = 221
	OrderRefused       Code = 222
	ReaderChanged      Code = 223
	ExchangeFailed     Code = 224
	StoreRestored      Code = 225
	BatchIgnored       Code = 226
	ConfirmedChanged   Code = 227
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
	ColdPhase          Code = 526
	LimitNamed         Code = 527
	CallRefused        Code = 530
	CallFailed         Code = 531
	CallRetried        Code = 532
	CallCancelled      Code = 533
	EndpointShunned    Code = 534
	ZoneDoubted        Code = 537
	ZoneReached        Code = 538
	CallServed         Code = 535
	CallRecovered      Code = 540
	LeaveNoticed       Code = 539
	UpstreamFailed     Code = 536
	RunRefused         Code = 545
	RequestDisplaced   Code = 546
	MessageDropped     Code = 541
	ConnectionClosed   Code = 542
	CanaryStep         Code = 720
	CanaryEnded        Code = 721
	CanaryRecorded     Code = 722
)

var sidecarEvents = map[Code]Definition{
	OrderApplied:       {"order-applied", logrus.InfoLevel, "An order of the operator took effect on this node; the field source says from where the node received it."},
	OrderWithdrawn:     {"order-withdrawn", logrus.InfoLevel, "An order of the operator was withdrawn, for example because its availability zone is in again."},
	OrderRefused:       {"order-refused", logrus.WarnLevel, "An order of the operator is invalid or older than the current one, and changes nothing; the field reason gives the cause."},
	ReaderChanged:      {"reader-changed", logrus.InfoLevel, "This node started or stopped to read the orders from the store, as the field reads says. The field reason gives the cause, and age_ms the time since a reader was last known to be working."},
	ExchangeFailed:     {"exchange-failed", logrus.InfoLevel, "A peer did not respond to an exchange of positions in the operator's topic; the field reason gives the error."},
	StoreRestored:      {"store-restored", logrus.WarnLevel, "The store came back from a copy and may have lost records; era counts its restorations, before was the number known until now, next is the position of the store and position that of this node."},
	BatchIgnored:       {"batch-ignored", logrus.InfoLevel, "Records read from the store were not applied, since this node is ahead of them; era and next are those of the batch."},
	ConfirmedChanged:   {"confirmation-changed", logrus.WarnLevel, "With the setting fail_closed: this node began to refuse requests that need a key, since nothing confirmed its configuration for revoke_s, or serves them again; the field confirmed says which."},
	Reloaded:           {"reloaded", logrus.InfoLevel, "The settings file was reloaded; the field cause says what triggered it."},
	Woken:              {"woken", logrus.WarnLevel, "The process was suspended for slept_ms and has resumed; its state may be outdated, so it serves no requests for a moment and forgets its upstream until the next announcement."},
	Strained:           {"strained", logrus.WarnLevel, "The process is CPU-starved: its timers run late, on average by late_ms. It reports itself not ready for new callers during for_ms."},
	HostsListed:        {"hosts-listed", logrus.InfoLevel, "The list of hosts was read from the store to find peers; the field known counts the other nodes in it, invalid the entries that are no address."},
	AnnounceIgnored:    {"announcement-ignored", logrus.InfoLevel, "An announcement was ignored; the field reason says why, for example that it is older than the last one of its upstream or comes from another host."},
	AnnounceInvalid:    {"announcement-invalid", logrus.WarnLevel, "An announcement is invalid and was rejected; the field reason gives the fault."},
	UpstreamGone:       {"upstream-gone", logrus.WarnLevel, "The upstream on this host refuses connections; its requests are refused until it accepts connections again."},
	UpstreamBack:       {"upstream-back", logrus.InfoLevel, "The upstream on this host accepts connections again; the field cold_ms gives its remaining warm-up time."},
	UpstreamHandedOver: {"upstream-handed-over", logrus.InfoLevel, "In a graceful stop, this node handed its upstream over to the next process on the host; it acknowledges no more announcements."},
	UpstreamInherited:  {"upstream-inherited", logrus.InfoLevel, "The previous process on this host handed its upstream over; the field adopted says whether this node accepted it."},
	ColdPhase:          {"cold-phase", logrus.InfoLevel, "The upstream on this host counts as cold for cold_ms from now on, or as warm if that is 0; while it is cold it gets at most rate requests per second. The field reason says what this follows from."},
	LimitNamed:         {"limit-named", logrus.InfoLevel, "The upstream on this host named another request limit in a response, or none if limited is false; it gets at most rate requests per second from all nodes together."},
	MessageDropped:     {"message-dropped", logrus.WarnLevel, "The messages that this node holds for others exceed their memory, and one of them gave way; the field part says of which kind it was (requests, read, frames, responses), bytes its size."},
	ConnectionClosed:   {"connection-closed", logrus.WarnLevel, "The connections of callers exceed their number, and some gave way; the field state says which: idle ones, a slow one, or the new one."},
	CallRefused:        {"call-refused", logrus.InfoLevel, "A request was refused and did not run; the field reason gives the cause, and in_use and limit the load of the upstream if one was chosen."},
	CallFailed:         {"call-failed", logrus.WarnLevel, "A request ended without a response from an upstream; the field verdict says whether it may have run."},
	CallRetried:        {"call-retried", logrus.InfoLevel, "A request is retried on another upstream; the field reason says why the previous attempt failed."},
	CallCancelled:      {"call-cancelled", logrus.DebugLevel, "The caller disconnected before the response; its request was cancelled."},
	EndpointShunned:    {"endpoint-shunned", logrus.InfoLevel, "An upstream could not serve a request; this node sends it fewer or no requests during for_ms. The field reason gives the cause."},
	ZoneDoubted:        {"zone-doubted", logrus.WarnLevel, "Several hosts of another availability zone stopped responding and no host there responds; this node sends the zone no requests until a heartbeat there is answered."},
	ZoneReached:        {"zone-reached", logrus.InfoLevel, "A heartbeat was answered in an availability zone that had been unreachable; it gets requests again."},
	LeaveNoticed:       {"leave-noticed", logrus.InfoLevel, "A response of an upstream says that it leaves; this node sends it no more requests, also if its owner restarts."},
	CallServed:         {"call-served", logrus.InfoLevel, "A request was served; the setting served_every determines which fraction of these requests is logged."},
	CallRecovered:      {"call-recovered", logrus.InfoLevel, "The connection to an owner was lost with a request in flight, and the owner told over another one what became of it after after_ms: its response, or reason never-arrived, with which it has not run and will not."},
	UpstreamFailed:     {"upstream-failed", logrus.WarnLevel, "An upstream responded with a server error, which was passed to the caller; the logs of the upstream have the cause."},
	RunRefused:         {"run-refused", logrus.InfoLevel, "A request was refused because the requests that its run would send to the service called would not be served; pressure is the ratio of the demand there to its capacity, and rate the number of runs of the route that this node starts per second."},
	RequestDisplaced:   {"request-displaced", logrus.InfoLevel, "A queued request gave way to one of the rank by_rank, as the queue was at its bound; it did not run."},
	CanaryStep:         {"canary-step", logrus.InfoLevel, "The share of the traffic that a new version gets changed; the field reason gives the evidence."},
	CanaryEnded:        {"canary-ended", logrus.WarnLevel, "A rollout ended; the field outcome says whether it completed or was rolled back, and reason why."},
	CanaryRecorded:     {"canary-recorded", logrus.InfoLevel, "The outcome of a rollout was recorded in the store."},
}
