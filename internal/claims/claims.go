// Package claims ensures that a non-idempotent request with an idempotency key runs at most
// once, whichever nodes its caller retries it through. A key hashes to a claim group.
// Before it sends the request to an upstream, the owner needs grants from a majority of the
// group's holders; records in the log name the holders.
package claims

import (
	"crypto/sha256"
	"encoding/binary"
	"math/rand/v2"
	"time"

	"celerybank/internal/mesh"
)

// Protocol timing. Each duration is measured by a single process, so that the clocks of
// different hosts need not agree.
const (
	// Lifetime is how long holders keep a claim after its grant, and again after its end.
	Lifetime = 600 * time.Second
	// grantWindow bounds the time from a claimant's first message to its last grant.
	grantWindow = time.Second
	// recoveryDelay is how long a holder without claim data waits before it copies the data
	// from others. It exceeds grantWindow, so that a claimant with a grant from the
	// previous process at this address has stopped collecting grants by then.
	recoveryDelay = 2 * grantWindow
	// sendWindow bounds the time from a claimant's first message to the first byte sent to
	// the upstream. It is far below Lifetime, so that no holder has expired the claim by
	// then.
	sendWindow = Lifetime / 2
	// retryDelay is the mean delay between two attempts of one request to collect grants.
	retryDelay = 50 * time.Millisecond
	// outcomeTimeout bounds how long a retried request waits for an earlier one that still
	// runs.
	outcomeTimeout = time.Second
	// messageTimeout bounds one message that no caller waits for.
	messageTimeout = time.Second
	// copyTimeout bounds one copy call of a recovering holder.
	copyTimeout = 5 * time.Second
	// recoverInterval is the initial time between recovery rounds of a holder.
	recoverInterval = 100 * time.Millisecond
	// maxRecoverInterval bounds that time, which doubles while rounds make no progress.
	maxRecoverInterval = 5 * time.Second
	// sweepInterval is the time between removals of expired claims.
	sweepInterval = 10 * time.Second
)

// Memory bounds of one process.
const (
	// maxHeldClaims bounds the claims that a holder keeps; it refuses further ones.
	maxHeldClaims = 128 << 10
	// maxOwnRequests bounds the requests of this node whose outcomes are kept.
	maxOwnRequests = 64 << 10
	// maxResponseBytes bounds the total size of responses kept for replay.
	maxResponseBytes = 8 << 20
	// maxGroupsPerCopy bounds the groups in one copy call.
	maxGroupsPerCopy = 64
)

// Key identifies a request across retries: a truncated hash of service and Idempotency-Key.
type Key [16]byte

// KeyOf returns the key of a request from its service and its Idempotency-Key.
func KeyOf(service, key string) Key {
	sum := sha256.Sum256([]byte(service + "\x00" + key))
	return Key(sum[:16])
}

// Group returns the claim group that k hashes to.
func (k Key) Group() int { return int(binary.BigEndian.Uint64(k[:8]) % mesh.ClaimGroups) }

// ID identifies one attempt of a claimant to claim a key, or one process; 0 means none.
type ID uint64

func newID() ID {
	for {
		if id := ID(rand.Uint64()); id != 0 {
			return id
		}
	}
}

// disabledRules lets tests disable single rules of the protocol, to show that each is
// necessary:
//   - fence: holders refuse claimants with another seat record.
//   - window: grants count only if they arrive within grantWindow.
//   - recoveryDelay: an inactive seat waits for that time before it requests copies.
//   - abstain: a seat that may lack claims does not grant.
//   - activeSource: only active seats provide copies.
//   - allCopies: a seat needs the copies of all other holders.
//   - block: a key for which copies name different claims is blocked.
//   - confirm: all copies are confirmed after the last one.
type disabledRules struct {
	fence, window, recoveryDelay, abstain, activeSource, allCopies, block, confirm bool
}

// StateSource provides the mesh state that this node has applied.
type StateSource interface {
	State() *mesh.State
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}
