// Package proxy forwards a request from its caller through the entry node and the owner, the node on
// the chosen upstream's host, to the upstream, and returns the response.
package proxy

import (
	"time"

	"celerybank/internal/membudget"
	"celerybank/internal/ratelimit"
	"celerybank/internal/verdict"
)

// Field is one header field.
type Field struct {
	_msgpack struct{} `msgpack:",as_array"` //lint:ignore U1000 the codec reads the tag

	Name  string `msgpack:"n"`
	Value string `msgpack:"v"`
}

// Request is the message in which the entry node sends a request to the owner: an array of the fields in their order here.
type Request struct {
	// ID is unique among the requests in flight of the entry node. Entry, the entry node's peer
	// address, and ID identify the request to cancel.
	ID    uint64 `msgpack:"i"`
	Entry string `msgpack:"e"`

	Service string `msgpack:"s"`
	Route   string `msgpack:"r"`
	// Version and Instance identify the chosen upstream; the owner refuses the request when
	// another upstream has replaced it. An empty Instance means any.
	Version  string `msgpack:"w"`
	Instance string `msgpack:"u"`

	Method string  `msgpack:"m"`
	URI    string  `msgpack:"p"`
	Header []Field `msgpack:"h"`
	Body   []byte  `msgpack:"b"`

	Idempotent bool `msgpack:"d"`
	// Key is the caller's Idempotency-Key.
	Key string `msgpack:"k"`
	// Hop is the position of the request in a chain of child requests.
	Hop Hop `msgpack:"o"`
	// Timeout is the time left until the deadline when the message was written. It is a duration
	// because the clocks of hosts differ.
	Timeout time.Duration `msgpack:"t"`

	// Host is the authority of the caller's request, RequestID the caller's ID of this attempt and
	// Caller the service on whose host the request arrived.
	Host      string `msgpack:"a"`
	RequestID string `msgpack:"q"`
	Caller    string `msgpack:"c"`
	// Rank orders queued requests: those with the lowest rank are admitted first. That of a child is below 0, and names
	// the rank of its root (ChildRank).
	Rank int `msgpack:"j"`
	// MaxWait is the longest expected wait in the owner's queue for which no other upstream is a better choice;
	// the owner refuses the request if it is longer. WaitToDeadline is set when there is no other choice: the
	// request may then queue as long as its deadline allows.
	MaxWait        time.Duration `msgpack:"g"`
	WaitToDeadline bool          `msgpack:"x"`
	// RateLimit is what the entry node has heard of the limit that the upstream names.
	RateLimit ratelimit.Hint `msgpack:"l"`
	// Workspace is the name of the workspace that the request is counted to; empty if it belongs to none. It must stay
	// the last field: nodes of the version before do not send it.
	Workspace string `msgpack:"z"`
}

// Reason says why a request was refused or failed.
type Reason string

const (
	// ReasonNone means that the upstream responded.
	ReasonNone Reason = ""
	// ReasonFull means that all slots are in use and the queue, if any, is full.
	ReasonFull Reason = "full"
	ReasonCold Reason = "cold"
	// ReasonRateLimited means that the upstream has got as many requests as it takes at the moment.
	ReasonRateLimited Reason = "rate-limited"
	ReasonDraining    Reason = "draining"
	ReasonShed        Reason = "shed-by-upstream"
	ReasonNoUpstream  Reason = "no-upstream"
	ReasonReplaced    Reason = "upstream-replaced"
	ReasonDeadline    Reason = "deadline"
	ReasonUnreachable Reason = "upstream-unreachable"
	ReasonConnBroken  Reason = "upstream-connection-broken"
	ReasonPeerLost    Reason = "peer-lost"
	// ReasonNeverArrived means that the connection to the owner was lost before the request arrived there.
	ReasonNeverArrived     Reason = "never-arrived"
	ReasonResponseTooLarge Reason = "answer-too-large"
	ReasonNotReady         Reason = "node-not-ready"
	ReasonUnknownService   Reason = "unknown-service"
	ReasonDuplicate        Reason = "duplicate"
	ReasonNoClaim          Reason = "no-claim"
	// ReasonInProgress means that an earlier request with the key still runs.
	ReasonInProgress Reason = "in-progress"
	// ReasonResponseGone means that an earlier request with the key ran and its response is no longer
	// stored.
	ReasonResponseGone Reason = "answer-not-kept"
	// ReasonOutcomeUnknown means that it is unknown whether an earlier request with the key ran.
	ReasonOutcomeUnknown Reason = "outcome-unknown"
	// ReasonCrashing refuses a request that has crashed upstreams before.
	ReasonCrashing Reason = "crashes-upstreams"
	// ReasonCrashed means that the upstream crashed with the request in flight.
	ReasonCrashed Reason = "upstream-crashed"
	// ReasonTooDeep refuses a request that is nested too deep, most likely because of a loop of
	// services.
	ReasonTooDeep Reason = "too-deep"
	// ReasonZoneOut means that an operator's order has taken the owner's availability zone out.
	ReasonZoneOut   Reason = "zone-out"
	ReasonVetoed    Reason = "version-vetoed"
	ReasonCancelled Reason = "cancelled"
	// ReasonTooLate means that the deadline would pass before a slot is free.
	ReasonTooLate Reason = "no-room-in-time"
	// ReasonDown means that the owner's upstream accepts no connections.
	ReasonDown Reason = "upstream-down"
	// ReasonInvalidResponse means that the upstream's response was malformed, unsigned or encoded, or belonged to another request.
	ReasonInvalidResponse Reason = "answer-spoiled"
	ReasonBadRequest      Reason = "bad-request"
	// ReasonUnauthorized means that the request needs an API key and has none, several or an unknown one.
	ReasonUnauthorized Reason = "unauthorized"
	// ReasonUnconfirmed means that the entry node may have missed that a key was removed.
	ReasonUnconfirmed Reason = "configuration-unconfirmed"
	// ReasonDependencyFull means that a service that the upstream calls for such requests has no capacity for more.
	ReasonDependencyFull Reason = "dependency-full"
	// ReasonNoMemory means that the messages of other requests fill the memory of a node.
	ReasonNoMemory Reason = "no-memory"
)

