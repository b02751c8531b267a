package sidecar

import (
	"net"
	"sync"

	"celerybank/internal/gossip"
	"celerybank/internal/peer"
)

// hostLinks tells by the IP address of a host whether it is in this node's zone.
type hostLinks struct {
	zone string

	mu   sync.RWMutex
	byIP map[string]peer.Link
}

func newHostLinks(zone string) *hostLinks {
	return &hostLinks{zone: zone, byIP: map[string]peer.Link{}}
}

// update applies the new state of one member.
func (l *hostLinks) update(m gossip.Member) {
	ip, _, err := net.SplitHostPort(m.Addr)
	if err != nil {
		return
	}
	link := peer.LinkCrossZone
	if m.Zone == l.zone {
		link = peer.LinkSameZone
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if m.Status == gossip.Dead || m.Status == gossip.Left {
		delete(l.byIP, ip)
		return
	}
	l.byIP[ip] = link
}

// of returns the link to the host with an IP address.
func (l *hostLinks) of(ip string) peer.Link {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.byIP[ip]
}
