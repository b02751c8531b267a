package events

import "github.com/sirupsen/logrus"

// Availability zone events, 800 to 899.
const (
	ZoneOut            Code = 800
	ZoneIn             Code = 801
	ZoneOrderRecorded  Code = 802
	ServiceWithoutZone Code = 803
)

var zoneEvents = map[Code]Definition{
	ZoneOut:            {"zone-out", logrus.WarnLevel, "This node has applied an order that takes an availability zone out; it sends no new work there."},
	ZoneIn:             {"zone-in", logrus.InfoLevel, "This node has applied an order that takes an availability zone in again; the upstreams there count as cold."},
	ZoneOrderRecorded:  {"zone-order-recorded", logrus.InfoLevel, "A zone order that a node had accepted while the log was down was appended to the log."},
	ServiceWithoutZone: {"service-without-zone", logrus.ErrorLevel, "All upstreams of a service are in availability zones that are out; its requests are refused until one of these zones is taken in."},
}
