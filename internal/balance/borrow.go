package balance

import (
	"sync"
	"time"
)

// While no upstream at home has a free slot and nothing is known of another zone, a request is sent there now and then to
// find out: its owner refuses it at once if there is no free slot.
const (
	// askMin and askMax bound the time between two such requests of a node to one zone. The time doubles while they find
	// no spare slots. askMax is a fraction of the time for which the demand of a zone peaks, some seconds; at 84
	// nodes it makes less than one request in fifty cross in a lasting overload of all zones.
	askMin = 250 * time.Millisecond
	askMax = 4 * time.Second
	// reportFresh is the age up to which a load that an owner of another zone reported tells of spare slots. The
	// reports of a host that is in use are younger.
	reportFresh = time.Second
	// keptSlots is the number of slots that an upstream keeps for its own zone: it lends the others. Without it, a zone
	// whose demand rises would find its slots taken, and send its own requests elsewhere.
	keptSlots = 1
)

// borrowing tells when a node may ask another zone for slots of one service.
type borrowing struct {
	mu    sync.Mutex
	zones map[string]*asked
}

type asked struct {
	next  time.Time
	pause time.Duration
}

// mayAsk reports whether a request may be sent to a zone of which no spare slot is known, and counts it as sent.
func (b *borrowing) mayAsk(zone string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.zones[zone]
	if a == nil {
		if b.zones == nil {
			b.zones = map[string]*asked{}
		}
		a = &asked{pause: askMin}
		b.zones[zone] = a
	}
	if now.Before(a.next) {
		return false
	}
	if now.Sub(a.next) > askMax {
		a.pause = askMin // the last overload is over
	}
	a.next, a.pause = now.Add(a.pause), min(2*a.pause, askMax)
	return true
}

// found records that a zone has spare slots.
func (b *borrowing) found(zone string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a := b.zones[zone]; a != nil && a.pause > askMin {
		a.pause = askMin
		if limit := now.Add(askMin); a.next.After(limit) {
			a.next = limit
		}
	}
}
