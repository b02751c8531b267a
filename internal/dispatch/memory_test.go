package dispatch

import (
	"testing"

	"celerybank/internal/membudget"
	"celerybank/internal/proxy"
	"celerybank/internal/verdict"
)

// An idempotent request fails at one upstream after the other, each with a large response. Guards against memory of responses that
// are not passed on and that nobody returns.
func TestDroppedResponsesReturnTheirMemory(t *testing.T) {
	const size = 1000
	memory := membudget.New(10 * size)
	failing := func(*proxy.Request) (*proxy.Response, error) {
		res := &proxy.Response{Verdict: verdict.Ran, Status: 500, Body: make([]byte, size)}
		held := memory.Hold(0, func() {})
		if err := held.Take(size); err != nil {
			return nil, err
		}
		res.Hold(held.Detach())
		return res, nil
	}
	d := newDispatcher(&fakeOwners{responses: map[string]func(*proxy.Request) (*proxy.Response, error){"u1": failing, "u2": failing}})
	req := &proxy.Request{Method: "GET", Host: "h", URI: "/get/1", RequestID: "r"}
	res := d.Dispatch(t.Context(), req, "/get/1", Caller{})
	if res.Status != 500 || memory.Used() != size {
		t.Errorf("got status %d and %d bytes held, want 500 and the %d of the response", res.Status, memory.Used(), size)
	}
	res.PassHeld().Release()
	if memory.Used() != 0 {
		t.Errorf("%d bytes were not returned, want 0", memory.Used())
	}
}
