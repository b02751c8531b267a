package soak

import (
	"net/http"
	"slices"
	"time"

	"celerybank/platform/counterpart"
)

// The invariants of keys and workspaces.
const (
	SecretKeys     Invariant = "no key reaches an upstream or a log"
	RightWorkspace Invariant = "an upstream gets the workspace of the request's key and no other"
	RevokedKeys    Invariant = "no request runs without a key that is valid within the time bound"
	ValidKeys      Invariant = "no request with a valid key is unauthorized after the time bound"
)

// revokeBound is the time after which no node serves a removed key where nodes fail closed, and a margin for the way of a request.
const revokeBound = 5*time.Second + 500*time.Millisecond

// key is the history of one key. Times are zero until they come.
type key struct {
	workspace                                    string
	added, addedAcked, removedSent, removedAcked time.Time
}

// keyUse is what a request carries; nil in runs without workspaces.
type keyUse struct {
	keys   []string
	public bool
}

// KeysUsed records the keys of a request, before it is sent.
func (c *Checker) KeysUsed(id string, keys []string, public bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[id].keys = &keyUse{keys, public}
}

// FailClosed records that nodes refuse requests when their configuration is not confirmed.
func (c *Checker) FailClosed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failClosed = true
}

// WorkspacesSent records that the operator sends a configuration with these workspaces. Call acked when the store has acknowledged
// it.
func (c *Checker) WorkspacesSent(list []counterpart.Workspace) (acked func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	sent := map[string]bool{}
	var added, removed []*key
	for _, w := range list {
		for _, text := range w.Keys {
			sent[text] = true
			if c.keys[text] == nil {
				c.keys[text] = &key{workspace: w.Name, added: now}
				added = append(added, c.keys[text])
			}
		}
	}
	for text, k := range c.keys {
		if !sent[text] && k.removedSent.IsZero() {
			k.removedSent = now
			removed = append(removed, k)
		}
	}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, k := range added {
			k.addedAcked = time.Now()
		}
		for _, k := range removed {
			k.removedAcked = time.Now()
		}
	}
}

// KeyLogged records that the log of a host has a key after the text before it.
func (c *Checker) KeyLogged(host, before string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violated(SecretKeys, time.Now(), "the log of %s has a key after: %s", host, before)
}

// keyOf returns the only key of a request, or nil if it has another number of keys or one that never was.
func (c *Checker) keyOf(q *request) *key {
	if len(q.keys.keys) != 1 {
		return nil
	}
	return c.keys[q.keys.keys[0]]
}

// keyBound returns the time within which a change that was acknowledged at a time has to be in force for a request, and whether
// there is such a bound.
func (c *Checker) keyBound(q *request, acked, now time.Time) (bound time.Duration, ok bool) {
	storeFault := disrupted(c.store, "", acked.Add(-settleTime), now)
	switch {
	case c.failClosed && !storeFault && disrupted(c.unplanned, q.host, q.sent.Add(-settleTime), now):
		return revokeBound, true
	case disrupted(c.unplanned, q.host, q.sent.Add(-settleTime), now):
		return 0, false
	case storeFault:
		return configBound + storeFaultAllowance, true
	}
	return configBound, true
}

// checkKey checks a request that begins to run.
func (c *Checker) checkKey(q *request, e Execution, now time.Time) {
	if e.Keys > 0 {
		c.violated(SecretKeys, now, "%s reached %s with %d keys", e.RequestID, e.Instance, e.Keys)
	}
	if q.keys == nil {
		return
	}
	k := c.keyOf(q)
	var want []string
	if !q.keys.public && k != nil {
		want = []string{k.workspace}
	}
	if !slices.Equal(e.Workspaces, want) {
		c.violated(RightWorkspace, now, "%s ran at %s for the workspaces %v, want %v", e.RequestID, e.Instance, e.Workspaces, want)
	}
	switch {
	case q.keys.public:
	case k == nil:
		c.violated(RevokedKeys, now, "%s ran at %s with %d keys, none of them valid alone", e.RequestID, e.Instance, len(q.keys.keys))
	case !k.removedAcked.IsZero():
		if bound, ok := c.keyBound(q, k.removedAcked, now); ok && q.sent.Sub(k.removedAcked) > bound {
			c.violated(RevokedKeys, now, "%s, sent to %s %v after its key was removed, ran at %s", e.RequestID, q.host, q.sent.Sub(k.removedAcked).Round(time.Millisecond), e.Instance)
		}
	}
}

// checkUnauthorized checks a request that was refused with status 401.
func (c *Checker) checkUnauthorized(id string, q *request, now time.Time) {
	if q.keys == nil || q.keys.public {
		c.violated(ValidKeys, now, "%s, which needs no key, got status %d", id, http.StatusUnauthorized)
		return
	}
	k := c.keyOf(q)
	if k == nil || !k.removedSent.IsZero() || k.addedAcked.IsZero() || disrupted(c.unplanned, q.host, q.sent.Add(-settleTime), now) {
		return
	}
	bound := configBound
	if disrupted(c.store, "", k.addedAcked.Add(-settleTime), now) {
		bound += storeFaultAllowance
	}
	if q.sent.Sub(k.addedAcked) > bound {
		c.violated(ValidKeys, now, "%s, sent to %s %v after its key was added, got status %d", id, q.host, q.sent.Sub(k.addedAcked).Round(time.Millisecond), http.StatusUnauthorized)
	}
}
