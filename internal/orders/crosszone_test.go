package orders

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// maxCalmCrossBytes bounds the bytes per second between zones at 84 hosts in 3 zones, where each host exchanges with
// another zone once a second.
const maxCalmCrossBytes = 14_000

// TestCrossZoneBytesInCalm guards against larger or more frequent exchanges between zones.
func TestCrossZoneBytesInCalm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		store := newTestStore()
		store.order("config", "1")
		f := startConfirmedFleet(ctx, store, 3, 28, 0)
		time.Sleep(time.Minute)
		f.mu.Lock()
		f.cross = 0
		f.mu.Unlock()
		time.Sleep(time.Minute)
		f.mu.Lock()
		rate := f.cross / 60
		f.mu.Unlock()
		t.Logf("84 hosts in 3 zones: %d B/s between zones", rate)
		if rate > maxCalmCrossBytes {
			t.Errorf("%d B/s between zones, limit %d", rate, maxCalmCrossBytes)
		}
		stop()
		synctest.Wait()
	})
}

// TestHostsThatFailDoNotDelayAConfiguration guards against a zone that misses a configuration when its reader and another
// node fail at the same moment.
func TestHostsThatFailDoNotDelayAConfiguration(t *testing.T) {
	for range 16 {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(context.Background())
			store := newTestStore()
			store.order("config", "1")
			f := startFleet(ctx, store, 3, 28)
			time.Sleep(10 * time.Second)
			lost := f.readers("zone-1")
			for _, m := range f.members {
				if x := f.followers[m.Addr]; m.Zone == "zone-1" && !x.IsReader() {
					lost = append(lost, m.Addr)
					break
				}
			}
			f.cutPower(lost...)
			store.order("config", fmt.Sprint(2))
			time.Sleep(inForceWithin)
			if late := f.outdated(2); len(late) > 0 {
				t.Errorf("configuration not in force after %v on %v", inForceWithin, late)
			}
			stop()
			synctest.Wait()
		})
	}
}
