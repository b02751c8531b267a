package claims

import (
	"celerybank/internal/proxy"
	"celerybank/internal/verdict"
)

// Status is a holder's reply to a claimant.
type Status uint8

const (
	// Granted means that the holder has stored the claim.
	Granted Status = iota + 1
	// Taken means that another claim of the key is stored, or that the key is blocked.
	Taken
	// Stale means that the claimant's seat record is older than the holder's.
	Stale
	// Behind means that the holder has not applied the claimant's seat record yet.
	Behind
	// Abstaining means that the holder has not recovered the claims of its seat.
	Abstaining
	// Exhausted means that the holder has reached its claim limit.
	Exhausted
)

var statusNames = [...]string{"unreachable", "granted", "taken", "stale", "behind", "abstaining", "exhausted"}

func (s Status) String() string { return statusNames[s] }

// Phase is the progress of a claim as known to its holder.
type Phase uint8

const (
	// Held means that the claimant may run the request.
	Held Phase = iota
	// Ended means that the claimant reported that the request ran.
	Ended
	// Open means that the claimant could not determine whether the request ran.
	Open
	// Blocked means that either of two claims may have succeeded; the key is not granted
	// until it expires.
	Blocked
)

// GrantRequest asks a holder to grant one key.
type GrantRequest struct {
	// Record is the newest seat record of the group that the claimant has applied.
	Record int64  `msgpack:"r"`
	Key    Key    `msgpack:"k"`
	Digest uint64 `msgpack:"d"`
	Claim  ID     `msgpack:"c"`
	// Owner is the peer address of the claimant, to which queries for the outcome are sent.
	Owner string `msgpack:"o"`
}

// GrantReply is the holder's reply to a GrantRequest.
type GrantReply struct {
	Status Status `msgpack:"s"`
	// Record is the holder's seat record.
	Record int64 `msgpack:"r,omitempty"`
	// Conflict is the stored claim when Status is Taken.
	Conflict StoredClaim `msgpack:"o,omitempty"`
}

// StoredClaim is a claim as a holder stores it.
type StoredClaim struct {
	Claim  ID     `msgpack:"c,omitempty"`
	Digest uint64 `msgpack:"d,omitempty"`
	Owner  string `msgpack:"o,omitempty"`
	Phase  Phase  `msgpack:"p,omitempty"`
}

// EndNotice notifies a holder of the verdict on a claim. The claim of a request that did
// not run is removed.
type EndNotice struct {
	Key     Key             `msgpack:"k"`
	Claim   ID              `msgpack:"c"`
	Verdict verdict.Verdict `msgpack:"v"`
}

// Empty is a reply without content.
type Empty struct{}

// GroupRecord names a group and the seat record that the sender has applied for it.
type GroupRecord struct {
	Group  int   `msgpack:"g"`
	Record int64 `msgpack:"r"`
}

// CopyRequest asks another holder for the unexpired claims of groups. With Confirm set, it
// asks only for the holder's seat record and activity in the groups.
type CopyRequest struct {
	Groups  []GroupRecord `msgpack:"g"`
	Confirm bool          `msgpack:"c,omitempty"`
}

// CopyReply has one element for each requested group, in the same order.
type CopyReply struct {
	// Process distinguishes successive processes at one address.
	Process ID          `msgpack:"p"`
	Groups  []CopyGroup `msgpack:"g"`
}

// CopyGroup is a holder's copy of one group.
type CopyGroup struct {
	Record int64 `msgpack:"r"`
	// Active is false while the holder itself has not recovered the claims of its seat.
	Active bool          `msgpack:"a"`
	Claims []CopiedClaim `msgpack:"c,omitempty"`
}

// CopiedClaim is one unexpired claim.
type CopiedClaim struct {
	Key    Key         `msgpack:"k"`
	Stored StoredClaim `msgpack:"n"`
	// RemainingMS is the time until the claim expires, in milliseconds. It is relative
	// because the clocks of hosts differ.
	RemainingMS int64 `msgpack:"l"`
}

// OutcomeQuery asks the owner of a claim for its outcome.
type OutcomeQuery struct {
	Claim ID `msgpack:"c"`
	// WaitMS bounds how long the owner waits for the claim to end, in milliseconds.
	WaitMS int64 `msgpack:"w"`
}

// Outcome is the result of a claim as known to its owner.
type Outcome uint8

const (
	// Unknown means that the process has no record of the claim.
	Unknown Outcome = iota
	// Running means that the claim has not ended yet.
	Running
	// Retrying means that this claim never leads to a run, but its request may claim the
	// key again.
	Retrying
	// Abandoned means that the request was not sent and never will be.
	Abandoned
	// Completed means that the request ran or may have run, according to the verdict.
	Completed
)

// OutcomeReply is the outcome of a claim, with the response if it is still kept.
type OutcomeReply struct {
	Outcome  Outcome         `msgpack:"o"`
	Verdict  verdict.Verdict `msgpack:"v"`
	Response *proxy.Response `msgpack:"a,omitempty"`
}

// ActiveQuery asks a holder in which of the groups it is active.
type ActiveQuery struct {
	Groups []GroupRecord `msgpack:"g"`
}

// ActiveReply lists the groups in which the holder is active.
type ActiveReply struct {
	// Ready means that the holder follows the seat records.
	Ready  bool  `msgpack:"r,omitempty"`
	Groups []int `msgpack:"g,omitempty"`
}
