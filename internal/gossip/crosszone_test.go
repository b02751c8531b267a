package gossip

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// crossRates returns the bytes per second between zones over a calm minute, by method and in total.
func (c *cluster) crossRates() (byMethod map[string]int, total int) {
	c.mu.Lock()
	clear(c.cross)
	c.mu.Unlock()
	time.Sleep(time.Minute)
	c.mu.Lock()
	defer c.mu.Unlock()
	byMethod = map[string]int{}
	for method, n := range c.cross {
		byMethod[method] = n / 60
		total += n / 60
	}
	return byMethod, total
}

// TestCrossZoneBytesInCalm guards against membership traffic between zones that grows with the number of hosts.
// CROSS=84x3,300x3 measures other sizes.
func TestCrossZoneBytesInCalm(t *testing.T) {
	for size := range strings.SplitSeq(os.Getenv("CROSS"), ",") {
		hosts, zones, limit := 84, 3, maxCalmCrossBytes
		if n, z, ok := strings.Cut(size, "x"); ok {
			hosts, _ = strconv.Atoi(n)
			zones, _ = strconv.Atoi(z)
			limit = 1 << 30
		}
		withCluster(t, hosts, zones, func(c *cluster) {
			time.Sleep(time.Minute)
			byMethod, total := c.crossRates()
			t.Logf("%d hosts in %d zones: %d B/s between zones, by method %v", hosts, zones, total, byMethod)
			if total > limit {
				t.Errorf("%d B/s between zones, limit %d", total, limit)
			}
		})
	}
}

// maxCalmCrossBytes bounds the bytes per second between zones at 84 hosts in 3 zones.
const maxCalmCrossBytes = 2000

// TestZoneCutIsDetected guards against a zone whose members count as living after it was cut off.
func TestZoneCutIsDetected(t *testing.T) {
	withCluster(t, 84, 3, func(c *cluster) {
		c.setCut(isolateZone("1"))
		took := c.eventually(45*time.Second, "all members list the members of the other side as dead", func() bool {
			for _, i := range c.running() {
				i.mu.Lock()
				for _, e := range i.all {
					if (zoneOf(e.Addr) == "1") != (zoneOf(i.addr) == "1") && e.Status != Dead {
						i.mu.Unlock()
						return false
					}
				}
				i.mu.Unlock()
			}
			return true
		})
		t.Logf("dead everywhere after %v", took)
		c.setCut(nil)
		took = c.eventually(10*time.Second, "all members converge again", c.converged)
		t.Logf("converged again after %v", took)
	})
}
