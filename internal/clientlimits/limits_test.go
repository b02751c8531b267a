package clientlimits

import (
	"bytes"
	"context"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"
)

// Clients that nobody controls send and read so that a node would hold more memory or descriptors than its host has. Guards
// against a process that exceeds its limits, ends, or no longer serves ordinary callers. The crowds and the bounds are fixed;
// nothing but the limits of the settings is checked. The cases run one at a time, as each measures the peak of its processes.
func TestNodesStayWithinLimits(t *testing.T) {
	for _, c := range []struct {
		name   string
		crowds []crowd
		// atOwner lets the crowd connect to the node that owns the upstream.
		atOwner bool
	}{
		{name: "unfinished bodies in large chunks", crowds: []crowd{{64, sendLargeChunks}}},
		{name: "unfinished bodies in one-byte chunks", crowds: []crowd{{64, sendSmallChunks}}},
		{name: "one announced chunk", crowds: []crowd{{64, sendOneChunk}}},
		{name: "unfinished bodies with a length", crowds: []crowd{{64, sendUnfinishedLength}}},
		{name: "long responses read slowly", crowds: []crowd{{60, readLongSlowly}}},
		{name: "long responses read slowly at the owner", crowds: []crowd{{60, readLongSlowly}}, atOwner: true},
		{name: "pipelined requests with large heads", crowds: []crowd{{200, sendLargeHeads}}},
		{name: "connections without a request", crowds: []crowd{{1500, silent}}},
		{name: "connections without a request at the owner", crowds: []crowd{{1500, silent}}, atOwner: true},
		{name: "heads without end", crowds: []crowd{{800, endlessHead}}},
		{name: "half-closed connections", crowds: []crowd{{60, halfClose(true)}, {60, halfClose(false)}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := startMesh(t)
			at := m.entry
			if c.atOwner {
				at = m.owner
			}
			for _, x := range c.crowds {
				x.run(t, at)
			}
			m.requireServed(t, at)
			m.entry.requireWithinLimits(t)
			m.owner.requireWithinLimits(t)
		})
	}
}

// Guards against limits that a single request inside the platform's limits meets.
func TestLargestMessageIsServedAlone(t *testing.T) {
	const size = 14 << 20 // with its head, just below the limit of a frame between nodes
	m := startMesh(t)
	content := bytes.Repeat([]byte("x"), size)
	for _, n := range []*node{m.entry, m.owner} {
		ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
		status, body, err := exchange(ctx, n, http.MethodPost, echoPath, content)
		cancel()
		if err != nil || status != http.StatusOK || len(body) != size {
			t.Errorf("node %s: got status %d, %d bytes and error %v, want 200, %d bytes and none", n.name, status, len(body), err, size)
		}
	}
	m.entry.requireWithinLimits(t)
	m.owner.requireWithinLimits(t)
}

// An entry node is paused while its peer has long responses for it. Guards against a peer that holds them all.
func TestPausedNodeBurdensNoPeer(t *testing.T) {
	const before = 20 // long responses that the upstream writes before the pause
	m := startMesh(t)
	crowdDone := make(chan struct{})
	go func() {
		defer close(crowdDone)
		crowd{60, readLongSlowly}.run(t, m.entry)
	}()
	m.upstream.long.await(t, before)
	m.entry.signal(t, syscall.SIGSTOP)
	<-crowdDone
	m.entry.signal(t, syscall.SIGCONT)
	m.requireServed(t, m.entry)
	m.requireServed(t, m.owner)
	m.entry.requireWithinLimits(t)
	m.owner.requireWithinLimits(t)
}

// A failing upstream writes responses with impossible statuses. Guards against one that reaches a caller, which has no meaning
// for a status below 200 or above 599. The request may have run, so that no refusal may say otherwise.
func TestImpossibleStatusesReachNoCaller(t *testing.T) {
	refusals := []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}
	m := startMesh(t)
	for _, n := range []*node{m.entry, m.owner} {
		for _, path := range []string{"/status/", "/order/status/"} {
			for _, text := range []string{"000", "001", "099", "100", "101", "199", "600", "777", "999", "1000", "20", "-20", "0200"} {
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				status, _, err := get(ctx, n, path+text)
				cancel()
				if err != nil {
					t.Errorf("node %s, %s%s: %v", n.name, path, text, err)
				} else if status < 200 || status > 599 || status == http.StatusOK || slices.Contains(refusals, status) {
					t.Errorf("node %s, %s%s: the caller got status %d, want that of a failure", n.name, path, text, status)
				}
			}
		}
	}
}
