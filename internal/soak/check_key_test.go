package soak

import (
	"testing"
	"testing/synctest"
	"time"

	"celerybank/platform/counterpart"
)

// Guards against a checker that misses a key in the wrong place or a request that runs without a valid key, or reports one within
// the bounds.
func TestCheckerDetectsViolationsOfKeys(t *testing.T) {
	keysOf := func(keys ...string) []counterpart.Workspace {
		return []counterpart.Workspace{{Name: "w", Keys: keys}, {Name: "x", Keys: []string{"k9"}}}
	}
	for name, c := range map[string]struct {
		want   Invariant // empty: none is violated
		record func(c *Checker, send func(public bool, keys ...string), run func(workspaces ...string), refuse func())
	}{
		"valid key": {"", func(_ *Checker, send func(bool, ...string), run func(...string), _ func()) {
			send(false, "k1")
			run("w")
		}},
		"workspace of others": {RightWorkspace, func(_ *Checker, send func(bool, ...string), run func(...string), _ func()) {
			send(false, "k1")
			run("x")
		}},
		"forged workspace": {RightWorkspace, func(_ *Checker, send func(bool, ...string), run func(...string), _ func()) {
			send(true, "k1")
			run("w")
		}},
		"public":      {"", func(_ *Checker, send func(bool, ...string), run func(...string), _ func()) { send(true, "k0"); run() }},
		"unknown key": {RevokedKeys, func(_ *Checker, send func(bool, ...string), run func(...string), _ func()) { send(false, "k0"); run() }},
		"no key":      {RevokedKeys, func(_ *Checker, send func(bool, ...string), run func(...string), _ func()) { send(false); run() }},
		"two keys": {RevokedKeys, func(_ *Checker, send func(bool, ...string), run func(...string), _ func()) {
			send(false, "k1", "k1")
			run()
		}},
		"unknown key refused": {"", func(_ *Checker, send func(bool, ...string), _ func(...string), refuse func()) {
			send(false, "k0")
			refuse()
		}},
		"public refused": {ValidKeys, func(_ *Checker, send func(bool, ...string), _ func(...string), refuse func()) {
			send(true, "k1")
			refuse()
		}},
		"new key refused": {"", func(_ *Checker, send func(bool, ...string), _ func(...string), refuse func()) {
			send(false, "k1")
			refuse()
		}},
		"valid key refused": {ValidKeys, func(_ *Checker, send func(bool, ...string), _ func(...string), refuse func()) {
			time.Sleep(configBound + time.Millisecond)
			send(false, "k1")
			refuse()
		}},
		"key removed": {"", func(c *Checker, send func(bool, ...string), run func(...string), _ func()) {
			c.WorkspacesSent(keysOf("k2"))()
			time.Sleep(configBound)
			send(false, "k1")
			run("w")
		}},
		"key removed for long": {RevokedKeys, func(c *Checker, send func(bool, ...string), run func(...string), _ func()) {
			c.WorkspacesSent(keysOf("k2"))()
			time.Sleep(configBound + time.Millisecond)
			send(false, "k1")
			run("w")
		}},
		"key removed, host disrupted": {"", func(c *Checker, send func(bool, ...string), run func(...string), _ func()) {
			c.WorkspacesSent(keysOf("k2"))()
			c.Disrupt(Unplanned, "h1")
			time.Sleep(2 * revokeBound)
			send(false, "k1")
			run("w")
		}},
		"key removed, host disrupted, fail closed": {RevokedKeys, func(c *Checker, send func(bool, ...string), run func(...string), _ func()) {
			c.FailClosed()
			c.WorkspacesSent(keysOf("k2"))()
			c.Disrupt(Unplanned, "h1")
			time.Sleep(revokeBound + time.Millisecond)
			send(false, "k1")
			run("w")
		}},
		"key at an upstream": {SecretKeys, func(c *Checker, send func(bool, ...string), _ func(...string), _ func()) {
			send(false, "k1")
			c.ExecutionStarted(Execution{RequestID: "r1", Host: "h1", Service: "stock", Workspaces: []string{"w"}, Keys: keysIn(map[string][]string{"X": {"a", keyMark + "1"}})})
		}},
		"key in a log": {SecretKeys, func(c *Checker, _ func(bool, ...string), _ func(...string), _ func()) { c.KeyLogged("h1", "x") }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := NewChecker()
				x.ConfigSent(map[string]string{"/p/": "stock"})()
				x.WorkspacesSent(keysOf("k1", "k2"))()
				c.record(x, func(public bool, keys ...string) {
					x.RequestSent("r1", "h1", "/p/", true)
					x.KeysUsed("r1", keys, public)
				}, func(workspaces ...string) {
					x.ExecutionStarted(Execution{RequestID: "r1", Host: "h1", Service: "stock", Workspaces: workspaces})
				}, func() { x.ResponseReceived("r1", Response{Status: 401, NotRun: true}) })
				found, _ := x.Finish()
				if c.want == "" && len(found) > 0 || c.want != "" && (len(found) != 1 || found[0].Invariant != c.want) {
					t.Errorf("violations %v, want %q", found, c.want)
				}
			})
		})
	}
}
