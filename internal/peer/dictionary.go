package peer

import (
	"maps"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
)

// Strings that occur in many messages are sent as an index of one byte, in two parts: those of commonStrings, which
// all nodes have, and those that the writer of a connection has defined on it before. Both ends tell in the first
// heartbeat which of commonStrings they read; a peer of an earlier build tells nothing and gets no index.
const (
	// firstDefined is the index of the first string defined on a connection. It is fixed, so that commonStrings can grow.
	firstDefined = 128
	// maxDefined bounds the strings defined on a connection, whose indices fit into one byte. They are never redefined:
	// messages that were encoded earlier may be written later.
	maxDefined = 256 - firstDefined
	// minDefined and maxDefinedBytes bound the length of a defined string in bytes. An index takes three.
	minDefined      = 5
	maxDefinedBytes = 64
	// maxCandidates bounds the strings that were seen once.
	maxCandidates = 256
)

// defineMethod is the method of the notification that defines strings.
const defineMethod = "Peer.Define"

// Define defines strings on a connection. The first one has the index Start.
type Define struct {
	Start   int      `msgpack:"s"`
	Strings []string `msgpack:"d"`
}

// Repeater is a message with strings that are likely to occur in other messages on the same connection.
type Repeater interface {
	// Repeated calls f with each such string.
	Repeated(f func(string))
}

// errDefine reports a definition that does not follow the ones before.
var errDefine = errors.New("malformed definition of strings")

// writeDictionary is the dictionary of the frames that a codec writes.
type writeDictionary struct {
	// indices is nil while the peer is not known to read indices. The map is never modified.
	indices atomic.Pointer[map[string]int]

	// mu guards the fields below, and the order of definitions. Strings that have an index take no lock.
	mu         sync.Mutex
	candidates map[uint64]struct{}
	next       int
}

// enable starts the use of the first n of commonStrings, which the peer reads.
func (d *writeDictionary) enable(n int) {
	if n <= 0 {
		return
	}
	d.indices.CompareAndSwap(nil, commonIndices(min(n, len(commonStrings))))
}

// dictionary returns the indices with which a message is encoded, nil if the peer reads none. Strings that repeat are
// defined unless the peer is in the same zone, where bytes cost less than the work.
func (c *codec) dictionary(body any) map[string]int {
	indices := c.written.indices.Load()
	if indices == nil {
		return nil
	}
	if r, ok := body.(Repeater); ok && c.meter.linkNow() != LinkSameZone {
		c.written.learn(r, func(m *Define) error { return c.write(header{Method: defineMethod, Seq: notifySeq}, m) })
		indices = c.written.indices.Load()
	}
	return *indices
}

// commonIndexCache has the map of the first n of commonStrings by n.
var commonIndexCache sync.Map

func commonIndices(n int) *map[string]int {
	if m, ok := commonIndexCache.Load(n); ok {
		return m.(*map[string]int)
	}
	m := make(map[string]int, n)
	for i, s := range commonStrings[:n] {
		m[s] = i
	}
	actual, _ := commonIndexCache.LoadOrStore(n, &m)
	return actual.(*map[string]int)
}

// learn defines the strings of r that have occurred before, by a frame that define writes.
func (d *writeDictionary) learn(r Repeater, define func(*Define) error) {
	known := *d.indices.Load()
	if len(known) >= len(commonStrings)+maxDefined {
		return
	}
	var unknown []string
	r.Repeated(func(s string) {
		if _, ok := known[s]; !ok && len(s) >= minDefined && len(s) <= maxDefinedBytes {
			unknown = append(unknown, s)
		}
	})
	if len(unknown) > 0 {
		d.defineRepeated(unknown, define)
	}
}

// defineRepeated defines those of the strings that were seen before, and notes the others.
func (d *writeDictionary) defineRepeated(unknown []string, define func(*Define) error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := *d.indices.Load()
	message := &Define{Start: firstDefined + d.next}
	next := map[string]int(nil)
	for _, s := range unknown {
		if _, ok := known[s]; ok || next != nil && next[s] > 0 || d.next+len(message.Strings) >= maxDefined {
			continue
		}
		if !d.seen(s) {
			continue
		}
		if next == nil {
			next = maps.Clone(known)
		}
		next[s] = message.Start + len(message.Strings)
		message.Strings = append(message.Strings, s)
	}
	if next == nil || define(message) != nil {
		return
	}
	d.next += len(message.Strings)
	d.indices.Store(&next) // frames that use the strings are written after the definition
}

// seen reports whether s was seen before, and notes it. d.mu is held.
func (d *writeDictionary) seen(s string) bool {
	hash := xxhash.Sum64String(s)
	if _, ok := d.candidates[hash]; ok {
		delete(d.candidates, hash)
		return true
	}
	if d.candidates == nil || len(d.candidates) >= maxCandidates {
		d.candidates = map[uint64]struct{}{}
	}
	d.candidates[hash] = struct{}{}
	return false
}

// readDictionary returns the dictionary of a connection on which nothing is defined yet.
func readDictionary() []string { return commonPadded[:firstDefined:firstDefined] }

// commonPadded has commonStrings at the indices below firstDefined.
var commonPadded = func() (padded [firstDefined]string) {
	copy(padded[:], commonStrings)
	return padded
}()

// applyDefine returns the dictionary with the strings of a definition.
func applyDefine(dict []string, m *Define) ([]string, error) {
	if m.Start != len(dict) || len(dict)+len(m.Strings) > firstDefined+maxDefined {
		return dict, errDefine
	}
	for _, s := range m.Strings {
		if len(s) > maxDefinedBytes {
			return dict, errDefine
		}
	}
	return append(dict, m.Strings...), nil
}

// commonStrings are strings that occur in many messages. The index of each is fixed: append only, up to firstDefined.
var commonStrings = []string{
	pingMethod, defineMethod, "Proxy.Call", "Proxy.Cancel", "Proxy.Fate", "Gossip.Ping", "Gossip.PingFor", "Gossip.Push",
	"Gossip.Pull", "Gossip.QueryAlive", "Orders.Pull", "Orders.News", "Canary.Evidence", "Canary.Told", "Canary.Record",

	"full", "no-room-in-time", "rate-limited", "shed-by-upstream", "deadline", "upstream-replaced", "no-upstream", "draining",

	"POST", "PATCH", "DELETE", "Accept", "Accept-Charset", "Accept-Encoding", "Accept-Language", "Accept-Ranges", "Age", "Allow",
	"Authorization", "Cache-Control", "Content-Disposition", "Content-Encoding", "Content-Language", "Content-Location",
	"Content-Range", "Content-Type", "Cookie", "Date", "Etag", "Expires", "Forwarded", "From", "Idempotency-Key", "If-Match",
	"If-Modified-Since", "If-None-Match", "If-Range", "If-Unmodified-Since", "Last-Modified", "Link", "Location", "Origin",
	"Pragma", "Range", "Referer", "Retry-After", "Server", "Set-Cookie", "Strict-Transport-Security", "Traceparent", "Tracestate",
	"User-Agent", "Vary", "Via", "Www-Authenticate", "X-Content-Type-Options", "X-Forwarded-For", "X-Forwarded-Host",
	"X-Forwarded-Proto", "X-Real-Ip",

	"application/json", "application/json; charset=utf-8", "application/octet-stream", "application/x-www-form-urlencoded",
	"text/plain", "text/plain; charset=utf-8", "text/html; charset=utf-8", "*/*", "gzip", "gzip, deflate", "gzip, deflate, br",
	"no-cache", "no-store", "max-age=0", "identity",
}
