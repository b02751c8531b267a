package balance

import (
	"sync"
	"time"
)

// While no upstream at home has a free slot and nothing is known of another zone, a request is sent there now and then to
// find out: its owner refuses it at once if there is no free slot.
const (
	// minProbePause and maxProbePause bound the time between two such requests of a node to one zone. The time doubles while they find
	// no spare slots. maxProbePause is a fraction of the time for which the demand of a zone peaks, some seconds; at 84
	// nodes it makes less than one request in fifty cross in a lasting overload of all zones.
	minProbePause = 250 * time.Millisecond
	maxProbePause = 4 * time.Second
	// reportFresh is the age up to which a load that an owner of another zone reported tells of spare slots. The
	// reports of a host that is in use are younger.
	reportFresh = time.Second
	// reservedSlots is the number of slots that an upstream keeps for its own zone. Without it, a zone
	// whose demand rises would find its slots taken, and send its own requests elsewhere.
	reservedSlots = 1
)

// spillover limits the requests of one service that probe other zones for free slots.
type spillover struct {
	mu    sync.Mutex
	zones map[string]*zoneProbe
}

// zoneProbe is the time of the next probe of a zone and the pause after it.
type zoneProbe struct {
	next  time.Time
	pause time.Duration
}

// mayProbe reports whether a request may be sent to a zone of which no spare slot is known, and counts it as sent.
func (s *spillover) mayProbe(zone string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.zones[zone]
	if a == nil {
		if s.zones == nil {
			s.zones = map[string]*zoneProbe{}
		}
		a = &zoneProbe{pause: minProbePause}
		s.zones[zone] = a
	}
	if now.Before(a.next) {
		return false
	}
	if now.Sub(a.next) > maxProbePause {
		a.pause = minProbePause // the last overload is over
	}
	a.next, a.pause = now.Add(a.pause), min(2*a.pause, maxProbePause)
	return true
}

// found records that a zone has spare slots.
func (s *spillover) found(zone string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.zones[zone]; a != nil && a.pause > minProbePause {
		a.pause = minProbePause
		if limit := now.Add(minProbePause); a.next.After(limit) {
			a.next = limit
		}
	}
}
