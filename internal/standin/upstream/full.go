package upstream

import (
	"io"
	"net"
	"net/http"
)

// FullBehavior is what a stand-in does with a request for which it has no slot. It runs none of them, except with FullRuns.
type FullBehavior string

const (
	// FullRuns runs the request, which slows all of them down.
	FullRuns FullBehavior = ""
	// FullResets resets the connection.
	FullResets FullBehavior = "reset"
	// FullSilent never answers the request, nor anything further on its connection.
	FullSilent FullBehavior = "silent"
)

// apply handles a request that arrived while all slots were in use. It returns at once: the request takes no slot.
func (b FullBehavior) apply(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler) // send no response
	}
	if b == FullSilent {
		go func() {
			_, _ = io.Copy(io.Discard, conn) // until the caller closes the connection
			_ = conn.Close()
		}()
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // close by a reset
	}
	_ = conn.Close()
}
