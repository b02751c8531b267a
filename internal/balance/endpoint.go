// Package balance chooses the upstream for a request: the nearest one that is expected to
// answer within the target, else the one that is expected to answer first. What it knows
// of an upstream comes with answers; what is old fades.
package balance

import (
	"math"
	"sync"
	"time"

	"celerybank/internal/proxy"
)

// Endpoint is one upstream process as this node sees it.
type Endpoint struct {
	// Addr is the peer address of its owner.
	Addr, Zone                 string
	Service, Version, Instance string
	Slots                      int
	// Since is when the upstream joined, in unix milliseconds.
	Since int64

	mu       sync.Mutex
	inflight int
	// inUse, limit and pace are what the owner said last, at reported.
	inUse, limit int
	pace         time.Duration
	reported     time.Time
	// speed is the upstream's work time against the mean of its service; errors the part of
	// requests that failed there. Both fade from learnt on.
	speed, errors float64
	learnt        time.Time
	// way is the mean time that requests spend on their way to the owner and back, the owner's own
	// delays included: a host that lacks processor time is slow though its upstream is not. It
	// fades from travelled on.
	way       time.Duration
	travelled time.Time
	// shunned is until when it is the last choice, after failures in a row.
	shunned  time.Time
	failures int
	// doubtful is set while the membership doubts that the host lives.
	doubtful bool
}

// Constants of the estimates.
const (
	// speedWeight and errorWeight are the weights of one answer.
	speedWeight = 0.15
	errorWeight = 0.15
	// wayWeight is the weight of one request's time on its way.
	wayWeight = 0.25
	// fade halves what is known of errors and speed in this time without an answer, so that an
	// upstream that has recovered is tried again.
	fade = 4 * time.Second
	// loadMemory is how long a reported load counts in full; afterwards it is taken to drain at its pace.
	loadMemory = 300 * time.Millisecond
	// firstShun is the pause after a failure to reach an upstream; doubled up to maxShuns times.
	firstShun = 150 * time.Millisecond
	maxShuns  = 4
	// maxSpeed bounds the speed factor that one answer can show.
	maxSpeed = 12
)

// NewEndpoint returns an endpoint of which nothing is known but its announcement.
func NewEndpoint(addr, zone, service, version, instance string, slots int, since int64) *Endpoint {
	return &Endpoint{Addr: addr, Zone: zone, Service: service, Version: version, Instance: instance, Slots: slots, Since: since,
		limit: slots, speed: 1}
}

// Begin and End bracket a request to e.
func (e *Endpoint) Begin() {
	e.mu.Lock()
	e.inflight++
	e.mu.Unlock()
}

// End ends a request begun with Begin.
func (e *Endpoint) End() {
	e.mu.Lock()
	e.inflight--
	e.mu.Unlock()
}

// Reported takes in the load that came with an answer. told says that it tells how the upstream
// works, from all of its requests: more than this node can learn from its own.
func (e *Endpoint) Reported(l proxy.Load, now time.Time) (told bool) {
	if l.Limit <= 0 {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inUse, e.limit, e.pace, e.reported = l.InUse, l.Limit, l.Pace, now
	if l.Speed <= 0 {
		return false
	}
	e.speed, e.errors, e.learnt = float64(l.Speed)/proxy.Thousand, float64(l.Failures)/proxy.Thousand, now
	return true
}

// Works takes in that the upstream gave an answer, whatever it was.
func (e *Endpoint) Works() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failures = 0
}

// Answered takes in an answer: the work time against what is usual on its route, and
// whether it was a failure.
func (e *Endpoint) Answered(took, usual time.Duration, failed bool, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fadeTo(now)
	e.failures = 0
	if took > 0 && usual > 0 && !failed {
		e.speed += speedWeight * (min(float64(took)/float64(usual), maxSpeed) - e.speed)
	}
	bad := 0.0
	if failed {
		bad = 1
	}
	e.errors += errorWeight * (bad - e.errors)
}

// Travelled takes in how long one request was on its way to the owner and back.
func (e *Endpoint) Travelled(way time.Duration, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	was := e.wayAt(now)
	e.way, e.travelled = was+time.Duration(wayWeight*float64(way-was)), now
}

// wayAt is the time on the way as it is remembered now. e.mu is held.
func (e *Endpoint) wayAt(now time.Time) time.Duration {
	if e.travelled.IsZero() {
		return 0
	}
	return time.Duration(float64(e.way) * math.Exp2(-float64(now.Sub(e.travelled))/float64(fade)))
}

// Shed takes in that the upstream itself refused a request.
func (e *Endpoint) Shed(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fadeTo(now)
	e.errors += errorWeight * (1 - e.errors)
}

// Unreachable takes in that the owner or its upstream cannot be reached; it returns how long
// e is the last choice.
func (e *Endpoint) Unreachable(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	d := firstShun << min(e.failures, maxShuns)
	e.failures++
	e.shunned = now.Add(d)
	return d
}

// suspect notes whether the membership doubts that the host lives.
func (e *Endpoint) suspect(v bool) {
	e.mu.Lock()
	e.doubtful = v
	e.mu.Unlock()
}

// fadeTo lets what is known grow old. e.mu is held.
func (e *Endpoint) fadeTo(now time.Time) {
	if !e.learnt.IsZero() {
		keep := math.Exp2(-float64(now.Sub(e.learnt)) / float64(fade))
		e.errors *= keep
		if e.speed > 1 { // a fast one stays fast; a slow one may have been slow for a while only
			e.speed = 1 + (e.speed-1)*math.Sqrt(keep)
		}
	}
	e.learnt = now
}

// state is what a choice needs to know of an endpoint.
type state struct {
	speed, errors float64
	wait, way     time.Duration
	// use is the part of the slots in use.
	use     float64
	shunned bool
}

func (e *Endpoint) state(now time.Time) state {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fadeTo(now)
	inUse := float64(e.inUse)
	if old := now.Sub(e.reported) - loadMemory; old > 0 && e.pace > 0 {
		inUse -= float64(old) / float64(e.pace) * float64(e.limit)
	}
	inUse = max(inUse, float64(e.inflight))
	s := state{speed: e.speed, errors: e.errors, way: e.wayAt(now), use: inUse / float64(e.limit), shunned: e.doubtful || now.Before(e.shunned)}
	if over := inUse + 1 - float64(e.limit); over > 0 {
		s.wait = time.Duration(over * float64(e.pace) / float64(e.limit))
	}
	return s
}
