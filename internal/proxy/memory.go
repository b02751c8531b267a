package proxy

import "celerybank/internal/membudget"

// Hold makes r the holder of the memory of its body. held may be nil.
func (r *Response) Hold(held *membudget.Holder) { r.held = held }

// PassHeld returns the memory of the body to its next holder, who has to release it; r holds none any more.
func (r *Response) PassHeld() *membudget.Holder {
	held := r.held
	r.held = nil
	return held
}

// ReleaseMemory returns the memory of a response that was passed on or dropped. Copies of r share it.
func (r *Response) ReleaseMemory() { r.held.Release() }

// FrameSize returns about the size of the message in bytes.
func (r *Response) FrameSize() int { return len(r.Body) + fieldsSize(r.Header) }

// FrameSize returns about the size of the message in bytes.
func (r *Request) FrameSize() int { return len(r.Body) + len(r.URI) + fieldsSize(r.Header) }

// fieldsSize returns about the size of header fields in a message in bytes.
func fieldsSize(fields []Field) int {
	size := 0
	for _, f := range fields {
		size += len(f.Name) + len(f.Value) + fieldOverheadBytes
	}
	return size
}
