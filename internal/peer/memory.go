package peer

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"celerybank/internal/membudget"
)

// ErrNoMemory reports a call that was not executed, or a reply that was dropped, because the messages of the node that received
// it fill its memory.
var ErrNoMemory = errors.New("no memory for the message")

// ErrRefused reports a call that its receiver, or this node, did not execute because of ErrNoMemory.
var ErrRefused = errors.Wrap(ErrNoMemory, "call refused")

// errReplyMemory reports a reply that could not be sent for lack of memory. The call was executed.
var errReplyMemory = errors.New("no memory to send the reply")

const (
	// uncountedFrame is the size in bytes up to which a frame needs no memory of the budget.
	uncountedFrame = 8 << 10
	// largeFrame is the size in bytes from which a frame is encoded only when its connection is free, and its memory is taken.
	largeFrame = 64 << 10
	// frameSlack is what the header and the fields without content add to a frame, in bytes.
	frameSlack = 4 << 10
)

// sizedMessage is a message that knows about its size in a frame.
type sizedMessage interface{ FrameSize() int }

// memoryHolder is a message whose memory is taken from the budget until it is released.
type memoryHolder interface {
	Hold(*membudget.Holder)
	ReleaseMemory()
}

// stalledFrame is the time without a byte after which a frame that has to give way ends its connection. One that still arrives
// is dropped instead, and the connection stays.
const stalledFrame = 400 * time.Millisecond

// holdFrame returns the holder of the memory of one frame.
func holdFrame(memory *membudget.Budget, conn net.Conn) *membudget.Holder {
	var held *membudget.Holder
	held = memory.Hold(uncountedFrame, func() {
		if held.Stalled(stalledFrame) {
			_ = conn.Close()
		}
	})
	return held
}

// writeLarge sends a large frame. It is encoded only when the connection is free, so that a peer which reads slowly makes this node
// hold one encoded frame at most.
func (c *codec) writeLarge(h *header, body sizedMessage) error {
	c.wmu.Lock()
	defer c.wmu.Unlock()
	size := body.FrameSize() + frameSlack
	held := c.memory.Hold(0, func() {})
	if held.Take(int64(size)) != nil || held.Pin() != nil {
		held.Release()
		return ErrNoMemory
	}
	defer held.Release()
	buf := &frameBuffer{b: make([]byte, 0, size)}
	if err := buf.encode(h, body, nil); err != nil {
		return err
	}
	return c.writeFrame(h, buf)
}

// reply receives the result of one call. err is set if the body cannot be decoded: that must fail
// only this call, while an error returned to net/rpc ends the connection with every call on it.
type reply struct {
	value any
	err   error
	state atomic.Uint32
}

// States of a reply.
const (
	replyPending   = iota
	replyDecoded   // value or err is set
	replyAbandoned // the caller no longer waits
)

// readReply decodes the reply of the frame that readHeader read last, and drops the frame. The memory of the frame is that of
// the decoded reply from now on.
func (c *codec) readReply(to *reply) {
	defer c.releaseFrame()
	if to.state.Load() == replyAbandoned {
		return
	}
	to.err = c.decodeBody(to.value)
	m, holds := to.value.(memoryHolder)
	if holds && to.err == nil {
		m.Hold(c.held.Detach())
	}
	if !to.state.CompareAndSwap(replyPending, replyDecoded) && holds {
		m.ReleaseMemory()
	}
}

// abandon records that the caller no longer waits for the reply, and releases its memory.
func (r *reply) abandon() {
	if r.state.CompareAndSwap(replyPending, replyAbandoned) {
		return
	}
	if m, ok := r.value.(memoryHolder); ok && r.err == nil {
		m.ReleaseMemory()
	}
}

// callMemory has the memory of the arguments of the calls in progress on one connection.
type callMemory struct {
	// seq is the number of the call that is being read; only the reader uses it.
	seq uint64

	mu    sync.Mutex
	bySeq map[uint64]*membudget.Holder
}

// add keeps the memory of the call that is being read until the call has ended. held may be nil.
func (m *callMemory) add(held *membudget.Holder) {
	if held == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.bySeq == nil {
		m.bySeq = map[uint64]*membudget.Holder{}
	}
	old := m.bySeq[m.seq]
	m.bySeq[m.seq] = held
	old.Release() // of a peer that uses a number twice
}

func (m *callMemory) release(seq uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bySeq[seq].Release()
	delete(m.bySeq, seq)
}
