package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"celerybank/internal/duration"
	"celerybank/platform"
	"celerybank/platform/counterpart"
)

// Workspaces of a run, and how callers use their keys.
const (
	workspaces = 6
	// keyMark is part of every key, so that keys are found wherever they must not be.
	keyMark = "soak-key-"
	// publicPrefix is the prefix of the only public route.
	publicPrefix = "/list/"
	// forgedWorkspace is what callers write into the header of the workspace.
	forgedWorkspace = "forged"
	// meanRotationInterval is the mean time between two configurations in which one workspace gets a new key for its oldest one.
	meanRotationInterval = 2 * time.Second
	// Of 100 requests, so many carry a valid key, a removed one, one that never was, none, or a valid one twice; the others have a
	// valid key under a header name in lower case.
	validKeys, removedKeys, unknownKeys, noKeys, repeatedKeys = 70, 10, 4, 4, 4
	// recentlyRemoved is the number of removed keys that callers go on to use.
	recentlyRemoved = 8
)

// hasWorkspaces reports whether the run of a seed has workspaces, failsClosed whether its nodes refuse without a confirmation.
func hasWorkspaces(seed uint64) bool { return seed%2 == 1 }
func failsClosed(seed uint64) bool   { return seed%4 == 3 }

// keyRing has the keys of the operator and the callers.
type keyRing struct {
	mu      sync.Mutex
	current []counterpart.Workspace
	removed []string
	created int
}

func newKeyRing() *keyRing {
	k := &keyRing{}
	for i := range workspaces {
		w := counterpart.Workspace{Name: fmt.Sprint("workspace-", i), Keys: []string{k.create(), k.create()}}
		if i%2 == 0 {
			w.Priority = &i
		}
		k.current = append(k.current, w)
	}
	return k
}

func (k *keyRing) create() string {
	k.created++
	return fmt.Sprintf("%s%06d-%x", keyMark, k.created, rand.Uint64())
}

// rotate replaces the oldest key of one workspace.
func (k *keyRing) rotate() {
	k.mu.Lock()
	defer k.mu.Unlock()
	w := &k.current[rand.IntN(len(k.current))]
	k.removed = append(k.removed, w.Keys[0])
	w.Keys = append(append([]string{}, w.Keys[1:]...), k.create())
}

// list returns the workspaces for a configuration; nil, and none, if the run has none.
func (k *keyRing) list() []counterpart.Workspace {
	if k == nil {
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]counterpart.Workspace{}, k.current...)
}

// pick returns the keys of a request and the name of the header that carries them.
func (k *keyRing) pick() (header string, keys []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	w := k.current[rand.IntN(len(k.current))]
	valid := w.Keys[rand.IntN(len(w.Keys))]
	n := rand.IntN(100)
	below := func(share int) bool { n -= share; return n < 0 }
	switch {
	case below(validKeys):
		return platform.HeaderKey, []string{valid}
	case below(removedKeys) && len(k.removed) > 0:
		recent := k.removed[max(0, len(k.removed)-recentlyRemoved):]
		return platform.HeaderKey, []string{recent[rand.IntN(len(recent))]}
	case below(unknownKeys):
		return platform.HeaderKey, []string{keyMark + "unknown"}
	case below(noKeys):
		return "", nil
	case below(repeatedKeys):
		return platform.HeaderKey, []string{valid, valid}
	default:
		return strings.ToLower(platform.HeaderKey), []string{valid}
	}
}

// authorize adds keys and a forged workspace to a request, and tells the checker. Without workspaces it does nothing.
func (c *callers) authorize(req *fasthttp.Request, id, prefix string) {
	if c.keys == nil {
		return
	}
	header, keys := c.keys.pick()
	req.Header.DisableNormalizing()
	for _, key := range keys {
		req.Header.Add(header, key)
	}
	req.Header.Add(strings.ToUpper(platform.HeaderWorkspace), forgedWorkspace)
	c.checker.KeysUsed(id, keys, prefix == publicPrefix)
}

// rotateKeys publishes configurations with rotated keys until ctx ends.
func (r *runner) rotateKeys(ctx context.Context) {
	for duration.Sleep(ctx, time.Duration(rand.ExpFloat64()*float64(meanRotationInterval))) {
		r.mu.Lock()
		r.keys.rotate()
		r.publish(ctx, r.routes)
		r.mu.Unlock()
	}
}

// checkLogs finds keys in the log lines of the nodes.
func (r *runner) checkLogs() {
	if r.keys == nil {
		return
	}
	for _, h := range r.hosts {
		text, err := os.ReadFile(filepath.Join(r.Dir, h.name+".log"))
		if err != nil {
			fmt.Fprintln(r.Out, "cannot read a log:", err)
			continue
		}
		if i := bytes.Index(text, []byte(keyMark)); i >= 0 {
			r.checker.KeyLogged(h.name, string(text[max(0, i-200):i]))
		}
	}
}

// keysIn counts the header fields of a request at an upstream that have a key.
func keysIn(header map[string][]string) (n int) {
	for _, values := range header {
		for _, v := range values {
			if strings.Contains(v, keyMark) {
				n++
			}
		}
	}
	return n
}
