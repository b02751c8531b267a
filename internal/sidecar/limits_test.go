package sidecar

import (
	"testing"

	"celerybank/internal/events"
)

// Guards against limits that leave no descriptors for the upstream and peers, exceed the memory of small hosts, or refuse callers
// where the settings set no limit.
func TestLimitsFollowFromTheSettings(t *testing.T) {
	for _, c := range []struct {
		files    int
		memoryMB int64
		want     int
	}{{4100, 284, 2272}, {4100, 112, 896}, {1000, 112, 480}, {1000, 0, 480}, {0, 112, 896}, {0, 0, 0}, {150, 112, 1}} {
		if got := maxConnections(c.files, c.memoryMB<<20); got != c.want {
			t.Errorf("%d descriptors, %d MB: got %d connections, want %d", c.files, c.memoryMB, got, c.want)
		}
	}
	ev := events.New("n", "z", nil)
	// The body of the largest request and the frame that carries it to the owner.
	const smallest, largest = 112 << 20, 2 * maxBodyBytes
	if m := newMemory(smallest, ev); m.all.Limit() < largest || m.requests.Limit() < maxBodyBytes || m.read.Limit() < maxBodyBytes || m.frames.Limit() < maxBodyBytes {
		t.Errorf("a node of %d bytes holds %d, %d, %d and %d bytes, want room for the largest message", smallest, m.all.Limit(), m.requests.Limit(), m.read.Limit(), m.frames.Limit())
	}
	if m := newMemory(0, ev); m.requests.Hold(0, nil).Take(1<<40) != nil {
		t.Error("a node without a memory limit refuses messages")
	}
}
