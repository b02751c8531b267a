package events

import "github.com/sirupsen/logrus"

// Events of requests. A request that is served emits none of them. sidecar.go has those from 520.
const (
	RequestMalformed Code = 500
	ServiceUnknown   Code = 501
	BodyTooLarge     Code = 502
	CallTooDeep      Code = 503
	UpstreamCrashed  Code = 510
	RequestBlocked   Code = 511
	UpstreamCold     Code = 512
	RequestUnblocked Code = 513
)

var callEvents = map[Code]Definition{
	RequestMalformed: {"request-malformed", logrus.WarnLevel, "A request could not be parsed and was answered with status 400; the field reason gives the fault and caller the address of the sender."},
	ServiceUnknown:   {"service-unknown", logrus.WarnLevel, "A request named a service or route that is not in the configuration; it was answered with status 404."},
	BodyTooLarge:     {"body-too-large", logrus.WarnLevel, "A request body exceeded the limit; the request was answered with status 413."},
	CallTooDeep:      {"call-too-deep", logrus.WarnLevel, "A request was refused because more than 16 requests were nested; most likely services send requests to each other in a loop."},
	UpstreamCrashed:  {"upstream-crashed", logrus.WarnLevel, "The upstream on this host terminated with requests in flight; the field inflight counts them, and each may have caused the crash."},
	RequestBlocked:   {"request-blocked", logrus.ErrorLevel, "A request was in flight during two crashes of upstreams; all nodes refuse it for ten minutes. Find the caller that sends it."},
	RequestUnblocked: {"request-unblocked", logrus.InfoLevel, "An upstream responded to a blocked request, or its block expired; it is admitted again."},
	UpstreamCold:     {"upstream-cold", logrus.WarnLevel, "The upstream on this host became cold without announcing it; its concurrency limit ramps up again. The field sign says how this was detected: latency, timeouts or connections."},
}
