package distribution

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"celerybank/internal/configlog"
	"celerybank/internal/duration"
)

const (
	// minHeadReadInterval is the minimum time between two reads of the head by one node.
	minHeadReadInterval = 100 * time.Millisecond
	// failureCacheTime is how long the error of a failed read is returned to later calls.
	// It keeps many nodes that start during an outage from sending a read to the log for
	// every call that they receive.
	failureCacheTime = time.Second
	// headTimeout is the timeout of one read of the head.
	headTimeout = 2 * time.Second
)

// headReader reads the log's head for concurrent calls of fetch. Every call gets the
// result of a read that starts after the call; calls that wait when a read starts share it.
type headReader struct {
	log   configlog.Log
	wake  chan struct{}
	reads atomic.Int64 // reads of the log, for the metrics

	mu          sync.Mutex
	waiting     []chan headResult
	lastFailure headResult
	failedAt    time.Time
}

type headResult struct {
	head int64
	err  error
}

func newHeadReader(log configlog.Log) *headReader {
	return &headReader{log: log, wake: make(chan struct{}, 1)}
}

// fetch returns the head as read after the call, or the error of a read that failed
// less than failureCacheTime ago.
func (h *headReader) fetch(ctx context.Context) (int64, error) {
	ch := make(chan headResult, 1)
	h.mu.Lock()
	if time.Since(h.failedAt) < failureCacheTime {
		defer h.mu.Unlock()
		return 0, h.lastFailure.err
	}
	h.waiting = append(h.waiting, ch)
	h.mu.Unlock()
	select {
	case h.wake <- struct{}{}:
	default:
	}
	select {
	case res := <-ch:
		return res.head, res.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// run performs the reads for waiting calls until ctx ends.
func (h *headReader) run(ctx context.Context) {
	for {
		select {
		case <-h.wake:
		case <-ctx.Done():
			return
		}
		h.mu.Lock()
		waiting := h.waiting
		h.waiting = nil
		h.mu.Unlock()
		res := h.readLog(ctx)
		if res.err != nil {
			h.mu.Lock()
			h.lastFailure, h.failedAt = res, time.Now()
			h.mu.Unlock()
		}
		for _, ch := range waiting {
			ch <- res
		}
		if !duration.Sleep(ctx, minHeadReadInterval) {
			return
		}
	}
}

func (h *headReader) readLog(ctx context.Context) headResult {
	ctx, cancel := context.WithTimeout(ctx, headTimeout)
	defer cancel()
	h.reads.Add(1)
	page, err := h.log.Read(ctx, configlog.MeshStream, math.MaxInt64, 1, 0)
	return headResult{configlog.VersionAt(page.Era, page.Next-1), err}
}
