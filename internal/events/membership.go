package events

import "github.com/sirupsen/logrus"

// Membership and announcement events.
const (
	UpstreamAnnounced Code = 300
	UpstreamLeft      Code = 301
	UpstreamExpired   Code = 302
	// DepartureInherited and DeparturesKnown are about what a node's previous process confirmed.
	DepartureInherited Code = 303
	DeparturesKnown    Code = 304
	AnnounceHeld       Code = 305
	AnnounceReleased   Code = 306
	// AnnounceUnconfirmed is about an announcement that is held.
	AnnounceUnconfirmed Code = 307

	MemberJoined  Code = 310
	MemberFailed  Code = 311
	MemberLeft    Code = 312
	MemberRefuted Code = 313
	JoinedByHello Code = 314
	HelloAppended Code = 315
	FactEvicted   Code = 316
)

var membershipEvents = map[Code]Definition{
	UpstreamAnnounced:   {"upstream-announced", logrus.InfoLevel, "The upstream on this host announced itself for the first time, after a restart or with changed properties."},
	UpstreamLeft:        {"upstream-left", logrus.InfoLevel, "The upstream on this host announced that it leaves; it gets no new requests."},
	UpstreamExpired:     {"upstream-expired", logrus.WarnLevel, "The upstream on this host stopped sending announcements and its lease expired."},
	DepartureInherited:  {"departure-inherited", logrus.InfoLevel, "Another node holds the notice that a process of this host's upstream leaves, which the previous process of this node confirmed; that upstream gets no requests."},
	DeparturesKnown:     {"departures-known", logrus.InfoLevel, "This process has the departures that other nodes hold; the field after_ms is the time since its start, since_ms for how long they have held all. A small since_ms: all nodes had just started, and departures confirmed before are lost."},
	AnnounceHeld:        {"announcement-held", logrus.InfoLevel, "An upstream announced itself while this process cannot know whether a predecessor confirmed that it leaves; it gets requests once that is known, or it passes a health check."},
	AnnounceUnconfirmed: {"announcement-unconfirmed", logrus.InfoLevel, "An upstream whose announcement is held did not pass its first health check; the field result says why. The check is repeated while the announcement is held."},
	AnnounceReleased:    {"announcement-released", logrus.InfoLevel, "An upstream whose announcement was held gets requests, after after_ms; the field reason says how it is known that it has not left."},
	MemberJoined:        {"member-joined", logrus.InfoLevel, "A node joined the membership or is alive again."},
	MemberFailed:        {"member-failed", logrus.WarnLevel, "A node answered no probes during its suspicion period; it is considered dead."},
	MemberRefuted:       {"member-refuted", logrus.InfoLevel, "Other nodes considered this node suspect or dead, or had state of its predecessor; it raised its incarnation to refute that."},
	JoinedByHello:       {"joined-by-hello", logrus.InfoLevel, "No configured seed answered; the node joined through an address from the hello stream of the log."},
	HelloAppended:       {"hello-appended", logrus.InfoLevel, "The node appended its address to the hello stream of the log, since that had too few recent entries of its availability zone."},
	FactEvicted:         {"fact-evicted", logrus.WarnLevel, "The gossip fact that expires first was evicted, because the node holds the maximum number of facts."},
	MemberLeft:          {"member-left", logrus.InfoLevel, "A node announced that it leaves the membership."},
}
