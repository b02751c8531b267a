package sidecar

import "testing"

// A request crashes the upstream that runs it, which starts again under the name that it had. Crashes were counted by name, so
// that the request was never blocked.
func TestCrashingRequestIsBlockedIfTheUpstreamKeepsItsName(t *testing.T) {
	t.Parallel()
	m := startMesh(t, "a")
	m.config(1, "/one/")
	m.settle()
	h := m.hosts[0]
	served := func() bool { status, _ := h.get("/one/x"); return status == 200 }
	const toBlock = 2
	for crashes := int64(1); crashes <= toBlock; crashes++ {
		eventually(t, "other requests are served", served)
		h.get("/one" + crashingPath)
		if n := h.crashes.Load(); n != crashes {
			t.Fatalf("%d crashes, want %d", n, crashes)
		}
		h.startUpstream()
		eventually(t, "the announcement is acknowledged", func() bool { return h.announce(false) })
	}
	eventually(t, "other requests are served", served)
	status, body := h.get("/one" + crashingPath)
	if n := h.crashes.Load(); n != toBlock {
		t.Errorf("the request ran again after %d crashes: %d crashes, status %d %s", toBlock, n, status, body)
	}
	eventually(t, "other requests are served", served)
}
