package balance

import "celerybank/internal/ratelimit"

// process identifies one process of an upstream.
type process struct {
	instance string
	since    int64
}

// remembered is what a node keeps of an upstream that is not reachable at the moment, because its owner
// restarts: what the upstream said of itself holds for as long as its process runs.
type remembered struct {
	heard   ratelimit.Heard
	leaving bool
}

// maxRemembered bounds the upstreams that are remembered.
const maxRemembered = 1024

// remember keeps what e has said of itself, if there is anything to keep. b.mu is held.
func (b *Balancer) remember(e *Endpoint) {
	e.mu.Lock()
	r := remembered{heard: e.heard, leaving: e.leaving}
	e.mu.Unlock()
	if !r.heard.Limited() && !r.leaving {
		return
	}
	if len(b.remembered) >= maxRemembered {
		for p := range b.remembered {
			delete(b.remembered, p)
			break
		}
	}
	b.remembered[process{e.Instance, e.Since}] = r
}

// recall restores what is remembered of e. b.mu is held.
func (b *Balancer) recall(e *Endpoint) {
	p := process{e.Instance, e.Since}
	if r, ok := b.remembered[p]; ok {
		e.heard, e.leaving = r.heard, r.leaving
		delete(b.remembered, p)
	}
}
