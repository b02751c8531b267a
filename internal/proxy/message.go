// Package proxy carries a call from its caller through the entry node and the
// owner, the node on the chosen upstream's host, to the upstream and back.
package proxy

import (
	"time"

	"celerybank/internal/verdict"
)

// Field is one header field.
type Field struct {
	_msgpack struct{} `msgpack:",as_array"` //lint:ignore U1000 the codec reads the tag

	Name  string `msgpack:"n"`
	Value string `msgpack:"v"`
}

// Request is a call on its way from the entry node to the owner.
type Request struct {
	_msgpack struct{} `msgpack:",as_array"` //lint:ignore U1000 the codec reads the tag

	// ID is unique among the entry's calls in flight; Entry and ID name the call to cancel.
	ID    uint64 `msgpack:"i"`
	Entry string `msgpack:"e"`

	Service string `msgpack:"s"`
	Route   string `msgpack:"r"`
	// Version and Instance name the upstream that was chosen; the owner refuses when
	// another one has taken its place. An empty Instance means any.
	Version  string `msgpack:"w"`
	Instance string `msgpack:"u"`

	Method string  `msgpack:"m"`
	URI    string  `msgpack:"p"`
	Header []Field `msgpack:"h"`
	Body   []byte  `msgpack:"b"`

	Idempotent bool `msgpack:"d"`
	// Key is the caller's Idempotency-Key.
	Key string `msgpack:"k"`
	// Hop is the call's place in a chain of calls.
	Hop Hop `msgpack:"o"`
	// Timeout is what was left of the deadline when the message was written: clocks of hosts differ.
	Timeout time.Duration `msgpack:"t"`

	// Host is the authority that the caller named, RequestID the caller's name of this attempt and
	// Caller the service on whose host it came in.
	Host      string `msgpack:"a"`
	RequestID string `msgpack:"q"`
	Caller    string `msgpack:"c"`
	// Rank orders requests where room is short; the lowest goes first.
	Rank int `msgpack:"j"`
	// Target is what is left of the time within which the answer is worth most.
	Target time.Duration `msgpack:"g"`
	// Patient requests have no better place to go: they may wait as long as their deadline allows.
	Patient bool `msgpack:"x"`
}

// Reason says why a call was refused or failed.
type Reason string

const (
	ReasonNone        Reason = ""
	ReasonFull        Reason = "full"
	ReasonCold        Reason = "cold"
	ReasonDraining    Reason = "draining"
	ReasonShed        Reason = "shed-by-upstream"
	ReasonNoUpstream  Reason = "no-upstream"
	ReasonMoved       Reason = "upstream-replaced"
	ReasonDeadline    Reason = "deadline"
	ReasonUnreachable Reason = "upstream-unreachable"
	ReasonBroken      Reason = "upstream-connection-broken"
	ReasonPeerLost    Reason = "peer-lost"
	ReasonTooLarge    Reason = "answer-too-large"
	ReasonNotReady    Reason = "node-not-ready"
	ReasonUnknown     Reason = "unknown-service"
	ReasonDuplicate   Reason = "duplicate"
	ReasonNoGrant     Reason = "no-claim"
	// ReasonInProgress: an earlier request with the key still runs.
	ReasonInProgress Reason = "in-progress"
	// ReasonAnswerGone: an earlier request with the key ran; its answer is no longer kept.
	ReasonAnswerGone Reason = "answer-not-kept"
	// ReasonOutcomeOpen: nobody knows whether an earlier request with the key ran.
	ReasonOutcomeOpen Reason = "outcome-unknown"
	ReasonCrashing    Reason = "crashes-upstreams"
	// ReasonCrashed means that the upstream died while the request ran.
	ReasonCrashed Reason = "upstream-crashed"
	// ReasonTooDeep refuses a call that is nested too deep, which is most likely a loop.
	ReasonTooDeep Reason = "too-deep"
	// ReasonZoneOut means that operators have taken the owner's availability zone out.
	ReasonZoneOut   Reason = "zone-out"
	ReasonVetoed    Reason = "version-vetoed"
	ReasonCancelled Reason = "cancelled"
	// ReasonTooLate means that the deadline would pass before an upstream has room.
	ReasonTooLate Reason = "no-room-in-time"
	// ReasonDown means that the owner's upstream accepts no connections.
	ReasonDown Reason = "upstream-down"
	// ReasonSpoiled means that the upstream's answer was not whole or not its own.
	ReasonSpoiled    Reason = "answer-spoiled"
	ReasonBadRequest Reason = "bad-request"
)

// ReasonHeader is the response header with the reason of a refusal or failure.
const ReasonHeader = "X-Celerybank-Reason"

// Answer is the outcome of a call. Status 0 means that no upstream answered. Its fields travel with
// their names, so that nodes of two versions understand each other while a fleet is replaced.
type Answer struct {
	Verdict verdict.Verdict `msgpack:"v"`
	Reason  Reason          `msgpack:"r,omitempty"`
	Status  int             `msgpack:"s,omitempty"`
	Header  []Field         `msgpack:"h,omitempty"`
	Body    []byte          `msgpack:"b,omitempty"`
	// Load is the owner's state after the call, for the entry's next choice.
	Load Load `msgpack:"l"`
	// Replayed means that this is the kept answer of an earlier request with the same key.
	Replayed bool `msgpack:"y,omitempty"`
	// Took is how long the upstream worked on the request.
	Took time.Duration `msgpack:"t,omitempty"`
	// RetryAfter is when room is expected, with a refusal for want of it.
	RetryAfter time.Duration `msgpack:"a,omitempty"`
	// Held is how long the owner had the request, its wait for room included; 0 when no owner says.
	Held time.Duration `msgpack:"e,omitempty"`
}

// Thousand is the unit of the ratios in a Load.
const Thousand = 1000

// Load is what an owner says of its upstream with each answer.
type Load struct {
	_msgpack struct{} `msgpack:",as_array"` //lint:ignore U1000 the codec reads the tag

	InUse int `msgpack:"u"`
	// Limit is the slots that may be used now; below the announced slots while the upstream is cold.
	Limit    int  `msgpack:"n"`
	Draining bool `msgpack:"d"`
	// Pace is the mean time that the upstream takes for a request at present.
	Pace time.Duration `msgpack:"p"`
	// Speed is the upstream's work time against what is usual on the same routes, in thousandths;
	// 0 while the owner has seen too little to tell.
	Speed int `msgpack:"s"`
	// Failures is the part of its latest requests that failed or that it turned away, in thousandths.
	Failures int `msgpack:"f"`
}

// Refusal is an answer that no upstream gave.
func Refusal(v verdict.Verdict, r Reason) *Answer { return refusal(v, r) }

// refusal is an answer that no upstream gave.
func refusal(v verdict.Verdict, r Reason) *Answer { return &Answer{Verdict: v, Reason: r} }