// ReasonHeader is the response header with the reason for a refusal or failure.
const ReasonHeader = "X-Celerybank-Reason"

// Response is the outcome of a request. Status 0 means that no upstream responded. Its fields are encoded
// with their keys, so that nodes of two versions understand each other during an upgrade of the fleet.
type Response struct {
	Verdict verdict.Verdict `msgpack:"v"`
	Reason  Reason          `msgpack:"r,omitempty"`
	Status  int             `msgpack:"s,omitempty"`
	Header  []Field         `msgpack:"h,omitempty"`
	Body    []byte          `msgpack:"b,omitempty"`
	// Load is the load of the owner's upstream after the request, for later choices of the entry node.
	Load Load `msgpack:"l"`
	// Replayed means that this is the stored response to an earlier request with the same key.
	Replayed bool `msgpack:"y,omitempty"`
	// ProcessingTime is how long the upstream processed the request.
	ProcessingTime time.Duration `msgpack:"t,omitempty"`
	// RetryAfter is the time after which a refused caller may expect room; an owner sets it on a refusal for lack of a
	// slot, the entry node on all others that another time may change.
	RetryAfter time.Duration `msgpack:"a,omitempty"`
	// OwnerTime is how long the request was at the owner, including its time in the queue; 0 when no owner
	// reports it.
	OwnerTime time.Duration `msgpack:"e,omitempty"`
	// Leaving means that the upstream that the request names said in its response that it leaves.
	Leaving bool `msgpack:"g,omitempty"`
	// Born is when the process that crashed with the request had started, in Unix milliseconds; 0 if it is unknown, or the
	// reason is another one.
	Born int64 `msgpack:"o,omitempty"`
	// Pressure is reported to child requests: the ratio of the demand that goes before children of roots of this rank
	// to what the upstream gets through, in thousandths; 0 when it is not known.
	Pressure int `msgpack:"p,omitempty"`
	// Recovered means that the owner told this over another connection after the first was lost. It is set
	// by the entry node.
	Recovered bool `msgpack:"-"`

	// held is the memory of the body on this node, nil if it needs none of the budget.
	held *membudget.Holder
}

// RatioScale is the scale of the ratios in a Load: they are sent as thousandths.
const RatioScale = 1000

// Load is the state of an upstream, which its owner reports with each response.
type Load struct {
	_msgpack struct{} `msgpack:",as_array"` //lint:ignore U1000 the codec reads the tag

	// InUse is the number of requests that hold a slot, and of those queued where the owner has a queue.
	InUse int `msgpack:"u"`
	// Limit is the current concurrency limit; it is below the announced slots while the upstream is cold.
	Limit    int  `msgpack:"n"`
	Draining bool `msgpack:"d"`
	// MeanTime is the current mean time that the upstream takes for a request.
	MeanTime time.Duration `msgpack:"p"`
	// Slowness is the ratio of the upstream's processing time to the mean on the same routes, in
	// thousandths: a higher value is slower. It is 0 while the owner has too few samples.
	Slowness int `msgpack:"s"`
	// Failures is the fraction of its latest requests that failed or that it refused, in thousandths.
	Failures int `msgpack:"f"`
	// RateLimit is what the owner knows of the limit that the upstream names.
	RateLimit ratelimit.Hint `msgpack:"r"`
}

// Refusal returns a response that does not come from an upstream, with the given verdict and reason.
func Refusal(v verdict.Verdict, r Reason) *Response { return refusal(v, r) }

// refusal returns a response that does not come from an upstream, with the given verdict and reason.
func refusal(v verdict.Verdict, r Reason) *Response { return &Response{Verdict: v, Reason: r} }
