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

// Topics of the platform.
const (
	topicOperator = "keyed.op"
	topicStatus   = "keyed.status"
)

// store is a stand-in for the platform's metadata store: conditional appends, long polls and the newest record of each
// key. It keeps all records.
type store struct {
	mu      sync.Mutex
	topics  map[string][][]byte
	changed chan struct{}
	// away has the machines that the store turns away; readers has those that have read the statuses, in order.
	away    map[string]bool
	readers []string
}

// startStore serves a new store at addr.
func startStore(addr string) (*store, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &store{topics: map[string][][]byte{}, changed: make(chan struct{}), away: map[string]bool{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", s.serveAppend)
	mux.HandleFunc("GET /api/log-read", s.serveRead)
	mux.HandleFunc("GET /api/log-newest", s.serveNewest)
	go func() { _ = http.Serve(l, s.turningAway(mux)) }()
	return s, nil
}

// turningAway answers 503 to the machines that the store turns away, and notes who reads the statuses.
func (s *store) turningAway(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ip, _, _ := net.SplitHostPort(r.RemoteAddr)
		s.mu.Lock()
		away := s.away[ip]
		if r.URL.Query().Get("topic") == topicStatus {
			s.readers = append(s.readers, ip)
		}
		s.mu.Unlock()
		if away {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// turnAway sets the machines that the store turns away.
func (s *store) turnAway(ips ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.away)
	for _, ip := range ips {
		s.away[ip] = true
	}
}

// statusReaders returns the machines that have read the statuses since the last call, in order.
func (s *store) statusReaders() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	ips := s.readers
	s.readers = nil
	return ips
}

// put appends a record with a key to a keyed topic; a nil value drops the key.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(topic, append(append([]byte{byte(len(key))}, key...), value...))
}

// add appends a record. s.mu is held.
func (s *store) add(topic string, records ...[]byte) {
	s.topics[topic] = append(s.topics[topic], records...)
	close(s.changed)
	s.changed = make(chan struct{})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if len(body) < 4+n {
			break
		}
		records, body = append(records, body[4:4+n]), body[4+n:]
	}
	topic := r.URL.Query().Get("topic")
	s.mu.Lock()
	defer s.mu.Unlock()
	end := len(s.topics[topic])
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(end) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end": end})
		return
	}
	s.add(topic, records...)
	writeJSON(w, http.StatusOK, map[string]any{"offset": end, "end": end + len(records)})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		records, changed := s.topics[q.Get("topic")], s.changed
		s.mu.Unlock()
		if from < len(records) || wait == 0 {
			s.writePage(w, records, from)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) writePage(w http.ResponseWriter, records [][]byte, from int) {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for i := from; i < len(records); i++ {
		out = binary.BigEndian.AppendUint32(out, uint32(len(records[i])))
		out = append(out, records[i]...)
	}
	_, _ = w.Write(out)
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	q := r.URL.Query()
	s.mu.Lock()
	records := s.topics[q.Get("topic")]
	s.mu.Unlock()
	newest := map[string]item{}
	for i, rec := range records {
		n := 1 + int(rec[0])
		key, value := string(rec[1:n]), rec[n:]
		delete(newest, key)
		if len(value) > 0 {
			newest[key] = item{key, base64.StdEncoding.EncodeToString(value), i}
		}
	}
	items := []item{}
	for _, it := range newest {
		if strings.Compare(it.Key, q.Get("after")) > 0 {
			items = append(items, it)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "end": len(records)})
}
