package claims

import (
	"maps"
	"slices"
	"time"
)

// otherHolder is what an inactive seat has received from another holder of its group.
type otherHolder struct {
	process ID
	// fenced is when the holder was first known to refuse claimants with an older seat
	// record, on the table's clock; 0 means that it is not known to.
	fenced time.Duration
	copied bool
	// confirmed means that the same process was still active after the last copy from any
	// holder.
	confirmed bool
	// received is when claims arrived, on the table's clock; their remaining times count
	// from then.
	received time.Duration
	claims   []CopiedClaim
}

// copyTask is what an inactive seat needs next from one other holder.
type copyTask struct {
	GroupRecord
	confirm bool
}

// copyGroups returns the copies that a recovering holder requested.
func (t *table) copyGroups(c *CopyRequest) []CopyGroup {
	out := make([]CopyGroup, len(c.Groups))
	for i, g := range c.Groups {
		out[i] = t.copyGroup(g, c.Confirm)
	}
	return out
}

func (t *table) copyGroup(g GroupRecord, confirm bool) CopyGroup {
	sh := t.shard(g.Group)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s := sh.seats[g.Group]
	if s == nil {
		return CopyGroup{}
	}
	out := CopyGroup{Record: s.record, Active: s.active || t.disabled.activeSource}
	// A holder that has not applied the requested record yet may still grant to claimants
	// with an older one: a copy taken now would miss those claims.
	if confirm || !out.Active || (s.record != g.Record && !t.disabled.fence) {
		return out
	}
	now := t.now()
	out.Claims = make([]CopiedClaim, 0, len(s.claims))
	for k, e := range s.claims {
		if e.expires > now {
			out.Claims = append(out.Claims, CopiedClaim{Key: k, Stored: t.export(e), RemainingMS: (e.expires - now).Milliseconds() + 1})
		}
	}
	return out
}

// copyTasks returns the copies and confirmations that are due, by the other holder's
// address.
func (t *table) copyTasks() map[string][]copyTask {
	out := map[string][]copyTask{}
	now := t.now()
	for i := range t.shards {
		sh := &t.shards[i]
		sh.mu.Lock()
		for g, s := range sh.seats {
			if s.active || (now < s.acquired+recoveryDelay && !t.disabled.recoveryDelay) {
				continue
			}
			allCopied := s.all(func(o *otherHolder) bool { return o.copied })
			for addr, o := range s.others {
				if !o.copied || (allCopied && !o.confirmed) {
					out[addr] = append(out[addr], copyTask{GroupRecord{g, s.record}, o.copied})
				}
			}
		}
		sh.mu.Unlock()
	}
	return out
}

// all reports whether test holds for every other holder; it is false if there is none.
func (s *seat) all(test func(*otherHolder) bool) bool {
	for _, o := range s.others {
		if !test(o) {
			return false
		}
	}
	return len(s.others) > 0
}

// recordCopy records the reply of the holder at addr for one group.
func (t *table) recordCopy(addr string, task copyTask, process ID, got CopyGroup) {
	sh := t.shard(task.Group)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s := sh.seats[task.Group]
	if s == nil || s.active || s.record != task.Record || s.others[addr] == nil {
		return
	}
	o := s.others[addr]
	if o.process != process || (got.Record != s.record && !t.disabled.fence) {
		*o = otherHolder{process: process}
		s.resetConfirmations()
	}
	switch {
	case got.Record != s.record && !t.disabled.fence:
		return
	case o.fenced == 0:
		o.fenced = t.now()
	}
	switch {
	case task.confirm && o.copied && got.Active:
		o.confirmed = true
	case !task.confirm && got.Active:
		o.copied, o.claims, o.received = true, got.Claims, t.now()
		s.resetConfirmations()
	}
}

// resetConfirmations requires new confirmations from all other holders, because a copy has
// changed since.
func (s *seat) resetConfirmations() {
	for _, o := range s.others {
		o.confirmed = false
	}
}

// activate activates the seats that have the claims of all other holders, and those whose
// earlier grants have all expired. It returns their groups.
func (t *table) activate() []int {
	var out []int
	for i := range t.shards {
		sh := &t.shards[i]
		sh.mu.Lock()
		for g, s := range sh.seats {
			if !s.active && t.canActivate(s) {
				t.mergeCopies(s)
				s.active, s.others = true, nil
				out = append(out, g)
			}
		}
		sh.mu.Unlock()
	}
	return out
}

// canActivate reports whether s may grant again.
func (t *table) canActivate(s *seat) bool {
	if t.disabled.allCopies {
		for _, o := range s.others {
			if o.copied {
				return true
			}
		}
	}
	if s.all(func(o *otherHolder) bool { return o.confirmed || (t.disabled.confirm && o.copied) }) {
		return true
	}
	// The other holders have lost their claims too. Once all of them refuse claimants with an
	// older seat record, no claim succeeds that relies on an earlier grant of this seat, and
	// those that succeeded before expire within Lifetime plus recoveryDelay.
	since := s.acquired
	for _, o := range s.others {
		if o.fenced == 0 {
			return false
		}
		since = max(since, o.fenced)
	}
	return t.now() >= since+Lifetime+recoveryDelay
}

// mergeCopies merges the copied claims into s. Where copies name different claims for a
// key, either may have succeeded: the key is blocked.
func (t *table) mergeCopies(s *seat) {
	now := t.now()
	for _, addr := range slices.Sorted(maps.Keys(s.others)) {
		o := s.others[addr]
		for _, copied := range o.claims {
			e := tableEntry{claim: copied.Stored.Claim, digest: copied.Stored.Digest, owner: t.internOwner(copied.Stored.Owner), phase: copied.Stored.Phase,
				expires: o.received + time.Duration(copied.RemainingMS)*time.Millisecond}
			if e.expires <= now {
				continue
			}
			old, ok := s.claims[copied.Key]
			if !ok {
				t.held.Add(1)
			} else if e = t.mergeClaims(old, e); e == old {
				continue
			}
			s.claims[copied.Key] = e
		}
	}
}

// mergeClaims merges the entries of two holders for one key.
func (t *table) mergeClaims(a, b tableEntry) tableEntry {
	if a.claim != b.claim && !t.disabled.block {
		a.phase = Blocked
	} else if a.claim == b.claim && b.phase > a.phase {
		a.phase = b.phase
	}
	a.expires = max(a.expires, b.expires)
	return a
}
