package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store: the log calls that the system uses.
type store struct {
	listener net.Listener

	mu     sync.Mutex
	topics map[string][][]byte
	// changed is closed and replaced at each append.
	changed chan struct{}
}

func newStore(addr string) (*store, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, topics: map[string][][]byte{}, changed: make(chan struct{})}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

func (s *store) addr() string { return s.listener.Addr().String() }

func (s *store) append(topic string, records ...[]byte) (offset, end int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appendLocked(topic, records)
}

func (s *store) appendLocked(topic string, records [][]byte) (offset, end int) {
	offset = len(s.topics[topic])
	s.topics[topic] = append(s.topics[topic], records...)
	close(s.changed)
	s.changed = make(chan struct{})
	return offset, len(s.topics[topic])
}

// put writes the newest record of a key, as the operator does.
func (s *store) put(topic, key string, value []byte) {
	s.append(topic, append(append([]byte{byte(len(key))}, key...), value...))
}

func splitKeyed(r []byte) (key string, value []byte) {
	n := 1 + int(r[0])
	return string(r[1:n]), r[n:]
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	body, _ := io.ReadAll(r.Body)
	switch r.Method + " " + r.URL.Path {
	case "POST /api/log-append":
		s.serveAppend(w, q.Get("topic"), q.Get("at"), body)
	case "GET /api/log-read":
		from, _ := strconv.Atoi(q.Get("from"))
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.serveRead(w, q.Get("topic"), from, time.Duration(wait)*time.Millisecond)
	case "GET /api/log-newest":
		s.serveNewest(w, q.Get("topic"), q.Get("after"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) serveAppend(w http.ResponseWriter, topic, at string, body []byte) {
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var records [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		records = append(records, append([]byte(nil), body[4:4+n]...))
		body = body[4+n:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if end := len(s.topics[topic]); at != "" && at != strconv.Itoa(end) {
		reply(w, http.StatusPreconditionFailed, map[string]int{"end": end})
		return
	}
	offset, end := s.appendLocked(topic, records)
	reply(w, http.StatusOK, map[string]int{"offset": offset, "end": end})
}

func (s *store) serveRead(w http.ResponseWriter, topic string, from int, wait time.Duration) {
	limit := time.After(wait)
	for {
		s.mu.Lock()
		records, changed := s.topics[topic], s.changed
		s.mu.Unlock()
		if len(records) > from || wait == 0 {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, r := range records[min(from, len(records)):] {
				out = append(binary.BigEndian.AppendUint32(out, uint32(len(r))), r...)
			}
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-limit:
			wait = 0
		}
	}
}

func (s *store) serveNewest(w http.ResponseWriter, topic, after string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	byKey := map[string]item{}
	for i, r := range s.topics[topic] {
		k, v := splitKeyed(r)
		byKey[k] = item{k, base64.StdEncoding.EncodeToString(v), i}
		if len(v) == 0 {
			delete(byKey, k)
		}
	}
	end := len(s.topics[topic])
	s.mu.Unlock()
	items := []item{}
	for _, x := range byKey {
		if strings.Compare(x.Key, after) > 0 {
			items = append(items, x)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	const page = 500
	more := len(items) > page
	reply(w, http.StatusOK, map[string]any{"items": items[:min(len(items), page)], "has_more": more, "end": end})
}
