package sidecar

import (
	"celerybank/internal/events"
	"celerybank/internal/ingress"
	"celerybank/internal/membudget"
)

// Fractions of the memory limit. The heap may reach 0.6 of it (cmd/celerysidecar) before it is collected all the time; the rest of
// these 0.6 is for buffers that grow, for what a message needs while it is copied, and for the state of the node.
const (
	// messageFraction is the fraction that all messages together may occupy. The largest message is in memory twice, in the request
	// and in a frame, which must fit on the smallest hosts (112 MB).
	messageFraction = 0.35
	// requestFraction, readFraction and frameFraction are the parts of it that may be occupied by the requests of callers,
	// responses that are read from the upstream, and frames from and to other nodes.
	requestFraction = 0.2
	readFraction    = 0.25
	frameFraction   = 0.15
	// connectionFraction is the fraction that the connections of callers may occupy with their buffers, inFlightFraction that of
	// requests in flight without their content.
	connectionFraction = 0.25
	inFlightFraction   = 0.15
)

// Memory of one connection of a caller, and of one request in flight, in bytes (docs/CAPACITY.md).
const (
	connectionBytes = 32 << 10
	inFlightBytes   = 24 << 10
)

// Limits of descriptors.
const (
	// reservedFiles is the number of descriptors that the platform reserves for files.
	reservedFiles = 200
	// callerFraction is the fraction of the others for connections of callers. The rest is for the upstream, peers, the store,
	// readiness checks, announcements and scrapes.
	callerFraction = 0.6
)

// memory is the budget for the messages that this node holds for others, and its parts. They are nil without a memory limit.
type memory struct {
	// all is the whole; requests, read, frames and responses are its parts: requests of callers, responses that are read from the
	// upstream, frames, and responses that wait for callers.
	all, requests, read, frames, responses *membudget.Budget
}

// newMemory returns the budget of a node with a memory limit of limit bytes; 0 sets none.
func newMemory(limit int64, ev *events.Recorder) memory {
	if limit <= 0 {
		return memory{}
	}
	share := func(fraction float64) int64 { return int64(fraction * float64(limit)) }
	all := membudget.New(share(messageFraction))
	all.OnYield(func(part string, bytes int64) {
		ev.Emit(events.MessageDropped, events.Fields{"part": part, "bytes": bytes})
	})
	return memory{all: all, requests: all.Part("requests", share(requestFraction)), read: all.Part("read", share(readFraction)),
		frames: all.Part("frames", share(frameFraction)), responses: all.Part("responses", all.Limit())}
}

// ingressConfig returns the configuration of the server of callers, with the limits that follow from the settings.
func (n *Node) ingressConfig() ingress.Config {
	s := n.settings
	return ingress.Config{Handler: n, Limits: n.limits, BodyBytes: maxBodyBytes, Requests: n.memory.requests, Responses: n.memory.responses,
		MaxConnections: maxConnections(s.MaxOpenFiles, s.MemoryBytes), MaxRequests: int64(inFlightFraction * float64(s.MemoryBytes) / inFlightBytes),
		Closed: func(state string) {
			n.events.Emit(events.ConnectionClosed, events.Fields{"state": state})
		}}
}

// maxConnections returns the maximum number of connections of callers, 0 if the settings limit neither files nor memory.
func maxConnections(files int, memoryBytes int64) int {
	limit := int(connectionFraction * float64(memoryBytes) / connectionBytes)
	if files <= 0 {
		return limit
	}
	byFiles := max(1, int(callerFraction*float64(files-reservedFiles)))
	if limit == 0 {
		return byFiles
	}
	return min(limit, byFiles)
}
